// Package guard keeps requests that crash endpoints from being sent on, for one router.
//
// # Concepts
//
// The relay tells a Controller how attempts end, and asks it before it sends a request. An
// attempt that broke off is looked into: the Controller connects to the endpoint, and one
// that refuses has crashed while it ran all that broke off there. What follows from that is
// decided in core/blame; the Controller tells peers, and keeps quarantines in the platform's
// store, so that they outlive all routers.
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
//	ct := &guard.Controller{Conns: po, Placer: pl, Peers: gr, Store: pf, Stats: st, Log: lo}
//	go ct.Run(ctx)
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
	"almondrill/io/logs"
	"almondrill/io/stats"
)

const (
	// secondLook is when an endpoint is looked at again that took a connection right after an
	// attempt had broken off there: the parts of a process do not all end at once.
	secondLook = 250 * time.Millisecond
	// lookTimeout bounds a connection that is made to find out about an endpoint.
	lookTimeout = time.Second
	// storeAfter is how long a router that decided a quarantine waits for one that knows the
	// request to be harmless, before it writes it into the store.
	storeAfter = 50 * time.Millisecond
	// storeAgain is how often it tries again, and tells peers again meanwhile.
	storeAgain = time.Second
	// storeTimeout bounds a call to the store; it takes a quarter of a second when slow.
	storeTimeout = time.Second
	// mostStores bounds the quarantines that are written in storeAgain, two calls each.
	mostStores = 8
	// trialTimeout bounds the wait of a request for its trial to be won.
	trialTimeout = 300 * time.Millisecond
)

// Peers are the other routers.
type Peers interface {
	// TellKeepers sends a note to the routers that count for its request, TellAll to all.
	TellKeepers(now time.Time, no blame.Note)
	TellAll(now time.Time, no blame.Note)
}

// Controller is one router's. Set the exported fields before use.
type Controller struct {
	Conns  *conns.Pool
	Placer *place.Placer
	Peers  Peers
	Store  core.Quarantines
	Stats  *stats.Set
	Log    *zap.Logger

	breaks blame.Breaks
	table  blame.Table

	once sync.Once
	// decided wakes Run once a quarantine is to be written.
	decided chan struct{}

	mu      sync.Mutex // guards all below
	looking map[uint64]bool
	// writing are requests whose entries this router is writing.
	writing map[core.Fingerprint]bool
}

var _ core.Blame = (*Controller)(nil)

// init makes what the zero value lacks.
func (ct *Controller) init() {
	ct.once.Do(func() {
		ct.decided = make(chan struct{}, 1)
		ct.looking = map[uint64]bool{}
		ct.writing = map[core.Fingerprint]bool{}
		ct.Stats.Read(stats.RequestsQuarantined, func() int64 {
			quarantined, _ := ct.table.Len()
			return int64(quarantined)
		})
	})
}

// Run writes quarantines into the store until ctx ends.
func (ct *Controller) Run(ctx context.Context) error {
	ct.init()
	tick := time.NewTicker(storeAgain)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ct.decided:
			time.Sleep(storeAfter)
			ct.storeAll(ctx, false)
		case <-tick.C:
			ct.storeAll(ctx, true)
		}
	}
}

// storeAll writes what the store does not have yet; again if that has failed before.
func (ct *Controller) storeAll(ctx context.Context, again bool) {
	now := time.Now()
	unstored, ef := ct.table.Tick(now)
	ct.apply(now, ef)
	for _, de := range unstored[:min(len(unstored), mostStores)] {
		if again {
			ct.Peers.TellAll(now, de.Note)
		}
		_ = ct.put(ctx, de.Entry, storeTimeout) // put logs it, and it is tried again
	}
}

// May implements core.Blame.
func (ct *Controller) May(ctx context.Context, fp core.Fingerprint) (bool, time.Duration) {
	ve := ct.table.Judge(time.Now(), fp)
	if !ve.Quarantined {
		return true, 0
	}
	if ve.Trial && ct.try(ctx, ve.Entry) {
		return true, 0
	}
	if ve.Renew {
		go func() {
			_ = ct.put(context.Background(), ve.Entry, storeTimeout) // put logs it; the next return tries again
		}()
	}
	return false, ve.RetryAfter
}

// try wins the trial of a quarantined request, if no other router does.
func (ct *Controller) try(ctx context.Context, en core.Quarantine) bool {
	en.Trials++
	if ct.put(ctx, en, trialTimeout) != nil {
		return false
	}
	ct.Stats.Add(stats.QuarantineTrials, 1)
	ct.Log.Info("Tries a quarantined request.", zap.Stringer("Fingerprint", en.Request), zap.Int("Trials", en.Trials))
	return true
}

var errWriting = errors.New("the entry is being written")

