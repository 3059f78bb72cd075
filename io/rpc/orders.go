package rpc

import (
	"almondrill/core"
	"almondrill/io/wire"
)

func orderToWire(or *core.Order) *wire.OrderCall {
	return &wire.OrderCall{
		Fence: uint64(or.Fence), Endpoint: string(or.Endpoint), Kind: string(or.Kind), Name: or.Name, Version: or.Version,
	}
}

func orderFromWire(or *wire.OrderCall) *core.Order {
	return &core.Order{
		Fence: core.Fence(or.Fence), Endpoint: core.EndpointID(or.Endpoint), Kind: core.OrderKind(or.Kind),
		Name: or.Name, Version: or.Version,
	}
}

func statesToWire(states []core.EndpointState, rev uint64) *wire.InspectReply {
	re := &wire.InspectReply{Revision: rev}
	for _, es := range states {
		out := &wire.EndpointState{
			Endpoint: string(es.Endpoint), Pool: string(es.Pool), Phase: string(es.Phase),
			Model: es.Engine.Model, Version: es.Engine.Version, Adapters: es.Engine.Adapters, Role: es.Engine.Role,
		}
		if es.Problem != nil {
			out.Problem = refusalToWire(es.Problem)
		}
		re.States = append(re.States, out)
	}
	return re
}

func statesFromWire(re *wire.InspectReply) []core.EndpointState {
	states := []core.EndpointState{}
	for _, es := range re.States {
		out := core.EndpointState{
			Endpoint: core.EndpointID(es.Endpoint), Pool: core.PoolID(es.Pool), Phase: core.Phase(es.Phase),
			Engine: core.EngineState{Model: es.Model, Version: es.Version, Adapters: es.Adapters, Role: es.Role},
		}
		if es.Problem != nil {
			out.Problem = core.AsRefusal(refusalFromWire(es.Problem), "", "")
		}
		states = append(states, out)
	}
	return states
}
