// Package router carries one caller's request through its attempts.
//
// # Concepts
//
// Route picks an agent, hands it the call, and on a refusal decides whether
// another attempt is allowed. The agent keeps the promises; the router aims
// well, passes the answer on, and never repeats what may have run unless that
// does no harm.
//
// # Invariants
//
//   - After NotRun another attempt is free, up to MaxAttempts and the deadline.
//   - After Failed or Unknown another attempt is made only for a call that may
//     repeat, of whose answer nothing has been passed on, within the Budget.
//   - NotRun is told only if no attempt may have run.
//   - A part that carries another attempt's id is dropped and counted.
//   - Route returns nil only if the answer's end mark was passed on.
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

// MaxAttempts bounds the attempts at one request.
const MaxAttempts = 8

// Router routes requests. Set the exported fields before use.
type Router struct {
	Clock  core.Clock
	Rand   core.Rand
	Board  *board.Board
	Peers  core.Peers
	Budget *retry.Budget
	Zone   core.Zone
	// Retried and Dropped, if set, count a retry by its reason and a part that
	// was for another attempt.
	Retried func(re core.Reason)
	Dropped func()
	// Exhausted, if set, counts a retry that the Budget did not allow.
	Exhausted func()
	// Blame, if set, knows requests that crash endpoints.
	Crashes core.CrashTracker
	// Heard, if set, is told of every peer's revision.
	RevisionSeen func(from core.VMID, rev core.Revision)
}

// Request is one caller's request. Call.Attempt, Revision, Missed and Forced are
// filled in by Route.
type Request struct {
	Call  core.Call
	Group *decl.Group
	// Hint is the VM that the caller was served by last, empty if not told.
	Hint core.VMID
}

// ServerObserver is told with the first part of an answer.
type ServerObserver interface {
	// ServedBy names the VM that answers.
	ServedBy(vm core.VMID)
}

// attempts is the state of one Route.
type attempts struct {
	ro     *Router
	rq     *Request
	se     pick.Search
	pool   *board.Pool
	number int
	// claimantNamed is set once a claimant of the call's key has been named.
	claimantNamed bool
	// mayHaveRun is how an earlier attempt ended that may have run, nil if there is none.
	mayHaveRun *core.Refusal
	// fingerprint tells that attempts of the caller are the same request.
	fingerprint core.Fingerprint
}

// Route runs the request. The error, if any, is a *core.Refusal.
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
			at.mayHaveRun = re
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

// attempt makes one attempt.
func (at *attempts) attempt(ctx context.Context, ix int, as *attemptSink) (*core.Report, *core.Refusal) {
	ca := at.rq.Call
	ca.Attempt = core.AttemptID(at.ro.Rand.Uint64())
	as.attempt = ca.Attempt
	rep, err := at.ro.Peers.Serve(ctx, as.vm, &ca, as)
	at.applyReport(ix, rep, err)
	at.reportCrash(as.vm, err)
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

// checkQuarantine refuses a request that crashes the endpoints that run it, before each attempt: it
// comes again through any router, and each attempt costs an endpoint.
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

// reportCrash tells how an attempt ended: at a crash, or whole. An endpoint's own failure tells
// nothing of the request, as endpoints fail some that they have hardly begun.
func (at *attempts) reportCrash(vm core.VMID, err error) {
	if at.ro.Crashes == nil {
		return
	}
	if err == nil {
		at.ro.Crashes.Succeeded(at.fingerprint)
		return
	}
	if re := core.AsRefusal(err, "serve", string(vm)); re.Reason == core.ReasonCrashed {
		at.ro.Crashes.Crashed(ring.Mix(decl.HashName(string(vm)), decl.HashName(re.Peer)), at.fingerprint)
	}
}

// applyReport passes on what the attempt showed of the agent.
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

// mayRetry tells whether another attempt does no harm.
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

// isTransient tells a failure that another endpoint may not have from one that the
// request itself brought about.
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

// nextMember picks the member for the following attempt, -1 if there is none.
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
		// The key is claimed there: only that agent knows the outcome.
		ca.NoRedirect = true
		at.claimantNamed = true
		return at.pool.Index(re.Alternatives[0])
	}
	if ca.StaleHolder != "" {
		// A second pointer in a row: whoever is asked next runs it.
		ca.NoRedirect = true
	}
	ca.StaleHolder = at.pool.Members[ix].VM
	if len(re.Alternatives) == 0 || !at.se.Untried(re.Alternatives[0]) {
		// The agent's list is behind: it points to one that has left, or that has
		// refused already. It is to run the call itself.
		ca.NoRedirect = true
		return ix
	}
	return at.se.Next(re)
}

// stepClaim is the step of refusals that concern the idempotency key.
const stepClaim = "claim"

// final is the refusal that the caller gets: NotRun of the last attempt is not
// NotRun of the request. An earlier attempt of a call that may repeat may have
// run; its end is told then. And where a claimant of the key was named but no
// outcome could be had of it, the request may have run there, or in a process that
// had its name before; the caller asks again with the same key.
func (at *attempts) final(re *core.Refusal) *core.Refusal {
	switch {
	case re.Outcome != core.NotRun:
		return re
	case at.mayHaveRun != nil:
		return at.mayHaveRun
	case !at.claimantNamed:
		return re
	}
	lost := *re
	lost.Outcome = core.Unknown
	lost.Reason = core.ReasonClaimLost
	lost.Detail = "the process that claimed the key did not tell its outcome: " + re.Detail
	return &lost
}

// backOff backs off before a retry of work that may have run.
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

// attemptSink passes one attempt's parts on. It drops those of another attempt: a
// reply that was delayed or crossed on its way must not reach this caller.
type attemptSink struct {
	sink      core.Sink
	vm        core.VMID
	attempt   core.AttemptID
	dropped   func()
	forwarded bool
	ended     bool
}

// Send passes a part on.
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
	return nil
}
