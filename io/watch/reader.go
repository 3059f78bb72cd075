// Package watch lists and watches the platform's store, and keeps a mirror of it up to date.
//
// # Concepts
//
// A Reader lists the store once, unless a peer provides its contents first, and then calls for
// changes again and again. Each response, even an empty one, confirms that the mirror was up to
// date a moment ago. Only a few routers, the elected watchers, call the store at a time. The
// others, on standby, receive changes and confirmations from their peers, so that the number of
// calls to the store does not grow with the number of routers. A standby router without a
// confirmation for takeoverAfter plus its TakeoverDelay calls the store itself, whoever is elected.
//
// # Invariants
//
//   - A call for changes without a response ends after longPollWait plus answerTimeout, so a
//     connection that hangs is noticed within that time.
//   - After a loss of the change history the store is listed again, and whatever is missing from
//     the listing counts as deleted.
//
// # Usage
//
//	rd := &watch.Reader{Feed: feed, Mirror: mi, Rand: ra, Log: lo, IsWatcher: gr.IsWatcher}
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
	// longPollWait is how long the store holds a call for changes when there are none. It balances
	// the number of calls, which are billed, against how often the mirror is confirmed.
	longPollWait = 600 * time.Millisecond
	// answerTimeout is how long a response may take beyond the long poll: a slow store takes 60
	// times its usual 4 ms, for each page of a listing.
	answerTimeout = 700 * time.Millisecond
	// listIdleTimeout is how long a listing, with all its attempts, may go without receiving
	// anything. An attempt that is receiving data is not cancelled. Another attempt is started next
	// to those without a response when nothing has arrived for firstHedgeDelay, then for twice that
	// each time. firstHedgeDelay is longer than a slow store takes to answer the first attempt.
	listIdleTimeout = 2 * time.Second
	firstHedgeDelay = 300 * time.Millisecond
	nextHedgeDelay  = 2 * firstHedgeDelay
	// maxListAttempts bounds the attempts of one listing: jitter shortens a delay to half at most.
	maxListAttempts = 2 + int(listIdleTimeout/(nextHedgeDelay/2))
	// minBackoff and maxBackoff bound the pause between failed calls. All routers may reconnect at
	// once, and the store takes 2,000 calls a second.
	minBackoff = 60 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// minChangesInterval is the minimum interval between calls for changes. The first of several
	// changes is received immediately, those that follow with the next call. When hundreds of
	// routers start, each change would otherwise cause a call by every watcher.
	minChangesInterval = 100 * time.Millisecond
	// minRelistInterval is the minimum interval between listings after losses of the history.
	minRelistInterval = 500 * time.Millisecond
	// takeoverAfter is the age of the last confirmation beyond which the first standby router calls
	// the store itself: one long poll, and the time in which peers pass its confirmation on.
	takeoverAfter = 1300 * time.Millisecond
	// standbyInterval is how often a standby router checks whether it has to call the store.
	standbyInterval = 100 * time.Millisecond
	// failureWindow is how long a failed call makes Failing return true.
	failureWindow = 3 * time.Second
	// uncertainAfter is how long the store may go without confirming the mirror, to this router or
	// its peers, before registrations may have expired: twice the long poll.
	uncertainAfter = 1200 * time.Millisecond
)

// Reader keeps Mirror in step with the store. Set the exported fields before Run.
type Reader struct {
	Feed   core.ChangeFeed
	Mirror *mirror.Mirror
	Rand   core.Rand
	Log    *zap.Logger
	// IsWatcher reports whether this router is an elected watcher, which calls the store on behalf
	// of all. A router that is not waits without a confirmation for takeoverAfter, plus
	// TakeoverDelay if that is set, before it calls the store as well.
	IsWatcher     func() bool
	TakeoverDelay func() time.Duration
	// Routers returns an estimate of the number of routers, including this one; nil stands for 1. Where
	// there are others, the first listing waits before its second page, see awaitPeers.
	Routers func() int
	// GracePeriod is how long after an outage of the store a missing registration is not yet taken
	// for deleted.
	GracePeriod time.Duration

	confirmed       atomic.Int64  // when the store last confirmed the mirror, in ns since started
	peerConfirmed   atomic.Int64  // the same, as reported by peers
	ownConfirmed    atomic.Int64  // the same, by a call of this router; 0 if none was answered
	ownFailed       atomic.Int64  // when a call of this router last failed; 0 once one succeeds
	lastOutage      atomic.Int64  // when the store was last found unavailable or restored
	restoreSeen     atomic.Int64  // when a restore from a backup was last noticed
	restoredVersion atomic.Uint64 // the version of the listing that showed it
	lastPage        atomic.Int64  // when a page of a listing last arrived
	partial         atomic.Bool   // the first listing has pages left, and there are peers that may have them
	storeRev        atomic.Uint64 // the store's revision in its last response
	started         time.Time
	verifier        verifier
}

