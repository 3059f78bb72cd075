package place

import (
	"time"

	"almondrill/core"
)

// Load pattern: a pool is asked for more than its engines can run, for seconds. If all
// of it is taken, each call waits behind a second's worth of others: nearly all come
// late, the memory of running prompts pushes kept ones out, and what returns is read
// again. Therefore a pool takes as many calls as it has places, and a few that wait.

const (
	// poolSlotFactor is how many calls an engine pool is given, as a multiple of its places.
	// The tenth that waits gets a place within a tenth of a call's duration.
	poolSlotFactor = 1.1
	// surgeGap is how long without a refusal ends a surge.
	surgeGap = time.Second
	// maxFullRetryAfter bounds when callers are told to return to a pool that is full: few
	// wait for longer.
	maxFullRetryAfter = 5 * time.Second
)

// surge is a time in which a pool refuses calls since it is full.
type surge struct {
	since, last time.Time
}

// limitPoolCalls works out how many calls the pool may have for one more of this customer. It goes
// by the pool, not by its endpoints: one of them may have more, where a context is, as
// long as others have less. Endpoints that look dead have no places; where all do, the
// view is doubted, and nothing bounds the pool.
func (ch *choice) limitPoolCalls(slots int, cu *customerUse) {
	factor := float64(plainSlotFactor)
	if ch.rq.Engine {
		factor = poolSlotFactor
	}
	if cu.heavy(ch.rq.Customer) {
		factor *= heavyFraction
	}
	ch.poolSlots, ch.maxPoolCalls = slots, factor*float64(slots)
}

// surgeRetryAfter is when a caller may return to a pool that is full now. Nobody knows how
// long a surge will last; one that has lasted for a time lasts, at the median, about as
// long again. Callers who are told to return sooner meet the same surge.
func (pl *Placer) surgeRetryAfter(now time.Time, id core.PoolID) time.Duration {
	su := pl.surges[id]
	if su == nil || now.Sub(su.last) > surgeGap {
		su = &surge{since: now}
		pl.surges[id] = su
	}
	su.last = now
	return min(maxFullRetryAfter, max(minFullRetryAfter, now.Sub(su.since)))
}
