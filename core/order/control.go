package order

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"almondrill/core"
	"almondrill/core/board"
	"almondrill/core/decl"
)

const (
	// sweepInterval is the time between sweeps. A sweep inspects the agents that have an order in
	// progress or were not inspected yet, and maxIdleInspected others, at most maxInspected in all.
	sweepInterval    = time.Second
	maxInspected     = 16
	maxIdleInspected = 4
	// acquireInterval is the shortest mean time between the whole fleet's attempts to acquire the lease.
	acquireInterval = 500 * time.Millisecond
	// issueTimeout bounds sending an order to an agent, which reads the KV before it answers.
	issueTimeout = 3 * time.Second
	// An engine whose order failed gets no other for minEngineRetryDelay, which doubles with every
	// further failure up to maxEngineRetryDelay.
	minEngineRetryDelay = 2 * time.Second
	maxEngineRetryDelay = time.Minute

	inspectSize core.Bytes = 24
	orderSize   core.Bytes = 96
)

// Controller issues orders while its process holds the lease. Set the exported
// fields before Run.
type Controller struct {
	Lease *Lease
	Board *board.Board
	Peers core.Peers
	Clock core.Clock
	Rand  core.Rand
	// AllowSend, if set, decides whether a control message of that size may be sent now.
	AllowSend func(size core.Bytes) bool
	// Issued, if set, is called for each order that an agent accepted, Refused for each whose
	// delivery returned an error, and LeaseAcquired with the fencing number under which this process
	// begins to issue orders.
	Issued        func(as Assignment)
	Refused       func(as Assignment, re *core.Refusal)
	LeaseAcquired func(fence core.Fence)
	// RolloutPaused, if set, is called when an order has failed on several engines and succeeded
	// on none: for now, no further engine of the pool gets it.
	RolloutPaused func(po core.PoolID, or core.Order, failures int)

	// Owned by the goroutine that sweeps.
	fence  core.Fence
	window LoadWindow
	agents map[core.VMID]*agentState
	// rollouts holds the results of the orders issued under the present lease; each new holder
	// starts with none.
	rollouts map[orderSpec]*rollout
}

// agentState is an agent's last report and what this holder has issued to it.
type agentState struct {
	incarnation core.Incarnation
	inspectedAt time.Time
	states      []core.EndpointState
	backoffs    map[core.EndpointID]*backoff
	// issued holds the orders in progress.
	issued map[core.EndpointID]core.Order
}

// backoff delays the next order to an engine whose last ones failed.
type backoff struct {
	failures int
	until    time.Time
}

// Run competes for the lease and issues orders until ctx ends.
func (co *Controller) Run(ctx context.Context) error {
	go co.maintainLease(ctx)
	for co.Clock.Sleep(ctx, co.jitter(sweepInterval)) == nil {
		co.sweep(ctx)
	}
	return nil
}

func (co *Controller) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + co.Rand.Float64()/2))
}

// maintainLease renews the lease while it is held and tries to acquire it otherwise. It has its
// own goroutine, so that the lease does not expire during a slow sweep.
func (co *Controller) maintainLease(ctx context.Context) {
	delay := time.Duration(float64(co.acquireDelay()) * co.Rand.Float64())
	for co.Clock.Sleep(ctx, delay) == nil {
		delay = co.acquireDelay()
		if len(ManagedPools(co.Board.Snapshot().Config)) == 0 {
			continue
		}
		// The error is dropped: the next attempt follows soon, and until one succeeds no orders are
		// issued.
		_ = co.Lease.RenewOrAcquire(ctx)
		if _, held := co.Lease.Fence(); held {
			delay = co.Lease.TTL / marginDivisor
		}
	}
}

// acquireDelay limits the attempts of the whole fleet to acquire the lease to about one per
// acquireInterval.
func (co *Controller) acquireDelay() time.Duration {
	routers := time.Duration(len(co.Board.Snapshot().Routers))
	return co.jitter(max(co.Lease.TTL/2, routers*acquireInterval))
}

// ManagedPools lists the pools whose engines are given orders: those that declare a version.
func ManagedPools(cfg *decl.Config) []*decl.Pool {
	if cfg == nil {
		return nil
	}
	var pools []*decl.Pool
	for ix := range cfg.Document.Pools {
		if po := &cfg.Document.Pools[ix]; po.Version != "" {
			pools = append(pools, po)
		}
	}
	return pools
}

// sweep inspects some agents and issues the next orders.
func (co *Controller) sweep(ctx context.Context) {
	fence, held := co.Lease.Fence()
	if !held {
		co.fence, co.agents, co.rollouts = 0, nil, nil
		return
	}
	if fence != co.fence {
		co.fence, co.agents, co.rollouts = fence, map[core.VMID]*agentState{}, map[orderSpec]*rollout{}
		if co.LeaseAcquired != nil {
			co.LeaseAcquired(fence)
		}
	}
	sn := co.Board.Snapshot()
	pools := ManagedPools(sn.Config)
	co.inspectAgents(ctx, sn, pools)
	loads := co.window.Size() - co.ordersInProgress()
	for _, po := range pools {
		assignments := Next(po, co.views(sn, po), loads, func(or *core.Order, open int) bool {
			return co.rollouts[specOf(po.Name, or)].allows(co.Clock.Now(), open)
		})
		loads -= co.issue(ctx, assignments)
	}
}

