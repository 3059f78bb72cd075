package inmem

import (
	"context"
	"slices"

	"almondrill/core"
	"almondrill/io/fakes/wstore"
)

// OrderHandling is the part of an Engine that takes orders. Set the exported fields
// before use.
type OrderHandling struct {
	// Loaded is what the engine has loaded; guarded by the engine's lock.
	Loaded core.EngineState
	// ChecksFence makes it refuse orders with an old number.
	ChecksFence bool
	// Weights is the store that loads fetch from; nil takes no time.
	Weights *wstore.Store
	// Fences are the numbers of the orders carried out, in order.
	Fences []core.Fence
	// Interrupted counts calls that a load cut off.
	Interrupted int
}

var _ core.Orderable = (*Engine)(nil)

// State is what the engine has loaded.
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

// Order carries an order out.
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

// acceptOrder notes the order's number.
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

// Fences are the numbers of the orders carried out so far, and Interrupted the
// calls that a load cut off.
func (en *Engine) Fences() (fences []core.Fence, interrupted int) {
	en.mu.Lock()
	defer en.mu.Unlock()
	return slices.Clone(en.Orders.Fences), en.Orders.Interrupted
}
