package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"almondrill/core"
)

// tune is the engine's state, made at first use; en.mu is held.
func (en *Engine) tune() *core.EngineState {
	if en.tuned == nil {
		en.tuned = &core.EngineState{Model: en.Model, Version: en.Version, Role: "Both"}
	}
	return en.tuned
}

// Tuned is what the engine has loaded.
func (en *Engine) Tuned() core.EngineState {
	en.mu.Lock()
	defer en.mu.Unlock()
	return *en.tune()
}

func (en *Engine) state(wr http.ResponseWriter, _ *http.Request) { writeJSON(wr, en.Tuned()) }

func (en *Engine) isLoading() bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.loading {
		en.served.Interrupted++
	}
	return en.loading
}

// order carries an order out, or refuses one with an old number if it checks.
func (en *Engine) order(wr http.ResponseWriter, rq *http.Request) {
	var or core.Order
	if err := json.NewDecoder(rq.Body).Decode(&or); err != nil {
		http.Error(wr, "malformed order", http.StatusBadRequest)
		return
	}
	if !en.takes(&or) {
		http.Error(wr, "old fencing number", http.StatusConflict)
		return
	}
	if err := en.fetch(rq.Context(), &or); err != nil {
		en.endLoad()
		wr.Header().Set("Retry-After", "1")
		http.Error(wr, err.Error(), http.StatusServiceUnavailable)
		return
	}
	en.apply(&or)
	writeJSON(wr, struct{ State string }{"Done"})
}

func (en *Engine) takes(or *core.Order) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.ChecksFence && or.Fence < en.fence {
		en.served.RefusedOrders++
		return false
	}
	en.fence = max(en.fence, or.Fence)
	en.served.Orders++
	if or.Kind == core.OrderLoadModel {
		en.loading = true
		en.served.Interrupted += en.running
	}
	return true
}

// fetch gets weights from the weight store, if there is one, and loads them.
func (en *Engine) fetch(ctx context.Context, or *core.Order) error {
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

func (en *Engine) apply(or *core.Order) {
	defer en.endLoad()
	en.mu.Lock()
	defer en.mu.Unlock()
	st := en.tune()
	drop := func(name string) {
		st.Adapters = slices.DeleteFunc(slices.Clone(st.Adapters), func(has string) bool { return has == name })
	}
	switch or.Kind {
	case core.OrderLoadModel:
		en.tuned = &core.EngineState{Model: or.Name, Version: or.Version, Role: st.Role}
		en.dropCache()
	case core.OrderLoadAdapter:
		drop(or.Name)
		st.Adapters = append(st.Adapters, or.Name)
	case core.OrderUnloadAdapter:
		drop(or.Name)
	case core.OrderChangeRole:
		st.Role = or.Name
	}
}

func (en *Engine) endLoad() {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.loading = false
}

// dropCache forgets all contexts, which another model cannot use.
func (en *Engine) dropCache() {
	en.initCache()
	for _, key := range en.cache.Keys() {
		en.event("Evicted", key)
	}
	en.cache.Purge()
	en.cached = 0
}
