// Package agent is the process beside the endpoints of one VM: every call for
// them passes through it, and the promises are kept here.
//
// # Concepts
//
// Serve takes one call through the checks in a fixed order: is the agent
// leaving; is the chat's context elsewhere; has the idempotency key been seen;
// does the gate admit it; is the key claimed; only then the endpoint runs it.
//
// # Invariants
//
//   - A refusal with outcome NotRun is only returned before Endpoint.Do.
//   - A call is counted as in progress from the same moment on at which leaving
//     would have refused it, so Drain waits for each call that was let in.
//   - What is kept of chats and keys is bounded.
//
// # Usage
//
//	ag := &agent.Agent{Clock: clock, Rand: rand, Board: bo, Self: vm, Slots: slots}
//	ag.Init()
//	go ag.Run(ctx)
//	report, err := ag.Serve(ctx, call, sink)
package agent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"almondrill/core"
	"almondrill/core/admit"
	"almondrill/core/board"
	"almondrill/core/ctxdir"
	"almondrill/core/decl"
	"almondrill/core/loads"
	"almondrill/core/ring"
)

// Slot is one endpoint beside the agent.
type Slot struct {
	ID       core.EndpointID
	Pool     core.PoolID
	Endpoint core.Endpoint

	gate  *admit.Gate
	calls callTracker
	crash crashRecord
}

// Gate is the admission before the endpoint.
func (sl *Slot) Gate() *admit.Gate { return sl.gate }

// Keys decides whether a call with an idempotency key may run. See core/claim.
type Keys interface {
	// Begin returns a Run if the call may run, else either the replay of the
	// outcome, already sent to si, with a nil error, or a refusal.
	Begin(ctx context.Context, ca *core.Call, si core.Sink) (Execution, error)
	// Seen tells whether a call with the key has run or is running here.
	Seen(ca *core.Call) bool
}

// Execution is the permission to run a call with a key once.
type Execution interface {
	// Claim makes the claim; the endpoint must not be called before it is nil.
	Claim(ctx context.Context) *core.Refusal
	// Sink records what the endpoint answers on its way to the caller.
	Sink() core.Sink
	// End settles the key with the call's outcome.
	End(re *core.Refusal)
}

// Agent serves calls. Set the exported fields before Init.
type Agent struct {
	Clock       core.Clock
	Rand        core.Rand
	Board       *board.Board
	Self        core.VMID
	Incarnation core.Incarnation
	Slots       []*Slot
	Book        *ctxdir.Directory
	Keys        Keys
	Peers       core.Peers
	// Heard, if set, is told of a peer's revision.
	RevisionSeen func(from core.VMID, rev core.Revision)
	// Sending, if set, is asked before control messages are sent.
	AllowSend func(size core.Bytes) bool

	tables    map[core.PoolID]*loads.Table
	outbox    outbox
	calls     callTracker
	importing atomic.Int64 // contexts being taken in

	mu       sync.Mutex // guards revision
	revision core.Revision
}

// Init makes the agent ready for Serve.
func (ag *Agent) Init() {
	ag.tables = map[core.PoolID]*loads.Table{}
	for _, sl := range ag.Slots {
		ta := ag.tables[sl.Pool]
		if ta == nil {
			ta = &loads.Table{Clock: ag.Clock, Pool: sl.Pool, Self: ag.Self}
			ag.tables[sl.Pool] = ta
		}
		sl.gate = &admit.Gate{Clock: ag.Clock, Rand: ag.Rand, Loads: ta, VM: ag.Self}
		sl.gate.SetLimits(defaultLimits())
	}
}

func defaultLimits() decl.Limits {
	return decl.Limits{
		LoadFactor: decl.DefaultLoadFactor, FloorWork: decl.DefaultFloorWork,
		Slots: decl.DefaultSlots, QueueCalls: decl.DefaultQueueCalls, Headroom: decl.DefaultHeadroom,
	}
}

// Adopt takes over a new snapshot; the board's control goroutine calls it.
func (ag *Agent) Adopt(sn *board.Snapshot) {
	for id, ta := range ag.tables {
		if po := sn.Pools[id]; po != nil && ta.SetPeers(po.VMs()) {
			go ag.notifyNewHomes(sn, id)
		}
	}
	if sn.Config == nil || !ag.advance(sn.Revision()) {
		return
	}
	for _, sl := range ag.Slots {
		if gr := sn.Config.Group(sl.Pool); gr != nil {
			sl.gate.SetLimits(gr.Limits)
		}
	}
}

