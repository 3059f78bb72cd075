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
	// sweepInterval is the pace at which the holder looks at engines: those with an
	// order in progress or not seen yet, and idleMost others, at most sweepMost.
	sweepInterval    = time.Second
	maxInspected     = 16
	maxIdleInspected = 4
	// acquireInterval is the whole fleet's pace of looking whether the lease is free.
	acquireInterval = 500 * time.Millisecond
	// issueTimeout bounds handing an order over, in which the agent reads the KV.
	issueTimeout = 3 * time.Second
	// An order that failed is given again after firstAgain, doubled up to lastAgain.
	minEngineRetryDelay = 2 * time.Second
	maxEngineRetryDelay = time.Minute

	inspectSize core.Bytes = 24
	orderSize   core.Bytes = 96
)

// Controller gives orders while its process holds the lease. Set the exported
// fields before Run.
type Controller struct {
	Lease *Lease
	Board *board.Board
	Peers core.Peers
	Clock core.Clock
	Rand  core.Rand
	// Sending, if set, is asked before a control message is sent.
	AllowSend func(size core.Bytes) bool
	// Issued, if set, is told of each order that an agent took, Refused of each
	// that it did not, Held of the number under which this process gives orders.
	Issued        func(gi Assignment)
	Refused       func(gi Assignment, re *core.Refusal)
	LeaseAcquired func(fence core.Fence)
	// GivenUp, if set, is told of an order that has failed on several engines and on none
	// gone well: no further engine of the pool gets it for now.
	RolloutPaused func(po core.PoolID, or core.Order, failures int)

	// Owned by the goroutine of sweeps.
	fence  core.Fence
	window LoadWindow
	agents map[core.VMID]*agentState
	// rollouts are what is known of the orders of this holder; those of a later one begin anew.
	rollouts map[orderSpec]*rollout
}

// agentState is what an agent last told.
type agentState struct {
	incarnation core.Incarnation
	inspectedAt time.Time
	states      []core.EndpointState
	backoffs    map[core.EndpointID]*backoff
	// issued are the orders in progress.
	issued map[core.EndpointID]core.Order
}

// backoff delays an order that failed.
type backoff struct {
	failures int
	until    time.Time
}

// Run competes for the lease and gives orders until ctx ends.
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

// maintainLease renews the lease, or looks now and then whether it is free. It has its own
// goroutine, so that a sweep that takes long does not let the lease lapse.
func (co *Controller) maintainLease(ctx context.Context) {
	delay := time.Duration(float64(co.acquireDelay()) * co.Rand.Float64())
	for co.Clock.Sleep(ctx, delay) == nil {
		delay = co.acquireDelay()
		if len(ManagedPools(co.Board.Snapshot().Config)) == 0 {
			continue
		}
		// What went wrong shows in that no orders are given; the next try is near.
		_ = co.Lease.RenewOrAcquire(ctx)
		if _, held := co.Lease.Fence(); held {
			delay = co.Lease.TTL / marginDivisor
		}
	}
}

// acquireDelay keeps the whole fleet's looks at the lease to one per tryEvery.
func (co *Controller) acquireDelay() time.Duration {
	routers := time.Duration(len(co.Board.Snapshot().Routers))
	return co.jitter(max(co.Lease.TTL/2, routers*acquireInterval))
}

// ManagedPools lists the pools whose engines are given orders.
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

// sweep looks at some engines and gives the next orders.
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
	loads := co.window.Size() - co.loadsInProgress()
	for _, po := range pools {
		assignments := Next(po, co.views(sn, po), loads, func(or *core.Order, open int) bool {
			return co.rollouts[specOf(po.Name, or)].allows(co.Clock.Now(), open)
		})
		loads -= co.issue(ctx, assignments)
	}
}

// inspectAgents asks the agents that matter most: those with an order in progress, then
// those not seen yet, then those not seen for longest.
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

// shuffled lists the agents in random order, so that some that never answer do
// not keep the others from their turn.
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

// inspectedAt orders the agents for look; the zero time is first. One whose process has
// started anew is as good as not seen.
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

// recordStates takes in what an agent told; nil if it did not answer.
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

// recordOrderEnd learns from an order that was in progress and no longer is.
func (co *Controller) recordOrderEnd(st *agentState, now *core.EndpointState) {
	ix := slices.IndexFunc(st.states, func(es core.EndpointState) bool { return es.Endpoint == now.Endpoint })
	if ix < 0 || st.states[ix].Phase != core.PhaseOrdered || now.Phase == core.PhaseOrdered {
		return
	}
	or, known := st.issued[now.Endpoint]
	delete(st.issued, now.Endpoint)
	if now.Problem == nil && now.Phase != core.PhaseUnreachable {
		co.window.Succeeded()
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

// engineFailed tells whether the engine itself did not bear the order, and not that it was not
// handed over, or that there were no weights.
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

// loadsInProgress counts the orders in progress anywhere.
func (co *Controller) loadsInProgress() int {
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

// views is the pool as the planner sees it. A member that has not been seen
// stands there as one unknown endpoint.
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

// issue hands orders over, and returns how many loads it has begun.
func (co *Controller) issue(ctx context.Context, assignments []Assignment) int {
	// What the budget holds back is planned again in the next sweep.
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

// issueOne stamps an order and hands it over, if the lease still allows it.
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

// recordIssue notes how handing over ended. An order whose fate is unknown counts as
// in progress until the agent tells otherwise.
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
