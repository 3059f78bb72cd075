package place_test

import (
	"maps"
	"testing"

	"almondrill/core"
	"almondrill/core/place"
)

// plainCalls places 8 calls in a pool of four plain endpoints, of which a peer reported to have 12
// calls at each of the last two, and returns where they went. One endpoint is in the router's zone.
func plainCalls(t *testing.T, ownCallsOnly bool) map[core.EndpointID]int {
	t.Helper()
	pl, peer := newPlacer(2), newPlacer(2)
	for ix := range 4 {
		ep := endpoint(ix)
		ep.Slots = 6
		if ix > 0 {
			ep.Zone = "b"
		}
		pl.Register(begin, ep)
		peer.Register(begin, ep)
	}
	for range 24 {
		if _, rf := peer.Pick(begin, &place.Request{Pool: pool, Tried: []core.EndpointID{"e00", "e01"}}); rf != nil {
			t.Fatal(rf)
		}
	}
	pl.ApplyLoadReport(begin, "peer", peer.LoadReport())
	if slots, calls := pl.PlainCapacity(begin, pool); slots != 24 || calls != 24 {
		t.Errorf("%d slots with %d calls, want 24 of each", slots, calls)
	}
	at := map[core.EndpointID]int{}
	for range 8 {
		tk, rf := pl.Pick(begin, &place.Request{Pool: pool, OwnCallsOnly: ownCallsOnly})
		if rf != nil {
			t.Fatal(rf)
		}
		at[tk.Endpoint.ID]++
	}
	return at
}

// Guards against routers that all send their next calls to the endpoints that were idle when peers
// reported them: while requests compete, calls are shorter than the reports are old. Otherwise
// peers' reports must count as before.
func TestOwnCallsOnlyIgnoresReports(t *testing.T) {
	if at := plainCalls(t, true); !maps.Equal(at, map[core.EndpointID]int{"e00": 2, "e01": 2, "e02": 2, "e03": 2}) {
		t.Errorf("by own calls alone, calls went to %v, want 2 to each endpoint", at)
	}
	if at := plainCalls(t, false); at["e02"]+at["e03"] > 0 {
		t.Errorf("calls went to %v, want none to the endpoints that the peer filled", at)
	}
}

// Guards against calls to an endpoint that became slow: where each router has few calls, it does not
// notice that calls queue there.
func TestOwnCallsOnlyAvoidsCongestedEndpoint(t *testing.T) {
	for calls, want := range map[int]int{12: 2, 20: 0} {
		pl, peer := newPlacer(100), newPlacer(100)
		for ix := range 4 {
			ep := endpoint(ix)
			ep.Slots = 6
			pl.Register(begin, ep)
			peer.Register(begin, ep)
		}
		for range calls {
			if _, rf := peer.Pick(begin, &place.Request{Pool: pool, Tried: []core.EndpointID{"e00", "e01", "e02"}}); rf != nil {
				t.Fatal(rf)
			}
		}
		pl.ApplyLoadReport(begin, "peer", peer.LoadReport())
		got := 0
		for range 8 {
			tk, rf := pl.Pick(begin, &place.Request{Pool: pool, OwnCallsOnly: true})
			if rf != nil {
				t.Fatal(rf)
			}
			if tk.Endpoint.ID == "e03" {
				got++
			}
		}
		if got != want {
			t.Errorf("%d of 8 calls went to an endpoint with %d others' calls in 6 slots, want %d", got, calls, want)
		}
	}
}
