// Package feeds keeps a mirror of the platform's store up to date.
//
// # Concepts
//
// A Reader lists the store once, then waits for changes, again and again. Each
// answer, also an empty one, confirms that what is believed was right a moment
// ago. While the store turns this process away, the mirror is fed by others, and
// the Reader goes on from what they brought.
//
// # Invariants
//
//   - A wait without an answer ends after Wait and a little: a connection that
//     went silent is noticed within that time.
//   - After a loss of history everything is listed anew, and what is missing from
//     the listing counts as deleted.
//
// # Usage
//
//	rd := &feeds.Reader{Feed: feed, Mirror: mi, Rand: ra, Log: lo}
//	go rd.Run(ctx)
//	age := rd.Age()
package feeds

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/mirror"
	"almondrill/io/logs"
)

const (
	// wait is how long the store holds a call that has nothing to tell. Each call is
	// paid for; a silent connection is noticed after this and answerTime.
	wait = 1500 * time.Millisecond
	// answerTime is how long an answer may take beyond the wait: a slow store takes
	// 60 times its usual 4 ms, for each page of a listing.
	answerTime = 700 * time.Millisecond
	listTime   = 2 * time.Second
	// firstPause and mostPause are between calls that fail. All routers may come
	// back at once; the store takes 2,000 calls a second.
	firstPause = 60 * time.Millisecond
	mostPause  = 400 * time.Millisecond
	// starvedAfter is the age beyond which others are asked: a little more than the
	// longest time between two answers of a store that is well.
	starvedAfter = wait + 300*time.Millisecond
)

// Reader follows the store. Set the exported fields before Run.
type Reader struct {
	Feed   core.Feed
	Mirror *mirror.Mirror
	Rand   core.Rand
	Log    *zap.Logger

	confirmed atomic.Int64 // when an answer last came, in ns of the steady clock
	troubled  atomic.Int64 // when a call last failed
	began     time.Time
}

// Init must be called before the Reader is asked anything.
func (rd *Reader) Init() { rd.began = time.Now() }

func (rd *Reader) now() int64 { return int64(time.Since(rd.began)) }

// Age is how long ago an answer last confirmed the mirror.
func (rd *Reader) Age() time.Duration { return time.Duration(rd.now() - rd.confirmed.Load()) }

// Starved tells whether the store has told nothing for too long, or refuses.
func (rd *Reader) Starved() bool {
	return rd.Age() > starvedAfter || rd.troubled.Load() > rd.confirmed.Load()
}

// Troubled tells whether a call failed within the time given.
func (rd *Reader) Troubled(within time.Duration) bool {
	at := rd.troubled.Load()
	return at > 0 && rd.now()-at < int64(within)
}

// Run follows the store until ctx ends.
func (rd *Reader) Run(ctx context.Context) error {
	listed := false
	pause := firstPause
	lost := false
	for ctx.Err() == nil {
		err := rd.once(ctx, listed)
		switch {
		case err == nil:
			rd.confirmed.Store(rd.now())
			if lost || !listed {
				rd.Log.Info("Follows the store.", zap.Uint64("AsOf", uint64(rd.Mirror.AsOf())))
			}
			listed, lost, pause = true, false, firstPause
			continue
		case errors.Is(err, core.ErrCompacted):
			rd.Log.Info("The store lost its history. Lists anew.", zap.Uint64("AsOf", uint64(rd.Mirror.AsOf())))
			listed = false
			continue
		case ctx.Err() != nil:
			return nil
		}
		rd.troubled.Store(rd.now())
		if !lost {
			rd.Log.Warn("Lost the store.", append(logs.Fields(err),
				zap.Duration("Age", rd.Age()), zap.Uint64("AsOf", uint64(rd.Mirror.AsOf())))...)
			lost = true
		}
		rd.sleep(ctx, pause)
		pause = min(mostPause, 2*pause)
	}
	return nil
}

func (rd *Reader) sleep(ctx context.Context, pause time.Duration) {
	const least = 0.5
	timer := time.NewTimer(time.Duration(float64(pause) * (least + rd.Rand.Float64())))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (rd *Reader) once(ctx context.Context, listed bool) error {
	if !listed {
		ctx, cancel := context.WithTimeout(ctx, listTime)
		defer cancel()
		items, asOf, err := rd.Feed.All(ctx)
		if err == nil {
			rd.Mirror.Replace(items, asOf)
		}
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, wait+answerTime)
	defer cancel()
	items, asOf, err := rd.Feed.Changes(ctx, rd.Mirror.AsOf(), wait)
	if err == nil {
		rd.Mirror.Apply(items, asOf)
	}
	return err
}