// inspectAgents inspects the most urgent agents: first those with an order in progress or not yet
// inspected, then those whose last inspection is the oldest.
func (co *Controller) inspectAgents(ctx context.Context, sn *board.Snapshot, pools []*decl.Pool) {
	inspected := map[core.VMID]time.Time{}
	for _, po := range pools {
		for _, me := range members(sn, po) {
			inspected[me.VM] = co.inspectedAt(&me)
		}
	}
	maps.DeleteFunc(co.agents, func(vm core.VMID, _ *agentState) bool {
		_, member := inspected[vm]
		return !member
	})
	queue := co.shuffled(inspected)
	slices.SortStableFunc(queue, func(one, two core.VMID) int { return inspected[one].Compare(inspected[two]) })
	urgent := 0
	for urgent < len(queue) && inspected[queue[urgent]].IsZero() {
		urgent++
	}
	limit := min(maxInspected, urgent+maxIdleInspected)
	var inspecting sync.WaitGroup
	results := make([][]core.EndpointState, min(limit, len(queue)))
	for ix := range results {
		if co.AllowSend != nil && !co.AllowSend(inspectSize) {
			break
		}
		inspecting.Go(func() { results[ix] = co.inspectAgent(ctx, queue[ix]) })
	}
	inspecting.Wait()
	for ix, states := range results {
		co.recordStates(sn, queue[ix], states)
	}
}

// shuffled lists the agents in random order, so that agents that never answer do not starve the
// others.
func (co *Controller) shuffled(inspected map[core.VMID]time.Time) []core.VMID {
	vms := slices.Sorted(maps.Keys(inspected))
	for ix := len(vms) - 1; ix > 0; ix-- {
		other := co.Rand.Uint64() % uint64(ix+1)
		vms[ix], vms[other] = vms[other], vms[ix]
	}
	return vms
}

func members(sn *board.Snapshot, po *decl.Pool) []board.Member {
	if found := sn.Pools[po.Name]; found != nil {
		return found.Members
	}
	return nil
}

// inspectedAt is the time of the member's last inspection, by which inspectAgents sorts. It is zero,
// which sorts first, if the agent has an order in progress, was not inspected yet or has restarted
// since.
func (co *Controller) inspectedAt(me *board.Member) time.Time {
	st := co.agents[me.VM]
	if st == nil || (me.Incarnation != 0 && st.incarnation != me.Incarnation) {
		return time.Time{}
	}
	for ix := range st.states {
		if st.states[ix].Phase == core.PhaseOrdered {
			return time.Time{}
		}
	}
	return st.inspectedAt
}

func (co *Controller) inspectAgent(ctx context.Context, vm core.VMID) []core.EndpointState {
	states, err := co.Peers.Inspect(ctx, vm)
	if err != nil {
		return nil
	}
	return states
}

// recordStates records an agent's report; states is nil if it did not answer.
func (co *Controller) recordStates(sn *board.Snapshot, vm core.VMID, states []core.EndpointState) {
	if states == nil {
		return
	}
	st := co.agents[vm]
	if st == nil {
		st = &agentState{backoffs: map[core.EndpointID]*backoff{}, issued: map[core.EndpointID]core.Order{}}
		co.agents[vm] = st
	}
	for ix := range states {
		co.recordOrderEnd(st, &states[ix])
	}
	st.inspectedAt, st.states, st.incarnation = co.Clock.Now(), states, 0
	for _, es := range states {
		if po := sn.Pools[es.Pool]; po != nil && po.Index(vm) >= 0 {
			st.incarnation = po.Members[po.Index(vm)].Incarnation
		}
	}
}

// recordOrderEnd records the result of an order that was in progress at the last inspection and no
// longer is.
func (co *Controller) recordOrderEnd(st *agentState, now *core.EndpointState) {
	ix := slices.IndexFunc(st.states, func(es core.EndpointState) bool { return es.Endpoint == now.Endpoint })
	if ix < 0 || st.states[ix].Phase != core.PhaseOrdered || now.Phase == core.PhaseOrdered {
		return
	}
	or, known := st.issued[now.Endpoint]
	delete(st.issued, now.Endpoint)
	if now.Problem == nil && now.Phase != core.PhaseUnreachable {
		co.window.OrderSucceeded()
		delete(st.backoffs, now.Endpoint)
		if known && now.Engine.Satisfies(&or) {
			co.rolloutOf(now.Pool, &or).proven = true
		}
		return
	}
	if now.Problem != nil && now.Problem.Reason == core.ReasonWeightsBusy {
		co.window.Rejected()
	}
	co.backOff(st, now.Endpoint)
	if known && engineFailed(now) {
		co.recordRolloutFailure(now.Pool, or)
	}
}

