package node

import (
	"context"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"google.golang.org/grpc"

	"almondrill/core"
	"almondrill/core/agent"
	"almondrill/core/claim"
	"almondrill/core/ctxdir"
	"almondrill/core/ledger"
	"almondrill/io/back"
	"almondrill/io/conf"
	"almondrill/io/front"
	"almondrill/io/oper"
	"almondrill/io/stats"
)

// callersServer returns a router's HTTP server for callers.
func (pr *Process) callersServer() transport.Server {
	se := pr.Settings
	fr := &front.Front{
		Board: pr.board, Router: pr.router, Stats: pr.Stats, Log: pr.logger,
		Memory: &pr.accounts.Bytes, MaxBody: se.MaxBodyBytes, BodyTimeout: se.BodyTimeout, WriteTimeout: se.WriteTimeout,
		DefaultDeadline: se.DefaultDeadline, MaxDeadline: se.MaxDeadline,
	}
	return pr.httpServer(pr.callersListener(), fr.Handler())
}

// registerOperators registers the operators' API on a router's gRPC server for peers.
func (pr *Process) registerOperators(sr grpc.ServiceRegistrar) {
	oper.Register(sr, &oper.Server{
		Log: pr.configLog, Board: pr.board, Peers: pr.peers, Operators: pr.Settings.Operators,
		Digest: pr.digest, Out: pr.Logs.Part("operators"), Clock: pr.clock,
	})
}

// buildAgent creates an agent and the adapters to its endpoints.
func (pr *Process) buildAgent() {
	se := pr.Settings
	pr.agent = &agent.Agent{
		Clock: pr.clock, Rand: pr.rand, Board: pr.board, Self: se.Name, Incarnation: pr.incarnation,
		Book:  &ctxdir.Directory{Clock: pr.clock, MaxCached: se.MaxChats, MaxPointers: se.MaxChats, TTL: se.KeepChats},
		Peers: pr.peers, AllowSend: pr.controlBucket.Allow, RevisionSeen: pr.syncer.NotePeerRevision,
	}
	var endpoints []*back.Endpoint
	for _, ep := range se.Endpoints {
		endpoints = append(endpoints, pr.endpoint(ep))
		pr.agent.Slots = append(pr.agent.Slots, &agent.Slot{ID: ep.Name, Pool: ep.Pool, Endpoint: endpoints[len(endpoints)-1]})
	}
	pr.agent.Keys = pr.buildClaims()
	pr.agent.Init()
	pr.buildOrderExecutor(endpoints)
	for ix, ep := range endpoints {
		if ep.Engine {
			pr.pollers = append(pr.pollers, &back.Poller{
				Endpoint: ep, Clock: pr.clock, Book: pr.agent.Book, Gate: pr.agent.Slots[ix].Gate(),
				Failed: pr.logFailure("Polling an engine's cache events and load failed."),
			})
		}
	}
	pr.board.Published = pr.agent.Adopt
	pr.server.Serve = pr.serve
	pr.server.UpdatePlacements = pr.agent.ApplyPlacements
	pr.server.HandOver = pr.importContext
}

const (
	// claimWritesPerSecond is the share of the KV's write rate that claims of all shards may use.
	claimWritesPerSecond = 300
	// maxReplayBytes limits the size of the responses that an agent keeps for replay.
	maxReplayBytes core.Bytes = 8 << 20
	// claimTimeout limits the wait for a claim.
	claimTimeout = 3 * time.Second
)

// buildClaims creates the table of idempotency keys and the writer of the claim shards that the agent
// owns.
func (pr *Process) buildClaims() *claim.Keys {
	se := pr.Settings
	self := core.Claimant{VM: se.Name, Incarnation: pr.incarnation}
	writer := &claim.Writer{
		KV: pr.kv, Clock: pr.clock, Rand: pr.rand, Shards: se.ClaimShards, Window: se.KeyWindow,
		WriteInterval: time.Second * time.Duration(se.ClaimShards) / claimWritesPerSecond, Memory: &pr.accounts.Bytes,
	}
	dispatcher := &claim.Dispatcher{Board: pr.board, Peers: pr.peers, Clock: pr.clock, Writer: writer, Self: self}
	pr.server.Claim = writer.Claim
	return &claim.Keys{
		Clock: pr.clock, Self: self, Window: se.KeyWindow, MaxBytes: maxReplayBytes, ClaimTimeout: claimTimeout,
		Memory: &pr.accounts.Bytes,
		Ask:    dispatcher.Claim, Alive: dispatcher.Alive,
		Replayed: func() { pr.Stats.Add(stats.KeyReplays, 1) },
	}
}

