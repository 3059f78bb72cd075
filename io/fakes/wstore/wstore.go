// Package wstore is a small stand-in for the platform's weight store, for the demo
// and for tests.
//
// # Concepts
//
// GET /weights/{Model}/{Version} takes Time. At most AtOnce fetches run at a time;
// further ones are refused with status 429, as a rate-limited store does.
//
// # Usage
//
//	st := &wstore.Store{Clock: clock, Time: time.Second, AtOnce: 4}
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

// ErrBusy: as many fetches as the store allows are running.
var ErrBusy = errors.New("weight store: too many fetches")

// Store is the stand-in. Set the exported fields before use.
type Store struct {
	Clock core.Clock
	// FetchTime is what a fetch takes, AtOnce how many may run; 0 is no limit.
	FetchTime  time.Duration
	MaxFetches int

	mu      sync.Mutex // guards all below
	running int
	counts  Counts
}

// Counts are what the store did so far.
type Counts struct{ Fetched, Refused, Peak int }

// Counts are what the store did so far.
func (st *Store) Counts() Counts {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.counts
}

// BeginFetch starts a fetch; End is called after it if the error is nil.
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

// EndFetch ends a fetch.
func (st *Store) EndFetch() {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.running--
	st.counts.Fetched++
}

// Handler serves the store's protocol.
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
