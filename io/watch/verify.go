package watch

import (
	"context"
	"errors"
	"sync"
	"time"
)

// A process that was suspended, or whose connection to the store was cut, holds an old mirror that looks recent
// until its timers and connections show it. Verify does not depend on clocks: it asks the store after the
// question has come up.

const (
	// verifyWait bounds a call. A slow store takes 60 times its usual 4 ms, in which case callers do without.
	verifyWait = 200 * time.Millisecond
	// verifyHedge is after which time without a success the next call begins beside one that has no answer.
	verifyHedge = 50 * time.Millisecond
	// verifyInterval is the least time between two calls, for each router of the fleet: all of them together make at
	// most 1,000 of the 2,000 reads that the store takes in a second.
	verifyInterval = time.Millisecond
)

// errBehind: the mirror did not reach the revision that the store had when it was asked.
var errBehind = errors.New("the mirror is behind the store")

// errRestored: the store may lack what it had acknowledged before a restore.
var errRestored = errors.New("the store was restored from a backup a moment ago")

// verifier shares calls to the store among the callers of Verify. One goroutine at a time begins them.
type verifier struct {
	mu      sync.Mutex // guards all below
	running bool
	// waiting counts the callers that wait.
	waiting int
	// begun counts the calls; verified is the number of the latest one that succeeded, needed that of the first one that
	// began after all callers, and refused that of the latest one that the store refused, at refusedAt. err is the last error.
	begun, verified, needed, refused int
	refusedAt                        time.Time
	err                              error
	// changed is closed when verified or refused changes.
	changed chan struct{}
	// last is when the last call began.
	last time.Time
}

// Verify brings the mirror up to what the store had acknowledged when Verify was called, or later. It fails if the
// store does not answer within verifyWait, and the pause between two calls, and at once if it refuses, or has a moment
// ago. Concurrent callers share calls.
func (rd *Reader) Verify(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, verifyWait+rd.verifyPause())
	defer cancel()
	vf := &rd.verifier
	vf.mu.Lock()
	defer vf.mu.Unlock()
	if time.Since(vf.refusedAt) < verifyHedge {
		return vf.err
	}
	vf.waiting++
	defer func() { vf.waiting-- }()
	if vf.changed == nil {
		vf.changed = make(chan struct{})
	}
	if !vf.running {
		vf.running = true
		go rd.runVerifications()
	}
	needed := vf.begun + 1
	vf.needed = needed
	for vf.verified < needed {
		changed := vf.changed
		vf.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
		}
		vf.mu.Lock()
		switch {
		case vf.verified >= needed:
		case vf.refused >= needed:
			return vf.err
		case ctx.Err() != nil:
			return errors.Join(ctx.Err(), vf.err)
		}
	}
	return nil
}

// runVerifications begins calls while callers wait. A call without an answer delays the next one for a while only: the
// store, or the path to it, may have come back.
func (rd *Reader) runVerifications() {
	vf := &rd.verifier
	for {
		vf.mu.Lock()
		vf.running = vf.waiting > 0 && vf.verified < vf.needed
		running, last := vf.running, vf.last
		vf.mu.Unlock()
		if !running {
			return
		}
		time.Sleep(time.Until(last.Add(rd.verifyPause())))
		vf.mu.Lock()
		vf.begun++
		number := vf.begun
		vf.last = time.Now()
		vf.mu.Unlock()
		done := make(chan struct{})
		go func() {
			defer close(done)
			rd.finishVerification(number, rd.verify())
		}()
		timer := time.NewTimer(verifyHedge)
		select {
		case <-done:
			if rd.verifiedSince(number) {
				timer.Stop()
				continue
			}
			<-timer.C
		case <-timer.C:
		}
	}
}

// finishVerification records the result of a call.
func (rd *Reader) finishVerification(number int, err error) {
	vf := &rd.verifier
	vf.mu.Lock()
	defer vf.mu.Unlock()
	switch {
	case err == nil:
		vf.verified, vf.refusedAt = max(vf.verified, number), time.Time{}
	case errors.Is(err, context.DeadlineExceeded):
		vf.err = err
		return
	default:
		vf.refused, vf.refusedAt, vf.err = max(vf.refused, number), time.Now(), err
	}
	close(vf.changed)
	vf.changed = make(chan struct{})
}

func (rd *Reader) verifiedSince(number int) bool {
	rd.verifier.mu.Lock()
	defer rd.verifier.mu.Unlock()
	return rd.verifier.verified >= number
}

// verifyPause is the least time between two calls of this router.
func (rd *Reader) verifyPause() time.Duration {
	routers := 1
	if rd.Routers != nil {
		routers = rd.Routers()
	}
	return time.Duration(routers) * verifyInterval
}

func (rd *Reader) verify() error {
	ctx, cancel := context.WithTimeout(context.Background(), verifyWait)
	defer cancel()
	at, err := rd.Feed.Revision(ctx)
	if err != nil {
		return err
	}
	if rd.RecentlyRestored() {
		return errRestored
	}
	for rd.Mirror.AsOf() < at {
		before := rd.Mirror.AsOf()
		if before.Era() != at.Era() {
			return errBehind // the reader lists the store again
		}
		items, asOf, err := rd.Feed.Changes(ctx, before, verifyWait)
		if err != nil {
			return err
		}
		rd.Mirror.Apply(items, asOf)
		if asOf <= before {
			return errBehind
		}
	}
	return nil
}
