package guard

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
	// storeAfter is how long a router that decided a quarantine waits for one that knows the
	// request to be harmless, before it writes it into the store.
	storeAfter = 50 * time.Millisecond
	// storeAgain is how often it tries again, and tells peers again meanwhile.
	storeAgain = time.Second
	// storeTimeout bounds a call to the store; it takes a quarter of a second when slow.
	storeTimeout = time.Second
	// mostStores bounds the quarantines that are written, two calls each, and told again in
	// storeAgain. The 256 that a router keeps take eight turns, of which a silent store makes
	// two seconds each: peers hear of each well before they forget it.
	mostStores = 32
	// leastReturn is when a caller may return at the earliest whose request is to be tried, but
	// not by this router now: the store does not answer, or another router has won it.
	leastReturn = time.Second
	// trialTimeout bounds the wait of a request for its trial to be won.
	trialTimeout = 300 * time.Millisecond
)

// Peers are the other routers.
type Peers interface {
	// TellKeepers sends a note to the routers that count for its request, TellAll to all.
	TellKeepers(now time.Time, no core.CrashNotice)
	TellAll(now time.Time, no core.CrashNotice)
}

// Ledger is what one router holds against requests. Set the exported fields before use.
type Ledger struct {
	Peers Peers
	Store core.QuarantineStore
	Stats *stats.Set
	Log   *zap.Logger

	table crash.Table

	once sync.Once
	// decided wakes Run once a quarantine is to be written.
	decided chan struct{}
	// turn is where Run goes on among those that the store does not have; Run's alone.
	turn int

	mu sync.Mutex // guards writing
	// writing are requests whose entries this router is writing.
	writing map[core.Fingerprint]bool
}

var _ core.CrashTracker = (*Ledger)(nil)

// init makes what the zero value lacks.
func (le *Ledger) init() {
	le.once.Do(func() {
		le.decided = make(chan struct{}, 1)
		le.writing = map[core.Fingerprint]bool{}
		le.Stats.Read(stats.RequestsQuarantined, func() int64 {
			quarantined, _ := le.table.Len()
			return int64(quarantined)
		})
	})
}

// Run writes quarantines into the store until ctx ends.
func (le *Ledger) Run(ctx context.Context) error {
	le.init()
	tick := time.NewTicker(storeAgain)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-le.decided:
			time.Sleep(storeAfter)
			le.storeAll(ctx, false)
		case <-tick.C:
			le.storeAll(ctx, true)
		}
	}
}

// storeAll tells peers again, if it is not the first time, and writes what the store does not
// have yet. A call that fails ends it: a silent store takes the whole time of each.
func (le *Ledger) storeAll(ctx context.Context, again bool) {
	now := time.Now()
	unstored, ef := le.table.Tick(now)
	le.apply(now, ef)
	some := le.nextOf(unstored)
	for _, de := range some {
		if again {
			le.Peers.TellAll(now, de.Notice)
		}
	}
	for _, de := range some {
		err := le.put(ctx, de.Entry, storeTimeout)
		if err != nil && !errors.Is(err, core.ErrConflict) && !errors.Is(err, errWriting) {
			return // put has logged it, and the next turn tries again
		}
	}
}

// nextOf are those whose turn it is, so that each is told before peers forget it.
func (le *Ledger) nextOf(unstored []crash.Decision) []crash.Decision {
	if len(unstored) <= mostStores {
		return unstored
	}
	le.turn %= len(unstored)
	some := slices.Concat(unstored[le.turn:], unstored[:le.turn])[:mostStores]
	le.turn += mostStores
	return some
}

// Allowed implements core.Blame.
func (le *Ledger) Allowed(ctx context.Context, fp core.Fingerprint) (bool, time.Duration) {
	ve := le.table.Check(time.Now(), fp)
	if !ve.Quarantined {
		return true, 0
	}
	if ve.Trial && le.try(ctx, ve.Entry) {
		return true, 0
	}
	if ve.Renew {
		go func() {
			_ = le.put(context.Background(), ve.Entry, storeTimeout) // put logs it; the next return tries again
		}()
	}
	return false, max(leastReturn, ve.RetryAfter)
}

