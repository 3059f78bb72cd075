package deny

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/crash"
	"almondrill/io/logs"
	"almondrill/io/stats"
)

const (
	// storeDelay is how long a router that decided a quarantine waits for one that knows the
	// request to be harmless, before it writes it into the store.
	storeDelay = 50 * time.Millisecond
	// storeInterval is how often it tries again, and tells peers again meanwhile.
	storeInterval = time.Second
	// storeTimeout bounds a call to the store; it takes a quarter of a second when slow.
	storeTimeout = time.Second
	// maxStoresPerRound bounds the quarantines that are written, two calls each, and told again in
	// storeAgain. The 256 that a router keeps take eight turns, of which a silent store makes
	// two seconds each: peers hear of each well before they forget it.
	maxStoresPerRound = 32
	// minRetryAfter is when a caller may return at the earliest whose request is to be tried, but
	// not by this router now: the store does not answer, or another router has won it.
	minRetryAfter = time.Second
	// trialTimeout bounds the wait of a request for its trial to be won.
	trialTimeout = 300 * time.Millisecond
)

// Peers are the other routers.
type Peers interface {
	// NotifyOwners sends a note to the routers that count for its request, TellAll to all.
	NotifyOwners(now time.Time, no core.CrashNotice)
	NotifyAll(now time.Time, no core.CrashNotice)
}

// Tracker is what one router holds against requests. Set the exported fields before use.
type Tracker struct {
	Peers Peers
	Store core.QuarantineStore
	Stats *stats.Set
	Log   *zap.Logger

	table crash.Table

	once sync.Once
	// wakeups wakes Run once a quarantine is to be written.
	wakeups chan struct{}
	// cursor is where Run goes on among those that the store does not have; Run's alone.
	cursor int

	mu sync.Mutex // guards writing
	// writing are requests whose entries this router is writing.
	writing map[core.Fingerprint]bool
}

var _ core.CrashTracker = (*Tracker)(nil)

// init makes what the zero value lacks.
func (tr *Tracker) init() {
	tr.once.Do(func() {
		tr.wakeups = make(chan struct{}, 1)
		tr.writing = map[core.Fingerprint]bool{}
		tr.Stats.SetFunc(stats.RequestsQuarantined, func() int64 {
			quarantined, _ := tr.table.Len()
			return int64(quarantined)
		})
	})
}

// Run writes quarantines into the store until ctx ends.
func (tr *Tracker) Run(ctx context.Context) error {
	tr.init()
	tick := time.NewTicker(storeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tr.wakeups:
			time.Sleep(storeDelay)
			tr.storePending(ctx, false)
		case <-tick.C:
			tr.storePending(ctx, true)
		}
	}
}

// storePending tells peers again, if it is not the first time, and writes what the store does not
// have yet. A call that fails ends it: a silent store takes the whole time of each.
func (tr *Tracker) storePending(ctx context.Context, again bool) {
	now := time.Now()
	unstored, ef := tr.table.Tick(now)
	tr.apply(now, ef)
	batch := tr.nextBatch(unstored)
	for _, de := range batch {
		if again {
			tr.Peers.NotifyAll(now, de.Notice)
		}
	}
	for _, de := range batch {
		err := tr.put(ctx, de.Entry, storeTimeout)
		if err != nil && !errors.Is(err, core.ErrConflict) && !errors.Is(err, errWriting) {
			return // put has logged it, and the next turn tries again
		}
	}
}

// nextBatch are those whose turn it is, so that each is told before peers forget it.
func (tr *Tracker) nextBatch(unstored []crash.Decision) []crash.Decision {
	if len(unstored) <= maxStoresPerRound {
		return unstored
	}
	tr.cursor %= len(unstored)
	batch := slices.Concat(unstored[tr.cursor:], unstored[:tr.cursor])[:maxStoresPerRound]
	tr.cursor += maxStoresPerRound
	return batch
}

// Allowed implements core.Blame.
func (tr *Tracker) Allowed(ctx context.Context, fp core.Fingerprint) (bool, time.Duration) {
	ve := tr.table.Check(time.Now(), fp)
	if !ve.Quarantined {
		return true, 0
	}
	if ve.Trial && tr.claimTrial(ctx, ve.Entry) {
		return true, 0
	}
	if ve.Renew {
		go func() {
			_ = tr.put(context.Background(), ve.Entry, storeTimeout) // put logs it; the next return tries again
		}()
	}
	return false, max(minRetryAfter, ve.RetryAfter)
}

