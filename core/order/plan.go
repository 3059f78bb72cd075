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
	// Known is set once the holder has inspected it; Usable while routers send it calls.
	Known  bool
	Usable bool
	// BackingOff is set while no order may be issued to it because its last one failed.
	BackingOff bool
}

// serving reports whether it serves the pool's model, in any version.
func (vi *View) serving(po *decl.Pool) bool {
	if !vi.Known || !vi.Usable {
		return false
	}
	return vi.Phase == core.PhaseUnmanaged || (vi.Phase == core.PhaseReady && vi.Engine.Model == po.Model)
}

// Assignment is an order and the VM to whose agent it is sent.
type Assignment struct {
	VM core.VMID
	core.Order
}

// Next plans the orders to issue now for a pool, of which at most loads fetch from the weight
// store. It takes a serving engine out of service only while Minimum others keep serving. An
// endpoint that was not inspected yet counts as not serving, as it may be executing an earlier
// holder's order. allow reports whether one more engine may get the order while open engines of the
// pool have one in progress; nil allows all.
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

// Wanted is the next order that brings an endpoint closer to the state that its pool declares; nil
// if it is in that state, or if the pool declares no version.
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

// desiredOrders lists the orders that make up the declared state of the endpoint. The model comes
// first, as loading a model drops its adapters.
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
