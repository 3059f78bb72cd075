package oper

import (
	"context"
	"strings"
	"sync"

	"almondrill/core"
	"almondrill/core/decl"
	"almondrill/core/order"
	"almondrill/io/opsrpc"
)

// maxParallel bounds the processes that Status queries at the same time.
const maxParallel = 64

// Status queries every process for the revision it has in force, and the agents for the state of
// their engines compared with the declarations.
func (se *Server) Status(ctx context.Context, _ *opsrpc.StatusCall) (*opsrpc.StatusReply, error) {
	if _, err := se.authenticate(ctx, "status"); err != nil {
		return nil, err
	}
	sn := se.Board.Snapshot()
	out := &opsrpc.StatusReply{Newest: uint64(se.Log.Revision())}
	for _, vm := range sn.Routers {
		out.Processes = append(out.Processes, &opsrpc.ProcessStatus{VM: string(vm), Role: string(core.RoleRouter)})
	}
	for _, vm := range sn.Agents {
		out.Processes = append(out.Processes, &opsrpc.ProcessStatus{VM: string(vm), Role: string(core.RoleAgent)})
	}
	endpoints := make([][]*opsrpc.EndpointStatus, len(out.Processes))
	forEachParallel(len(out.Processes), func(ix int) {
		ps := out.Processes[ix]
		se.queryProcess(ctx, ps)
		if ps.Role == string(core.RoleAgent) && ps.Problem == "" {
			endpoints[ix] = se.inspectEndpoints(ctx, sn.Config, ps)
		}
	})
	for ix, ps := range out.Processes {
		out.Newest = max(out.Newest, ps.Revision)
		out.Endpoints = append(out.Endpoints, endpoints[ix]...)
	}
	se.addLags(ctx, out)
	return out, nil
}

// forEachParallel calls fn for 0 to count-1, at most maxParallel at a time.
func forEachParallel(count int, fn func(ix int)) {
	var calls sync.WaitGroup
	slots := make(chan struct{}, maxParallel)
	for ix := range count {
		slots <- struct{}{}
		calls.Go(func() {
			fn(ix)
			<-slots
		})
	}
	calls.Wait()
}

func (se *Server) queryProcess(ctx context.Context, ps *opsrpc.ProcessStatus) {
	if core.VMID(ps.VM) == se.Board.Self.ID {
		ps.Revision = uint64(se.Log.Revision())
		return
	}
	di, err := se.Peers.Exchange(ctx, core.VMID(ps.VM), se.Digest())
	if err != nil {
		ps.Problem = err.Error()
		return
	}
	ps.Revision, ps.Draining = uint64(di.Revision), di.Draining
}

// inspectEndpoints returns the state of an agent's endpoints in managed pools, whose engines
// receive orders.
func (se *Server) inspectEndpoints(ctx context.Context, cfg *decl.Config, ps *opsrpc.ProcessStatus) []*opsrpc.EndpointStatus {
	if cfg == nil || len(order.ManagedPools(cfg)) == 0 {
		return nil
	}
	states, err := se.Peers.Inspect(ctx, core.VMID(ps.VM))
	if err != nil {
		ps.Problem = err.Error()
		return nil
	}
	var out []*opsrpc.EndpointStatus
	for _, po := range order.ManagedPools(cfg) {
		for ix := range states {
			if states[ix].Pool == po.Name {
				out = append(out, endpointStatus(ps.VM, po, &states[ix]))
			}
		}
	}
	return out
}

func endpointStatus(vm string, po *decl.Pool, es *core.EndpointState) *opsrpc.EndpointStatus {
	out := &opsrpc.EndpointStatus{
		VM: vm, Endpoint: string(es.Endpoint), Pool: string(es.Pool), Phase: string(es.Phase),
		Model: es.Engine.Model, Version: es.Engine.Version, Adapters: es.Engine.Adapters, Role: es.Engine.Role,
	}
	if or := order.Wanted(po, es); or != nil {
		out.Wanted = strings.TrimSpace(string(or.Kind) + " " + or.Name + " " + or.Version)
	}
	if es.Problem != nil {
		out.Problem = es.Problem.Error()
	}
	return out
}

// addLags sets how long each process has been behind: the time since the first revision that it
// lacks was accepted.
func (se *Server) addLags(ctx context.Context, out *opsrpc.StatusReply) {
	behind := false
	for _, ps := range out.Processes {
		behind = behind || (ps.Problem == "" && ps.Revision < out.Newest)
	}
	if !behind {
		return
	}
	accepted := map[uint64]int64{}
	for _, de := range se.Log.History(ctx, maxHistory) {
		accepted[uint64(de.Revision)] = de.At.UnixMilli()
	}
	now := se.Clock.Now().UnixMilli()
	for _, ps := range out.Processes {
		if at, known := accepted[ps.Revision+1]; known && ps.Problem == "" {
			ps.LagMillis = max(0, now-at)
		}
	}
}
