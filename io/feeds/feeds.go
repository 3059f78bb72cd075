// Package feeds keeps a mirror of the platform's store up to date.
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
package feeds

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
	// wait is how long the store holds a call that has nothing to tell. Each call is
	// paid for; what is believed is confirmed this often.
	wait = 600 * time.Millisecond
	// answerTime is how long an answer may take beyond the wait: a slow store takes
	// 60 times its usual 4 ms, for each page of a listing.
	answerTime = 700 * time.Millisecond
	// listTime is how long a listing, with all its attempts, may hear nothing. What arrives
	// is not given up. Another attempt is begun, beside those without an answer, when nothing was
	// heard for firstGap, then for twice that each time. firstGap is beyond the time that a
	// slow store takes, which answers the first attempt.
	listTime = 2 * time.Second
	firstGap = 300 * time.Millisecond
	nextGap  = 2 * firstGap
	// mostAttempts bounds those of a listing; gaps are spread by a half.
	mostAttempts = 2 + int(listTime/(nextGap/2))
	// firstPause and mostPause are between calls that fail. All routers may come
	// back at once; the store takes 2,000 calls a second.
	firstPause = 60 * time.Millisecond
	mostPause  = 400 * time.Millisecond
	// changesGap is the least time from one question for changes to the next. The first of
	// several changes is told at once, those that follow with it. When hundreds of routers start,
	// each change would otherwise be a call of each router that follows the store.
	changesGap = 100 * time.Millisecond
	// listGap is the least time between two listings that a loss of history asks for.
	listGap = 500 * time.Millisecond
	// takeoverAfter is the age beyond which the first of the routers that do not lead asks the
	// store itself: a wait, and the time in which peers tell of it.
	takeoverAfter = 1300 * time.Millisecond
	// restTick is how often a router that does not lead looks whether it has to.
	restTick = 100 * time.Millisecond
	// failingFor is how long a failed call counts.
	failingFor = 3 * time.Second
	// doubtAfter is how long the store may confirm nothing, to this router or its
	// peers, before registrations may have lapsed: twice the wait for changes.
	doubtAfter = 1200 * time.Millisecond
)

// Reader follows the store. Set the exported fields before Run.
type Reader struct {
	Feed   core.Feed
	Mirror *mirror.Mirror
	Rand   core.Rand
	Log    *zap.Logger
	// Leads tells whether this router is to ask the store. One that is not waits for a confirmation
	// for takeoverAfter, and Patience where that is set, before it does all the same.
	Leads    func() bool
	Patience func() time.Duration
	// DoubtFor is how long after the store's return a missing registration is
	// doubted.
	DoubtFor time.Duration

	confirmed  atomic.Int64  // when the store last confirmed the mirror, in ns of the steady clock
	told       atomic.Int64  // the same, as peers told
	followed   atomic.Int64  // the same, by an own call; 0 if none was answered
	failed     atomic.Int64  // when an own call last failed
	away       atomic.Int64  // when the store was last away
	restored   atomic.Int64  // when it was last learned that it came back from a copy
	restoredAt atomic.Uint64 // the version up to which was known what it has, when that was learned
	heard      atomic.Int64  // when a part of a listing last came
	said       atomic.Uint64 // the store's own revision, as its last answer told
	began      time.Time
}

// Init must be called before the Reader is asked anything.
func (rd *Reader) Init() { rd.began = time.Now() }

func (rd *Reader) now() int64 { return int64(time.Since(rd.began)) }

// Age is how long ago an answer last confirmed the mirror.
func (rd *Reader) Age() time.Duration { return time.Duration(rd.now() - rd.confirmed.Load()) }

// Confirm takes a peer's word that the mirror was right that long ago.
func (rd *Reader) Confirm(age time.Duration) {
	at := rd.now() - int64(age)
	raise(&rd.told, at)
	rd.confirm(at)
}

func (rd *Reader) confirm(at int64) {
	if old := raise(&rd.confirmed, at); at-old > int64(doubtAfter) {
		rd.away.Store(rd.now())
	}
}

// raise sets a time unless a later one is set, and returns the one before.
func raise(at *atomic.Int64, to int64) int64 {
	for {
		old := at.Load()
		if to <= old || at.CompareAndSwap(old, to) {
			return old
		}
	}
}

// answered notes that an own call confirmed the mirror.
func (rd *Reader) answered() {
	rd.followed.Store(rd.now())
	rd.confirm(rd.now())
}

// Followed is how long ago an own call confirmed the mirror; never if none did.
func (rd *Reader) Followed() time.Duration {
	at := rd.followed.Load()
	if at == 0 {
		return never
	}
	return time.Duration(rd.now() - at)
}

// never stands for the age of what has not been.
const never = time.Duration(math.MaxInt64)

// Failing tells whether the own calls to the store fail.
func (rd *Reader) Failing() bool {
	at := rd.failed.Load()
	return at > 0 && rd.now()-at < int64(failingFor)
}

// Silent tells whether the own calls fail, or a listing has heard nothing for so long that
// another attempt is made.
func (rd *Reader) Silent() bool {
	return rd.Failing() || rd.now()-rd.heard.Load() > int64(firstGap)
}

// Doubtful tells whether the store is away, or was until lately, so that
// registrations may have lapsed that will be back, or came back from a copy.
//
// Routers do not tell each other that they doubt: each would renew the others'
// doubt, for good. They tell what the store confirmed, which only grows older.
func (rd *Reader) Doubtful() bool {
	if rd.Age() > doubtAfter {
		return true
	}
	at := rd.away.Load()
	return at > 0 && rd.now()-at < int64(rd.DoubtFor)
}

