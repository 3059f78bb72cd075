package gossip_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/place"
	"almondrill/io/gossip"
)

// Guards against lost endpoints of a large pool that each router has to find for itself, again each
// second. Where an endpoint gets few requests, no two routers find it within the time in which two
// have to report it.
func TestOneRequestDetectsLostEndpoint(t *testing.T) {
	t.Parallel()
	var lost atomic.Bool
	var attempts atomic.Int64
	lost.Store(true)
	all := meetWith(t, 4, func(gr *gossip.Group) {
		gr.Reach = func(context.Context, uint64) (bool, bool) {
			attempts.Add(1)
			return !lost.Load(), true
		}
	})
	for _, ro := range all {
		ro.Placer.Register(time.Now(), place.Endpoint{ID: "e2", Addr: "127.0.0.1:2", Pool: "pool", Slots: 8})
	}
	endpoint := core.EndpointID("e2")
	timesChosen := func() int {
		count := 0
		for _, ro := range all {
			for range 20 {
				tk, rf := ro.Placer.Pick(time.Now(), &place.Request{Pool: "pool", Engine: true})
				if rf != nil {
					t.Fatal(rf)
				}
				if tk.Endpoint.ID == endpoint {
					count++
				}
				tk.Done(time.Now(), place.Neutral)
			}
		}
		return count
	}
	if timesChosen() == 0 {
		t.Fatal("no router chooses the endpoint before it is lost: the test shows nothing")
	}
	all[0].ReportDown(place.EndpointHash(endpoint, 0))
	eventually(t, "no router chooses the lost endpoint", func() bool { return timesChosen() == 0 })
	for began := time.Now(); time.Since(began) < 4*place.UnreachableTTL; time.Sleep(50 * time.Millisecond) {
		if got := timesChosen(); got > 0 {
			t.Fatalf("chosen %d times again after %s, though it is still lost", got, time.Since(began))
		}
	}
	if got := attempts.Load(); got > 5 {
		t.Errorf("the owner tried to connect %d times in 4 s, want growing delays", got)
	}
	lost.Store(false)
	time.Sleep(4 * time.Second) // the owner's next attempt
	if timesChosen() == 0 {
		t.Error("no router chooses the endpoint after its return")
	}
}

// Guards against a router that alone is cut off from an endpoint and makes all others avoid it.
func TestEndpointUnreachableFromOneRouter(t *testing.T) {
	t.Parallel()
	all := meetWith(t, 3, func(gr *gossip.Group) {
		gr.Reach = func(context.Context, uint64) (bool, bool) { return true, true }
	})
	endpoint := place.EndpointHash("e", 0)
	all[0].ReportDown(endpoint)
	time.Sleep(300 * time.Millisecond)
	for ix, ro := range all {
		tk, rf := ro.Placer.Pick(time.Now(), &place.Request{Pool: "pool", Engine: true})
		if rf != nil {
			t.Fatal(rf)
		}
		if tk.CostMs > 100 {
			t.Errorf("router %d treats the endpoint as lost: %g ms", ix, tk.CostMs)
		}
		tk.Done(time.Now(), place.Neutral)
	}
}