// engineFailed reports whether the order failed at the engine itself, rather than because it never
// reached the engine or because the weight store was busy.
func engineFailed(es *core.EndpointState) bool {
	if es.Phase == core.PhaseUnreachable {
		return true
	}
	return es.Problem.Outcome != core.NotRun && es.Problem.Reason != core.ReasonWeightsBusy
}

func (co *Controller) rolloutOf(po core.PoolID, or *core.Order) *rollout {
	key := specOf(po, or)
	ro := co.rollouts[key]
	if ro == nil {
		ro = &rollout{}
		co.rollouts[key] = ro
	}
	return ro
}

func (co *Controller) recordRolloutFailure(po core.PoolID, or core.Order) {
	ro := co.rolloutOf(po, &or)
	if ro.recordFailure(co.Clock.Now()) && co.RolloutPaused != nil {
		co.RolloutPaused(po, or, ro.failures)
	}
}

func (co *Controller) backOff(st *agentState, id core.EndpointID) {
	bo := st.backoffs[id]
	if bo == nil {
		bo = &backoff{}
		st.backoffs[id] = bo
	}
	delay := min(maxEngineRetryDelay, minEngineRetryDelay<<min(bo.failures, 10))
	bo.failures++
	bo.until = co.Clock.Now().Add(co.jitter(delay))
}

// ordersInProgress counts the orders in progress on all engines.
func (co *Controller) ordersInProgress() int {
	count := 0
	for _, st := range co.agents {
		for ix := range st.states {
			if st.states[ix].Phase == core.PhaseOrdered {
				count++
			}
		}
	}
	return count
}

// views lists the pool's endpoints for Next. An agent that has not been inspected since its last
// start counts as one unknown endpoint.
func (co *Controller) views(sn *board.Snapshot, po *decl.Pool) []View {
	var views []View
	for _, me := range members(sn, po) {
		st := co.agents[me.VM]
		if st == nil || (me.Incarnation != 0 && st.incarnation != me.Incarnation) {
			views = append(views, View{VM: me.VM})
			continue
		}
		for _, es := range st.states {
			if es.Pool == po.Name {
				bo := st.backoffs[es.Endpoint]
				views = append(views, View{
					VM: me.VM, EndpointState: es, Known: true, Usable: !me.Suspect,
					BackingOff: bo != nil && co.Clock.Now().Before(bo.until),
				})
			}
		}
	}
	return views
}

// issue sends orders to their agents and returns how many loads it has started.
func (co *Controller) issue(ctx context.Context, assignments []Assignment) int {
	// Orders that exceed the send budget are planned again in the next sweep.
	for ix := range assignments {
		if co.AllowSend != nil && !co.AllowSend(orderSize) {
			assignments = assignments[:ix]
			break
		}
	}
	var issuing sync.WaitGroup
	refusals := make([]*core.Refusal, len(assignments))
	for ix := range assignments {
		issuing.Go(func() { refusals[ix] = co.issueOne(ctx, &assignments[ix]) })
	}
	issuing.Wait()
	loads := 0
	for ix := range assignments {
		if co.recordIssue(assignments[ix], refusals[ix]) && loadsWeights(assignments[ix].Kind) {
			loads++
		}
	}
	return loads
}

// issueOne stamps an order with the fencing number and sends it, if the lease is still held.
func (co *Controller) issueOne(ctx context.Context, as *Assignment) *core.Refusal {
	fence, held := co.Lease.Fence()
	if !held || fence != co.fence {
		return &core.Refusal{Outcome: core.NotRun, Reason: core.ReasonOldFence, Step: "give", Peer: string(as.VM), Detail: "the lease has lapsed"}
	}
	as.Fence = fence
	ctx, cancel := context.WithTimeout(ctx, issueTimeout)
	defer cancel()
	if err := co.Peers.Order(ctx, as.VM, &as.Order); err != nil {
		return core.AsRefusal(err, "give", string(as.VM))
	}
	return nil
}

// recordIssue records the result of sending an order and reports whether it may have started. An
// order with an unknown result counts as in progress until an inspection shows otherwise.
func (co *Controller) recordIssue(as Assignment, re *core.Refusal) bool {
	st := co.agents[as.VM]
	if st == nil {
		return false
	}
	if re != nil && co.Refused != nil {
		co.Refused(as, re)
	}
	if re != nil && re.Outcome == core.NotRun {
		co.backOff(st, as.Endpoint)
		return false
	}
	if re == nil && co.Issued != nil {
		co.Issued(as)
	}
	st.issued[as.Endpoint] = as.Order
	for ix := range st.states {
		if st.states[ix].Endpoint == as.Endpoint {
			st.states[ix].Phase = core.PhaseOrdered
		}
	}
	return true
}
