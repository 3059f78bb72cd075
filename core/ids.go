package core

// Names of the things that the fleet keeps apart. Each is opaque: nothing
// parses one.
type (
	// VMID names a VM as the platform's list does.
	VMID string
	// Zone is an availability zone; Region holds one or more of them.
	Zone   string
	Region string
	// CustomerID, PoolID and EndpointID are the names in the declarations.
	CustomerID string
	PoolID     string
	EndpointID string
	// ChatID is the caller's name for a conversation, unique per customer.
	ChatID string
	// IdemKey is the caller's idempotency key, unique per customer.
	IdemKey string
)

// Numbers that order or tell apart.
type (
	// AttemptID marks one attempt at one request on every hop and back.
	AttemptID uint64
	// Incarnation changes whenever a process starts; 0 is unknown.
	Incarnation uint64
	// Revision numbers accepted configurations from 1 upwards; 0 is none.
	Revision uint64
	// Fence is the number of a lease; a later holder has a higher one.
	Fence uint64
	// LeaseID names a lease granted by the KV; 0 is no lease.
	LeaseID uint64
)

// Units.
type (
	// Tokens counts model tokens.
	Tokens int64
	// Work is what an endpoint has yet to do, in token equivalents: uncached
	// prompt tokens scaled by PrefillCost plus expected output tokens.
	Work int64
	// Bytes counts bytes.
	Bytes int64
	// Priority orders queued calls; higher goes first.
	Priority uint8
)

// Priorities from lowest to highest. Lookups of services default to
// PriorityUrgent, chats to PriorityNormal.
const (
	PriorityBatch Priority = iota
	PriorityNormal
	PriorityHigh
	PriorityUrgent
	// PriorityCount is the number of priorities.
	PriorityCount
)

// PrefillPerOutput is how many prompt tokens cost an engine as much as one
// output token: prefill is batched over the prompt, decode is not.
const PrefillPerOutput = 4

// WorkOf is the work of a call with that many uncached prompt tokens and
// expected output tokens; at least 1.
func WorkOf(uncached, output Tokens) Work {
	return max(1, Work(uncached/PrefillPerOutput)+Work(output))
}
