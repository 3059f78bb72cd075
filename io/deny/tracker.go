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
	// storeDelay is how long a router that decided a quarantine waits before it writes the entry to
	// the store, since another router may know that the request is harmless.
	storeDelay = 50 * time.Millisecond
	// storeInterval is how often unwritten entries are tried again, and their notices repeated.
	storeInterval = time.Second
	// storeTimeout bounds a call to the store, which takes a quarter of a second when slow.
	storeTimeout = time.Second
	// maxStoresPerRound bounds the quarantines that are written, in two calls each, and whose
	// notices are repeated in one round. A router holds at most 256, which take eight rounds. A
	// round lasts two seconds if the store does not answer, so peers receive the notice of each
	// quarantine again well before they forget it.
	maxStoresPerRound = 32
	// minRetryAfter is the least time after which a caller may retry. It matters for a request
	// whose trial is due but was not claimed here: the store does not answer, or another router has
	// claimed the trial.
	minRetryAfter = time.Second
	// trialTimeout bounds how long a request waits for its trial to be claimed.
	trialTimeout = 300 * time.Millisecond
)

// Peers are the other routers.
type Peers interface {
	// NotifyOwners sends each notice to the owners of its request, the routers that count its crashes.
	NotifyOwners(now time.Time, nos ...core.CrashNotice)
	// NotifyAll sends notices to the other routers.
	NotifyAll(now time.Time, nos ...core.CrashNotice)
}

// Tracker holds one router's records of requests that may crash endpoints, and decides whether a
// request may be sent. Set the exported fields before use.
type Tracker struct {
	Peers Peers
	Store core.QuarantineStore
	// Runs stores the runs of suspects, Writer names this process there, and Routers returns the number of routers; Runs
	// may be nil.
	Runs    core.SuspectStore
	Writer  core.VMID
	Routers func() int
	// Known reports whether an endpoint is registered, true while that is not known. It is used if Runs is set.
	Known func(endpoint uint64) bool
	Stats *stats.Set
	Log   *zap.Logger

	table crash.Table

	once sync.Once
	// wakeups wakes Run when there is a quarantine to write.
	wakeups chan struct{}
	// cursor is where the next round begins among the entries not in the store. Only Run uses it.
	cursor int

	// runSlot is the slot of the last batch of runs, runsStored when it was written. Only Run uses them.
	runSlot    int
	runsStored time.Time

	mu sync.Mutex // guards all below
	// writing is the set of requests whose entries this router is writing.
	writing map[core.Fingerprint]bool
	// runs wait to be written.
	runs []core.SuspectRun
}

var _ core.CrashTracker = (*Tracker)(nil)

// init prepares the fields that the zero value lacks, once.
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

// Run writes quarantines to the store until ctx ends.
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
			tr.storeRuns(ctx)
			tr.storePending(ctx, false)
		case <-tick.C:
			tr.resolveRuns()
			tr.storeRuns(ctx)
			tr.storePending(ctx, true)
		}
	}
}

// storePending writes entries that are not in the store yet, and repeats their notices to peers if
// again is set. It stops at the first call that fails, since a store that does not answer takes
// storeTimeout for each call.
func (tr *Tracker) storePending(ctx context.Context, again bool) {
	now := time.Now()
	unstored, ef := tr.table.Tick(now)
	tr.apply(now, ef)
	batch := tr.nextBatch(unstored)
	if again && len(batch) > 0 {
		var notices []core.CrashNotice
		for _, de := range batch {
			notices = append(notices, de.Notice)
		}
		tr.Peers.NotifyAll(now, notices...)
	}
	for _, de := range batch {
		err := tr.put(ctx, de.Entry, storeTimeout)
		if err != nil && !errors.Is(err, core.ErrConflict) && !errors.Is(err, errWriting) {
			return // put has logged the error, and the next round tries again
		}
	}
}

// nextBatch returns the next entries in turn, so that the notice of each is repeated before peers
// forget it.
func (tr *Tracker) nextBatch(unstored []crash.Decision) []crash.Decision {
	if len(unstored) <= maxStoresPerRound {
		return unstored
	}
	tr.cursor %= len(unstored)
	batch := slices.Concat(unstored[tr.cursor:], unstored[:tr.cursor])[:maxStoresPerRound]
	tr.cursor += maxStoresPerRound
	return batch
}

// Blocked implements core.CrashTracker.
func (tr *Tracker) Blocked(fps ...core.Fingerprint) (bool, time.Duration) {
	tr.resolveRuns()
	ve := tr.table.Check(time.Now(), fps...)
	if !ve.Quarantined || ve.Trial {
		return false, 0
	}
	return true, tr.deny(ve)
}

// Allowed implements core.CrashTracker.
func (tr *Tracker) Allowed(ctx context.Context, fps ...core.Fingerprint) (bool, time.Duration) {
	ve := tr.table.Check(time.Now(), fps...)
	if !ve.Quarantined {
		return true, 0
	}
	if ve.Trial && tr.claimTrial(ctx, ve.Entry) {
		return true, 0
	}
	return false, tr.deny(ve)
}

