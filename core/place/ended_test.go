package place_test

import (
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/builds"
	"almondrill/core/place"
)

// Guards against a stream that continues at a process which has taken the place of an endpoint of its version, and against
// a version that stays unknown for good.
func TestEndedProcessContinuesNoStream(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	pl := &place.Placer{Zone: "a", Rand: newRand(1), RouterCount: func() int { return 1 }}
	one := place.Endpoint{ID: "e1", Addr: "1", Pool: "pool", Zone: "a", Slots: 8, Software: "v1", Incarnation: 1}
	two := place.Endpoint{ID: "e2", Addr: "2", Pool: "pool", Zone: "a", Slots: 8, Software: "v1", Incarnation: 1}
	pl.Register(now, one)
	pl.Register(now, two)
	v1, hash := builds.Of("pool", "v1"), place.EndpointHash("e1", 1)
	// picks returns how often each endpoint is chosen for a stream of the build, and the builds of the tickets.
	picks := func(build core.Build) (map[core.EndpointID]int, map[core.EndpointID]core.Build) {
		count, at := map[core.EndpointID]int{}, map[core.EndpointID]core.Build{}
		for range 20 {
			tk, rf := pl.Pick(now, &place.Request{Pool: "pool", Build: build})
			if rf != nil {
				t.Fatal(rf)
			}
			count[tk.Endpoint.ID]++
			at[tk.Endpoint.ID] = tk.Build
			tk.Done(now, place.Neutral)
		}
		return count, at
	}
	chosen, rf := pl.Pick(now, &place.Request{Pool: "pool", Build: v1, Tried: []core.EndpointID{"e2"}})
	if rf != nil {
		t.Fatal(rf)
	}
	if id, pool, changed := pl.MarkEnded(now, hash); id != "e1" || pool != "pool" || !changed {
		t.Errorf("marked %s of %s: %t", id, pool, changed)
	}
	if _, _, changed := pl.MarkEnded(now, hash); changed {
		t.Error("marked twice")
	}
	if reason := chosen.BeforeSend(now); reason == "" {
		t.Error("a stream is sent on to the endpoint that was chosen before")
	}
	chosen.Done(now, place.Neutral)
	if got, _ := picks(v1); got["e1"] > 0 {
		t.Errorf("streams of the version continue there: %v", got)
	}
	if got, at := picks(0); got["e1"] == 0 || at["e1"] == v1 {
		t.Errorf("new streams: %v at builds %x, want some at both, of another build there", got, at)
	}
	if got := pl.ConfirmBuilds(now); len(got) > 0 {
		t.Errorf("confirmed %v too early", got)
	}
	if got := pl.ConfirmBuilds(now.Add(1)); len(got) != 1 {
		t.Errorf("confirmed %v, want e1", got)
	}
	if got, at := picks(v1); got["e1"] == 0 || at["e1"] != v1 {
		t.Errorf("after it was confirmed: %v at builds %x", got, at)
	}
	pl.MarkEnded(now, hash)
	one.Incarnation, one.Software = 2, "v2"
	pl.Register(now, one)
	if got, at := picks(0); got["e1"] == 0 || at["e1"] != builds.Of("pool", "v2") {
		t.Errorf("after it has registered: %v at builds %x", got, at)
	}
}
