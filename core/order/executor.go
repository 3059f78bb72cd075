package order

import (
	"context"
	"errors"
	"sync"
	"time"

	"almondrill/core"
)

const (
	// executionTimeout bounds an order from its acceptance until the engine is done.
	executionTimeout = 20 * time.Minute
	// stateTimeout bounds reading an engine's state, kvReadTimeout reading the KV.
	stateTimeout  = 2 * time.Second
	kvReadTimeout = 2 * time.Second
)

// Endpoint is one of an agent's endpoints as the Executor sees it.
type Endpoint struct {
	ID     core.EndpointID
	Pool   core.PoolID
	Engine core.Orderable
	// Drain stops new calls and waits for those in progress; Resume admits new ones again.
	Drain  func(ctx context.Context) error
	Resume func()

	mu      sync.Mutex // guards all below
	busy    bool
	fence   core.Fence
	problem *core.Refusal
}

// Executor checks and executes orders on an agent. Set the exported fields before use.
type Executor struct {
	KV        core.KV
	Clock     core.Clock
	Self      core.VMID
	Endpoints []*Endpoint
	// Ended, if set, is called with the result of each accepted order; nil means success.
	Ended func(or *core.Order, re *core.Refusal)
}

// Order checks an order and starts to execute it. The error is a *core.Refusal; nil means that the
// order was accepted, not that the engine is done.
func (ex *Executor) Order(ctx context.Context, or *core.Order) error {
	ep := ex.endpoint(or.Endpoint)
	if ep == nil {
		return ex.refuse(core.ReasonNoEndpoint, "no such endpoint here: "+string(or.Endpoint))
	}
	// The endpoint is reserved before the fencing number is read. A new holder raises the number
	// before it inspects engines, so either it sees this order in progress, or the order is
	// refused.
	if !ep.reserve() {
		return ex.refuse(core.ReasonOrderBusy, "another order is in progress")
	}
	re := ex.checkFence(ctx, or)
	if re == nil && !ep.acceptFence(or.Fence) {
		re = ex.refuse(core.ReasonOldFence, "a later holder has given an order here")
	}
	if re != nil {
		ep.release(re)
		return re
	}
	// The order outlives the call that delivered it, as loading takes minutes.
	runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), executionTimeout)
	go func() {
		defer cancel()
		ex.finish(ep, or, ex.execute(runCtx, ep, or))
	}()
	return nil
}

// execute executes an order, unless the engine satisfies it already. It checks the fencing number
// again just before it calls the engine: draining may take minutes, in which the lease can expire
// and another holder can issue a different order.
func (ex *Executor) execute(ctx context.Context, ep *Endpoint, or *core.Order) *core.Refusal {
	if st, err := ex.engineState(ctx, ep); err == nil && st.Satisfies(or) {
		return nil
	}
	if or.Kind == core.OrderLoadModel {
		defer ep.Resume()
		if err := ep.Drain(ctx); err != nil {
			return ex.refuse(core.ReasonDeadline, "calls in progress did not end in time")
		}
	}
	if re := ex.checkFence(ctx, or); re != nil {
		return re
	}
	if err := ep.Engine.Order(ctx, or); err != nil {
		return core.AsRefusal(err, "order", string(ep.ID))
	}
	return nil
}

// checkFence refuses an order whose fencing number is not the one in the KV. It guards against a
// past holder: one that was paused while its lease expired resumes where it stopped, and its order
// arrives after the next holder's. A number remembered by the agent would not suffice: an agent
// that restarted in between has none, and one that the new holder has not reached yet has the old
// one. An order costs one or two reads of the KV, and orders are rare. While the KV is down no
// order is accepted; then no process holds the lease for long either.
func (ex *Executor) checkFence(ctx context.Context, or *core.Order) *core.Refusal {
	ctx, cancel := context.WithTimeout(ctx, kvReadTimeout)
	defer cancel()
	now, _, err := currentFence(ctx, ex.KV)
	if err != nil {
		return ex.refuse(core.ReasonKVDown, "the current fencing number cannot be read: "+err.Error())
	}
	switch {
	case or.Fence < now:
		return ex.refuse(core.ReasonOldFence, "the order is from a past holder of the lease")
	case or.Fence > now:
		// The holder wrote its number before it issued any order.
		return ex.refuse(core.ReasonKVDown, "the KV answers with older content than the order's holder wrote")
	}
	return nil
}

// reserve marks the endpoint as busy; false if it is already. Orders of an endpoint run one at a
// time, so that a higher fencing number is checked only after the order with a lower one has ended.
func (ep *Endpoint) reserve() bool {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if ep.busy {
		return false
	}
	ep.busy = true
	return true
}

// acceptFence records a fencing number that the KV has confirmed. It returns false if a higher one
// was confirmed here before, as the KV may return older content.
func (ep *Endpoint) acceptFence(fence core.Fence) bool {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if fence < ep.fence {
		return false
	}
	ep.fence = fence
	return true
}

func (ep *Endpoint) release(re *core.Refusal) {
	ep.mu.Lock()
	defer ep.mu.Unlock()
	ep.busy, ep.problem = false, re
}

func (ex *Executor) finish(ep *Endpoint, or *core.Order, re *core.Refusal) {
	ep.release(re)
	if ex.Ended != nil {
		ex.Ended(or, re)
	}
}

// States returns what the endpoints have loaded and the progress of their orders.
func (ex *Executor) States(ctx context.Context) []core.EndpointState {
	states := make([]core.EndpointState, len(ex.Endpoints))
	var reading sync.WaitGroup
	for ix, ep := range ex.Endpoints {
		reading.Go(func() { states[ix] = ex.endpointState(ctx, ep) })
	}
	reading.Wait()
	return states
}

func (ex *Executor) endpointState(ctx context.Context, ep *Endpoint) core.EndpointState {
	es := core.EndpointState{Endpoint: ep.ID, Pool: ep.Pool, Phase: core.PhaseReady}
	st, err := ex.engineState(ctx, ep)
	switch {
	case errors.Is(err, core.ErrOrdersUnsupported):
		es.Phase = core.PhaseUnmanaged
	case err != nil:
		es.Phase = core.PhaseUnreachable
	default:
		es.Engine = *st
	}
	ep.mu.Lock()
	defer ep.mu.Unlock()
	if ep.busy {
		es.Phase = core.PhaseOrdered
	}
	es.Problem = ep.problem
	return es
}

func (ex *Executor) engineState(ctx context.Context, ep *Endpoint) (*core.EngineState, error) {
	if ep.Engine == nil {
		return nil, core.ErrOrdersUnsupported
	}
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	return ep.Engine.State(ctx)
}

func (ex *Executor) endpoint(id core.EndpointID) *Endpoint {
	for _, ep := range ex.Endpoints {
		if ep.ID == id && ep.Engine != nil {
			return ep
		}
	}
	return nil
}

func (ex *Executor) refuse(reason core.Reason, detail string) *core.Refusal {
	return &core.Refusal{
		Outcome: core.NotRun, Reason: reason, Step: "order", Peer: string(ex.Self), Detail: detail,
	}
}
