// Package router routes a caller's request to an agent and retries it where that is safe.
//
// # Concepts
//
// Route picks an agent, sends it the call and, if the attempt is refused or fails, decides whether
// another attempt is allowed. The agent enforces the delivery guarantees. The router chooses where
// to send the call, forwards the response, and never repeats a call that may have run unless the
// call is idempotent (MayRepeat).
//
// # Invariants
//
//   - After the outcome NotRun, the Budget does not limit further attempts; MaxAttempts and the
//     deadline do.
//   - After Failed or Unknown another attempt is made only if the call is idempotent, no part of its
//     response has been forwarded, and the Budget allows it.
//   - Route returns the outcome NotRun only if no attempt can have run.
//   - A part with the ID of another attempt is dropped and counted.
//   - Route returns a nil error only if the end mark of the response has been forwarded.
//
// # Usage
//
//	ro := &router.Router{Clock: clock, Rand: rand, Board: bo, Peers: peers}
//	report, err := ro.Route(ctx, &router.Request{Call: call, Group: group}, sink)
package router

import (
	"context"
	"time"

	"almondrill/core"
	"almondrill/core/board"
	"almondrill/core/crash"
	"almondrill/core/decl"
	"almondrill/core/pick"
	"almondrill/core/retry"
	"almondrill/core/ring"
)

// MaxAttempts is the maximum number of attempts per request.
const MaxAttempts = 8

// Router routes requests. Set the exported fields before use.
type Router struct {
	Clock  core.Clock
	Rand   core.Rand
	Board  *board.Board
	Peers  core.Peers
	Budget *retry.Budget
	Zone   core.Zone
	// Retried, if set, is called for each retry with the reason why the previous attempt failed.
	// Dropped, if set, is called for each part that belongs to another attempt.
	Retried func(re core.Reason)
	Dropped func()
	// Exhausted, if set, is called for each retry that the Budget did not allow.
	Exhausted func()
	// Crashes, if set, tracks requests that crash endpoints and quarantines them.
	Crashes core.CrashTracker
	// RevisionSeen, if set, is called with the configuration revision in each agent's report.
	RevisionSeen func(from core.VMID, rev core.Revision)
}

// Request is a caller's request. Route sets Attempt, Revision, StaleHolder and NoRedirect of its
// Call.
type Request struct {
	Call  core.Call
	Group *decl.Group
	// Hint is the VM that last served the caller, or empty if the caller did not name one.
	Hint core.VMID
}

// ServerObserver is implemented by sinks that need to know which VM serves the response.
type ServerObserver interface {
	// ServedBy is called with the serving VM before the first part of the response is sent.
	ServedBy(vm core.VMID)
}

// attempts is the state of one call of Route.
type attempts struct {
	ro     *Router
	rq     *Request
	se     pick.Search
	pool   *board.Pool
	number int
	// claimantNamed is set once a refusal has named the agent that claimed the idempotency key.
	claimantNamed bool
	// mayHaveRunRefusal is the refusal of the latest attempt that may have run, nil if there is
	// none.
	mayHaveRunRefusal *core.Refusal
	// fingerprint identifies the request across attempts and callers' retries.
	fingerprint core.Fingerprint
}

// Route runs the request and sends its response to si. An error that it returns is a *core.Refusal.
func (ro *Router) Route(ctx context.Context, rq *Request, si core.Sink) (*core.Report, error) {
	sn := ro.Board.Snapshot()
	po := sn.Pools[rq.Group.ID]
	if po == nil || len(po.Members) == 0 {
		return nil, ro.refuse(core.ReasonNoEndpoint, "pick", string(rq.Group.ID), "the pool has no live endpoint")
	}
	ro.Budget.RecordFirst(rq.Call.Customer)
	at := &attempts{ro: ro, rq: rq, pool: po, se: pick.Search{
		Pool: po, Hint: rq.Hint, Zone: ro.Zone, Rand: ro.Rand,
		Key: ring.Key(rq.Call.Customer, rq.Group.ID, rq.Call.Chat),
	}}
	if ro.Crashes != nil {
		ca := &rq.Call
		at.fingerprint = crash.Fingerprint(ca.Customer, ca.Method, string(ca.Pool), ca.Path, ca.Body)
	}
	return at.run(ctx, sn, si)
}

