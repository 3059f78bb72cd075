// Package wstore is a small fake of the platform's weight store, for the demo and for tests.
//
// # Concepts
//
// GET /weights/{Model}/{Version} takes FetchTime. At most MaxFetches fetches run at a time; further
// ones are refused with status 429, as by a rate-limited store.
//
// # Usage
//
//	st := &wstore.Store{Clock: clock, FetchTime: time.Second, MaxFetches: 4}
//	http.Serve(listener, st.Handler())
package wstore

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"almondrill/core"
)

// ErrBusy is returned while MaxFetches fetches are running.
var ErrBusy = errors.New("weight store: too many fetches")

// Store is the fake store. Set the exported fields before use.
type Store struct {
	Clock core.Clock
	// FetchTime is the duration of a fetch. MaxFetches is how many may run at a time; 0 means no
	// limit.
	FetchTime  time.Duration
	MaxFetches int

	mu      sync.Mutex // guards all below
	running int
	counts  Counts
}

// Counts holds the numbers of fetches completed and refused, and the largest number that ran at a
// time.
type Counts struct{ Fetched, Refused, Peak int }

// Counts returns the counts so far.
func (st *Store) Counts() Counts {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.counts
}

// BeginFetch starts a fetch. If it returns nil, EndFetch must be called afterwards.
func (st *Store) BeginFetch() error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.MaxFetches > 0 && st.running >= st.MaxFetches {
		st.counts.Refused++
		return ErrBusy
	}
	st.running++
	st.counts.Peak = max(st.counts.Peak, st.running)
	return nil
}

// EndFetch ends a fetch that BeginFetch started.
func (st *Store) EndFetch() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.running--
	st.counts.Fetched++
}

// Handler returns the handler of the store's protocol.
func (st *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /weights/{Model}/{Version...}", st.handleGet)
	return mux
}

func (st *Store) handleGet(wr http.ResponseWriter, rq *http.Request) {
	if err := st.BeginFetch(); err != nil {
		wr.Header().Set("Retry-After", "1")
		http.Error(wr, err.Error(), http.StatusTooManyRequests)
		return
	}
	defer st.EndFetch()
	if st.Clock.Sleep(rq.Context(), st.FetchTime) != nil {
		return
	}
	fmt.Fprintf(wr, "weights of %s %s\n", rq.PathValue("Model"), rq.PathValue("Version"))
}
