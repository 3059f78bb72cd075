package core

import (
	"context"
	"errors"
	"slices"
)

// OrderKind says what an order to an engine changes.
type OrderKind string

// Kinds of orders.
const (
	// OrderLoadModel loads Name at Version in place of the model that is loaded.
	OrderLoadModel OrderKind = "LoadModel"
	// OrderLoadAdapter and OrderUnloadAdapter add and remove the adapter Name.
	OrderLoadAdapter   OrderKind = "LoadAdapter"
	OrderUnloadAdapter OrderKind = "UnloadAdapter"
	// OrderChangeRole makes Name (Prefill, Decode or Both) the engine's role.
	OrderChangeRole OrderKind = "ChangeRole"
)

// Order tells an engine to change. It names the state that is wanted, not a step
// towards it, so that giving it again does no harm.
type Order struct {
	// Fence is the number of the lease under which it was given.
	Fence    Fence
	Endpoint EndpointID
	Kind     OrderKind
	Name     string
	Version  string
}

// EngineState is what an engine has loaded.
type EngineState struct {
	Model    string
	Version  string
	Adapters []string
	Role     string
}

// Satisfies tells whether the state is what the order wants.
func (es *EngineState) Satisfies(or *Order) bool {
	switch or.Kind {
	case OrderLoadModel:
		return es.Model == or.Name && es.Version == or.Version
	case OrderLoadAdapter:
		return slices.Contains(es.Adapters, or.Name)
	case OrderUnloadAdapter:
		return !slices.Contains(es.Adapters, or.Name)
	case OrderChangeRole:
		return es.Role == or.Name
	}
	return false
}

// Phase is how far an endpoint is with its orders.
type Phase string

// Phases of an endpoint.
const (
	// PhaseReady: it takes calls and has no order in progress.
	PhaseReady Phase = "Ready"
	// PhaseOrdered: an order is in progress.
	PhaseOrdered Phase = "Ordered"
	// PhaseUnmanaged: it takes no orders.
	PhaseUnmanaged Phase = "Unmanaged"
	// PhaseUnreachable: its state could not be read.
	PhaseUnreachable Phase = "Unreachable"
)

// EndpointState is what an agent tells of an endpoint beside it.
type EndpointState struct {
	Endpoint EndpointID
	Pool     PoolID
	Phase    Phase
	Engine   EngineState
	// Problem says why the last order was not carried out, "" if it was.
	Problem *Refusal
}

// ErrNoOrders: the endpoint has no interface for orders.
var ErrOrdersUnsupported = errors.New("endpoint takes no orders")

// Orderable is an endpoint that takes orders. Order returns once the engine is
// done; its error is a *Refusal. Source: the engine's own HTTP protocol.
type Orderable interface {
	State(ctx context.Context) (*EngineState, error)
	Order(ctx context.Context, or *Order) error
}
