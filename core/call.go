package core

import (
	"context"
	"io"
	"time"
)

// Call is one attempt at a caller's request as it travels from router to agent
// to endpoint. It is not changed once sent.
type Call struct {
	Attempt  AttemptID
	Customer CustomerID
	Pool     PoolID
	Chat     ChatID
	// Key is the caller's idempotency key; empty where the request may repeat.
	Key IdemKey
	// MayRepeat says that running it twice does no harm.
	MayRepeat bool
	Priority  Priority
	Deadline  time.Time
	// Stream asks for server-sent events.
	Stream bool
	// Prompt and Output are the expected sizes in tokens.
	Prompt Tokens
	Output Tokens
	// StaleHolder is a VM that was asked for the chat's context and has it no longer.
	StaleHolder VMID
	// NoRedirect asks the agent to run the call rather than point elsewhere for the
	// chat's context: the router has already followed a pointer.
	NoRedirect bool
	// Method, Path and ContentType are those of the request to the endpoint.
	Method      string
	Path        string
	ContentType string
	Body        []byte
	// Revision is the sender's configuration revision.
	Revision Revision
}

// Part is a piece of an answer. Data is valid only during Sink.Send.
type Part struct {
	Attempt AttemptID
	// Position counts the stream's events up to and including this part.
	Position int64
	// Status and ContentType are set on the first part only.
	Status      int
	ContentType string
	Data        []byte
	// End marks the last part of a whole answer.
	End bool
}

// Sink takes the parts of an answer in order. An error stops the answer.
type Sink interface {
	Send(pa *Part) error
}

// Report comes back beside an answer or a refusal: what the agent tells of
// itself.
type Report struct {
	VM          VMID
	Incarnation Incarnation
	// Load is the work at the agent's endpoints of the call's pool; Mean is the
	// agent's estimate of the pool's mean load.
	Load     Work
	Mean     Work
	Draining bool
	Revision Revision
	// Cached is how many prompt tokens were found in the engine's cache.
	Cached Tokens
	Tokens Tokens
}

// Endpoint is an engine or a service beside an agent. Do sends one call and
// passes the answer's parts on; it returns a *Refusal unless the answer was
// whole. Source: the endpoint's own HTTP protocol, see io/back.
type Endpoint interface {
	Do(ctx context.Context, ca *Call, si Sink) (Usage, error)
}

// LivenessProber is an endpoint that can be asked whether its process is there.
type LivenessProber interface {
	// Alive is false only if nothing listens there.
	Alive(ctx context.Context) bool
}

// Usage is what an endpoint tells of a finished call, in tokens.
type Usage struct {
	Prompt Tokens
	Cached Tokens
	Output Tokens
}

// Peers reaches the other processes of the fleet. Serve's error is a *Refusal;
// Report may be nil where the peer was not reached.
type Peers interface {
	Serve(ctx context.Context, to VMID, ca *Call, si Sink) (*Report, error)
	Exchange(ctx context.Context, to VMID, di *Digest) (*Digest, error)
	Claim(ctx context.Context, to VMID, cl *Claim) (*ClaimReply, error)
	Fetch(ctx context.Context, to VMID, since Revision) (*Changes, error)
	UpdatePlacements(ctx context.Context, to VMID, pl []Placement) error
	// NotifyCrash tells a router of a request that crashes endpoints.
	NotifyCrash(ctx context.Context, to VMID, no *CrashNotice) error
	// Order hands an agent an order for an endpoint beside it, and Inspect asks
	// for the state of all of them. Order's error is a *Refusal.
	Order(ctx context.Context, to VMID, or *Order) error
	Inspect(ctx context.Context, to VMID) ([]EndpointState, error)
	// HandOver moves a chat's context to another agent's engine. Its error is a
	// *Refusal. A context that cannot be read to its end is not kept there.
	HandOver(ctx context.Context, to VMID, ha *Handover, context io.Reader) error
}

// Digest is what two processes tell each other in the background.
type Digest struct {
	From        VMID
	Incarnation Incarnation
	Draining    bool
	Revision    Revision
	Loads       []LoadEntry
}

// LoadEntry is one agent's load in one pool. Age tells how old the figure is.
type LoadEntry struct {
	Pool PoolID
	VM   VMID
	Load Work
	// Throughput is the work a second that the endpoint finished lately.
	Throughput Work
	Age        time.Duration
	Draining   bool
}

// Placement says that an agent holds a chat's context; sent to the chat's home.
type Placement struct {
	Customer CustomerID
	Pool     PoolID
	Chat     ChatID
	VM       VMID
	// Withdrawn withdraws it.
	Withdrawn bool
}

// Handover is a chat's context on its way from a leaving agent to another one.
// Placement names the chat; its VM is the sender.
type Handover struct {
	Placement Placement
	Tokens    Tokens
}

// Cache is an endpoint whose contexts can be moved. What Export writes is the
// engine's own format, and Import keeps it only if it can be read to its end.
// Source: the engine's own HTTP protocol.
type Cache interface {
	Export(ctx context.Context, key uint64, wr io.Writer) error
	Import(ctx context.Context, key uint64, rd io.Reader) error
}

// Claim asks the keeper of a claim shard for a key.
type Claim struct {
	Hash KeyHash
	By   Claimant
}

// KeyHash is the 128-bit hash of customer and idempotency key.
type KeyHash [16]byte

// Claimant is the process that wants to run the call of a key. A process that
// started anew is another one.
type Claimant struct {
	VM          VMID
	Incarnation Incarnation
}

// ClaimReply answers a Claim. Granted: By is the asker. Otherwise Holder has it.
type ClaimReply struct {
	Granted bool
	Holder  Claimant
}

// Changes brings a process from one revision to a later one: Snapshot, where
// set, replaces everything at SnapshotAt; Deltas follow in order.
type Changes struct {
	SnapshotAt Revision
	Snapshot   []byte
	Deltas     [][]byte
}
