package place_test

import "testing"

// A router before hundreds of endpoints runs for hours, and each request names a chat. What
// it remembers to have sent grows by each until the process is killed for its memory, unless it
// is bounded over all endpoints. The latest chat has to be remembered all the same.
func TestPartIndexIsBounded(t *testing.T) {
	const most = 65536
	pl := newPlacer(1)
	register(pl, 60)
	rq := newRequest(nil)
	rq.EngineMemory = 0 // unknown, so that it bounds nothing
	for id := range uint64(2 * most) {
		rq.Parts = chat(id%3, id)
		serve(t, pl, begin, rq)
	}
	if entries := pl.IndexEntries(); entries > most {
		t.Errorf("%d parts are remembered, want at most %d", entries, most)
	}
	last := serve(t, pl, begin, rq)
	if last.UncachedTokens > rq.Parts[2].Tokens {
		t.Errorf("%d tokens of the latest chat are thought to be read anew, want its new turn alone", last.UncachedTokens)
	}
}

// An endpoint leaves with parts in its record. Were they still found, its address would be
// named to others as a holder for good.
func TestRemovedEndpointIsNoHolder(t *testing.T) {
	pl := newPlacer(1)
	register(pl, 2)
	for id := range uint64(50) {
		serve(t, pl, begin, newRequest(chat(1, id)))
	}
	pl.Remove(endpoint(0).ID)
	for id := range uint64(50) {
		if tk := serve(t, pl, begin, newRequest(chat(1, id))); tk.FetchFrom == endpoint(0).Addr {
			t.Fatal("an endpoint that is gone is named as a holder")
		}
	}
}
