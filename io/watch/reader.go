// Package watch keeps a mirror of the platform's store up to date.
//
// # Concepts
//
// A Reader lists the store once, unless a peer tells what there is before, then waits
// for changes, again and again. Each
// answer, also an empty one, confirms that what is believed was right a moment
// ago. Only a few routers, the leaders, do so at a time: the others hear of changes
// and confirmations from their peers, so that the store's calls do not grow with
// the routers. One that hears no confirmation for takeoverAfter and its Patience asks the
// store itself, whoever leads.
//
// # Invariants
//
//   - A wait without an answer ends after wait and answerTime: a connection that
//     went silent is noticed within that time.
//   - After a loss of history everything is listed anew, and what is missing from
//     the listing counts as deleted.
//
// # Usage
//
//	rd := &feeds.Reader{Feed: feed, Mirror: mi, Rand: ra, Log: lo, Leads: gr.Leads}
//	rd.Init()
//	go rd.Run(ctx)
//	age := rd.Age()
package watch

import (
	"context"
	"errors"
	"fmt"
	"math"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/mirror"
	"almondrill/io/logs"
)

const (
	// longPollWait is how long the store holds a call that has nothing to tell. Each call is
	// paid for; what is believed is confirmed this often.
	longPollWait = 600 * time.Millisecond
	// answerTimeout is how long an answer may take beyond the wait: a slow store takes
	// 60 times its usual 4 ms, for each page of a listing.
	answerTimeout = 700 * time.Millisecond
	// listIdleTimeout is how long a listing, with all its attempts, may hear nothing. What arrives
	// is not given up. Another attempt is begun, beside those without an answer, when nothing was
	// heard for firstGap, then for twice that each time. firstGap is beyond the time that a
	// slow store takes, which answers the first attempt.
	listIdleTimeout = 2 * time.Second
	firstHedgeDelay = 300 * time.Millisecond
	nextHedgeDelay  = 2 * firstHedgeDelay
	// maxListAttempts bounds those of a listing; gaps are spread by a half.
	maxListAttempts = 2 + int(listIdleTimeout/(nextHedgeDelay/2))
	// minBackoff and mostPause are between calls that fail. All routers may come
	// back at once; the store takes 2,000 calls a second.
	minBackoff = 60 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// minChangesInterval is the least time from one question for changes to the next. The first of
	// several changes is told at once, those that follow with it. When hundreds of routers start,
	// each change would otherwise be a call of each router that follows the store.
	minChangesInterval = 100 * time.Millisecond
	// minRelistInterval is the least time between two listings that a loss of history asks for.
	minRelistInterval = 500 * time.Millisecond
	// takeoverAfter is the age beyond which the first of the routers that do not lead asks the
	// store itself: a wait, and the time in which peers tell of it.
	takeoverAfter = 1300 * time.Millisecond
	// standbyInterval is how often a router that does not lead looks whether it has to.
	standbyInterval = 100 * time.Millisecond
	// failureWindow is how long a failed call counts.
	failureWindow = 3 * time.Second
	// uncertainAfter is how long the store may confirm nothing, to this router or its
	// peers, before registrations may have lapsed: twice the wait for changes.
	uncertainAfter = 1200 * time.Millisecond
)

// Reader follows the store. Set the exported fields before Run.
type Reader struct {
	Feed   core.ChangeFeed
	Mirror *mirror.Mirror
	Rand   core.Rand
	Log    *zap.Logger
	// IsWatcher tells whether this router is to ask the store. One that is not waits for a confirmation
	// for takeoverAfter, and Patience where that is set, before it does all the same.
	IsWatcher     func() bool
	TakeoverDelay func() time.Duration
	// GracePeriod is how long after the store's return a missing registration is
	// doubted.
	GracePeriod time.Duration

	confirmed       atomic.Int64  // when the store last confirmed the mirror, in ns of the steady clock
	peerConfirmed   atomic.Int64  // the same, as peers told
	ownConfirmed    atomic.Int64  // the same, by an own call; 0 if none was answered
	ownFailed       atomic.Int64  // when an own call last failed
	lastOutage      atomic.Int64  // when the store was last away
	restoreSeen     atomic.Int64  // when it was last learned that it came back from a copy
	restoredVersion atomic.Uint64 // the version up to which was known what it has, when that was learned
	lastPage        atomic.Int64  // when a part of a listing last came
	storeRev        atomic.Uint64 // the store's own revision, as its last answer told
	started         time.Time
}

// Init must be called before the Reader is asked anything.
func (rd *Reader) Init() { rd.started = time.Now() }

func (rd *Reader) now() int64 { return int64(time.Since(rd.started)) }

// Age is how long ago an answer last confirmed the mirror.
func (rd *Reader) Age() time.Duration { return time.Duration(rd.now() - rd.confirmed.Load()) }