func (ag *Agent) advance(rev core.Revision) bool {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	if rev <= ag.revision {
		return false
	}
	ag.revision = rev
	return true
}

// Serve runs one call. The error, if any, is a *core.Refusal.
func (ag *Agent) Serve(ctx context.Context, ca *core.Call, si core.Sink) (*core.Report, error) {
	known := ca.Key != "" && ag.Keys != nil && ag.Keys.Seen(ca)
	if !ag.calls.begin(known) {
		return ag.report(nil, core.Usage{}), ag.refuse(core.ReasonDraining, "enter", "the agent is leaving")
	}
	defer ag.calls.end()
	sn := ag.Board.Snapshot()
	if sn.Config == nil {
		return ag.report(nil, core.Usage{}), ag.refuse(core.ReasonNoConfig, "enter", "no configuration yet")
	}
	gr := sn.Config.Group(ca.Pool)
	key := ring.Key(ca.Customer, ca.Pool, ca.Chat)
	sl, he := ag.chooseSlot(ca.Pool, key)
	if sl == nil || gr == nil {
		return ag.report(nil, core.Usage{}), ag.refuse(core.ReasonWrongPool, "enter", "no endpoint of pool "+string(ca.Pool))
	}
	if !gr.Service && !known {
		if re := ag.redirect(sn, gr, sl, ca, key, he); re != nil {
			return ag.report(sl, core.Usage{}), re
		}
	}
	if !sl.calls.begin(known) {
		return ag.report(sl, core.Usage{}), ag.refuseReloading(sl)
	}
	defer sl.calls.end()
	us, err := ag.serveKeyed(ctx, sn, sl, ca, he, si)
	if err == nil && !gr.Service {
		ag.recordContext(sn, sl, ca, key, us)
	}
	return ag.report(sl, us), err
}

// serveKeyed runs the call under its idempotency key, where it has one.
func (ag *Agent) serveKeyed(ctx context.Context, sn *board.Snapshot, sl *Slot, ca *core.Call, he *ctxdir.CachedContext, si core.Sink) (core.Usage, error) {
	if ca.Key == "" || ag.Keys == nil {
		return ag.serveAdmitted(ctx, sn, sl, ca, he, si, nil)
	}
	ru, err := ag.Keys.Begin(ctx, ca, si)
	if err != nil || ru == nil {
		return core.Usage{}, err
	}
	us, err := ag.serveAdmitted(ctx, sn, sl, ca, he, ru.Sink(), ru)
	if err != nil {
		ru.End(core.AsRefusal(err, "endpoint", string(sl.ID)))
		return us, err
	}
	ru.End(nil)
	return us, nil
}

// serveAdmitted waits for a slot, makes the claim and calls the endpoint.
func (ag *Agent) serveAdmitted(ctx context.Context, sn *board.Snapshot, sl *Slot, ca *core.Call, he *ctxdir.CachedContext, si core.Sink, ru Execution) (core.Usage, error) {
	ti := &admit.Ticket{
		Customer: ca.Customer,
		Weight:   sn.Config.Share(ca.Customer, ca.Pool),
		Priority: min(ca.Priority, core.PriorityCount-1),
		Work:     workOf(ca, he),
	}
	if gr := sn.Config.Group(ca.Pool); he != nil && gr != nil {
		// Waiting for the context may take as long as making it anew elsewhere.
		saved := min(ca.Prompt, he.Tokens)
		ti.WaitLimit = time.Duration(gr.ReuseBias * float64(sl.gate.EstimatePrefill(core.WorkOf(saved, 0))))
	}
	if re := ag.awaitSlot(ctx, sl, ti); re != nil {
		return core.Usage{}, re
	}
	defer sl.gate.Release(ti)
	if ru != nil {
		if re := ru.Claim(ctx); re != nil {
			return core.Usage{}, re
		}
	}
	ctx, cancel := ag.callContext(ctx, ca)
	defer cancel()
	started := ag.Clock.Now()
	us, err := sl.Endpoint.Do(ctx, ca, &progress{sink: si, gate: sl.gate, ticket: ti})
	if err != nil {
		re := core.AsRefusal(err, "endpoint", string(sl.ID))
		ag.detectCrash(ctx, sl, started, re)
		return us, re
	}
	return us, nil
}

