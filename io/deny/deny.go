// Package deny keeps one router from sending requests that crash endpoints.
//
// # Concepts
//
// A router asks its Tracker before it sends a request, and reports to it which attempts succeeded
// and which endpoints crashed. Package core/crash decides what follows. The Tracker notifies peers,
// and writes quarantines to the platform's store, so that they survive the restart of all routers.
//
// A router that calls endpoints itself uses a Detector, which detects crashes: after an attempt was
// interrupted, it connects to the endpoint. One that refuses the connection has crashed while it
// executed all attempts that were interrupted there. A router that uses agents learns of crashes
// from them.
//
// # Invariants
//
//   - A request waits only for the store's answer to the claim of a trial, never for a Detector.
//   - A Detector makes at most one connection at a time to an endpoint.
//   - The store is written when a quarantine begins, ends, is tried or renewed. Runs of suspects are written many at
//     a time, and by all routers together at a bounded rate.
//
// # Usage
//
//	tr := &deny.Tracker{Peers: gr, Store: pf, Stats: st, Log: lo}
//	go tr.Run(ctx)
//	relay.Crashes = &deny.Detector{Tracker: tr, Conns: po, Placer: pl}
package deny

import (
	"context"
	"errors"
	"slices"
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
	// secondProbeDelay is the time between the two probes of an endpoint. A crashing process may
	// still accept a connection just after it interrupted an attempt: its parts do not all end at
	// once.
	secondProbeDelay = 250 * time.Millisecond
	// probeTimeout bounds both probes of an endpoint together.
	probeTimeout = time.Second
	// settleTimeout bounds the wait for the first probe: a connection to an endpoint that is well, or has
	// crashed, takes a transit delay or two.
	settleTimeout = 20 * time.Millisecond
	// ownersDelay is the wait for the owners of a suspect, who learn of a crash and notify all of a
	// quarantine: a few transit delays, and the scheduling delay on busy peers.
	ownersDelay = 10 * time.Millisecond
	// maxLoggedParts bounds the suspected parts in the log line of a crash.
	maxLoggedParts = 128
)

// Detector detects crashes for the Tracker of a router that calls endpoints itself. Set the
// exported fields before use.
type Detector struct {
	*Tracker
	Conns  *conns.Pool
	Placer *place.Placer
	// Ended is called for endpoints that refuse connections, whose processes have ended; may be nil.
	Ended func(now time.Time, endpoint uint64)

	interruptions crash.Interruptions

	probeMu sync.Mutex // guards probing
	// probing holds, for each endpoint that is being probed, a channel that is closed after the first probe.
	probing map[uint64]chan struct{}
}

var _ core.CrashDetector = (*Detector)(nil)

// Interrupted implements core.CrashDetector.
func (de *Detector) Interrupted(en core.EndpointRef, began time.Time, request core.Fingerprint, parts ...core.Fingerprint) {
	if de.Placer.Draining(en.Hash) {
		return // a planned shutdown, not a crash
	}
	now := time.Now()
	if de.interruptions.Add(now, crash.Attempt{Endpoint: en.Hash, Request: request, Parts: parts, StartedAt: began}) {
		de.crashed(now, en, crash.Refused, append([]core.Fingerprint{request}, parts...))
		return
	}
	if first, began := de.beginProbe(en.Hash); began {
		go de.probe(en, first)
	}
}

// Settle implements core.CrashDetector. A request that crashes endpoints is sent to the next one within a
// millisecond otherwise, before its last crash counts.
func (de *Detector) Settle(ctx context.Context, en core.EndpointRef) {
	de.probeMu.Lock()
	first := de.probing[en.Hash]
	de.probeMu.Unlock()
	if first != nil {
		select {
		case <-first:
		case <-time.After(settleTimeout):
		case <-ctx.Done():
		}
	}
	if !de.interruptions.RecentlyGone(time.Now(), en.Hash) {
		return
	}
	select {
	case <-time.After(ownersDelay):
	case <-ctx.Done():
	}
}

// ConnRefused implements core.CrashDetector.
func (de *Detector) ConnRefused(en core.EndpointRef) { de.endpointGone(en, crash.Refused) }

// Replaced records that another process has registered in place of an endpoint that was not
// draining.
func (de *Detector) Replaced(en core.EndpointRef) { de.endpointGone(en, crash.Replaced) }

func (de *Detector) endpointGone(en core.EndpointRef, ev crash.Evidence) {
	now := time.Now()
	if ev == crash.Refused && de.Ended != nil {
		de.Ended(now, en.Hash)
	}
	if suspects := de.interruptions.EndpointGone(now, en.Hash, ev); len(suspects) > 0 {
		de.crashed(now, en, ev, suspects)
	}
}

func (de *Detector) crashed(now time.Time, en core.EndpointRef, ev crash.Evidence, suspects []core.Fingerprint) {
	requests := slices.DeleteFunc(slices.Clone(suspects), crash.IsPart)
	parts := slices.DeleteFunc(slices.Clone(suspects), func(fp core.Fingerprint) bool { return !crash.IsPart(fp) })
	de.Log.Warn("An endpoint crashed.", zap.String("Endpoint", string(en.ID)), zap.String("Addr", en.Addr),
		zap.Stringer("Evidence", ev), zap.Stringers("Ran", requests), zap.Stringers("Parts", parts[:min(len(parts), maxLoggedParts)]), zap.Int("PartCount", len(parts)))
	de.Tracker.crashed(now, en.Hash, suspects)
}

// probe checks by connecting whether an endpoint where an attempt was interrupted has crashed. If
// it has not, the connection stays in the pool for the next request.
func (de *Detector) probe(en core.EndpointRef, first chan struct{}) {
	defer de.endProbe(en.Hash)
	done := sync.OnceFunc(func() { close(first) })
	defer done()
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	for range 2 {
		if err := de.Conns.Connect(ctx, en.Addr); errors.Is(err, syscall.ECONNREFUSED) {
			de.endpointGone(en, crash.Refused)
			return
		}
		done()
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

// beginProbe marks the endpoint as being probed, and returns the channel to be closed after the first probe.
// It returns false if it already is.
func (de *Detector) beginProbe(endpoint uint64) (first chan struct{}, began bool) {
	de.probeMu.Lock()
	defer de.probeMu.Unlock()
	if de.probing[endpoint] != nil {
		return nil, false
	}
	if de.probing == nil {
		de.probing = map[uint64]chan struct{}{}
	}
	first = make(chan struct{})
	de.probing[endpoint] = first
	return first, true
}

func (de *Detector) endProbe(endpoint uint64) {
	de.probeMu.Lock()
	defer de.probeMu.Unlock()
	delete(de.probing, endpoint)
}