// Confirm takes a peer's word that the mirror was right that long ago.
func (rd *Reader) Confirm(age time.Duration) {
	at := rd.now() - int64(age)
	storeMax(&rd.peerConfirmed, at)
	rd.advance(at)
}

func (rd *Reader) advance(at int64) {
	if old := storeMax(&rd.confirmed, at); at-old > int64(uncertainAfter) {
		rd.lastOutage.Store(rd.now())
	}
}

// storeMax sets a time unless a later one is set, and returns the one before.
func storeMax(at *atomic.Int64, to int64) int64 {
	for {
		old := at.Load()
		if to <= old || at.CompareAndSwap(old, to) {
			return old
		}
	}
}

// confirmOwn notes that an own call confirmed the mirror.
func (rd *Reader) confirmOwn() {
	rd.ownConfirmed.Store(rd.now())
	rd.advance(rd.now())
}

// OwnAge is how long ago an own call confirmed the mirror; never if none did.
func (rd *Reader) OwnAge() time.Duration {
	at := rd.ownConfirmed.Load()
	if at == 0 {
		return never
	}
	return time.Duration(rd.now() - at)
}

// never stands for the age of what has not been.
const never = time.Duration(math.MaxInt64)

// Failing tells whether the own calls to the store fail.
func (rd *Reader) Failing() bool {
	at := rd.ownFailed.Load()
	return at > 0 && rd.now()-at < int64(failureWindow)
}

// Unresponsive tells whether the own calls fail, or a listing has heard nothing for so long that
// another attempt is made.
func (rd *Reader) Unresponsive() bool {
	return rd.Failing() || rd.now()-rd.lastPage.Load() > int64(firstHedgeDelay)
}

// Uncertain tells whether the store is away, or was until lately, so that
// registrations may have lapsed that will be back, or came back from a copy.
//
// Routers do not tell each other that they doubt: each would renew the others'
// doubt, for good. They tell what the store confirmed, which only grows older.
func (rd *Reader) Uncertain() bool {
	if rd.Age() > uncertainAfter {
		return true
	}
	at := rd.lastOutage.Load()
	return at > 0 && rd.now()-at < int64(rd.GracePeriod)
}

// NoteRestore takes that the store came back from a copy: what was written since the copy is missing
// until it is written again, and what has ended since is back until it ends again.
func (rd *Reader) NoteRestore(from, to core.Version) {
	rd.lastOutage.Store(rd.now())
	rd.restoreSeen.Store(rd.now())
	rd.restoredVersion.Store(uint64(to))
	rd.Log.Warn("The store came back from a copy.", zap.Stringer("Before", from), zap.Stringer("AsOf", to))
}

// RecentlyRestored tells whether what the store has may be a copy's, as it was not written again yet.
func (rd *Reader) RecentlyRestored() bool {
	at := rd.restoreSeen.Load()
	return at > 0 && rd.now()-at < int64(rd.GracePeriod)
}

// MaybeRolledBack tells whether a change of that version may be one that nobody made: what the store came
// back with, or without.
func (rd *Reader) MaybeRolledBack(ve core.Version) bool {
	return rd.RecentlyRestored() && ve <= core.Version(rd.restoredVersion.Load())
}

// noteFailure notes that an own call failed. While peers reach the store, this router is cut
// off alone, and what is missing has really left.
func (rd *Reader) noteFailure() {
	now := rd.now()
	rd.ownFailed.Store(now)
	if peerConfirmed := rd.peerConfirmed.Load(); peerConfirmed == 0 || now-peerConfirmed > int64(uncertainAfter) {
		rd.lastOutage.Store(now)
	}
}