// callContext lets a call with a key run to its end though its caller leaves: the
// caller cannot know whether it ran and will ask again with the same key, and
// only a run that was not broken off has an answer for it.
func (ag *Agent) callContext(ctx context.Context, ca *core.Call) (context.Context, context.CancelFunc) {
	if ca.Key == "" {
		return context.WithCancel(ctx)
	}
	detached := context.WithoutCancel(ctx)
	if ca.Deadline.IsZero() {
		return context.WithCancel(detached)
	}
	return context.WithDeadline(detached, ca.Deadline)
}

func workOf(ca *core.Call, he *ctxdir.CachedContext) core.Work {
	uncached := ca.Prompt
	if he != nil {
		uncached = max(0, uncached-he.Tokens)
	}
	return core.WorkOf(uncached, ca.Output)
}

// awaitSlot takes the ticket through the gate.
func (ag *Agent) awaitSlot(ctx context.Context, sl *Slot, ti *admit.Ticket) *core.Refusal {
	run, re := sl.gate.Offer(ti)
	if run || re != nil {
		return re
	}
	limit, stop := ag.waitLimit(ctx, ti)
	defer stop()
	select {
	case re = <-ti.Ready():
		return re
	case <-limit:
		if sl.gate.WithdrawCapWait(ti) {
			return sl.gate.LoadCapRefusal(ti)
		}
		// It got under the cap and now waits for a slot.
		select {
		case re = <-ti.Ready():
			return re
		case <-ctx.Done():
		}
	case <-ctx.Done():
	}
	if !sl.gate.Withdraw(ti) {
		// It was given a slot, or pushed out, at the same moment.
		if re = <-ti.Ready(); re != nil {
			return re
		}
		sl.gate.Release(ti)
	}
	if context.Cause(ctx) == context.DeadlineExceeded {
		return ag.refuse(core.ReasonDeadline, "queue", "the deadline passed while waiting for a slot")
	}
	return ag.refuse(core.ReasonCallerGone, "queue", "the caller left while waiting for a slot")
}

// waitLimit closes the channel once the ticket's patience is over; a ticket that
// has none, and waits for a slot, waits until ctx ends.
func (ag *Agent) waitLimit(ctx context.Context, ti *admit.Ticket) (<-chan struct{}, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	limit := make(chan struct{})
	if ti.WaitLimit > 0 {
		go func() {
			if ag.Clock.Sleep(ctx, ti.WaitLimit) == nil {
				close(limit)
			}
		}()
	}
	return limit, cancel
}

func (ag *Agent) refuse(reason core.Reason, step, detail string) *core.Refusal {
	return &core.Refusal{
		Outcome: core.NotRun, Reason: reason, Step: step, Peer: string(ag.Self), Detail: detail,
		RetryAfter: time.Second,
	}
}

// refuseReloading refuses a call while the endpoint loads another model or version.
func (ag *Agent) refuseReloading(sl *Slot) *core.Refusal {
	re := ag.refuse(core.ReasonReloading, "enter", "the engine is loading another model or version")
	re.Alternatives = sl.gate.LessLoaded()
	return re
}

// report tells what the agent is like now.
func (ag *Agent) report(sl *Slot, us core.Usage) *core.Report {
	rep := &core.Report{
		VM: ag.Self, Incarnation: ag.Incarnation, Draining: ag.Draining(),
		Revision: ag.Board.Snapshot().Revision(), Cached: us.Cached, Tokens: us.Output,
	}
	if sl != nil {
		rep.Load = sl.gate.Load()
	}
	return rep
}

// progress shrinks the ticket's work as the answer's tokens pass.
type progress struct {
	sink   core.Sink
	gate   *admit.Gate
	ticket *admit.Ticket
	last   int64
}

// Send passes a part on.
func (pr *progress) Send(pa *core.Part) error {
	if done := pa.Position - pr.last; done > 0 {
		pr.last = pa.Position
		pr.gate.Progress(pr.ticket, core.Work(done))
	}
	return pr.sink.Send(pa)
}
