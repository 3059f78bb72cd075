// Package plain is a small fake of a plain service: it serves lookups and accepts drafts, which
// are not idempotent.
//
// # Usage
//
//	se := &plain.Service{Clock: clock, Takes: time.Millisecond}
//	http.Serve(listener, se)
package plain

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"almondrill/core"
	"almondrill/io/fakes/audit"
)

// Faults selects the faults to inject. The zero value is a healthy service.
type Faults struct {
	// Status, if not 0, is the HTTP status with which calls are refused before they run.
	Status int
	// CutShort closes the connection after the call has run, without a response.
	CutShort bool
	// Unframed answers without length and chunks: the answer ends with its connection.
	Unframed bool
}

// Service is the fake service. Set the exported fields before use.
type Service struct {
	Clock core.Clock
	// Takes is the duration of a call.
	Takes time.Duration
	Audit *audit.Audit

	mu        sync.Mutex // guards all below
	faults    Faults
	callCount int
}

// SetFaults replaces the injected faults.
func (se *Service) SetFaults(fa Faults) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.faults = fa
}

// CallCount returns the number of calls that have run.
func (se *Service) CallCount() int {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.callCount
}

// ServeHTTP responds with the request's method, path and body as JSON.
func (se *Service) ServeHTTP(wr http.ResponseWriter, rq *http.Request) {
	body, err := io.ReadAll(rq.Body)
	if err != nil {
		return
	}
	se.mu.Lock()
	fa := se.faults
	se.mu.Unlock()
	if fa.Status != 0 {
		http.Error(wr, "ordered fault", fa.Status)
		return
	}
	nonce := rq.URL.Path + "|" + string(body)
	if se.Audit != nil {
		se.Audit.RecordExecution(nonce, rq.Header.Get("Idempotency-Key"))
	}
	_ = se.Clock.Sleep(rq.Context(), se.Takes)
	se.mu.Lock()
	se.callCount++
	se.mu.Unlock()
	if fa.CutShort {
		panic(http.ErrAbortHandler)
	}
	answer, _ := json.Marshal(struct{ Method, Path, Body string }{rq.Method, rq.URL.Path, string(body)})
	if se.Audit != nil {
		se.Audit.RecordSent(nonce, string(answer))
	}
	wr.Header().Set("Content-Type", "application/json")
	wr.Header().Set("X-Request-Id", rq.Header.Get("X-Request-Id"))
	if fa.Unframed {
		wr.Header().Set("Transfer-Encoding", "identity")
	}
	_, _ = wr.Write(answer)
}