// Init must be called before any other method.
func (rd *Reader) Init() { rd.started = time.Now() }

func (rd *Reader) now() int64 { return int64(time.Since(rd.started)) }

// Age is the time since the store last confirmed the mirror, to this router or a peer.
func (rd *Reader) Age() time.Duration { return time.Duration(rd.now() - rd.confirmed.Load()) }

// Confirm records a peer's report that the store confirmed the mirror's state that long ago.
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

// storeMax sets a time unless a later one is set, and returns the previous one.
func storeMax(at *atomic.Int64, to int64) int64 {
	for {
		old := at.Load()
		if to <= old || at.CompareAndSwap(old, to) {
			return old
		}
	}
}

// confirmOwn records that a call of this router, which began at start, confirmed the mirror. An answer that arrives
// later than within has lain in a socket, as the process was suspended, and says nothing about the time since.
func (rd *Reader) confirmOwn(start int64, within time.Duration) {
	at := min(rd.now(), start+int64(within))
	storeMax(&rd.ownConfirmed, at)
	rd.advance(at)
}

// OwnAge is the time since a call of this router last confirmed the mirror; never if none did.
func (rd *Reader) OwnAge() time.Duration {
	at := rd.ownConfirmed.Load()
	if at == 0 {
		return never
	}
	return time.Duration(rd.now() - at)
}

// never is the age of something that has not happened.
const never = time.Duration(math.MaxInt64)

// Failing reports whether this router's own calls to the store fail.
func (rd *Reader) Failing() bool {
	at := rd.ownFailed.Load()
	return at > 0 && rd.now()-at < int64(failureWindow)
}

// Unresponsive reports whether the contents should be fetched from a peer: this router's own calls
// fail, a listing has received nothing for so long that another attempt is started, or the first
// listing has more than one page.
func (rd *Reader) Unresponsive() bool {
	return rd.Failing() || rd.partial.Load() || rd.now()-rd.lastPage.Load() > int64(firstHedgeDelay)
}

// Uncertain reports whether missing registrations may come back: the store is unavailable, or was
// until recently, so that they may have expired and be renewed, or it was restored from a backup.
//
// Routers do not gossip this state: each would keep renewing the others' uncertainty for ever. They
// exchange the time of the last confirmation, which only grows older.
func (rd *Reader) Uncertain() bool {
	if rd.Age() > uncertainAfter {
		return true
	}
	at := rd.lastOutage.Load()
	return at > 0 && rd.now()-at < int64(rd.GracePeriod)
}

// NoteRestore records that the store was restored from a backup: what was written since the backup
// is missing until it is written again, and what has ended since is back until it ends again.
func (rd *Reader) NoteRestore(from, to core.Version) {
	rd.lastOutage.Store(rd.now())
	rd.restoreSeen.Store(rd.now())
	rd.restoredVersion.Store(uint64(to))
	rd.Log.Warn("The store was restored from a backup.", zap.Stringer("Before", from), zap.Stringer("AsOf", to))
}

// RecentlyRestored reports whether the contents of the store may be those of a backup, not written
// again yet.
func (rd *Reader) RecentlyRestored() bool {
	at := rd.restoreSeen.Load()
	return at > 0 && rd.now()-at < int64(rd.GracePeriod)
}

// MaybeRolledBack reports whether a change of that version may be an effect of a restore rather
// than a write: an item that the backup has, or lacks.
func (rd *Reader) MaybeRolledBack(ve core.Version) bool {
	return rd.RecentlyRestored() && ve <= core.Version(rd.restoredVersion.Load())
}

// noteFailure records that a call of this router failed. It counts as an outage of the store only if
// no peer reaches the store either; else registrations that go missing were really deleted.
func (rd *Reader) noteFailure() {
	now := rd.now()
	rd.ownFailed.Store(now)
	if peerConfirmed := rd.peerConfirmed.Load(); peerConfirmed == 0 || now-peerConfirmed > int64(uncertainAfter) {
		rd.lastOutage.Store(now)
	}
}

