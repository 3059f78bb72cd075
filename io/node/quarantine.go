package node

import (
	"context"
	"time"

	"almondrill/core"
	"almondrill/io/deny"
)

// buildQuarantine creates the crash tracker, which keeps the router from sending requests that crash
// endpoints to agents.
func (pr *Process) buildQuarantine() {
	log := pr.Logs.Part("guard")
	pr.crashTracker = &deny.Tracker{
		Peers: &deny.BoardPeers{Board: pr.board, Peers: pr.peers, Rand: pr.rand, BytesSent: pr.controlBucket.Spend, Log: log},
		Store: &deny.KVStore{KV: pr.kv}, Stats: pr.Stats, Log: log,
	}
	pr.router.Crashes = pr.crashTracker
	pr.server.NotifyCrash = func(no *core.CrashNotice) { pr.crashTracker.ApplyNotice(time.Now(), "peer", *no) }
}

// watchQuarantines keeps the crash tracker up to date with the quarantines in the KV until ctx ends.
func (pr *Process) watchQuarantines(ctx context.Context) error {
	store := &deny.KVStore{KV: pr.kv}
	return store.Watch(ctx, pr.crashTracker, pr.clock, func() int { return len(pr.board.Snapshot().Routers) })
}
