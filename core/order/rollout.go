package order

import (
	"time"

	"almondrill/core"
)

// The failure guarded against: a pool declares a version, an adapter or a role that crashes the
// engines that adopt it. If the order went to the next engine each time one had failed, it would
// bring the pool down to its Minimum for as long as it is declared, since the fault lies in the
// order and not in the engine. So until an order has succeeded on one engine of its pool, only a
// few engines get it; if these fail, the others keep their present state.

const (
	// maxUnprovenEngines is how many engines may get an order that has not succeeded yet, including
	// those on which it failed. It is above one, as a single engine may fail for a reason of its own.
	maxUnprovenEngines = 3
	// An order that failed on maxUnprovenEngines is issued to one more after minRolloutRetryDelay,
	// which doubles with every further failure up to maxRolloutRetryDelay.
	minRolloutRetryDelay = 10 * time.Minute
	maxRolloutRetryDelay = 2 * time.Hour
)

// orderSpec is the content of an order, whichever engine it is issued to.
type orderSpec struct {
	pool          core.PoolID
	kind          core.OrderKind
	name, version string
}

func specOf(po core.PoolID, or *core.Order) orderSpec {
	return orderSpec{po, or.Kind, or.Name, or.Version}
}

// rollout records the results of all orders with the same orderSpec.
type rollout struct {
	proven   bool
	failures int
	until    time.Time
}

// allows reports whether one more engine may get the order while open engines have one in progress.
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

// recordFailure records that the order failed on an engine. It returns true if this pauses the
// rollout: no further engine gets the order for now.
func (ro *rollout) recordFailure(now time.Time) bool {
	ro.failures++
	beyond := ro.failures - maxUnprovenEngines
	if ro.proven || beyond < 0 {
		return false
	}
	ro.until = now.Add(min(maxRolloutRetryDelay, minRolloutRetryDelay<<min(beyond, 10)))
	return true
}
