package migr

import (
	"cmp"
	"fmt"
	"math"
	"time"
)

const (
	// minLeft is the remaining time below which a stream stays: the copy and the pause cost as much.
	minLeft = time.Second
	// minToDeadline is the time to the deadline below which a stream stays.
	minToDeadline = 500 * time.Millisecond
	// drainGrace is how long engines serve at least beyond their drain time.
	drainGrace = 1500 * time.Millisecond
	// minSlowness is the factor from which on an engine counts as slow. The speeds of engines differ
	// by less with their numbers of calls.
	minSlowness = 1.25
	// restartTime is how long a stream takes from its stop until it continues, apart from the copy:
	// three round trips between zones and a step of a busy engine. copyTimePerToken is the time of
	// a copy between zones, of 131,072 bytes per token.
	restartTime      = 80 * time.Millisecond
	copyTimePerToken = 4 * time.Microsecond
	// pauseFactor is the ratio of the longest pause of a stream to the mean one: steps in which the
	// engine prefills the prompts of other calls take longer.
	pauseFactor = 1.5
	// noDeadline is the remaining time of a stream without a deadline.
	noDeadline = time.Duration(math.MaxInt64)
)

// class is what a stream loses by staying; lower classes go first.
type class uint8

const (
	// lost: the whole answer, which is in time at another engine.
	lost class = iota
	// paused: the goal for pauses.
	paused
	// lateAnyway: the whole answer, which is probably too late at another engine too.
	lateAnyway
)

// candidate is a stream that should be migrated.
type candidate struct {
	lr     *listedRun
	source Source
	reason Reason
	class  class
	// loss is the part of the answer, as time at the usual speed, that the caller does not get if
	// the stream stays, or gets with pauses that are too long.
	loss time.Duration
	// atSource and atTarget are the expected times until the end if the stream stays and if it moves.
	atSource, atTarget time.Duration
}

// compareUrgency orders candidates, the most urgent first.
func compareUrgency(a, b candidate) int {
	return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(b.loss, a.loss), cmp.Compare(a.lr.ID, b.lr.ID))
}

// assess returns what a stream loses by staying, and whether it should be migrated.
func assess(now time.Time, lr *listedRun, src Source, drainTime time.Duration) (candidate, bool) {
	factor := 1.0
	if src.Slowness >= minSlowness {
		factor = src.Slowness
	}
	ca := candidate{lr: lr, source: src, class: lost, atSource: scale(lr.Left, factor), atTarget: lr.Left + lr.moveTime()}
	toDeadline := lr.toDeadline(now)
	if ca.atSource < minLeft || toDeadline < minToDeadline {
		return ca, false
	}
	if !src.DrainingSince.IsZero() {
		serves := max(0, src.DrainingSince.Add(drainTime+drainGrace).Sub(now))
		if ca.atSource > serves && toDeadline > serves {
			ca.reason, ca.loss = Draining, lr.Left-scale(serves, 1/factor)
			if ca.atTarget > toDeadline {
				ca.class = lateAnyway
			}
			return ca, true
		}
	}
	if factor == 1 || ca.atTarget > toDeadline {
		return ca, false
	}
	ca.reason = Slow
	switch {
	case ca.atSource > toDeadline:
		ca.loss = lr.Left - scale(toDeadline, 1/factor)
	case lr.pausesTooLong(factor):
		ca.class, ca.loss = paused, lr.Left
	default:
		return ca, false
	}
	return ca, true
}

// pausesTooLong reports whether the stream pauses for longer than its goal only because its engine
// is slower by the factor. The pause of a migration must be within the goal too.
func (ru *Run) pausesTooLong(factor float64) bool {
	pause := scale(ru.EventGap, pauseFactor)
	return ru.GapGoal > 0 && pause > ru.GapGoal && scale(pause, 1/factor) <= ru.GapGoal && restartTime <= ru.GapGoal
}

// moveTime returns by how much a migration delays the end of the stream.
func (ru *Run) moveTime() time.Duration {
	return restartTime + time.Duration(ru.Memory)*copyTimePerToken
}

// toDeadline returns the time until the deadline, negative after it, noDeadline if there is none.
func (ru *Run) toDeadline(now time.Time) time.Duration {
	if ru.Deadline.IsZero() {
		return noDeadline
	}
	return ru.Deadline.Sub(now)
}

// scale multiplies a duration by a factor. Products beyond the range of the type become noDeadline.
func scale(du time.Duration, factor float64) time.Duration {
	product := float64(du) * factor
	if product >= float64(noDeadline) {
		return noDeadline
	}
	return time.Duration(product)
}

// basis returns the figures of the decision as one line for logs.
func (ca *candidate) basis(now time.Time) string {
	text := fmt.Sprintf("factor %.2f; left %d ms here, %d ms elsewhere", ca.source.Slowness, ca.atSource.Milliseconds(), ca.atTarget.Milliseconds())
	if toDeadline := ca.lr.toDeadline(now); toDeadline != noDeadline {
		text += fmt.Sprintf(", %d ms to the deadline", toDeadline.Milliseconds())
	}
	if since := ca.source.DrainingSince; !since.IsZero() {
		text += fmt.Sprintf("; draining for %d ms", now.Sub(since).Milliseconds())
	}
	if ca.class == paused {
		text += fmt.Sprintf("; %d ms between events, goal %d ms", ca.lr.EventGap.Milliseconds(), ca.lr.GapGoal.Milliseconds())
	}
	return text
}
