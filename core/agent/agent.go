// Package agent implements the process that runs on a VM next to its endpoints. Every call to
// these endpoints passes through it. It enforces the load cap, runs a call with an idempotency key at
// most once, and drains without interrupting calls.
//
// # Concepts
//
// Serve runs a call through checks in a fixed order. Is the agent draining? Does another agent
// have the chat's context? Is the idempotency key known? Does the gate admit the call? Is the key
// claimed? Only then does the endpoint run the call.
//
// The home of a chat is the agent that rendezvous hashing prefers for it, see pick.Home. It keeps a
// pointer to the agent whose engine has the chat's context in its cache, if that is another one.
//
// # Invariants
//
//   - A refusal with outcome NotRun is returned only before Endpoint.Do.
//   - Admitting a call and counting it as in progress is one atomic step, so Drain waits for every
//     admitted call.
//   - The memory used for chats and keys is bounded.
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

// Slot is one of the agent's endpoints.
type Slot struct {
	ID       core.EndpointID
	Pool     core.PoolID
	Endpoint core.Endpoint

	gate  *admit.Gate
	calls callTracker
	crash crashRecord
}

// Gate returns the admission control in front of the endpoint.
func (sl *Slot) Gate() *admit.Gate { return sl.gate }

// Keys decides whether a call with an idempotency key may run. It is implemented by core/claim.
type Keys interface {
	// Begin returns an Execution if the call may run. If the call has already run, it replays the
	// recorded response to si and returns nil and a nil error. Otherwise it returns a refusal.
	Begin(ctx context.Context, ca *core.Call, si core.Sink) (Execution, error)
	// Seen reports whether a call with the same key has run or is running on this agent.
	Seen(ca *core.Call) bool
}

// Execution is the permission to run a call with an idempotency key once.
type Execution interface {
	// Claim claims the key. The endpoint must not be called unless it returns nil.
	Claim(ctx context.Context) *core.Refusal
	// Sink returns a sink that records the response and forwards it to the caller.
	Sink() core.Sink
	// End records the outcome of the call; re is nil if the call succeeded.
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
	// Book is the directory of cached contexts.
	Book  *ctxdir.Directory
	Keys  Keys
	Peers core.Peers
	// RevisionSeen, if set, is called with the configuration revision in a peer's digest.
	RevisionSeen func(from core.VMID, rev core.Revision)
	// AllowSend, if set, reports whether a control message of the given size may be sent now.
	AllowSend func(size core.Bytes) bool

	tables map[core.PoolID]*loads.Table
	// rounds are the peers of each pool that are still to be met in the current round. Only Run uses it.
	rounds    map[core.PoolID][]core.VMID
	outbox    outbox
	calls     callTracker
	importing atomic.Int64 // number of contexts being imported

	mu       sync.Mutex // guards revision
	revision core.Revision
}

// Init prepares the agent for Serve.
func (ag *Agent) Init() {
	ag.tables, ag.rounds = map[core.PoolID]*loads.Table{}, map[core.PoolID][]core.VMID{}
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

// Adopt applies a new snapshot. The board's control goroutine calls it.
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

// Serve runs a call. An error that it returns is a *core.Refusal.
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
		if re := ag.checkRedirect(sn, gr, sl, ca, key, he); re != nil {
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

// serveKeyed runs the call under its idempotency key, if it has one.
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

// serveAdmitted waits for a slot, claims the key and calls the endpoint.
func (ag *Agent) serveAdmitted(ctx context.Context, sn *board.Snapshot, sl *Slot, ca *core.Call, he *ctxdir.CachedContext, si core.Sink, ru Execution) (core.Usage, error) {
	ti := &admit.Ticket{
		Customer: ca.Customer,
		Weight:   sn.Config.Share(ca.Customer, ca.Pool),
		Priority: min(ca.Priority, core.PriorityCount-1),
		Work:     workOf(ca, he),
	}
	if gr := sn.Config.Group(ca.Pool); he != nil && gr != nil {
		// The call may wait for its cached context for as long as a prefill elsewhere would take,
		// scaled by ReuseBias.
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

// callContext returns the context in which the endpoint runs the call. A call with an idempotency
// key continues when its caller disconnects: the caller cannot know whether the call ran and will
// retry with the same key, and only a completed execution has a response to replay.
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

// awaitSlot waits until the gate grants the ticket a slot or refuses it.
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
		// The ticket now fits under the load cap and is queued for a slot.
		select {
		case re = <-ti.Ready():
			return re
		case <-ctx.Done():
		}
	case <-ctx.Done():
	}
	if !sl.gate.Withdraw(ti) {
		// The ticket was granted a slot, or displaced from the queue, at the same moment.
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

// waitLimit returns a channel that is closed when the ticket's WaitLimit has passed. For a ticket
// without a limit, which waits for a slot until ctx ends, the channel is never closed.
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

// refuseReloading returns the refusal for a call whose endpoint is paused while its engine loads
// another model or version.
func (ag *Agent) refuseReloading(sl *Slot) *core.Refusal {
	re := ag.refuse(core.ReasonReloading, "enter", "the engine is loading another model or version")
	re.Alternatives = sl.gate.LessLoaded()
	return re
}

// report returns the agent's current state and the usage of a call.
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

// progress is a sink that reduces the ticket's remaining work as response tokens pass.
type progress struct {
	sink   core.Sink
	gate   *admit.Gate
	ticket *admit.Ticket
	last   int64
}

// Send forwards a part.
func (pr *progress) Send(pa *core.Part) error {
	if done := pa.Position - pr.last; done > 0 {
		pr.last = pa.Position
		pr.gate.Progress(pr.ticket, core.Work(done))
	}
	return pr.sink.Send(pa)
}
