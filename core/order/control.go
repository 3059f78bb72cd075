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
	// sweepEvery is the pace at which the holder looks at engines: those with an
	// order in progress or not seen yet, and idleMost others, at most sweepMost.
	sweepEvery = time.Second
	sweepMost  = 16
	idleMost   = 4
	// tryEvery is the whole fleet's pace of looking whether the lease is free.
	tryEvery = 500 * time.Millisecond
	// giveWithin bounds handing an order over, in which the agent reads the KV.
	giveWithin = 3 * time.Second
	// An order that failed is given again after firstAgain, doubled up to lastAgain.
	firstAgain = 2 * time.Second
	lastAgain  = time.Minute

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
	Sending func(size core.Bytes) bool
	// Issued, if set, is told of each order that an agent took, Refused of each
	// that it did not, Held of the number under which this process gives orders.
	Issued  func(gi Given)
	Refused func(gi Given, re *core.Refusal)
	Held    func(fence core.Fence)
	// GivenUp, if set, is told of an order that has failed on several engines and on none
	// gone well: no further engine of the pool gets it for now.
	GivenUp func(po core.PoolID, or core.Order, failures int)

	// Owned by the goroutine of sweeps.
	fence core.Fence
	pace  Pace
	seen  map[core.VMID]*seen
	// proofs are what is known of the orders of this holder; those of a later one begin anew.
	proofs map[content]*proof
}

// seen is what an agent last told.
type seen struct {
	incarnation core.Incarnation
	at          time.Time
	states      []core.EndpointState
	again       map[core.EndpointID]*again
	// given are the orders in progress.
	given map[core.EndpointID]core.Order
}

// again delays an order that failed.
type again struct {
	failures int
	until    time.Time
}

// Run competes for the lease and gives orders until ctx ends.
func (co *Controller) Run(ctx context.Context) error {
	go co.keep(ctx)
	for co.Clock.Sleep(ctx, co.jitter(sweepEvery)) == nil {
		co.sweep(ctx)
	}
	return nil
}

func (co *Controller) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + co.Rand.Float64()/2))
}

// keep renews the lease, or looks now and then whether it is free. It has its own
// goroutine, so that a sweep that takes long does not let the lease lapse.
func (co *Controller) keep(ctx context.Context) {
	pause := time.Duration(float64(co.tryPause()) * co.Rand.Float64())
	for co.Clock.Sleep(ctx, pause) == nil {
		pause = co.tryPause()
		if len(Managed(co.Board.Snapshot().Config)) == 0 {
			continue
		}
		// What went wrong shows in that no orders are given; the next try is near.
		_ = co.Lease.Keep(ctx)
		if _, held := co.Lease.Fence(); held {
			pause = co.Lease.TTL / margin
		}
	}
}

// tryPause keeps the whole fleet's looks at the lease to one per tryEvery.
func (co *Controller) tryPause() time.Duration {
	routers := time.Duration(len(co.Board.Snapshot().Routers))
	return co.jitter(max(co.Lease.TTL/2, routers*tryEvery))
}

// Managed lists the pools whose engines are given orders.
func Managed(cfg *decl.Config) []*decl.Pool {
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
		co.fence, co.seen, co.proofs = 0, nil, nil
		return
	}
	if fence != co.fence {
		co.fence, co.seen, co.proofs = fence, map[core.VMID]*seen{}, map[content]*proof{}
		if co.Held != nil {
			co.Held(fence)
		}
	}
	sn := co.Board.Snapshot()
	pools := Managed(sn.Config)
	co.look(ctx, sn, pools)
	loads := co.pace.Window() - co.loading()
	for _, po := range pools {
		given := Next(po, co.views(sn, po), loads, func(or *core.Order, open int) bool {
			return co.proofs[contentOf(po.Name, or)].allows(co.Clock.Now(), open)
		})
		loads -= co.give(ctx, given)
	}
}

// look asks the agents that matter most: those with an order in progress, then
// those not seen yet, then those not seen for longest.
func (co *Controller) look(ctx context.Context, sn *board.Snapshot, pools []*decl.Pool) {
	at := map[core.VMID]time.Time{}
	for _, po := range pools {
		for _, me := range members(sn, po) {
			at[me.VM] = co.due(&me)
		}
	}
	maps.DeleteFunc(co.seen, func(vm core.VMID, _ *seen) bool {
		_, member := at[vm]
		return !member
	})
	order := co.shuffled(at)
	slices.SortStableFunc(order, func(one, two core.VMID) int { return at[one].Compare(at[two]) })
	urgent := 0
	for urgent < len(order) && at[order[urgent]].IsZero() {
		urgent++
	}
	most := min(sweepMost, urgent+idleMost)
	var asking sync.WaitGroup
	found := make([][]core.EndpointState, min(most, len(order)))
	for ix := range found {
		if co.Sending != nil && !co.Sending(inspectSize) {
			break
		}
		asking.Go(func() { found[ix] = co.ask(ctx, order[ix]) })
	}
	asking.Wait()
	for ix, states := range found {
		co.note(sn, order[ix], states)
	}
}