func (at *attempts) run(ctx context.Context, sn *board.Snapshot, si core.Sink) (*core.Report, error) {
	rq := at.rq
	rq.Call.Revision = sn.Revision()
	ix := at.se.First()
	for {
		if re := at.checkQuarantine(ctx); re != nil {
			return nil, at.final(re)
		}
		at.number++
		as := &attemptSink{sink: si, vm: at.pool.Members[ix].VM, dropped: at.ro.Dropped}
		rep, re := at.attempt(ctx, ix, as)
		if re == nil {
			return rep, nil
		}
		if !at.mayRetry(re, as.forwarded) {
			return rep, at.final(re)
		}
		next := at.nextMember(re, ix)
		if next < 0 {
			return rep, at.final(re)
		}
		if re.Outcome != core.NotRun {
			at.mayHaveRunRefusal = re
			if !at.backOff(ctx) {
				return rep, re
			}
		}
		if expired(ctx, at.ro.Clock, rq.Call.Deadline) {
			return rep, at.final(re)
		}
		at.ro.countRetry(re.Reason)
		ix = next
	}
}

// attempt sends the call to one member of the pool.
func (at *attempts) attempt(ctx context.Context, ix int, as *attemptSink) (*core.Report, *core.Refusal) {
	ca := at.rq.Call
	ca.Attempt = core.AttemptID(at.ro.Rand.Uint64())
	as.attempt = ca.Attempt
	rep, err := at.ro.Peers.Serve(ctx, as.vm, &ca, as)
	at.applyReport(ix, rep, err)
	at.reportResult(as, err)
	if err != nil {
		return rep, core.AsRefusal(err, "serve", string(as.vm))
	}
	if !as.ended {
		return rep, &core.Refusal{
			Outcome: core.Unknown, Reason: core.ReasonCutShort, Step: "serve", Peer: string(as.vm),
			Detail: "the answer stopped before its end mark",
		}
	}
	return rep, nil
}

// checkQuarantine returns a refusal for a quarantined request. It is called before each attempt, as
// every attempt at a request that crashes endpoints may crash another one, and as any router may
// have quarantined the request in the meantime.
func (at *attempts) checkQuarantine(ctx context.Context) *core.Refusal {
	if at.ro.Crashes == nil {
		return nil
	}
	allowed, after := at.ro.Crashes.Allowed(ctx, at.fingerprint)
	if allowed {
		return nil
	}
	re := at.ro.refuse(core.ReasonQuarantined, "pick", string(at.rq.Group.ID), "endpoints crashed when they ran this request")
	re.RetryAfter = max(re.RetryAfter, after)
	return re
}

// reportResult reports to Crashes that an attempt succeeded or crashed its endpoint. Other failures
// are not reported: endpoints also fail requests that they have hardly started, so a failure
// neither clears the request nor counts against it. An answer of which nothing says that it is whole does
// not clear it either.
func (at *attempts) reportResult(as *attemptSink, err error) {
	if at.ro.Crashes == nil {
		return
	}
	if err == nil {
		if !as.unmarked {
			at.ro.Crashes.Succeeded(at.fingerprint)
		}
		return
	}
	if re := core.AsRefusal(err, "serve", string(as.vm)); re.Reason == core.ReasonCrashed {
		at.ro.Crashes.Crashed(ring.Mix(decl.HashName(string(as.vm)), decl.HashName(re.Peer)), at.fingerprint)
	}
}

// applyReport updates the agent's load and state from the result of an attempt.
func (at *attempts) applyReport(ix int, rep *core.Report, err error) {
	me := &at.pool.Members[ix]
	if rep != nil {
		me.Load.Set(rep.Load)
		if rep.Draining || me.Suspect || me.Allowance < 1 || rep.Incarnation != me.Incarnation {
			at.ro.Board.Post(board.ProcessAnnounced{VM: me.VM, Incarnation: rep.Incarnation, Draining: rep.Draining})
		}
		if at.ro.RevisionSeen != nil {
			at.ro.RevisionSeen(me.VM, rep.Revision)
		}
		return
	}
	if err == nil {
		return
	}
	reason := core.AsRefusal(err, "serve", string(me.VM)).Reason
	if reason == core.ReasonUnreachable || reason == core.ReasonPeerLost {
		at.ro.Board.Post(board.Reachability{VM: me.VM, Reached: false})
	}
}

// mayRetry reports whether another attempt is safe and allowed.
func (at *attempts) mayRetry(re *core.Refusal, forwarded bool) bool {
	if at.number >= MaxAttempts || forwarded || re.Reason == core.ReasonCallerGone || re.Reason == core.ReasonDeadline {
		return false
	}
	if re.Outcome == core.NotRun {
		return re.Reason != core.ReasonKVDown && re.Reason != core.ReasonKeyReused
	}
	if !at.rq.Call.MayRepeat || !isTransient(re) {
		return false
	}
	if at.ro.Budget.TryRetry(at.rq.Call.Customer) {
		return true
	}
	if at.ro.Exhausted != nil {
		at.ro.Exhausted()
	}
	return false
}

