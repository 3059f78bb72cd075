package node

import (
	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/order"
	"almondrill/io/back"
	"almondrill/io/stats"
)

// buildOrderController creates the component of a router that issues orders for engines.
func (pr *Process) buildOrderController() {
	logger := pr.Logs.Part("orders")
	pr.orderController = &order.Controller{
		Lease: &order.Lease{
			KV: pr.kv, Clock: pr.clock, TTL: order.DefaultTTL,
			Self: core.Claimant{VM: pr.Settings.Name, Incarnation: pr.incarnation},
		},
		Board: pr.board, Peers: pr.peers, Clock: pr.clock, Rand: pr.rand, AllowSend: pr.controlBucket.Allow,
		LeaseAcquired: func(fence core.Fence) {
			logger.Info("This process now holds the lease for issuing orders.", zap.Uint64("Fence", uint64(fence)))
		},
		RolloutPaused: func(po core.PoolID, or core.Order, failures int) {
			pr.Stats.Add(stats.OrdersGivenUp, 1)
			logger.Error("An order failed on several engines and is suspended for the others.", zap.String("Pool", string(po)),
				zap.String("Kind", string(or.Kind)), zap.String("Name", or.Name), zap.String("Version", or.Version), zap.Int("Failures", failures))
		},
		Issued: func(gi order.Assignment) {
			pr.Stats.Add(stats.OrdersGiven, 1)
			logger.Info("An order was issued.", orderFields(&gi.Order, gi.VM)...)
		},
		Refused: func(gi order.Assignment, re *core.Refusal) {
			pr.Stats.CountRefusal(re.Reason)
			logger.Warn("An order was refused.", append(orderFields(&gi.Order, gi.VM), zap.Error(re))...)
		},
	}
}

// buildOrderExecutor creates the component of an agent that carries out orders.
func (pr *Process) buildOrderExecutor(endpoints []*back.Endpoint) {
	logger := pr.Logs.Part("orders")
	pr.orderExecutor = &order.Executor{KV: pr.kv, Clock: pr.clock, Self: pr.Settings.Name}
	pr.orderExecutor.Ended = func(or *core.Order, re *core.Refusal) {
		if re == nil {
			pr.Stats.Add(stats.OrdersDone, 1)
			logger.Info("An order was carried out.", orderFields(or, pr.Settings.Name)...)
			return
		}
		pr.Stats.CountRefusal(re.Reason)
		logger.Warn("An order failed.", append(orderFields(or, pr.Settings.Name), zap.Error(re))...)
	}
	for ix, sl := range pr.agent.Slots {
		se := &order.Endpoint{ID: sl.ID, Pool: sl.Pool, Drain: sl.Pause, Resume: sl.Resume}
		if endpoints[ix].Engine {
			se.Engine = endpoints[ix]
		}
		pr.orderExecutor.Endpoints = append(pr.orderExecutor.Endpoints, se)
	}
	pr.server.Order = pr.orderExecutor.Order
	pr.server.Inspect = pr.orderExecutor.States
}

func orderFields(or *core.Order, vm core.VMID) []zap.Field {
	return []zap.Field{
		zap.String("VM", string(vm)), zap.String("Endpoint", string(or.Endpoint)), zap.String("Kind", string(or.Kind)),
		zap.String("What", or.Name), zap.String("Version", or.Version), zap.Uint64("Fence", uint64(or.Fence)),
	}
}
