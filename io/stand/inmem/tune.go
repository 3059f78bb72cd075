package inmem

import (
	"context"
	"slices"

	"almondrill/core"
	"almondrill/io/stand/wstore"
)

// Tuning is the part of an Engine that takes orders. Set the exported fields
// before use.
type Tuning struct {
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
	if en.Crashes.away {
		return nil, en.broken(core.NotRun, core.ReasonEndpointDown)
	}
	st := en.Tuning.Loaded
	st.Adapters = slices.Clone(st.Adapters)
	return &st, nil
}

// Order carries an order out.
func (en *Engine) Order(ctx context.Context, or *core.Order) error {
	if !en.takes(or) {
		return en.broken(core.NotRun, core.ReasonOldFence)
	}
	if or.Kind == core.OrderLoadModel && en.Tuning.Weights != nil {
		if en.Tuning.Weights.BeginFetch() != nil {
			return en.broken(core.Failed, core.ReasonWeightsBusy)
		}
		defer en.Tuning.Weights.EndFetch()
		if en.Clock.Sleep(ctx, en.Tuning.Weights.FetchTime) != nil {
			return en.broken(core.Unknown, core.ReasonStalled)
		}
	}
	if or.Kind == core.OrderLoadModel && or.Version != "" && or.Version == en.Crashes.OnVersion {
		en.Crash()
		if en.Crashes.Loaded {
			return nil
		}
		return en.broken(core.Unknown, core.ReasonPeerLost)
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	lo := &en.Tuning.Loaded
	switch or.Kind {
	case core.OrderLoadModel:
		en.Tuning.Interrupted += en.running
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

// takes notes the order's number.
func (en *Engine) takes(or *core.Order) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	last := len(en.Tuning.Fences) - 1
	if en.Tuning.ChecksFence && last >= 0 && or.Fence < en.Tuning.Fences[last] {
		return false
	}
	en.Tuning.Fences = append(en.Tuning.Fences, or.Fence)
	return true
}

// Fences are the numbers of the orders carried out so far, and Interrupted the
// calls that a load cut off.
func (en *Engine) Fences() (fences []core.Fence, interrupted int) {
	en.mu.Lock()
	defer en.mu.Unlock()
	return slices.Clone(en.Tuning.Fences), en.Tuning.Interrupted
}