// claimTrial wins the trial of a quarantined request, if no other router does.
func (tr *Tracker) claimTrial(ctx context.Context, en core.Quarantine) bool {
	en.Trials++
	if tr.put(ctx, en, trialTimeout) != nil {
		return false
	}
	tr.Stats.Add(stats.QuarantineTrials, 1)
	tr.Log.Info("Tries a quarantined request.", zap.Stringer("Fingerprint", en.Request), zap.Int("Trials", en.Trials))
	return true
}

var errWriting = errors.New("the entry is being written")

// put writes an entry into the store, unless this router is writing it already.
func (tr *Tracker) put(ctx context.Context, en core.Quarantine, timeout time.Duration) error {
	if !tr.beginWrite(en.Request) {
		return errWriting
	}
	defer tr.endWrite(en.Request)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rev, err := tr.Store.PutQuarantine(ctx, en)
	if errors.Is(err, core.ErrConflict) {
		return err // another router has written it, and the store tells so
	}
	if err != nil {
		tr.Log.Warn("Writing a quarantine failed.", append(logs.ErrorFields(err), zap.Stringer("Fingerprint", en.Request))...)
		return err
	}
	en.Rev = rev
	tr.EntryStored(en)
	return nil
}

// EntryStored takes an entry of the store that is new or has changed.
func (tr *Tracker) EntryStored(en core.Quarantine) {
	now := time.Now()
	tr.apply(now, tr.table.EntryStored(now, en))
}

// EntryRemoved takes that the store's entry for the request is gone.
func (tr *Tracker) EntryRemoved(fp core.Fingerprint, rev core.Version) {
	tr.apply(time.Now(), tr.table.EntryRemoved(fp, rev))
}

// ApplyNotice takes a peer's note.
func (tr *Tracker) ApplyNotice(now time.Time, from string, no core.CrashNotice) {
	ef := tr.table.ApplyNotice(now, no)
	if len(ef.Quarantined)+len(ef.Released) > 0 {
		tr.Log.Info("A peer told of a request.", zap.Stringer("Fingerprint", no.Request), zap.String("From", from),
			zap.Int("Crashes", len(no.Crashes)), zap.Bool("Quarantined", no.Kind == core.NoticeQuarantined))
	}
	tr.apply(now, ef)
}

// Succeeded implements core.Blame.
func (tr *Tracker) Succeeded(fp core.Fingerprint) {
	now := time.Now()
	tr.apply(now, tr.table.Succeeded(now, fp))
}

// Crashed implements core.Blame.
func (tr *Tracker) Crashed(endpoint uint64, fp core.Fingerprint) {
	tr.crashed(time.Now(), endpoint, []core.Fingerprint{fp})
}

// crashed takes that an endpoint crashed while it ran the requests.
func (tr *Tracker) crashed(now time.Time, endpoint uint64, requests []core.Fingerprint) {
	tr.Stats.Add(stats.CrashedUnder, int64(len(requests)))
	tr.apply(now, tr.table.EndpointCrashed(now, endpoint, requests))
}

// apply does what follows from a change of the table.
func (tr *Tracker) apply(now time.Time, ef crash.Effects) {
	for _, fp := range ef.Quarantined {
		tr.Log.Warn("A request is quarantined.", zap.Stringer("Fingerprint", fp))
	}
	for _, fp := range ef.Released {
		tr.Log.Info("A request is quarantined no longer.", zap.Stringer("Fingerprint", fp))
	}
	for _, no := range ef.ToOwners {
		tr.Peers.NotifyOwners(now, no)
	}
	for _, no := range ef.ToAll {
		tr.Peers.NotifyAll(now, no)
		if no.Kind == core.NoticeQuarantined {
			tr.wake()
		}
	}
	for _, en := range ef.Remove {
		go tr.remove(en)
	}
}

func (tr *Tracker) wake() {
	tr.init()
	select {
	case tr.wakeups <- struct{}{}:
	default: // it is awake
	}
}

// remove removes an entry from the store. One that stays lapses there, or ends by its trial.
func (tr *Tracker) remove(en core.Quarantine) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := tr.Store.DeleteQuarantine(ctx, en); err != nil && !errors.Is(err, core.ErrConflict) {
		tr.Log.Warn("Removing a quarantine failed.", append(logs.ErrorFields(err), zap.Stringer("Fingerprint", en.Request))...)
	}
}

// beginWrite is false if this router writes the request's entry already.
func (tr *Tracker) beginWrite(fp core.Fingerprint) bool {
	tr.init()
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.writing[fp] {
		return false
	}
	tr.writing[fp] = true
	return true
}

func (tr *Tracker) endWrite(fp core.Fingerprint) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	delete(tr.writing, fp)
}
