package place_test

import (
	"testing"
	"time"

	"almondrill/core/place"
)

// Guards against a call that is counted twice or not at all when a stopped run continues at its
// endpoint, and against an endpoint that gets no such call because it takes no new ones.
func TestAgainCountsOneCall(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	pl := newPlacer(1)
	ep := place.Endpoint{ID: "e1", Pool: "pool", Zone: "a", Slots: 4}
	pl.Register(now, ep)
	tk, rf := pl.Pick(now, &place.Request{
		Pool: "pool", Engine: true, EngineMemory: 1000, ExpectedOutput: 50, Parts: []place.Part{{Hash: 7, Tokens: 100}},
	})
	if rf != nil {
		t.Fatal(rf)
	}
	before := pl.LoadReport()
	ep.Draining = true
	pl.Register(now, ep)
	again := tk.Again(now, 20)
	tk.Done(now, place.Neutral)
	if got := pl.LoadReport(); string(got) != string(before) || again.Endpoint.ID != "e1" {
		t.Errorf("calls %x at %s, want %x at e1", got, again.Endpoint.ID, before)
	}
	again.Done(now, place.Served)
	if got := pl.LoadReport(); len(got) > 0 {
		t.Errorf("calls %x are left", got)
	}
}
