package core

import (
	"errors"
	"fmt"
	"time"
)

// Outcome is the result of an attempt, or of a whole request.
type Outcome uint8

const (
	// Whole: the endpoint's complete answer was delivered.
	Whole Outcome = iota
	// NotRun: provably never sent to an endpoint; may always be retried.
	NotRun
	// Failed: it ran, and the endpoint reported an error or ended the answer early.
	Failed
	// Unknown: it may have run. Only idempotent requests may be retried.
	Unknown
)

var outcomeNames = [...]string{"Whole", "NotRun", "Failed", "Unknown"}

// String returns the name used in answers to callers.
func (ou Outcome) String() string { return outcomeNames[ou] }

// Reason is why an attempt was refused or failed. Every reason has a counter; see
// docs/operate/COUNTERS.md.
type Reason string

// Reasons of refusals and failures.
const (
	ReasonBadRequest     Reason = "BadRequest"     // the request is malformed
	ReasonBadKey         Reason = "BadKey"         // the bearer key belongs to no customer
	ReasonTooLarge       Reason = "TooLarge"       // the body exceeds the limit
	ReasonSlowCaller     Reason = "SlowCaller"     // the caller did not send its body in time
	ReasonUnknownModel   Reason = "UnknownModel"   // no pool of this customer serves the model
	ReasonNoConfig       Reason = "NoConfig"       // no accepted configuration is known yet
	ReasonNoEndpoint     Reason = "NoEndpoint"     // the pool has no live endpoint
	ReasonWrongPool      Reason = "WrongPool"      // the agent has no endpoint of that pool
	ReasonDraining       Reason = "Draining"       // the process is draining
	ReasonLoadCap        Reason = "LoadCap"        // the endpoint is at its load cap
	ReasonQueueFull      Reason = "QueueFull"      // the endpoint's queue is full
	ReasonShareExceeded  Reason = "ShareExceeded"  // the queue is full and the customer is over its share
	ReasonBusyHolder     Reason = "BusyHolder"     // the cache holder is busy and prefilling elsewhere is cheaper
	ReasonHeldElsewhere  Reason = "HeldElsewhere"  // another agent holds the context or the key
	ReasonDeadline       Reason = "Deadline"       // the deadline passed
	ReasonCallerGone     Reason = "CallerGone"     // the caller disconnected
	ReasonKVDown         Reason = "KVDown"         // the KV is unavailable, so no claim could be made
	ReasonClaimLost      Reason = "ClaimLost"      // the process that held the claim is gone
	ReasonKeyReused      Reason = "KeyReused"      // the idempotency key was used with a different request
	ReasonAnswerGone     Reason = "AnswerGone"     // the call completed, but its answer is no longer kept
	ReasonUnreachable    Reason = "Unreachable"    // could not connect to the peer
	ReasonPeerLost       Reason = "PeerLost"       // the connection to the peer was lost after sending
	ReasonEndpointDown   Reason = "EndpointDown"   // could not connect to the endpoint
	ReasonEndpointError  Reason = "EndpointError"  // the endpoint returned an error
	ReasonCrashed        Reason = "Crashed"        // the endpoint crashed while it ran the request
	ReasonCutShort       Reason = "CutShort"       // the stream ended without an end marker
	ReasonCrossed        Reason = "Crossed"        // the reply belongs to another attempt
	ReasonStalled        Reason = "Stalled"        // no data arrived within the timeout
	ReasonRetryBudget    Reason = "RetryBudget"    // the retry budget is used up
	ReasonQuarantined    Reason = "Quarantined"    // the request crashed the endpoints that ran it
	ReasonEvacuated      Reason = "Evacuated"      // all of the pool's endpoints are in evacuated zones
	ReasonNoHome         Reason = "NoHome"         // the pool has no endpoint in the request's home regions
	ReasonColdLimit      Reason = "ColdLimit"      // the cold endpoint is at its request rate limit
	ReasonMemory         Reason = "Memory"         // the router is at its memory limit for bodies and answers
	ReasonDescriptors    Reason = "Descriptors"    // the router has no descriptor left for a connection
	ReasonMemoryFull     Reason = "MemoryFull"     // no engine of the pool has memory for the request
	ReasonBackoff        Reason = "Backoff"        // the endpoint asked for a pause in requests
	ReasonVersionGone    Reason = "VersionGone"    // no endpoint of the stream's software version is left
	ReasonVersionUnknown Reason = "VersionUnknown" // no router knows the software version that began the stream
	ReasonReloading      Reason = "Reloading"      // the engine is loading another model or version
	ReasonOldFence       Reason = "OldFence"       // the order came from a former holder of the lease
	ReasonOrderBusy      Reason = "OrderBusy"      // another order is in progress at the endpoint
	ReasonWeightsBusy    Reason = "WeightsBusy"    // the weight store did not deliver in time
)

// Reasons lists all reasons, for counters and documentation.
var Reasons = []Reason{
	ReasonBadRequest, ReasonBadKey, ReasonTooLarge, ReasonSlowCaller, ReasonUnknownModel,
	ReasonNoConfig, ReasonNoEndpoint, ReasonWrongPool, ReasonDraining, ReasonLoadCap,
	ReasonQueueFull, ReasonShareExceeded, ReasonBusyHolder, ReasonHeldElsewhere,
	ReasonDeadline, ReasonCallerGone, ReasonKVDown, ReasonClaimLost, ReasonKeyReused, ReasonAnswerGone,
	ReasonUnreachable, ReasonPeerLost, ReasonEndpointDown, ReasonEndpointError, ReasonCrashed,
	ReasonCutShort, ReasonCrossed, ReasonStalled, ReasonRetryBudget, ReasonQuarantined,
	ReasonEvacuated, ReasonNoHome, ReasonColdLimit, ReasonBackoff, ReasonMemory, ReasonDescriptors, ReasonMemoryFull, ReasonVersionGone, ReasonVersionUnknown, ReasonReloading, ReasonOldFence, ReasonOrderBusy, ReasonWeightsBusy,
}

// Refusal is the error of an attempt whose Outcome is not Whole.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	// Step is the processing step at which the error arose, such as "admit"; Peer is the process or
	// endpoint concerned.
	Step string
	Peer string
	// Detail is a human-readable explanation. Basis holds the facts behind the decision, for logs
	// only: callers do not see it.
	Detail string
	Basis  string
	// RetryAfter is the suggested delay before a retry; 0 means unspecified.
	RetryAfter time.Duration
	// Status is the endpoint's HTTP status if it returned an error.
	Status int
	// Alternatives names VMs to try instead, best first.
	Alternatives []VMID
}

// Error includes the step and the peer.
func (re *Refusal) Error() string {
	return fmt.Sprintf("%s: %s at %s: %s: %s", re.Step, re.Outcome, re.Peer, re.Reason, re.Detail)
}

// AsRefusal returns the Refusal in err's chain. An error without one is converted to a Refusal with
// Outcome Unknown: anything that is not provably NotRun may have run.
func AsRefusal(err error, step, peer string) *Refusal {
	var ref *Refusal
	if errors.As(err, &ref) {
		return ref
	}
	return &Refusal{Outcome: Unknown, Reason: ReasonPeerLost, Step: step, Peer: peer, Detail: err.Error()}
}
