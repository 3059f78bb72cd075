package core

import (
	"context"
	"errors"
	"slices"
)

// OrderKind is the kind of change that an order requests of an engine.
type OrderKind string

// Kinds of orders.
const (
	// OrderLoadModel loads the model Name at Version in place of the loaded model.
	OrderLoadModel OrderKind = "LoadModel"
	// OrderLoadAdapter and OrderUnloadAdapter add and remove the adapter Name.
	OrderLoadAdapter   OrderKind = "LoadAdapter"
	OrderUnloadAdapter OrderKind = "UnloadAdapter"
	// OrderChangeRole changes the engine's role to Name (Prefill, Decode or Both).
	OrderChangeRole OrderKind = "ChangeRole"
)

// Order requests a change of an engine. It states the desired state, not a step towards it, so that
// repeating an order is harmless.
type Order struct {
	// Fence is the fencing number of the lease under which the order was given.
	Fence    Fence
	Endpoint EndpointID
	Kind     OrderKind
	Name     string
	Version  string
}

// EngineState is the model, adapters and role that an engine runs with.
type EngineState struct {
	Model    string
	Version  string
	Adapters []string
	Role     string
}

// Satisfies reports whether the state is the one that the order requests.
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

// Phase is an endpoint's progress with its orders.
type Phase string

// Phases of an endpoint.
const (
	// PhaseReady: the endpoint accepts calls and no order is in progress.
	PhaseReady Phase = "Ready"
	// PhaseOrdered: an order is in progress.
	PhaseOrdered Phase = "Ordered"
	// PhaseUnmanaged: the endpoint does not support orders.
	PhaseUnmanaged Phase = "Unmanaged"
	// PhaseUnreachable: the endpoint's state could not be read.
	PhaseUnreachable Phase = "Unreachable"
)

// EndpointState is the state of an endpoint as reported by its agent.
type EndpointState struct {
	Endpoint EndpointID
	Pool     PoolID
	Phase    Phase
	Engine   EngineState
	// Problem is the reason why the last order failed, nil if it succeeded.
	Problem *Refusal
}

// ErrOrdersUnsupported is returned for an endpoint without an interface for orders.
var ErrOrdersUnsupported = errors.New("endpoint takes no orders")

// Orderable is an endpoint that supports orders. Order returns once the engine has completed the
// order; its error is a *Refusal. Source: the engine's own HTTP protocol.
type Orderable interface {
	State(ctx context.Context) (*EngineState, error)
	Order(ctx context.Context, or *Order) error
}
