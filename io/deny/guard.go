// Package deny keeps requests that crash endpoints from being sent on, for one router.
//
// # Concepts
//
// A router asks its Ledger before it sends a request, and tells it how attempts end and which
// endpoints crashed. What follows is decided in core/blame; the Ledger tells peers, and keeps
// quarantines in the platform's store, so that they outlive all routers.
//
// A router that calls endpoints itself has a Controller, which finds crashes: where an attempt
// broke off it connects to the endpoint, and one that refuses has crashed while it ran all
// that broke off there. Before agents, these tell.
//
// # Invariants
//
//   - No request waits for what the Controller finds out, but for a trial, which one router
//     wins in the store.
//   - At most one connection at a time is made to an endpoint to find out about it.
//   - The store is called for a quarantine that begins, ends, is tried or renewed, and never
//     for a suspect.
//
// # Usage
//
//	le := &guard.Ledger{Peers: gr, Store: pf, Stats: st, Log: lo}
//	go le.Run(ctx)
//	relay.Blame = &guard.Controller{Ledger: le, Conns: po, Placer: pl}
package deny

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/crash"
	"almondrill/core/place"
	"almondrill/io/conns"
)

const (
	// secondProbeDelay is when an endpoint is looked at again that took a connection right after an
	// attempt had broken off there: the parts of a process do not all end at once.
	secondProbeDelay = 250 * time.Millisecond
	// probeTimeout bounds a connection that is made to find out about an endpoint.
	probeTimeout = time.Second
)

// Detector finds crashes for the Ledger of a router that calls endpoints itself. Set the
// exported fields before use.
type Detector struct {
	*Tracker
	Conns  *conns.Pool
	Placer *place.Placer

	interruptions crash.Interruptions

	probeMu sync.Mutex // guards looking
	probing map[uint64]bool
}

var _ core.CrashDetector = (*Detector)(nil)

// Interrupted implements core.CrashWatch.
func (de *Detector) Interrupted(en core.EndpointRef, began time.Time, fp core.Fingerprint) {
	if de.Placer.Draining(en.Hash) {
		return // it ends as planned
	}
	now := time.Now()
	if de.interruptions.Add(now, crash.Attempt{Endpoint: en.Hash, Request: fp, StartedAt: began}) {
		de.crashed(now, en, crash.Refused, []core.Fingerprint{fp})
		return
	}
	if de.beginProbe(en.Hash) {
		go de.probe(en)
	}
}

// ConnRefused implements core.CrashWatch.
func (de *Detector) ConnRefused(en core.EndpointRef) { de.endpointGone(en, crash.Refused) }

// Replaced tells that another process has registered in the place of an endpoint that did
// not drain.
func (de *Detector) Replaced(en core.EndpointRef) { de.endpointGone(en, crash.Replaced) }

func (de *Detector) endpointGone(en core.EndpointRef, ev crash.Evidence) {
	now := time.Now()
	if requests := de.interruptions.EndpointGone(now, en.Hash, ev); len(requests) > 0 {
		de.crashed(now, en, ev, requests)
	}
}

func (de *Detector) crashed(now time.Time, en core.EndpointRef, ev crash.Evidence, requests []core.Fingerprint) {
	de.Log.Warn("An endpoint crashed.", zap.String("Endpoint", string(en.ID)), zap.String("Addr", en.Addr),
		zap.Stringer("Evidence", ev), zap.Stringers("Ran", requests))
	de.Tracker.crashed(now, en.Hash, requests)
}

// probe finds out whether an endpoint is gone at which an attempt broke off. A connection that
// is made in vain is kept for the next request.
func (de *Detector) probe(en core.EndpointRef) {
	defer de.endProbe(en.Hash)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	for range 2 {
		if err := de.Conns.Connect(ctx, en.Addr); errors.Is(err, syscall.ECONNREFUSED) {
			de.endpointGone(en, crash.Refused)
			return
		}
		select {
		case <-time.After(secondProbeDelay):
		case <-ctx.Done():
			return
		}
		if !de.interruptions.Pending(en.Hash) {
			return
		}
	}
}

// beginProbe is false if somebody looks already.
func (de *Detector) beginProbe(endpoint uint64) bool {
	de.probeMu.Lock()
	defer de.probeMu.Unlock()
	if de.probing[endpoint] {
		return false
	}
	if de.probing == nil {
		de.probing = map[uint64]bool{}
	}
	de.probing[endpoint] = true
	return true
}

func (de *Detector) endProbe(endpoint uint64) {
	de.probeMu.Lock()
	defer de.probeMu.Unlock()
	delete(de.probing, endpoint)
}
