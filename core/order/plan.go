package order

import (
	"slices"

	"almondrill/core"
	"almondrill/core/decl"
)

// View is what the holder knows of one endpoint of a pool.
type View struct {
	VM core.VMID
	core.EndpointState
	// Known is set once the holder has seen its state; Usable while routers send
	// it calls.
	Known  bool
	Usable bool
	// BackingOff is set while an order that failed is not to be given again yet.
	BackingOff bool
}

// serving tells whether it serves the pool's model, in any version.
func (vi *View) serving(po *decl.Pool) bool {
	if !vi.Known || !vi.Usable {
		return false
	}
	return vi.Phase == core.PhaseUnmanaged || (vi.Phase == core.PhaseReady && vi.Engine.Model == po.Model)
}

// Assignment is an order and the VM whose agent it goes to.
type Assignment struct {
	VM core.VMID
	core.Order
}

// Next picks the orders to give now for a pool, of which at most loads fetch from
// the weight store. Engines that serve are only taken away while Minimum others
// go on serving. An endpoint not seen yet counts as not serving: it may be in the
// middle of an earlier holder's order. allow tells whether one more engine may get an
// order, beside those with one in progress; nil allows all.
func Next(po *decl.Pool, views []View, loads int, allow func(or *core.Order, open int) bool) []Assignment {
	if po.Version == "" {
		return nil
	}
	spare, open := -max(1, po.Minimum), 0
	for ix := range views {
		if views[ix].serving(po) {
			spare++
		}
		if views[ix].Phase == core.PhaseOrdered {
			open++
		}
	}
	var assignments []Assignment
	for ix := range views {
		vi := &views[ix]
		or := Wanted(po, &vi.EndpointState)
		if !vi.Known || vi.BackingOff || vi.Phase != core.PhaseReady || or == nil {
			continue
		}
		if loadsWeights(or.Kind) && loads <= 0 {
			continue
		}
		if allow != nil && !allow(or, open) {
			continue
		}
		if or.Kind == core.OrderLoadModel && vi.serving(po) {
			if spare <= 0 {
				continue
			}
			spare--
		}
		if loadsWeights(or.Kind) {
			loads--
		}
		open++
		assignments = append(assignments, Assignment{VM: vi.VM, Order: *or})
	}
	return assignments
}

func loadsWeights(ki core.OrderKind) bool {
	return ki == core.OrderLoadModel || ki == core.OrderLoadAdapter
}

// Wanted is the next order that brings an endpoint towards what its pool
// declares, nil if it is there. A pool that declares no version wants nothing.
func Wanted(po *decl.Pool, es *core.EndpointState) *core.Order {
	if po.Version == "" || es.Phase == core.PhaseUnmanaged || es.Phase == core.PhaseUnreachable {
		return nil
	}
	for _, or := range desiredOrders(po, es) {
		if !es.Engine.Satisfies(&or) {
			return &or
		}
	}
	return nil
}

// desiredOrders lists everything that the pool wants of the endpoint. The model comes
// first, as loading one drops its adapters.
func desiredOrders(po *decl.Pool, es *core.EndpointState) []core.Order {
	role := po.Role
	if role == "" {
		role = "Both"
	}
	all := []core.Order{
		{Kind: core.OrderLoadModel, Name: po.Model, Version: po.Version},
		{Kind: core.OrderChangeRole, Name: role},
	}
	for _, name := range es.Engine.Adapters {
		if !slices.Contains(po.Adapters, name) {
			all = append(all, core.Order{Kind: core.OrderUnloadAdapter, Name: name})
		}
	}
	for _, name := range po.Adapters {
		all = append(all, core.Order{Kind: core.OrderLoadAdapter, Name: name})
	}
	for ix := range all {
		all[ix].Endpoint = es.Endpoint
	}
	return all
}
