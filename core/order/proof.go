package order

import (
	"time"

	"almondrill/core"
)

// Failure: a pool declares a version, an adapter or a role that crashes the engines that take
// it on. Given to the next engine when one has failed, the order takes the pool down to its
// Minimum for as long as it is declared: what fails is the order, not the engine. Until an
// order has gone well on one engine of its pool, few have it; when these fail, the others
// keep what they have.

const (
	// maxUnprovenEngines is how many engines may have an order of which none has gone well, those
	// at which it failed included: a single engine may fail for a reason of its own.
	maxUnprovenEngines = 3
	// minRolloutRetryDelay is when an order that failed on so many is given to one more, mostRetry the
	// longest pause, doubled from try to try.
	minRolloutRetryDelay = 10 * time.Minute
	maxRolloutRetryDelay = 2 * time.Hour
)

// orderSpec is what an order asks, whichever engine gets it.
type orderSpec struct {
	pool          core.PoolID
	kind          core.OrderKind
	name, version string
}

func specOf(po core.PoolID, or *core.Order) orderSpec {
	return orderSpec{po, or.Kind, or.Name, or.Version}
}

// rollout is what is known of an order's content.
type rollout struct {
	proven   bool
	failures int
	until    time.Time
}

// allows tells whether one more engine may get the order, while open have one in progress.
func (ro *rollout) allows(now time.Time, open int) bool {
	switch {
	case ro == nil:
		return open < maxUnprovenEngines
	case ro.proven:
		return true
	case ro.failures < maxUnprovenEngines:
		return ro.failures+open < maxUnprovenEngines
	}
	return open == 0 && !now.Before(ro.until)
}

// recordFailure notes that the order failed on an engine. It returns true if no further engine gets it
// for now.
func (ro *rollout) recordFailure(now time.Time) bool {
	ro.failures++
	beyond := ro.failures - maxUnprovenEngines
	if ro.proven || beyond < 0 {
		return false
	}
	ro.until = now.Add(min(maxRolloutRetryDelay, minRolloutRetryDelay<<min(beyond, 10)))
	return true
}
