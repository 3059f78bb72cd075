package node

import (
	"context"
	"time"

	"almondrill/core"
	"almondrill/io/guard"
)

// buildQuarantine creates the tracker of requests that crash endpoints, which the router must not
// send to agents.
func (pr *Process) buildQuarantine() {
	log := pr.Logs.Part("guard")
	pr.crashTracker = &guard.Ledger{
		Peers: &guard.Fleet{Board: pr.board, Peers: pr.peers, Rand: pr.rand, Spent: pr.controlBucket.Spend, Log: log},
		Store: &guard.KVStore{KV: pr.kv}, Stats: pr.Stats, Log: log,
	}
	pr.router.Crashes = pr.crashTracker
	pr.server.NotifyCrash = func(no *core.CrashNotice) { pr.crashTracker.Hear(time.Now(), "peer", *no) }
}

// watchQuarantines keeps the crash tracker up to date with the quarantines in the KV until ctx ends.
func (pr *Process) watchQuarantines(ctx context.Context) error {
	store := &guard.KVStore{KV: pr.kv}
	return store.Follow(ctx, pr.crashTracker, pr.clock, func() int { return len(pr.board.Snapshot().Routers) })
}
