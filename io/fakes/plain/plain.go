// Package plain is a small stand-in for a plain service: it answers lookups and
// takes drafts that must not repeat.
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

// Faults orders failures. The zero value is a healthy service.
type Faults struct {
	// Status answers with this HTTP status before running anything.
	Status int
	// CutShort breaks the connection off after the work was done.
	CutShort bool
}

// Service is the stand-in. Set the exported fields before use.
type Service struct {
	Clock core.Clock
	// Takes is the time of one call.
	Takes time.Duration
	Audit *audit.Audit

	mu        sync.Mutex // guards all below
	faults    Faults
	callCount int
}

// SetFaults orders faults from now on.
func (se *Service) SetFaults(fa Faults) {
	se.mu.Lock()
	defer se.mu.Unlock()
	se.faults = fa
}

// CallCount is the number of calls that ran.
func (se *Service) CallCount() int {
	se.mu.Lock()
	defer se.mu.Unlock()
	return se.callCount
}

// ServeHTTP answers with the request's method, path and body.
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
	_, _ = wr.Write(answer)
}
