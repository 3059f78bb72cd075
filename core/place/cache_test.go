package place_test

import (
	"runtime"
	"testing"
)

// heapSize returns the size of the live heap, in bytes.
func heapSize() int64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}

// Guards against a router that is killed for its memory: it has hundreds of endpoints and runs for
// hours, and each request adds a chat to the cache models. They are bounded over all endpoints, in
// parts and in bytes, but must keep the latest chat.
func TestPartIndexIsBounded(t *testing.T) {
	const most, mostBytes = 65536, 8 << 20
	before := heapSize()
	pl := newPlacer(1)
	register(pl, 60)
	rq := newRequest(nil)
	rq.EngineMemory = 0 // unknown, so that it sets no bound
	for id := range uint64(2 * most) {
		rq.Parts = chat(id%3, id)
		serve(t, pl, begin, rq)
	}
	if entries := pl.IndexEntries(); entries > most {
		t.Errorf("%d parts are in the index, want at most %d", entries, most)
	}
	if size := heapSize() - before; size > mostBytes {
		t.Errorf("the cache models take %d bytes, want at most %d", size, mostBytes)
	}
	last := serve(t, pl, begin, rq)
	if last.UncachedTokens > rq.Parts[2].Tokens {
		t.Errorf("%d tokens of the latest chat are expected to be prefilled, want only its new turn", last.UncachedTokens)
	}
}

// Guards against fetches from a removed endpoint: if its parts were still found, its address would
// be named as a holder forever.
func TestRemovedEndpointIsNoHolder(t *testing.T) {
	pl := newPlacer(1)
	register(pl, 2)
	for id := range uint64(50) {
		serve(t, pl, begin, newRequest(chat(1, id)))
	}
	pl.Remove(endpoint(0).ID)
	for id := range uint64(50) {
		if tk := serve(t, pl, begin, newRequest(chat(1, id))); tk.FetchFrom == endpoint(0).Addr {
			t.Fatal("a removed endpoint is named as a holder")
		}
	}
}
