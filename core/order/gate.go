package order

import (
	"context"
	"errors"
	"sync"
	"time"

	"almondrill/core"
)

const (
	// runFor bounds an order from when it is taken until the engine is done.
	runFor = 20 * time.Minute
	// askWithin bounds reading an engine's state, lookWithin reading the KV.
	askWithin  = 2 * time.Second
	lookWithin = 2 * time.Second
)

// Seat is an endpoint as the Gate sees it.
type Seat struct {
	ID     core.EndpointID
	Pool   core.PoolID
	Engine core.Orderable
	// Hold keeps new calls away and waits for those in progress; Release lets
	// them come again.
	Hold    func(ctx context.Context) error
	Release func()

	mu      sync.Mutex // guards all below
	busy    bool
	fence   core.Fence
	problem *core.Refusal
}

// Gate takes orders on an agent. Set the exported fields before use.
type Gate struct {
	KV    core.KV
	Clock core.Clock
	Self  core.VMID
	Seats []*Seat
	// Ended, if set, is told how an order ended: nil is well.
	Ended func(or *core.Order, re *core.Refusal)
}

// Order takes an order and starts on it. The error is a *core.Refusal; nil means
// that the order was taken or is met already, not that the engine is done.
func (ga *Gate) Order(ctx context.Context, or *core.Order) error {
	se := ga.seat(or.Endpoint)
	if se == nil {
		return ga.refuse(core.ReasonNoEndpoint, "no such endpoint here: "+string(or.Endpoint))
	}
	// The seat is taken before the number is looked up: a new holder, who raises
	// the number before it looks at engines, then sees this order in progress or
	// has it refused.
	if !se.begin() {
		return ga.refuse(core.ReasonOrderBusy, "another order is in progress")
	}
	re := ga.check(ctx, or)
	if re == nil && !se.follows(or.Fence) {
		re = ga.refuse(core.ReasonOldFence, "a later holder has given an order here")
	}
	if re != nil {
		se.end(re)
		return re
	}
	// The order outlives the call that brought it: loading takes minutes.
	run, cancel := context.WithTimeout(context.WithoutCancel(ctx), runFor)
	go func() {
		defer cancel()
		ga.finish(se, or, ga.run(run, se, or))
	}()
	return nil
}

// run carries an order out. The number is looked up again at the last moment:
// waiting for calls in progress may take minutes, in which the lease can lapse
// and another holder decide otherwise.
func (ga *Gate) run(ctx context.Context, se *Seat, or *core.Order) *core.Refusal {
	if st, err := ga.state(ctx, se); err == nil && st.Satisfies(or) {
		return nil
	}
	if or.Kind == core.OrderLoadModel {
		defer se.Release()
		if err := se.Hold(ctx); err != nil {
			return ga.refuse(core.ReasonDeadline, "calls in progress did not end in time")
		}
	}
	if re := ga.check(ctx, or); re != nil {
		return re
	}
	if err := se.Engine.Order(ctx, or); err != nil {
		return core.AsRefusal(err, "order", string(se.ID))
	}
	return nil
}

// check refuses an order whose number is not the one that stands in the KV. It
// guards against a past holder: one that was paused while its lease lapsed goes
// on where it stopped, and its order arrives after the next holder's. A number
// remembered here would not do, as an agent that was restarted in between has
// none, and one that the new holder has not reached yet has the old one. An order
// costs a read or two of the KV, and there are few. While the KV is down no order
// is taken; then nobody holds the lease for long either.
func (ga *Gate) check(ctx context.Context, or *core.Order) *core.Refusal {
	ctx, cancel := context.WithTimeout(ctx, lookWithin)
	defer cancel()
	now, _, err := current(ctx, ga.KV)
	if err != nil {
		return ga.refuse(core.ReasonKVDown, "the current fencing number cannot be read: "+err.Error())
	}
	switch {
	case or.Fence < now:
		return ga.refuse(core.ReasonOldFence, "the order is from a past holder of the lease")
	case or.Fence > now:
		// The holder wrote its number before it gave any order.
		return ga.refuse(core.ReasonKVDown, "the KV answers with older content than the order's holder wrote")
	}
	return nil
}

// begin reserves the seat; one order runs at a time, so that the check of a later
// number comes after the run of an earlier one has ended.
func (se *Seat) begin() bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.busy {
		return false
	}
	se.busy = true
	return true
}

// follows notes a number that the KV has confirmed, unless a higher one was
// confirmed here before: the KV may answer with older content.
func (se *Seat) follows(fence core.Fence) bool {
	se.mu.Lock()
	defer se.mu.Unlock()
	if fence < se.fence {
		return false
	}
	se.fence = fence
	return true
}

func (se *Seat) end(re *core.Refusal) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.busy, se.problem = false, re
}

func (ga *Gate) finish(se *Seat, or *core.Order, re *core.Refusal) {
	se.end(re)
	if ga.Ended != nil {
		ga.Ended(or, re)
	}
}

// States tells what the endpoints have loaded and how far their orders are.
func (ga *Gate) States(ctx context.Context) []core.EndpointState {
	states := make([]core.EndpointState, len(ga.Seats))
	var asking sync.WaitGroup
	for ix, se := range ga.Seats {
		asking.Go(func() { states[ix] = ga.told(ctx, se) })
	}
	asking.Wait()
	return states
}

func (ga *Gate) told(ctx context.Context, se *Seat) core.EndpointState {
	es := core.EndpointState{Endpoint: se.ID, Pool: se.Pool, Phase: core.PhaseReady}
	st, err := ga.state(ctx, se)
	switch {
	case errors.Is(err, core.ErrOrdersUnsupported):
		es.Phase = core.PhaseUnmanaged
	case err != nil:
		es.Phase = core.PhaseUnreachable
	default:
		es.Engine = *st
	}
	se.mu.Lock()
	defer se.mu.Unlock()
	if se.busy {
		es.Phase = core.PhaseOrdered
	}
	es.Problem = se.problem
	return es
}

func (ga *Gate) state(ctx context.Context, se *Seat) (*core.EngineState, error) {
	if se.Engine == nil {
		return nil, core.ErrOrdersUnsupported
	}
	ctx, cancel := context.WithTimeout(ctx, askWithin)
	defer cancel()
	return se.Engine.State(ctx)
}

func (ga *Gate) seat(id core.EndpointID) *Seat {
	for _, se := range ga.Seats {
		if se.ID == id && se.Engine != nil {
			return se
		}
	}
	return nil
}

func (ga *Gate) refuse(reason core.Reason, detail string) *core.Refusal {
	return &core.Refusal{
		Outcome: core.NotRun, Reason: reason, Step: "order", Peer: string(ga.Self), Detail: detail,
	}
}
