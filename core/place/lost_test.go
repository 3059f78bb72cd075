package place_test

import (
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/place"
)

// A part of a pool crashes. A router that has sent chats there has not found out, and names the
// dead engines as those from which others are to take the chats over: each caller waits 0.3 s for
// a fetch that cannot come. Told by its peers, it names others or none.
func TestNothingIsFetchedFromAnUnreachableEngine(t *testing.T) {
	pl := newPlacer(100)
	register(pl, 6)
	homes := map[uint64]core.EndpointID{}
	for id := range uint64(60) {
		homes[id] = serve(t, pl, begin, newRequest(chat(1, id))).Endpoint.ID
	}
	lost := endpoint(0)
	later := begin.Add(time.Second)
	pl.MarkUnreachable(later, place.EndpointHash(lost.ID, 0), place.UnreachableTTL)
	named, sent := 0, 0
	for id := range uint64(60) {
		rq := newRequest(chat(1, id))
		rq.Tried = []core.EndpointID{homes[id]}
		tk := pick(t, pl, later, rq)
		if tk.FetchFrom == lost.Addr {
			named++
		}
		if tk.Endpoint.ID == lost.ID {
			sent++
		}
		tk.Done(later, place.Served)
	}
	if named > 0 || sent > 0 {
		t.Errorf("the lost engine was named as a source %d times and sent %d calls", named, sent)
	}
	if tk := pick(t, pl, later.Add(2*time.Second), newRequest(chat(1, 0))); tk.Endpoint.ID != homes[0] {
		t.Error("a chat does not return to its home once nobody says that it is down")
	}
}

// Two routers that are cut off tell that all engines are down. The others must not refuse
// their callers for it, nor leave an engine that has just answered them.
func TestWrongReportOfUnreachableEngines(t *testing.T) {
	pl := newPlacer(100)
	register(pl, 3)
	for ix := range 3 {
		pl.MarkUnreachable(begin, place.EndpointHash(endpoint(ix).ID, 0), place.UnreachableTTL)
	}
	home := serve(t, pl, begin, newRequest(chat(1, 1)))
	for ix := range 3 {
		pl.MarkUnreachable(begin.Add(time.Millisecond), place.EndpointHash(endpoint(ix).ID, 0), place.UnreachableTTL)
	}
	if tk := pick(t, pl, begin.Add(2*time.Millisecond), newRequest(chat(1, 1))); tk.Endpoint.ID != home.Endpoint.ID {
		t.Error("an engine that has just answered is left, as peers say that it is down")
	}
}
