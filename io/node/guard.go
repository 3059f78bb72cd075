package node

import (
	"context"
	"time"

	"almondrill/core"
	"almondrill/io/deny"
)

// buildQuarantine makes what keeps a router from sending requests on that crash endpoints.
func (pr *Process) buildQuarantine() {
	log := pr.Logs.Part("guard")
	pr.ledger = &deny.Tracker{
		Peers: &deny.BoardPeers{Board: pr.board, Peers: pr.peers, Rand: pr.rand, BytesSent: pr.controlBucket.Spend, Log: log},
		Store: &deny.KVStore{KV: pr.kv}, Stats: pr.Stats, Log: log,
	}
	pr.router.Crashes = pr.ledger
	pr.server.NotifyCrash = func(no *core.CrashNotice) { pr.ledger.ApplyNotice(time.Now(), "peer", *no) }
}

func (pr *Process) watchQuarantines(ctx context.Context) error {
	store := &deny.KVStore{KV: pr.kv}
	return store.Watch(ctx, pr.ledger, pr.clock, func() int { return len(pr.board.Snapshot().Routers) })
}