// Restored takes that the store came back from a copy: what was written since the copy is missing
// until it is written again, and what has ended since is back until it ends again.
func (rd *Reader) Restored(from, to core.Version) {
	rd.away.Store(rd.now())
	rd.restored.Store(rd.now())
	rd.restoredAt.Store(uint64(to))
	rd.Log.Warn("The store came back from a copy.", zap.Stringer("Before", from), zap.Stringer("AsOf", to))
}

// RestoredLately tells whether what the store has may be a copy's, as it was not written again yet.
func (rd *Reader) RestoredLately() bool {
	at := rd.restored.Load()
	return at > 0 && rd.now()-at < int64(rd.DoubtFor)
}

// PerhapsLost tells whether a change of that version may be one that nobody made: what the store came
// back with, or without.
func (rd *Reader) PerhapsLost(ve core.Version) bool {
	return rd.RestoredLately() && ve <= core.Version(rd.restoredAt.Load())
}

// fail notes that an own call failed. While peers reach the store, this router is cut
// off alone, and what is missing has really left.
func (rd *Reader) fail() {
	now := rd.now()
	rd.failed.Store(now)
	if told := rd.told.Load(); told == 0 || now-told > int64(doubtAfter) {
		rd.away.Store(now)
	}
}

// Run follows the store until ctx ends.
func (rd *Reader) Run(ctx context.Context) error {
	pause := firstPause
	lost := false
	listed := false
	// unlisted is the revision after which the history is not known until a listing,
	// here or by a peer that tells of it, has made up for it.
	unlisted := core.Version(0)
	compacted := rd.now() - int64(listGap) // when the history was last found lost
	for ctx.Err() == nil {
		listed = listed || rd.Mirror.AsOf() > unlisted
		if listed && !rd.Leads() && rd.Age() < takeoverAfter+rd.patience() {
			rest(ctx, restTick)
			continue
		}
		began, waited := rd.now(), listed
		err := rd.once(ctx, listed)
		switch {
		case err == nil:
			rd.failed.Store(0)
			if lost || !listed {
				rd.Log.Info("Follows the store.", zap.Stringer("AsOf", rd.Mirror.AsOf()), zap.Stringer("Said", core.Version(rd.said.Load())))
			}
			listed, lost, pause = true, false, firstPause
			if left := changesGap - time.Duration(rd.now()-began); waited && left > 0 {
				rest(ctx, left)
			}
			continue
		case errors.Is(err, core.ErrCompacted):
			rd.Log.Info("The store lost its history. Lists anew.", zap.Stringer("AsOf", rd.Mirror.AsOf()))
			unlisted, listed = rd.Mirror.AsOf(), false
			if left := listGap - time.Duration(rd.now()-compacted); left > 0 {
				rest(ctx, left)
			}
			compacted = rd.now()
			continue
		case ctx.Err() != nil:
			return nil
		}
		rd.fail()
		if !lost {
			rd.Log.Warn("Lost the store.", append(logs.Fields(err),
				zap.Duration("Age", rd.Age()), zap.Stringer("AsOf", rd.Mirror.AsOf()))...)
			lost = true
		}
		if !errors.Is(err, errSilent) {
			rd.sleep(ctx, pause)
			pause = min(mostPause, 2*pause)
		}
	}
	return nil
}

func (rd *Reader) patience() time.Duration {
	if rd.Patience == nil {
		return 0
	}
	return rd.Patience()
}

func (rd *Reader) sleep(ctx context.Context, pause time.Duration) { rest(ctx, rd.spread(pause)) }

// spread draws a pause around the given one, so that routers that began together do not
// call together.
func (rd *Reader) spread(pause time.Duration) time.Duration {
	const least = 0.5
	return time.Duration(float64(pause) * (least + rd.Rand.Float64()))
}

func rest(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (rd *Reader) once(ctx context.Context, listed bool) error {
	if !listed {
		return rd.list(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	items, asOf, err := rd.Feed.Changes(ctx, rd.Mirror.AsOf(), wait)
	if err == nil {
		rd.said.Store(uint64(asOf))
		rd.Mirror.Apply(items, asOf)
		rd.answered()
	}
	return err
}

// errSilent: no attempt at listing had an answer within listTime. Time has been lost
// enough; the next attempts follow at once.
var errSilent = errors.New("the store is silent")

// listing is the answer to an attempt to list the store.
type listing struct {
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
	silence := time.AfterFunc(listTime, cancel)
	defer silence.Stop()
	before := rd.Mirror.AsOf()
	stale := before == 0
	answers := make(chan listing, mostAttempts)
	begun, ended := 0, 0
	set := rd.now() // when the timer was
	begin := func() {
		begun++
		go func() {
			items, asOf, err := rd.Feed.All(ctx, stale, func(some []core.Item) {
				raise(&rd.heard, rd.now())
				silence.Reset(listTime)
				rd.Mirror.Preview(some)
			})
			answers <- listing{items, asOf, err}
		}()
	}
	begin()
	timer := time.NewTimer(rd.spread(firstGap))
	defer timer.Stop()
	for {
		select {
		case an := <-answers:
			ended++
			if an.err == nil {
				rd.said.Store(uint64(an.asOf))
				rd.Mirror.Replace(an.items, an.asOf)
				if !stale {
					rd.answered()
				}
				return nil
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%w: %w", errSilent, an.err) // each attempt ends with ctx
			}
			if ended == begun {
				return an.err
			}
		case <-timer.C:
			if rd.Mirror.AsOf() > before {
				return nil // a peer told
			}
			if rd.heard.Load() <= set && begun < mostAttempts {
				begin()
			}
			set = rd.now()
			timer.Reset(rd.spread(nextGap))
		}
	}
}
