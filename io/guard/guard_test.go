package guard_test

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/place"
	"almondrill/io/clock"
	"almondrill/io/conns"
	"almondrill/io/guard"
	"almondrill/io/stand/local"
	"almondrill/io/stats"
)

func newController() *guard.Controller {
	one := func() int { return 1 }
	return &guard.Controller{
		Conns: &conns.Pool{}, Placer: &place.Placer{Rand: clock.NewRand(1), Routers: one}, Stats: stats.New(), Log: zap.NewNop(),
	}
}

// crashedUnder waits until that many requests are known to have run when endpoints crashed.
func crashedUnder(t *testing.T, ct *guard.Controller, want int64) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ct.Stats.Value(stats.CrashedUnder) == want {
			return
		}
	}
	t.Errorf("crashed under %d requests, want %d", ct.Stats.Value(stats.CrashedUnder), want)
}

// Two answers break off. One endpoint takes connections as before: an answer was lost. The
// other refuses them, and is known to have crashed although no request is sent to it.
func TestBrokenAnswerIsACrashOnlyIfTheEndpointIsGone(t *testing.T) {
	ct := newController()
	alive, dead := local.Listen(t), local.Listen(t)
	_ = dead.Close()
	ct.Broke(core.EndpointRef{ID: "alive", Addr: alive.Addr().String(), Hash: 1}, time.Now(), core.Fingerprint{1})
	ct.Broke(core.EndpointRef{ID: "dead", Addr: dead.Addr().String(), Hash: 2}, time.Now(), core.Fingerprint{2})
	crashedUnder(t, ct, 1)
	time.Sleep(300 * time.Millisecond)
	crashedUnder(t, ct, 1)
}

// An endpoint drains and ends with a request that takes too long: that is no crash.
func TestEndOfADrainingEndpointIsNoCrash(t *testing.T) {
	ct := newController()
	dead := local.Listen(t)
	_ = dead.Close()
	ep := place.Endpoint{ID: "e", Addr: dead.Addr().String(), Pool: "pool", Slots: 1, Draining: true}
	ct.Placer.Register(time.Now(), ep)
	ct.Broke(core.EndpointRef{ID: ep.ID, Addr: ep.Addr, Hash: place.HashOf(ep.ID, 0)}, time.Now(), core.Fingerprint{1})
	time.Sleep(50 * time.Millisecond)
	crashedUnder(t, ct, 0)
}