// shuffled lists the agents in random order, so that some that never answer do
// not keep the others from their turn.
func (co *Controller) shuffled(at map[core.VMID]time.Time) []core.VMID {
	vms := slices.Sorted(maps.Keys(at))
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

// due orders the agents for look; the zero time is first. One whose process has
// started anew is as good as not seen.
func (co *Controller) due(me *board.Member) time.Time {
	se := co.seen[me.VM]
	if se == nil || (me.Incarnation != 0 && se.incarnation != me.Incarnation) {
		return time.Time{}
	}
	for ix := range se.states {
		if se.states[ix].Phase == core.PhaseOrdered {
			return time.Time{}
		}
	}
	return se.at
}

func (co *Controller) ask(ctx context.Context, vm core.VMID) []core.EndpointState {
	states, err := co.Peers.Inspect(ctx, vm)
	if err != nil {
		return nil
	}
	return states
}

// note takes in what an agent told; nil if it did not answer.
func (co *Controller) note(sn *board.Snapshot, vm core.VMID, states []core.EndpointState) {
	if states == nil {
		return
	}
	se := co.seen[vm]
	if se == nil {
		se = &seen{again: map[core.EndpointID]*again{}, given: map[core.EndpointID]core.Order{}}
		co.seen[vm] = se
	}
	for ix := range states {
		co.ended(se, &states[ix])
	}
	se.at, se.states, se.incarnation = co.Clock.Now(), states, 0
	for _, es := range states {
		if po := sn.Pools[es.Pool]; po != nil && po.Index(vm) >= 0 {
			se.incarnation = po.Members[po.Index(vm)].Incarnation
		}
	}
}

// ended learns from an order that was in progress and no longer is.
func (co *Controller) ended(se *seen, now *core.EndpointState) {
	ix := slices.IndexFunc(se.states, func(es core.EndpointState) bool { return es.Endpoint == now.Endpoint })
	if ix < 0 || se.states[ix].Phase != core.PhaseOrdered || now.Phase == core.PhaseOrdered {
		return
	}
	or, known := se.given[now.Endpoint]
	delete(se.given, now.Endpoint)
	if now.Problem == nil && now.Phase != core.PhaseUnreachable {
		co.pace.Well()
		delete(se.again, now.Endpoint)
		if known && now.Engine.Satisfies(&or) {
			co.proofOf(now.Pool, &or).proved = true
		}
		return
	}
	if now.Problem != nil && now.Problem.Reason == core.ReasonWeightsBusy {
		co.pace.Refused()
	}
	co.postpone(se, now.Endpoint)
	if known && engineFailed(now) {
		co.failed(now.Pool, or)
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

func (co *Controller) proofOf(po core.PoolID, or *core.Order) *proof {
	key := contentOf(po, or)
	pr := co.proofs[key]
	if pr == nil {
		pr = &proof{}
		co.proofs[key] = pr
	}
	return pr
}

func (co *Controller) failed(po core.PoolID, or core.Order) {
	pr := co.proofOf(po, &or)
	if pr.fail(co.Clock.Now()) && co.GivenUp != nil {
		co.GivenUp(po, or, pr.failures)
	}
}

func (co *Controller) postpone(se *seen, id core.EndpointID) {
	ag := se.again[id]
	if ag == nil {
		ag = &again{}
		se.again[id] = ag
	}
	wait := min(lastAgain, firstAgain<<min(ag.failures, 10))
	ag.failures++
	ag.until = co.Clock.Now().Add(co.jitter(wait))
}

// loading counts the orders in progress anywhere.
func (co *Controller) loading() int {
	count := 0
	for _, se := range co.seen {
		for ix := range se.states {
			if se.states[ix].Phase == core.PhaseOrdered {
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
		se := co.seen[me.VM]
		if se == nil || (me.Incarnation != 0 && se.incarnation != me.Incarnation) {
			views = append(views, View{VM: me.VM})
			continue
		}
		for _, es := range se.states {
			if es.Pool == po.Name {
				ag := se.again[es.Endpoint]
				views = append(views, View{
					VM: me.VM, EndpointState: es, Known: true, Usable: !me.Suspect,
					Later: ag != nil && co.Clock.Now().Before(ag.until),
				})
			}
		}
	}
	return views
}

// give hands orders over, and returns how many loads it has begun.
func (co *Controller) give(ctx context.Context, given []Given) int {
	// What the budget holds back is planned again in the next sweep.
	for ix := range given {
		if co.Sending != nil && !co.Sending(orderSize) {
			given = given[:ix]
			break
		}
	}
	var giving sync.WaitGroup
	refusals := make([]*core.Refusal, len(given))
	for ix := range given {
		giving.Go(func() { refusals[ix] = co.giveOne(ctx, &given[ix]) })
	}
	giving.Wait()
	loads := 0
	for ix := range given {
		if co.settle(given[ix], refusals[ix]) && fetches(given[ix].Kind) {
			loads++
		}
	}
	return loads
}

// giveOne stamps an order and hands it over, if the lease still allows it.
func (co *Controller) giveOne(ctx context.Context, gi *Given) *core.Refusal {
	fence, held := co.Lease.Fence()
	if !held || fence != co.fence {
		return &core.Refusal{Outcome: core.NotRun, Reason: core.ReasonOldFence, Step: "give", Peer: string(gi.VM), Detail: "the lease has lapsed"}
	}
	gi.Fence = fence
	ctx, cancel := context.WithTimeout(ctx, giveWithin)
	defer cancel()
	if err := co.Peers.Order(ctx, gi.VM, &gi.Order); err != nil {
		return core.AsRefusal(err, "give", string(gi.VM))
	}
	return nil
}

// settle notes how handing over ended. An order whose fate is unknown counts as
// in progress until the agent tells otherwise.
func (co *Controller) settle(gi Given, re *core.Refusal) bool {
	se := co.seen[gi.VM]
	if se == nil {
		return false
	}
	if re != nil && co.Refused != nil {
		co.Refused(gi, re)
	}
	if re != nil && re.Outcome == core.NotRun {
		co.postpone(se, gi.Endpoint)
		return false
	}
	if re == nil && co.Issued != nil {
		co.Issued(gi)
	}
	se.given[gi.Endpoint] = gi.Order
	for ix := range se.states {
		if se.states[ix].Endpoint == gi.Endpoint {
			se.states[ix].Phase = core.PhaseOrdered
		}
	}
	return true
}
