// Package guard finds out, for one router, which requests crash the endpoints that run them.
//
// # Concepts
//
// The relay tells a Controller how attempts end. An attempt that broke off is looked into: the
// Controller connects to the endpoint, and one that refuses has crashed while it ran all
// that broke off there. The decisions are in core/blame.
//
// # Invariants
//
//   - No request waits for what the Controller finds out.
//   - At most one connection at a time is made to an endpoint to find out about it.
//
// # Usage
//
//	ct := &guard.Controller{Conns: po, Placer: pl, Stats: st, Log: lo}
//	relay.Blame = ct
package guard

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/blame"
	"almondrill/core/place"
	"almondrill/io/conns"
	"almondrill/io/stats"
)

const (
	// secondLook is when an endpoint is looked at again that took a connection right after an
	// attempt had broken off there: the parts of a process do not all end at once.
	secondLook = 250 * time.Millisecond
	// lookTimeout bounds a connection that is made to find out about an endpoint.
	lookTimeout = time.Second
)

// Controller is one router's. Set the exported fields before use.
type Controller struct {
	Conns  *conns.Pool
	Placer *place.Placer
	Stats  *stats.Set
	Log    *zap.Logger

	breaks blame.Breaks

	mu      sync.Mutex // guards looking
	looking map[uint64]bool
}

var _ core.Blame = (*Controller)(nil)

// Broke implements core.Blame.
func (ct *Controller) Broke(en core.EndpointRef, began time.Time, fp core.Fingerprint) {
	if ct.Placer.Draining(en.Hash) {
		return // it ends as planned
	}
	now := time.Now()
	if ct.breaks.Broke(now, blame.Run{Endpoint: en.Hash, Request: fp, Began: began}) {
		ct.crashed(now, en, blame.Refused, []core.Fingerprint{fp})
		return
	}
	if ct.startLook(en.Hash) {
		go ct.look(en)
	}
}

// Refused implements core.Blame.
func (ct *Controller) Refused(en core.EndpointRef) { ct.gone(en, blame.Refused) }

// Replaced tells that another process has registered in the place of an endpoint that did
// not drain.
func (ct *Controller) Replaced(en core.EndpointRef) { ct.gone(en, blame.Replaced) }

func (ct *Controller) gone(en core.EndpointRef, ev blame.Evidence) {
	now := time.Now()
	if requests := ct.breaks.Gone(now, en.Hash, ev); len(requests) > 0 {
		ct.crashed(now, en, ev, requests)
	}
}

// crashed takes that an endpoint crashed while it ran the requests.
func (ct *Controller) crashed(_ time.Time, en core.EndpointRef, ev blame.Evidence, requests []core.Fingerprint) {
	ct.Stats.Add(stats.CrashedUnder, int64(len(requests)))
	ct.Log.Warn("An endpoint crashed.", zap.String("Endpoint", string(en.ID)), zap.String("Addr", en.Addr),
		zap.Stringer("Evidence", ev), zap.Stringers("Ran", requests))
}

// look finds out whether an endpoint is gone at which an attempt broke off. A connection that
// is made in vain is kept for the next request.
func (ct *Controller) look(en core.EndpointRef) {
	defer ct.endLook(en.Hash)
	ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
	defer cancel()
	for range 2 {
		if err := ct.Conns.Reach(ctx, en.Addr); errors.Is(err, syscall.ECONNREFUSED) {
			ct.gone(en, blame.Refused)
			return
		}
		select {
		case <-time.After(secondLook):
		case <-ctx.Done():
			return
		}
		if !ct.breaks.Waiting(en.Hash) {
			return
		}
	}
}

// startLook is false if somebody looks already.
func (ct *Controller) startLook(endpoint uint64) bool {
	ct.mu.Lock()
	defer ct.mu.Unlock()
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
	ct.mu.Lock()
	defer ct.mu.Unlock()
	delete(ct.looking, endpoint)
}