// Run follows the store until ctx ends.
func (rd *Reader) Run(ctx context.Context) error {
	backoff := minBackoff
	disconnected := false
	listed := false
	// unlisted is the revision after which the history is not known until a listing,
	// here or by a peer that tells of it, has made up for it.
	compactedAt := core.Version(0)
	lastCompacted := rd.now() - int64(minRelistInterval) // when the history was last found lost
	for ctx.Err() == nil {
		listed = listed || rd.Mirror.AsOf() > compactedAt
		if listed && !rd.IsWatcher() && rd.Age() < takeoverAfter+rd.takeoverDelay() {
			sleep(ctx, standbyInterval)
			continue
		}
		start, watching := rd.now(), listed
		err := rd.listOrWatch(ctx, listed)
		switch {
		case err == nil:
			rd.ownFailed.Store(0)
			if disconnected || !listed {
				rd.Log.Info("Follows the store.", zap.Stringer("AsOf", rd.Mirror.AsOf()), zap.Stringer("Said", core.Version(rd.storeRev.Load())))
			}
			listed, disconnected, backoff = true, false, minBackoff
			if left := minChangesInterval - time.Duration(rd.now()-start); watching && left > 0 {
				sleep(ctx, left)
			}
			continue
		case errors.Is(err, core.ErrCompacted):
			rd.Log.Info("The store lost its history. Lists anew.", zap.Stringer("AsOf", rd.Mirror.AsOf()))
			compactedAt, listed = rd.Mirror.AsOf(), false
			if left := minRelistInterval - time.Duration(rd.now()-lastCompacted); left > 0 {
				sleep(ctx, left)
			}
			lastCompacted = rd.now()
			continue
		case ctx.Err() != nil:
			return nil
		}
		rd.noteFailure()
		if !disconnected {
			rd.Log.Warn("Lost the store.", append(logs.Fields(err),
				zap.Duration("Age", rd.Age()), zap.Stringer("AsOf", rd.Mirror.AsOf()))...)
			disconnected = true
		}
		if !errors.Is(err, errUnresponsive) {
			rd.backOff(ctx, backoff)
			backoff = min(maxBackoff, 2*backoff)
		}
	}
	return nil
}

func (rd *Reader) takeoverDelay() time.Duration {
	if rd.TakeoverDelay == nil {
		return 0
	}
	return rd.TakeoverDelay()
}

func (rd *Reader) backOff(ctx context.Context, pause time.Duration) { sleep(ctx, rd.jitter(pause)) }

// jitter draws a pause around the given one, so that routers that began together do not
// call together.
func (rd *Reader) jitter(pause time.Duration) time.Duration {
	const minFactor = 0.5
	return time.Duration(float64(pause) * (minFactor + rd.Rand.Float64()))
}

func sleep(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (rd *Reader) listOrWatch(ctx context.Context, listed bool) error {
	if !listed {
		return rd.list(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, longPollWait+answerTimeout)
	defer cancel()
	items, asOf, err := rd.Feed.Changes(ctx, rd.Mirror.AsOf(), longPollWait)
	if err == nil {
		rd.storeRev.Store(uint64(asOf))
		rd.Mirror.Apply(items, asOf)
		rd.confirmOwn()
	}
	return err
}

// errSilent: no attempt at listing had an answer within listTime. Time has been lost
// enough; the next attempts follow at once.
var errUnresponsive = errors.New("the store is silent")

// listResult is the answer to an attempt to list the store.
type listResult struct {
	items []core.Item
	asOf  core.Version
	err   error
}

// list lists the store, in attempts that overlap.
//
// An attempt that was sent while the store was silent gets no answer, also once the store is
// back. Waited for alone, until its timeout, it keeps a router that knows nothing refusing all
// its callers; later attempts find the store as it is then.
//
// Each part of the first listing is put in force as it comes: where hundreds of routers start at
// once, the whole takes seconds on the store's link, and the first part has the configuration.
//
// An attempt whose answer is arriving is left alone: attempts that share a thin link would all
// end too late.
//
// The first listing may be stale, as hundreds of routers may start at once. It confirms nothing: what
// it lacks comes with the next changes, from the store or from a peer. A listing after a loss of
// history has to make up for changes that nobody tells any more.
func (rd *Reader) list(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	idleTimer := time.AfterFunc(listIdleTimeout, cancel)
	defer idleTimer.Stop()
	before := rd.Mirror.AsOf()
	stale := before == 0
	results := make(chan listResult, maxListAttempts)
	started, ended := 0, 0
	timerSet := rd.now() // when the timer was
	startAttempt := func() {
		started++
		go func() {
			items, asOf, err := rd.Feed.List(ctx, stale, func(page []core.Item) {
				storeMax(&rd.lastPage, rd.now())
				idleTimer.Reset(listIdleTimeout)
				rd.Mirror.Preview(page)
			})
			results <- listResult{items, asOf, err}
		}()
	}
	startAttempt()
	timer := time.NewTimer(rd.jitter(firstHedgeDelay))
	defer timer.Stop()
	for {
		select {
		case re := <-results:
			ended++
			if re.err == nil {
				rd.storeRev.Store(uint64(re.asOf))
				rd.Mirror.Replace(re.items, re.asOf)
				if !stale {
					rd.confirmOwn()
				}
				return nil
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%w: %w", errUnresponsive, re.err) // each attempt ends with ctx
			}
			if ended == started {
				return re.err
			}
		case <-timer.C:
			if rd.Mirror.AsOf() > before {
				return nil // a peer told
			}
			if rd.lastPage.Load() <= timerSet && started < maxListAttempts {
				startAttempt()
			}
			timerSet = rd.now()
			timer.Reset(rd.jitter(nextHedgeDelay))
		}
	}
}
