package core

import (
	"context"
	"io"
	"time"
)

// Call is one attempt at a caller's request, sent from a router to an agent and from there to an
// endpoint. It must not be modified once sent.
type Call struct {
	Attempt  AttemptID
	Customer CustomerID
	Pool     PoolID
	Chat     ChatID
	// Key is the caller's idempotency key; empty for idempotent requests.
	Key IdemKey
	// MayRepeat marks an idempotent request, which may run twice.
	MayRepeat bool
	Priority  Priority
	Deadline  time.Time
	// Stream requests the answer as server-sent events.
	Stream bool
	// Prompt and Output are the expected numbers of prompt and output tokens.
	Prompt Tokens
	Output Tokens
	// StaleHolder is a VM that a pointer named as the holder of the chat's context but that no longer
	// has it cached.
	StaleHolder VMID
	// NoRedirect asks the agent to run the call instead of redirecting it to the holder of the
	// chat's context: the router has already followed a redirect.
	NoRedirect bool
	// Method, Path and ContentType are those of the HTTP request to the endpoint.
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Revision is the sender's configuration revision.
	Revision Revision
}

// Part is a chunk of an answer. Data is valid only during Sink.Send.
type Part struct {
	Attempt AttemptID
	// Position is the number of events in the stream up to and including this part.
	Position int64
	// Status and ContentType are set on the first part only.
	Status      int
	ContentType string
	// Unmarked is set on the first part, too, if the endpoint's answer ends with its connection: nothing says
	// that it is whole.
	Unmarked bool
	Data     []byte
	// End marks the last part of a complete answer.
	End bool
}

// Sink receives the parts of an answer in order. An error aborts the answer.
type Sink interface {
	Send(pa *Part) error
}

// Report is the agent's state, returned along with an answer or a refusal.
type Report struct {
	VM          VMID
	Incarnation Incarnation
	// Load is the outstanding work of the agent's endpoints in the call's pool; Mean is the agent's
	// estimate of the pool's mean load.
	Load     Work
	Mean     Work
	Draining bool
	Revision Revision
	// Cached is the number of prompt tokens found in the engine's cache.
	Cached Tokens
	Tokens Tokens
}

// Endpoint is an engine or a service on an agent's VM. Do sends one call and forwards the answer's
// parts to the Sink; it returns a *Refusal unless the answer was complete. Source: the endpoint's
// own HTTP protocol, see io/back.
type Endpoint interface {
	Do(ctx context.Context, ca *Call, si Sink) (Usage, error)
}

// LivenessProber is an endpoint whose process can be probed.
type LivenessProber interface {
	// Alive returns false only if nothing listens at the endpoint's address.
	Alive(ctx context.Context) bool
}

// Usage is the token usage that an endpoint reports for a finished call.
type Usage struct {
	Prompt Tokens
	Cached Tokens
	Output Tokens
}

// Peers sends requests to the other processes of the fleet. Serve's error is a *Refusal; its Report
// may be nil if the peer was not reached.
type Peers interface {
	Serve(ctx context.Context, to VMID, ca *Call, si Sink) (*Report, error)
	Exchange(ctx context.Context, to VMID, di *Digest) (*Digest, error)
	Claim(ctx context.Context, to VMID, cl *Claim) (*ClaimReply, error)
	Fetch(ctx context.Context, to VMID, since Revision) (*Changes, error)
	UpdatePlacements(ctx context.Context, to VMID, pl []Placement) error
	// NotifyCrash sends a router a notice about a request that crashes endpoints.
	NotifyCrash(ctx context.Context, to VMID, no *CrashNotice) error
	// Order sends an agent an order for one of its endpoints, and Inspect returns the state of all
	// of them. Order's error is a *Refusal.
	Order(ctx context.Context, to VMID, or *Order) error
	Inspect(ctx context.Context, to VMID) ([]EndpointState, error)
	// HandOver transfers a chat's context to another agent's engine. Its error is a *Refusal. A
	// context that cannot be read to its end is discarded there.
	HandOver(ctx context.Context, to VMID, ha *Handover, context io.Reader) error
}

// Digest is a process's state as exchanged with others by background gossip.
type Digest struct {
	From        VMID
	Incarnation Incarnation
	Draining    bool
	Revision    Revision
	Loads       []LoadEntry
}

// LoadEntry is a sample of one agent's load in one pool, taken Age ago.
type LoadEntry struct {
	Pool PoolID
	VM   VMID
	Load Work
	// Throughput is the work per second that the agent's endpoints recently finished.
	Throughput Work
	Age        time.Duration
	Draining   bool
}

// Placement states that an agent holds a chat's context. It is sent to the chat's home, the agent
// that rendezvous hashing prefers for the chat, see pick.Home.
type Placement struct {
	Customer CustomerID
	Pool     PoolID
	Chat     ChatID
	VM       VMID
	// Withdrawn withdraws an earlier placement.
	Withdrawn bool
}

// Handover describes a chat's context that a draining agent transfers to another one. Placement
// identifies the chat; its VM is the sender.
type Handover struct {
	Placement Placement
	Tokens    Tokens
}

// Cache is an endpoint whose cached contexts can be transferred. Export writes the engine's own
// format, and Import discards a context that cannot be read to its end. Source: the engine's own
// HTTP protocol.
type Cache interface {
	Export(ctx context.Context, key uint64, wr io.Writer) error
	Import(ctx context.Context, key uint64, rd io.Reader) error
}

// Claim asks the owner of a claim shard for an idempotency key.
type Claim struct {
	Hash KeyHash
	By   Claimant
}

// KeyHash is the 128-bit hash of a customer and an idempotency key of that customer.
type KeyHash [16]byte

// Claimant is a process that wants to run the call of an idempotency key. A restarted process is a
// different claimant.
type Claimant struct {
	VM          VMID
	Incarnation Incarnation
}

// ClaimReply answers a Claim. If Granted, the key belongs to the claimant of the request, otherwise
// to Holder.
type ClaimReply struct {
	Granted bool
	Holder  Claimant
}

// Changes brings a process from one configuration revision to a later one. Snapshot, if set, replaces
// the whole configuration as of SnapshotAt; the Deltas are applied after it in order.
type Changes struct {
	SnapshotAt Revision
	Snapshot   []byte
	Deltas     [][]byte
}