// Run keeps the mirror up to date until ctx ends.
func (rd *Reader) Run(ctx context.Context) error {
	backoff := minBackoff
	disconnected := false
	listed := false
	// compactedAt is the revision after which changes are unknown, until a listing, by this router
	// or by a peer that sends it, makes up for them.
	compactedAt := core.Version(0)
	lastCompacted := rd.now() - int64(minRelistInterval) // when the history was last found compacted
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
				rd.Log.Info("Watching the store.", zap.Stringer("AsOf", rd.Mirror.AsOf()), zap.Stringer("Said", core.Version(rd.storeRev.Load())))
			}
			listed, disconnected, backoff = true, false, minBackoff
			if left := minChangesInterval - time.Duration(rd.now()-start); watching && left > 0 {
				sleep(ctx, left)
			}
			continue
		case errors.Is(err, core.ErrCompacted):
			rd.Log.Info("The store no longer has the changes asked for. Relisting.", zap.Stringer("AsOf", rd.Mirror.AsOf()), zap.Error(err))
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
			rd.Log.Warn("Lost the store.", append(logs.ErrorFields(err),
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

// jitter returns a random pause around the given one, so that routers that started together do not
// call at the same time.
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
	start := rd.now()
	items, asOf, err := rd.Feed.Changes(ctx, rd.Mirror.AsOf(), longPollWait)
	if err == nil {
		rd.storeRev.Store(uint64(asOf))
		rd.Mirror.Apply(items, asOf)
		rd.confirmOwn(start, longPollWait)
	}
	return err
}

// errUnresponsive: no attempt at listing received anything for listIdleTimeout. The next attempts
// follow without a pause, as enough time has been lost.
var errUnresponsive = errors.New("store did not respond")

// listResult is the outcome of an attempt to list the store.
type listResult struct {
	items []core.Item
	asOf  core.Version
	err   error
}

// list lists the store, in overlapping attempts.
//
// An attempt that was sent while the store hung gets no response, even once the store has
// recovered. A router that waited for it alone, until its timeout, would refuse all its callers as
// long as it knows nothing. Later attempts reach the recovered store.
//
// Each page of the first listing is applied as it arrives: where hundreds of routers start at once,
// the whole listing takes seconds on the store's link, and the first page has the configuration.
//
// No attempt is added while the response to another is arriving: attempts that share a slow link
// would all end too late.
//
// The first listing may be stale, as hundreds of routers may start at once. It confirms nothing:
// what it lacks arrives with the next changes, from the store or from a peer. A listing after a
// loss of history must not be stale, as it has to make up for changes that nobody sends any more.
func (rd *Reader) list(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer rd.partial.Store(false)
	idleTimer := time.AfterFunc(listIdleTimeout, cancel)
	defer idleTimer.Stop()
	before := rd.Mirror.AsOf()
	stale := before == 0
	results := make(chan listResult, maxListAttempts)
	started, ended := 0, 0
	start := rd.now()
	timerSet := start // when the timer was last set
	startAttempt := func() {
		started++
		go func() {
			pg := &pacer{rd: rd, before: before, first: stale}
			items, asOf, err := rd.Feed.List(ctx, stale, func(page []core.Item) {
				storeMax(&rd.lastPage, rd.now())
				idleTimer.Reset(listIdleTimeout)
				rd.Mirror.Preview(page)
			}, func() error {
				err := pg.awaitPeers(ctx)
				idleTimer.Reset(listIdleTimeout)
				return err
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
			if errors.Is(re.err, errPeerProvided) {
				return nil
			}
			if re.err == nil {
				rd.storeRev.Store(uint64(re.asOf))
				rd.Mirror.Replace(re.items, re.asOf)
				if !stale {
					rd.confirmOwn(start, listIdleTimeout)
				}
				return nil
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%w: %w", errUnresponsive, re.err) // all attempts end with ctx
			}
			if ended == started {
				return re.err
			}
		case <-timer.C:
			if rd.Mirror.AsOf() > before {
				return nil // a peer has sent the contents meanwhile
			}
			if rd.lastPage.Load() <= timerSet && started < maxListAttempts {
				startAttempt()
			}
			timerSet = rd.now()
			timer.Reset(rd.jitter(nextHedgeDelay))
		}
	}
}
