package core

import (
	"errors"
	"fmt"
	"time"
)

// Outcome is how an attempt, or a whole request, ended.
type Outcome uint8

const (
	// Whole: the endpoint's complete answer was delivered.
	Whole Outcome = iota
	// NotRun: provably never handed to an endpoint; may be retried freely.
	NotRun
	// Failed: it ran, and the endpoint said that it failed or broke off.
	Failed
	// Unknown: it may have run. Only idempotent work may be tried again.
	Unknown
)

var outcomeNames = [...]string{"Whole", "NotRun", "Failed", "Unknown"}

// String is the name used in answers to callers.
func (ou Outcome) String() string { return outcomeNames[ou] }

// Reason says why an attempt was refused or broke off. Every reason has a
// counter; docs/operate/COUNTERS.md lists them.
type Reason string

// Reasons of refusals and failures.
const (
	ReasonBadRequest    Reason = "BadRequest"    // the caller's input is malformed
	ReasonBadKey        Reason = "BadKey"        // no customer has this bearer key
	ReasonTooLarge      Reason = "TooLarge"      // body over the limit
	ReasonSlowCaller    Reason = "SlowCaller"    // the caller did not send its body in time
	ReasonUnknownModel  Reason = "UnknownModel"  // no pool of this customer has the model
	ReasonNoConfig      Reason = "NoConfig"      // no accepted configuration known yet
	ReasonNoEndpoint    Reason = "NoEndpoint"    // no live endpoint in the pool
	ReasonWrongPool     Reason = "WrongPool"     // the agent has no endpoint of that pool
	ReasonDraining      Reason = "Draining"      // the process is leaving
	ReasonLoadCap       Reason = "LoadCap"       // the cap over the pool's mean is reached
	ReasonQueueFull     Reason = "QueueFull"     // the bounded queue is full
	ReasonShareExceeded Reason = "ShareExceeded" // the customer is over its share
	ReasonBusyHolder    Reason = "BusyHolder"    // prefilling elsewhere is cheaper than waiting
	ReasonHeldElsewhere Reason = "HeldElsewhere" // another agent has the context or the key
	ReasonDeadline      Reason = "Deadline"      // the deadline passed
	ReasonCallerGone    Reason = "CallerGone"    // the caller left
	ReasonKVDown        Reason = "KVDown"        // a claim could not be made
	ReasonClaimLost     Reason = "ClaimLost"     // the claim outlived its claimant
	ReasonKeyReused     Reason = "KeyReused"     // same key, other request
	ReasonAnswerGone    Reason = "AnswerGone"    // ran to its end, but the answer is no longer kept
	ReasonUnreachable   Reason = "Unreachable"   // no connection to the peer
	ReasonPeerLost      Reason = "PeerLost"      // the connection broke after sending
	ReasonEndpointDown  Reason = "EndpointDown"  // no connection to the endpoint
	ReasonEndpointError Reason = "EndpointError" // the endpoint answered with an error
	ReasonCrashed       Reason = "Crashed"       // the endpoint crashed while it ran the request
	ReasonCutShort      Reason = "CutShort"      // the stream ended without its end mark
	ReasonCrossed       Reason = "Crossed"       // the reply was for another attempt
	ReasonStalled       Reason = "Stalled"       // nothing came for too long
	ReasonRetryBudget   Reason = "RetryBudget"   // the retry budget is spent
	ReasonQuarantined   Reason = "Quarantined"   // the request crashed the endpoints that ran it
	ReasonEvacuated     Reason = "Evacuated"     // all endpoints of the pool are in evacuated zones
	ReasonNoHome        Reason = "NoHome"        // the pool has no endpoint in the request's home regions
	ReasonColdLimit     Reason = "ColdLimit"     // the endpoint is cold, and its limit in requests a second used up
	ReasonMemory        Reason = "Memory"        // the router holds as many bytes of bodies and answers as it may
	ReasonBackoff       Reason = "Backoff"       // the endpoint asked for no requests for a time
	ReasonReloading     Reason = "Reloading"     // the engine is loading another model or version
	ReasonOldFence      Reason = "OldFence"      // an order from a past holder of the lease
	ReasonOrderBusy     Reason = "OrderBusy"     // another order is in progress at the endpoint
	ReasonWeightsBusy   Reason = "WeightsBusy"   // the weight store gave no weights in time
)

// Reasons lists every reason, for counters and documents.
var Reasons = []Reason{
	ReasonBadRequest, ReasonBadKey, ReasonTooLarge, ReasonSlowCaller, ReasonUnknownModel,
	ReasonNoConfig, ReasonNoEndpoint, ReasonWrongPool, ReasonDraining, ReasonLoadCap,
	ReasonQueueFull, ReasonShareExceeded, ReasonBusyHolder, ReasonHeldElsewhere,
	ReasonDeadline, ReasonCallerGone, ReasonKVDown, ReasonClaimLost, ReasonKeyReused, ReasonAnswerGone,
	ReasonUnreachable, ReasonPeerLost, ReasonEndpointDown, ReasonEndpointError, ReasonCrashed,
	ReasonCutShort, ReasonCrossed, ReasonStalled, ReasonRetryBudget, ReasonQuarantined,
	ReasonEvacuated, ReasonNoHome, ReasonColdLimit, ReasonBackoff, ReasonMemory, ReasonReloading, ReasonOldFence, ReasonOrderBusy, ReasonWeightsBusy,
}

// Refusal is the error of an attempt that did not end Whole.
type Refusal struct {
	Outcome Outcome
	Reason  Reason
	// Step is where on the path it arose, such as "admit"; Peer is the process
	// or endpoint concerned.
	Step string
	Peer string
	// Detail is for people, Basis what it was decided on, for logs: callers do not see it.
	Detail string
	Basis  string
	// RetryAfter tells when trying again makes sense; 0 is unspecified.
	RetryAfter time.Duration
	// Status is the endpoint's own HTTP status where it answered with an error.
	Status int
	// Alternatives names VMs to try in its place, best first.
	Alternatives []VMID
}

// Error carries step and peer.
func (re *Refusal) Error() string {
	return fmt.Sprintf("%s: %s at %s: %s: %s", re.Step, re.Outcome, re.Peer, re.Reason, re.Detail)
}

// AsRefusal finds the Refusal in err. An error that is none becomes Unknown:
// whatever is not provably NotRun may have run.
func AsRefusal(err error, step, peer string) *Refusal {
	var ref *Refusal
	if errors.As(err, &ref) {
		return ref
	}
	return &Refusal{Outcome: Unknown, Reason: ReasonPeerLost, Step: step, Peer: peer, Detail: err.Error()}
}
