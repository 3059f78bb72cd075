package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"almondrill/core"
)

// stateLocked returns the loaded state, created on first use. en.mu must be held.
func (en *Engine) stateLocked() *core.EngineState {
	if en.loaded == nil {
		en.loaded = &core.EngineState{Model: en.Model, Version: en.Version, Role: "Both"}
	}
	return en.loaded
}

// State returns the loaded model, adapters and role.
func (en *Engine) State() core.EngineState {
	en.mu.Lock()
	defer en.mu.Unlock()
	return *en.stateLocked()
}

func (en *Engine) handleState(wr http.ResponseWriter, _ *http.Request) { writeJSON(wr, en.State()) }

func (en *Engine) checkLoading() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.loading {
		en.stats.Interrupted++
	}
	return en.loading
}

// handleOrder carries out an order. With ChecksFence it refuses one whose fencing number is too
// low.
func (en *Engine) handleOrder(wr http.ResponseWriter, rq *http.Request) {
	var or core.Order
	if err := json.NewDecoder(rq.Body).Decode(&or); err != nil {
		http.Error(wr, "malformed order", http.StatusBadRequest)
		return
	}
	if !en.acceptOrder(&or) {
		http.Error(wr, "old fencing number", http.StatusConflict)
		return
	}
	if err := en.loadWeights(rq.Context(), &or); err != nil {
		en.finishLoading()
		wr.Header().Set("Retry-After", "1")
		http.Error(wr, err.Error(), http.StatusServiceUnavailable)
		return
	}
	en.applyOrder(&or)
	writeJSON(wr, struct{ State string }{"Done"})
}

func (en *Engine) acceptOrder(or *core.Order) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.ChecksFence && or.Fence < en.fence {
		en.stats.RefusedOrders++
		return false
	}
	en.fence = max(en.fence, or.Fence)
	en.stats.Orders++
	if or.Kind == core.OrderLoadModel {
		en.loading = true
		en.stats.Interrupted += en.running
	}
	return true
}

// loadWeights fetches the weights from the weight store, if one is set, and waits for the load.
func (en *Engine) loadWeights(ctx context.Context, or *core.Order) error {
	if or.Kind != core.OrderLoadModel && or.Kind != core.OrderLoadAdapter {
		return nil
	}
	if en.Weights != "" {
		url := fmt.Sprintf("%s/weights/%s/%s", en.Weights, or.Name, or.Version)
		rq, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		rs, err := http.DefaultClient.Do(rq)
		if err != nil {
			return err
		}
		defer rs.Body.Close()
		if rs.StatusCode != http.StatusOK {
			return fmt.Errorf("weight store: status %d", rs.StatusCode)
		}
	}
	return en.Clock.Sleep(ctx, en.LoadTime)
}

func (en *Engine) applyOrder(or *core.Order) {
	defer en.finishLoading()
	en.mu.Lock()
	defer en.mu.Unlock()
	st := en.stateLocked()
	removeAdapter := func(name string) {
		st.Adapters = slices.DeleteFunc(slices.Clone(st.Adapters), func(loaded string) bool { return loaded == name })
	}
	switch or.Kind {
	case core.OrderLoadModel:
		en.loaded = &core.EngineState{Model: or.Name, Version: or.Version, Role: st.Role}
		en.purgeCache()
	case core.OrderLoadAdapter:
		removeAdapter(or.Name)
		st.Adapters = append(st.Adapters, or.Name)
	case core.OrderUnloadAdapter:
		removeAdapter(or.Name)
	case core.OrderChangeRole:
		st.Role = or.Name
	}
}

func (en *Engine) finishLoading() {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.loading = false
}

// purgeCache evicts all contexts, which another model cannot use.
func (en *Engine) purgeCache() {
	en.initCache()
	for _, key := range en.cache.Keys() {
		en.publishEvent("Evicted", key)
	}
	en.cache.Purge()
	en.cached = 0
}