func (pr *Process) endpoint(ep conf.EndpointSetting) *back.Endpoint {
	return &back.Endpoint{
		ID: ep.Name, URL: ep.URL, Engine: ep.Kind == conf.KindEngine, StallTimeout: pr.Settings.StallTimeout,
		EchoesAttempt: func() bool {
			cfg := pr.board.Snapshot().Config
			return cfg != nil && cfg.Checks(ep.Name).EchoesAttempt
		},
		Crossed: func() { pr.Stats.Add(stats.PartsDropped, 1) },
	}
}

// serve runs a call and counts its outcome.
func (pr *Process) serve(ctx context.Context, ca *core.Call, si core.Sink) (*core.Report, error) {
	pr.Stats.Add(stats.Requests, 1)
	pr.Stats.Add(stats.InProgress, 1)
	defer pr.Stats.Add(stats.InProgress, -1)
	rep, err := pr.serveWithinMemory(ctx, ca, si)
	if err == nil {
		pr.Stats.CountOutcome(core.Whole)
		return rep, nil
	}
	re := core.AsRefusal(err, "serve", string(pr.Settings.Name))
	pr.Stats.CountRefusal(re.Reason)
	pr.Stats.CountOutcome(re.Outcome)
	return rep, re
}

// serveWithinMemory runs a call if there is memory for its body until it ends.
func (pr *Process) serveWithinMemory(ctx context.Context, ca *core.Call, si core.Sink) (*core.Report, error) {
	size := int64(len(ca.Body))
	if !pr.accounts.Bytes.Reserve(ledger.Buffers, size) {
		return &core.Report{VM: pr.Settings.Name}, &core.Refusal{
			Outcome: core.NotRun, Reason: core.ReasonMemory, Step: "serve", Peer: string(pr.Settings.Name),
			Detail: "bodies of other calls take the memory that there is for them", RetryAfter: time.Second,
		}
	}
	defer pr.accounts.Bytes.Release(ledger.Buffers, size)
	return pr.agent.Serve(ctx, ca, si)
}

// registerStats registers the counters whose values components maintain themselves.
func (pr *Process) registerStats() {
	st := pr.Stats
	st.SetFunc(stats.ControlBytesSent, func() int64 { return int64(pr.controlBucket.Sent()) })
	st.SetFunc(stats.ControlMessagesHeldBack, pr.controlBucket.Refused)
	st.SetFunc(stats.ConfigRevision, func() int64 { return int64(pr.configLog.Revision()) })
	st.SetFunc(stats.BoardEventsDropped, pr.board.Dropped)
	st.SetFunc(stats.PeerConnectionsOpen, func() int64 { return int64(pr.peers.OpenCount()) })
	if pr.agent == nil {
		st.SetFunc(stats.OrdersFence, func() int64 {
			fence, _ := pr.orderController.Lease.Fence()
			return int64(fence)
		})
		return
	}
	sum := func(of func(running, waiting, load int64) int64) func() int64 {
		return func() int64 {
			var total int64
			for _, sl := range pr.agent.Slots {
				now := sl.Gate().Stats()
				total += of(int64(now.Running), int64(now.Queued), int64(now.Load))
			}
			return total
		}
	}
	st.SetFunc(stats.RunningCalls, sum(func(running, _, _ int64) int64 { return running }))
	st.SetFunc(stats.QueueCalls, sum(func(_, waiting, _ int64) int64 { return waiting }))
	st.SetFunc(stats.LoadWork, sum(func(_, _, load int64) int64 { return load }))
}
