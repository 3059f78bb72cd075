package deny_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/io/clock"
	"almondrill/io/deny"
	"almondrill/io/fakes/kvsrv"
	"almondrill/io/stats"
)

// Routers that use agents store quarantines in the KV. A router that received no notice of a
// quarantine finds it in the KV, and releases it once the entry is deleted. Entries that cannot be
// decoded are skipped.
func TestQuarantinesInTheKV(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := &kvsrv.Store{Clock: clock.Wall{}, Rand: clock.NewRand(1), Latency: 2 * time.Millisecond}
		store := &deny.KVStore{KV: kv}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		tr := &deny.Tracker{Peers: &group{}, Store: store, Stats: stats.New(), Log: zap.NewNop()}
		go func() { _ = store.Watch(ctx, tr, clock.Wall{}, func() int { return 2 }) }()
		qu := core.Quarantine{Request: core.Fingerprint{1}, Crashes: 3}
		rev, err := store.PutQuarantine(ctx, qu)
		if err != nil {
			t.Fatal(err)
		}
		if _, err = store.PutQuarantine(ctx, qu); !errors.Is(err, core.ErrConflict) {
			t.Errorf("second write of a new entry: %v, want a conflict", err)
		}
		for _, key := range []string{"quarantine/xx", "quarantine/01020304050607080102030405060708"} {
			if _, err = kv.Put(ctx, key, []byte("["), 0, 0); err != nil {
				t.Fatal(err)
			}
		}
		time.Sleep(3 * time.Second)
		if allowed, _ := tr.Allowed(ctx, qu.Request); allowed {
			t.Error("a router that watches the KV allows the request")
		}
		qu.Rev = rev
		if err = store.DeleteQuarantine(ctx, qu); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		if allowed, _ := tr.Allowed(ctx, qu.Request); !allowed {
			t.Error("the request is refused after its entry was deleted")
		}
	})
}