// deny returns the time after which a quarantined request may come again, and renews its entry if that is
// due.
func (tr *Tracker) deny(ve crash.Verdict) time.Duration {
	if ve.Renew {
		go func() {
			_ = tr.put(context.Background(), ve.Entry, storeTimeout) // put logs errors; the caller's next retry tries again
		}()
	}
	return max(minRetryAfter, ve.RetryAfter)
}

// claimTrial claims the trial of a quarantined request in the store. It fails if another router has
// claimed it.
func (tr *Tracker) claimTrial(ctx context.Context, en core.Quarantine) bool {
	en.Trials++
	if tr.put(ctx, en, trialTimeout) != nil {
		return false
	}
	tr.Stats.Add(stats.QuarantineTrials, 1)
	tr.Log.Info("Sending a quarantined request as a trial.", zap.Stringer("Fingerprint", en.Request), zap.Int("Trials", en.Trials))
	return true
}

var errWriting = errors.New("this router is already writing the quarantine entry")

// put writes an entry to the store, unless this router is already writing one of the request.
func (tr *Tracker) put(ctx context.Context, en core.Quarantine, timeout time.Duration) error {
	if !tr.beginWrite(en.Request) {
		return errWriting
	}
	defer tr.endWrite(en.Request)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rev, err := tr.Store.PutQuarantine(ctx, en)
	if errors.Is(err, core.ErrConflict) {
		return err // another router has changed the entry, which the store reports
	}
	if err != nil {
		tr.Log.Warn("Writing a quarantine failed.", append(logs.ErrorFields(err), zap.Stringer("Fingerprint", en.Request))...)
		return err
	}
	en.Rev = rev
	tr.EntryStored(en)
	return nil
}

// EntryStored records that an entry of the store is new or has changed.
func (tr *Tracker) EntryStored(en core.Quarantine) {
	now := time.Now()
	tr.apply(now, tr.table.EntryStored(now, en))
}

// EntryRemoved records that the entry of the request is no longer in the store.
func (tr *Tracker) EntryRemoved(fp core.Fingerprint, rev core.Version) {
	tr.apply(time.Now(), tr.table.EntryRemoved(fp, rev))
}

// ApplyNotice applies a notice from a peer.
func (tr *Tracker) ApplyNotice(now time.Time, from string, no core.CrashNotice) {
	ef := tr.table.ApplyNotice(now, no)
	if len(ef.Quarantined)+len(ef.Released) > 0 {
		tr.Log.Info("A peer's notice changed the quarantine of a request.", zap.Stringer("Fingerprint", no.Request), zap.String("From", from),
			zap.Int("Crashes", len(no.Crashes)), zap.Bool("Quarantined", no.Kind == core.NoticeQuarantined))
	}
	tr.apply(now, ef)
}

// Succeeded implements core.CrashTracker.
func (tr *Tracker) Succeeded(fps ...core.Fingerprint) {
	now := time.Now()
	tr.apply(now, tr.table.Succeeded(now, fps...))
}

// Crashed implements core.CrashTracker.
func (tr *Tracker) Crashed(endpoint uint64, fp core.Fingerprint) {
	tr.crashed(time.Now(), endpoint, []core.Fingerprint{fp})
}

// crashed records that an endpoint crashed while it executed the requests, and had not begun to answer under
// the parts.
func (tr *Tracker) crashed(now time.Time, endpoint uint64, suspects []core.Fingerprint) {
	for _, fp := range suspects {
		if !crash.IsPart(fp) {
			tr.Stats.Add(stats.CrashedUnder, 1)
		}
	}
	tr.apply(now, tr.table.EndpointCrashed(now, endpoint, suspects))
}

// apply logs the effects of a change of the table, notifies peers and updates the store.
func (tr *Tracker) apply(now time.Time, ef crash.Effects) {
	for _, fp := range ef.Quarantined {
		message := "A request is quarantined."
		if crash.IsPart(fp) {
			message = "A part of prompts is quarantined."
		}
		tr.Log.Warn(message, zap.Stringer("Fingerprint", fp))
	}
	for _, fp := range ef.Released {
		message := "The quarantine of a request has ended."
		if crash.IsPart(fp) {
			message = "The quarantine of a part of prompts has ended."
		}
		tr.Log.Info(message, zap.Stringer("Fingerprint", fp))
	}
	if len(ef.ToOwners) > 0 {
		tr.Peers.NotifyOwners(now, ef.ToOwners...)
	}
	if len(ef.ToAll) > 0 {
		tr.Peers.NotifyAll(now, ef.ToAll...)
	}
	for _, no := range ef.ToAll {
		if no.Kind == core.NoticeQuarantined {
			tr.wake()
		}
	}
	for _, en := range ef.Remove {
		go tr.remove(en)
	}
	tr.addRuns(ef.Runs...)
}

func (tr *Tracker) wake() {
	tr.init()
	select {
	case tr.wakeups <- struct{}{}:
	default: // a wake-up is pending
	}
}

// remove deletes an entry from the store. If that fails, the entry expires, or ends with a trial.
func (tr *Tracker) remove(en core.Quarantine) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := tr.Store.DeleteQuarantine(ctx, en); err != nil && !errors.Is(err, core.ErrConflict) {
		tr.Log.Warn("Removing a quarantine failed.", append(logs.ErrorFields(err), zap.Stringer("Fingerprint", en.Request))...)
	}
}

// beginWrite marks the request's entry as being written. It returns false if it already is.
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
