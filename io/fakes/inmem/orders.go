package inmem

import (
	"context"
	"slices"

	"almondrill/core"
	"almondrill/io/fakes/wstore"
)

// OrderHandling is the part of an Engine that handles orders. Set the exported fields before use.
type OrderHandling struct {
	// Loaded is the loaded model, adapters and role; guarded by the engine's mutex.
	Loaded core.EngineState
	// ChecksFence makes the engine refuse orders whose fencing number is lower than the last
	// accepted one.
	ChecksFence bool
	// Weights is the store that loads of models fetch from; with nil they take no time.
	Weights *wstore.Store
	// Fences holds the fencing numbers of the accepted orders, in order.
	Fences []core.Fence
	// Interrupted counts calls that were running when a model was loaded.
	Interrupted int
}

var _ core.Orderable = (*Engine)(nil)

// State returns the loaded model, adapters and role.
func (en *Engine) State(context.Context) (*core.EngineState, error) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.Crashes.down {
		return nil, en.refusal(core.NotRun, core.ReasonEndpointDown)
	}
	st := en.Orders.Loaded
	st.Adapters = slices.Clone(st.Adapters)
	return &st, nil
}

// Order carries out an order.
func (en *Engine) Order(ctx context.Context, or *core.Order) error {
	if !en.acceptOrder(or) {
		return en.refusal(core.NotRun, core.ReasonOldFence)
	}
	if or.Kind == core.OrderLoadModel && en.Orders.Weights != nil {
		if en.Orders.Weights.BeginFetch() != nil {
			return en.refusal(core.Failed, core.ReasonWeightsBusy)
		}
		defer en.Orders.Weights.EndFetch()
		if en.Clock.Sleep(ctx, en.Orders.Weights.FetchTime) != nil {
			return en.refusal(core.Unknown, core.ReasonStalled)
		}
	}
	if or.Kind == core.OrderLoadModel && or.Version != "" && or.Version == en.Crashes.OnVersion {
		en.Crash()
		if en.Crashes.AfterLoading {
			return nil
		}
		return en.refusal(core.Unknown, core.ReasonPeerLost)
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	lo := &en.Orders.Loaded
	switch or.Kind {
	case core.OrderLoadModel:
		en.Orders.Interrupted += en.running
		*lo = core.EngineState{Model: or.Name, Version: or.Version, Role: lo.Role}
	case core.OrderChangeRole:
		lo.Role = or.Name
	case core.OrderLoadAdapter:
		lo.Adapters = append(lo.Adapters, or.Name)
	case core.OrderUnloadAdapter:
		lo.Adapters = slices.DeleteFunc(lo.Adapters, func(name string) bool { return name == or.Name })
	}
	return nil
}

// acceptOrder records the order's fencing number. It returns false if the number is too low.
func (en *Engine) acceptOrder(or *core.Order) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	last := len(en.Orders.Fences) - 1
	if en.Orders.ChecksFence && last >= 0 && or.Fence < en.Orders.Fences[last] {
		return false
	}
	en.Orders.Fences = append(en.Orders.Fences, or.Fence)
	return true
}

// Fences returns the fencing numbers of the orders accepted so far and the number of interrupted
// calls.
func (en *Engine) Fences() (fences []core.Fence, interrupted int) {
	en.mu.Lock()
	defer en.mu.Unlock()
	return slices.Clone(en.Orders.Fences), en.Orders.Interrupted
}