// try wins the trial of a quarantined request, if no other router does.
func (le *Ledger) try(ctx context.Context, en core.Quarantine) bool {
	en.Trials++
	if le.put(ctx, en, trialTimeout) != nil {
		return false
	}
	le.Stats.Add(stats.QuarantineTrials, 1)
	le.Log.Info("Tries a quarantined request.", zap.Stringer("Fingerprint", en.Request), zap.Int("Trials", en.Trials))
	return true
}

var errWriting = errors.New("the entry is being written")

// put writes an entry into the store, unless this router is writing it already.
func (le *Ledger) put(ctx context.Context, en core.Quarantine, timeout time.Duration) error {
	if !le.begin(en.Request) {
		return errWriting
	}
	defer le.end(en.Request)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rev, err := le.Store.PutQuarantine(ctx, en)
	if errors.Is(err, core.ErrConflict) {
		return err // another router has written it, and the store tells so
	}
	if err != nil {
		le.Log.Warn("Writing a quarantine failed.", append(logs.Fields(err), zap.Stringer("Fingerprint", en.Request))...)
		return err
	}
	en.Rev = rev
	le.Stored(en)
	return nil
}

// Stored takes an entry of the store that is new or has changed.
func (le *Ledger) Stored(en core.Quarantine) {
	now := time.Now()
	le.apply(now, le.table.EntryStored(now, en))
}

// Unstored takes that the store's entry for the request is gone.
func (le *Ledger) Unstored(fp core.Fingerprint, rev core.Version) {
	le.apply(time.Now(), le.table.EntryRemoved(fp, rev))
}

// Hear takes a peer's note.
func (le *Ledger) Hear(now time.Time, from string, no core.CrashNotice) {
	ef := le.table.ApplyNotice(now, no)
	if len(ef.Quarantined)+len(ef.Released) > 0 {
		le.Log.Info("A peer told of a request.", zap.Stringer("Fingerprint", no.Request), zap.String("From", from),
			zap.Int("Crashes", len(no.Crashes)), zap.Bool("Quarantined", no.Kind == core.NoticeQuarantined))
	}
	le.apply(now, ef)
}

// Succeeded implements core.Blame.
func (le *Ledger) Succeeded(fp core.Fingerprint) {
	now := time.Now()
	le.apply(now, le.table.Succeeded(now, fp))
}

// Crashed implements core.Blame.
func (le *Ledger) Crashed(endpoint uint64, fp core.Fingerprint) {
	le.crashed(time.Now(), endpoint, []core.Fingerprint{fp})
}

// crashed takes that an endpoint crashed while it ran the requests.
func (le *Ledger) crashed(now time.Time, endpoint uint64, requests []core.Fingerprint) {
	le.Stats.Add(stats.CrashedUnder, int64(len(requests)))
	le.apply(now, le.table.EndpointCrashed(now, endpoint, requests))
}

// apply does what follows from a change of the table.
func (le *Ledger) apply(now time.Time, ef crash.Effects) {
	for _, fp := range ef.Quarantined {
		le.Log.Warn("A request is quarantined.", zap.Stringer("Fingerprint", fp))
	}
	for _, fp := range ef.Released {
		le.Log.Info("A request is quarantined no longer.", zap.Stringer("Fingerprint", fp))
	}
	for _, no := range ef.ToOwners {
		le.Peers.TellKeepers(now, no)
	}
	for _, no := range ef.ToAll {
		le.Peers.TellAll(now, no)
		if no.Kind == core.NoticeQuarantined {
			le.wake()
		}
	}
	for _, en := range ef.Remove {
		go le.drop(en)
	}
}

func (le *Ledger) wake() {
	le.init()
	select {
	case le.decided <- struct{}{}:
	default: // it is awake
	}
}

// drop removes an entry from the store. One that stays lapses there, or ends by its trial.
func (le *Ledger) drop(en core.Quarantine) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := le.Store.DeleteQuarantine(ctx, en); err != nil && !errors.Is(err, core.ErrConflict) {
		le.Log.Warn("Removing a quarantine failed.", append(logs.Fields(err), zap.Stringer("Fingerprint", en.Request))...)
	}
}

// begin is false if this router writes the request's entry already.
func (le *Ledger) begin(fp core.Fingerprint) bool {
	le.init()
	le.mu.Lock()
	defer le.mu.Unlock()
	if le.writing[fp] {
		return false
	}
	le.writing[fp] = true
	return true
}

func (le *Ledger) end(fp core.Fingerprint) {
	le.mu.Lock()
	defer le.mu.Unlock()
	delete(le.writing, fp)
}