// put writes an entry into the store, unless this router is writing it already.
func (ct *Controller) put(ctx context.Context, en core.Quarantine, timeout time.Duration) error {
	if !ct.start(func() bool { return take(ct.writing, en.Request) }) {
		return errWriting
	}
	defer ct.end(func() { delete(ct.writing, en.Request) })
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rev, err := ct.Store.PutQuarantine(ctx, en)
	if errors.Is(err, core.ErrConflict) {
		return err // another router has written it, and the store tells so
	}
	if err != nil {
		ct.Log.Warn("Writing a quarantine failed.", append(logs.Fields(err), zap.Stringer("Fingerprint", en.Request))...)
		return err
	}
	en.Rev = rev
	ct.Stored(en)
	return nil
}

// Stored takes an entry of the store that is new or has changed.
func (ct *Controller) Stored(en core.Quarantine) {
	now := time.Now()
	ct.apply(now, ct.table.Store(now, en))
}

// Unstored takes that the store's entry for the request is gone.
func (ct *Controller) Unstored(fp core.Fingerprint, rev core.Version) {
	ct.apply(time.Now(), ct.table.Unstore(fp, rev))
}

// Hear takes a peer's note.
func (ct *Controller) Hear(now time.Time, from string, no blame.Note) {
	ef := ct.table.Hear(now, no)
	if len(ef.Began)+len(ef.Over) > 0 {
		ct.Log.Info("A peer told of a request.", zap.Stringer("Fingerprint", no.Request), zap.String("From", from),
			zap.Int("Crashes", len(no.Crashes)), zap.Bool("Quarantined", no.Kind == blame.Quarantined))
	}
	ct.apply(now, ef)
}

// Ended implements core.Blame.
func (ct *Controller) Ended(fp core.Fingerprint) {
	now := time.Now()
	ct.apply(now, ct.table.Ended(now, fp))
}

// Broke implements core.Blame.
func (ct *Controller) Broke(en core.EndpointRef, began time.Time, fp core.Fingerprint) {
	if ct.Placer.Draining(en.Hash) {
		return // it ends as planned
	}
	ct.init()
	now := time.Now()
	if ct.breaks.Broke(now, blame.Run{Endpoint: en.Hash, Request: fp, Began: began}) {
		ct.crashed(now, en, blame.Refused, []core.Fingerprint{fp})
		return
	}
	if ct.start(func() bool { return take(ct.looking, en.Hash) }) {
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
func (ct *Controller) crashed(now time.Time, en core.EndpointRef, ev blame.Evidence, requests []core.Fingerprint) {
	ct.Stats.Add(stats.CrashedUnder, int64(len(requests)))
	ct.Log.Warn("An endpoint crashed.", zap.String("Endpoint", string(en.ID)), zap.String("Addr", en.Addr),
		zap.Stringer("Evidence", ev), zap.Stringers("Ran", requests))
	ct.apply(now, ct.table.Crashed(now, en.Hash, requests))
}

// apply does what follows from a change of the table.
func (ct *Controller) apply(now time.Time, ef blame.Effects) {
	for _, fp := range ef.Began {
		ct.Log.Warn("A request is quarantined.", zap.Stringer("Fingerprint", fp))
	}
	for _, fp := range ef.Over {
		ct.Log.Info("A request is quarantined no longer.", zap.Stringer("Fingerprint", fp))
	}
	for _, no := range ef.ToKeepers {
		ct.Peers.TellKeepers(now, no)
	}
	for _, no := range ef.ToAll {
		ct.Peers.TellAll(now, no)
		if no.Kind == blame.Quarantined {
			ct.wake()
		}
	}
	for _, en := range ef.Remove {
		go ct.drop(en)
	}
}

func (ct *Controller) wake() {
	ct.init()
	select {
	case ct.decided <- struct{}{}:
	default: // it is awake
	}
}

// drop removes an entry from the store. One that stays lapses there, or ends by its trial.
func (ct *Controller) drop(en core.Quarantine) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := ct.Store.DropQuarantine(ctx, en); err != nil && !errors.Is(err, core.ErrConflict) {
		ct.Log.Warn("Removing a quarantine failed.", append(logs.Fields(err), zap.Stringer("Fingerprint", en.Request))...)
	}
}

// look finds out whether an endpoint is gone at which an attempt broke off. A connection that
// is made in vain is kept for the next request.
func (ct *Controller) look(en core.EndpointRef) {
	defer ct.end(func() { delete(ct.looking, en.Hash) })
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

// start begins what is not to run twice, end ends it; both hold the lock.
func (ct *Controller) start(begin func() bool) bool {
	ct.init()
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return begin()
}

func (ct *Controller) end(finish func()) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	finish()
}

// take marks what is under way; false if it was already.
func take[K comparable](under map[K]bool, key K) bool {
	if under[key] {
		return false
	}
	under[key] = true
	return true
}
