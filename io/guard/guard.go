// Package guard keeps requests that crash endpoints from being sent on, for one router.
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
package guard

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
	// secondLook is when an endpoint is looked at again that took a connection right after an
	// attempt had broken off there: the parts of a process do not all end at once.
	secondLook = 250 * time.Millisecond
	// lookTimeout bounds a connection that is made to find out about an endpoint.
	lookTimeout = time.Second
)

// Controller finds crashes for the Ledger of a router that calls endpoints itself. Set the
// exported fields before use.
type Controller struct {
	*Ledger
	Conns  *conns.Pool
	Placer *place.Placer

	breaks crash.Interruptions

	lookMu  sync.Mutex // guards looking
	looking map[uint64]bool
}

var _ core.CrashDetector = (*Controller)(nil)

// Interrupted implements core.CrashWatch.
func (ct *Controller) Interrupted(en core.EndpointRef, began time.Time, fp core.Fingerprint) {
	if ct.Placer.Draining(en.Hash) {
		return // it ends as planned
	}
	now := time.Now()
	if ct.breaks.Add(now, crash.Attempt{Endpoint: en.Hash, Request: fp, StartedAt: began}) {
		ct.crashed(now, en, crash.Refused, []core.Fingerprint{fp})
		return
	}
	if ct.startLook(en.Hash) {
		go ct.look(en)
	}
}

// ConnRefused implements core.CrashWatch.
func (ct *Controller) ConnRefused(en core.EndpointRef) { ct.gone(en, crash.Refused) }

// Replaced tells that another process has registered in the place of an endpoint that did
// not drain.
func (ct *Controller) Replaced(en core.EndpointRef) { ct.gone(en, crash.Replaced) }

func (ct *Controller) gone(en core.EndpointRef, ev crash.Evidence) {
	now := time.Now()
	if requests := ct.breaks.EndpointGone(now, en.Hash, ev); len(requests) > 0 {
		ct.crashed(now, en, ev, requests)
	}
}

func (ct *Controller) crashed(now time.Time, en core.EndpointRef, ev crash.Evidence, requests []core.Fingerprint) {
	ct.Log.Warn("An endpoint crashed.", zap.String("Endpoint", string(en.ID)), zap.String("Addr", en.Addr),
		zap.Stringer("Evidence", ev), zap.Stringers("Ran", requests))
	ct.Ledger.crashed(now, en.Hash, requests)
}

// look finds out whether an endpoint is gone at which an attempt broke off. A connection that
// is made in vain is kept for the next request.
func (ct *Controller) look(en core.EndpointRef) {
	defer ct.endLook(en.Hash)
	ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
	defer cancel()
	for range 2 {
		if err := ct.Conns.Connect(ctx, en.Addr); errors.Is(err, syscall.ECONNREFUSED) {
			ct.gone(en, crash.Refused)
			return
		}
		select {
		case <-time.After(secondLook):
		case <-ctx.Done():
			return
		}
		if !ct.breaks.Pending(en.Hash) {
			return
		}
	}
}

// startLook is false if somebody looks already.
func (ct *Controller) startLook(endpoint uint64) bool {
	ct.lookMu.Lock()
	defer ct.lookMu.Unlock()
	if ct.looking[endpoint] {
		return false
	}
	if ct.looking == nil {
		ct.looking = map[uint64]bool{}
	}
	ct.looking[endpoint] = true
	return true
}

func (ct *Controller) endLook(endpoint uint64) {
	ct.lookMu.Lock()
	defer ct.lookMu.Unlock()
	delete(ct.looking, endpoint)
}
