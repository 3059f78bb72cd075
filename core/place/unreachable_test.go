package place_test

import (
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/place"
)

// Guards against fetches from dead engines: a part of a pool crashes, and a router that has sent
// chats there names them as sources, so that each caller waits 0.3 s for a fetch that cannot
// succeed. After reports of its peers, the router names other sources or none.
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
		t.Errorf("the unreachable engine was named as a source %d times and sent %d calls", named, sent)
	}
	if tk := pick(t, pl, later.Add(2*time.Second), newRequest(chat(1, 0))); tk.Endpoint.ID != homes[0] {
		t.Error("a chat does not return to its home when the reports have expired")
	}
}

// Guards against false reports: two partitioned routers report that all engines are down. The
// others must neither refuse calls nor leave an engine that has just responded to them.
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
		t.Error("a chat left an engine that has just responded, because peers reported it down")
	}
}
