package core

// Identifiers. All are opaque: nothing parses them.
type (
	// VMID is a VM's name in the platform's list.
	VMID string
	// Zone is an availability zone; a Region consists of one or more zones.
	Zone   string
	Region string
	// CustomerID, PoolID and EndpointID are names from the operator's configuration.
	CustomerID string
	PoolID     string
	EndpointID string
	// SoftwareVersion is the version of an endpoint's software. Versions have no order.
	SoftwareVersion string
	// ChatID is the caller's name for a conversation, unique per customer.
	ChatID string
	// IdemKey is the caller's idempotency key, unique per customer.
	IdemKey string
)

// Sequence numbers and numeric identifiers.
type (
	// AttemptID identifies one attempt at one request on all hops, in both directions.
	AttemptID uint64
	// Incarnation changes with every start of a process; 0 means unknown.
	Incarnation uint64
	// Revision numbers accepted configurations, starting with 1; 0 means none.
	Revision uint64
	// Build identifies a software version of a pool's endpoints to all routers; 0 means unknown.
	Build uint32
	// StreamKey identifies a stream to all routers, by the hash of the id of the caller's attempt that
	// brought its first event.
	StreamKey uint64
	// Fence is the fencing number of a lease; a later holder has a higher one.
	Fence uint64
	// LeaseID identifies a lease granted by the KV; 0 means no lease.
	LeaseID uint64
)

// Units.
type (
	// Tokens is a number of model tokens.
	Tokens int64
	// Work is outstanding work in token equivalents: uncached prompt tokens divided by
	// PrefillPerOutput plus expected output tokens.
	Work int64
	// Bytes is a number of bytes.
	Bytes int64
	// Priority orders queued calls; higher values go first.
	Priority uint8
)

// Priorities from lowest to highest. Calls of services default to PriorityUrgent, chats to
// PriorityNormal.
const (
	PriorityBatch Priority = iota
	PriorityNormal
	PriorityHigh
	PriorityUrgent
	// PriorityCount is the number of priorities.
	PriorityCount
)

// PrefillPerOutput is the number of prompt tokens that cost an engine as much as one output token:
// prefill is batched over the prompt, decode is not.
const PrefillPerOutput = 4

// WorkOf returns the work of a call with the given uncached prompt tokens and expected output
// tokens; at least 1.
func WorkOf(uncached, output Tokens) Work {
	return max(1, Work(uncached/PrefillPerOutput)+Work(output))
}