// isTransient reports whether the call may succeed on another endpoint. It is false for failures
// that the request itself caused.
func isTransient(re *core.Refusal) bool {
	const firstServerError = 500
	switch re.Reason {
	case core.ReasonEndpointError:
		return re.Status >= firstServerError
	case core.ReasonPeerLost, core.ReasonEndpointDown, core.ReasonCrashed, core.ReasonCutShort, core.ReasonCrossed, core.ReasonStalled:
		return true
	}
	return false
}

// nextMember returns the index of the pool member for the next attempt, or -1 if there is none.
func (at *attempts) nextMember(re *core.Refusal, ix int) int {
	ca := &at.rq.Call
	if at.claimantNamed {
		return -1
	}
	if re.Reason != core.ReasonHeldElsewhere {
		ca.NoRedirect = true
		return at.se.Next(re)
	}
	if re.Step == stepClaim && len(re.Alternatives) > 0 {
		// That agent claimed the key; no other can know the outcome.
		ca.NoRedirect = true
		at.claimantNamed = true
		return at.pool.Index(re.Alternatives[0])
	}
	if ca.StaleHolder != "" {
		// This is the second redirect in a row: the next agent must run the call.
		ca.NoRedirect = true
	}
	ca.StaleHolder = at.pool.Members[ix].VM
	if len(re.Alternatives) == 0 || !at.se.Untried(re.Alternatives[0]) {
		// The agent's view of the pool is stale: it redirects to an agent that has been removed or
		// has already refused. Have it run the call itself.
		ca.NoRedirect = true
		return ix
	}
	return at.se.Next(re)
}

// stepClaim is the Step of refusals that concern the idempotency key.
const stepClaim = "claim"

// final returns the refusal to give to the caller. The outcome NotRun of the last attempt does not
// make the request NotRun. If an earlier attempt of an idempotent call may have run, its refusal is
// returned. If a refusal named the claimant of the key but the claimant did not report an outcome,
// the request may have run there or in an earlier process with the same name. The outcome is then
// Unknown, and the caller retries with the same key.
func (at *attempts) final(re *core.Refusal) *core.Refusal {
	switch {
	case re.Outcome != core.NotRun:
		return re
	case at.mayHaveRunRefusal != nil:
		return at.mayHaveRunRefusal
	case !at.claimantNamed:
		return re
	}
	lost := *re
	lost.Outcome = core.Unknown
	lost.Reason = core.ReasonClaimLost
	lost.Detail = "the process that claimed the key did not tell its outcome: " + re.Detail
	return &lost
}

// backOff waits before a retry of a call that may have run. It returns false if ctx ends first.
func (at *attempts) backOff(ctx context.Context) bool {
	return at.ro.Clock.Sleep(ctx, retry.Backoff(at.number, at.ro.Rand)) == nil
}

func (ro *Router) countRetry(re core.Reason) {
	if ro.Retried != nil {
		ro.Retried(re)
	}
}

func (ro *Router) refuse(re core.Reason, step, peer, detail string) *core.Refusal {
	return &core.Refusal{
		Outcome: core.NotRun, Reason: re, Step: step, Peer: peer, Detail: detail, RetryAfter: time.Second,
	}
}

func expired(ctx context.Context, cl core.Clock, deadline time.Time) bool {
	return ctx.Err() != nil || (!deadline.IsZero() && !cl.Now().Before(deadline))
}

// attemptSink forwards the parts of one attempt. It drops those of other attempts: a response that
// was delayed or mixed up must not reach this caller.
type attemptSink struct {
	sink      core.Sink
	vm        core.VMID
	attempt   core.AttemptID
	dropped   func()
	forwarded bool
	ended     bool
	// unmarked is set if nothing says that the answer is whole.
	unmarked bool
}

// Send forwards a part.
func (as *attemptSink) Send(pa *core.Part) error {
	if pa.Attempt != as.attempt {
		if as.dropped != nil {
			as.dropped()
		}
		return nil
	}
	if !as.forwarded {
		as.forwarded = true
		if se, ok := as.sink.(ServerObserver); ok {
			se.ServedBy(as.vm)
		}
	}
	if err := as.sink.Send(pa); err != nil {
		return err
	}
	as.ended = as.ended || pa.End
	as.unmarked = as.unmarked || pa.Unmarked
	return nil
}
