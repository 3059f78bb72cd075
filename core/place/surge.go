package place

import (
	"time"

	"almondrill/core"
)

// Load pattern: for seconds, the load of a pool exceeds what its engines can run. If all calls are
// accepted, each waits behind a second's worth of others: nearly all are late, the memory of
// running prompts evicts cached ones, and returning chats are prefilled again. Therefore a pool
// accepts as many calls as it has slots, and a few that wait.

const (
	// poolSlotFactor is how many calls an engine pool is given, as a multiple of its slots. The
	// excess of a tenth gets slots within a tenth of a call's duration.
	poolSlotFactor = 1.1
	// gapGoalWindow is for how long after a request with a gap goal slow engines count as fewer slots.
	gapGoalWindow = 10 * time.Second
	// surgeGap is how long without a refusal ends a surge.
	surgeGap = time.Second
	// maxFullRetryAfter bounds the retry delay for a full pool: few callers wait for longer.
	maxFullRetryAfter = 5 * time.Second
)

// surge is a period in which a pool refuses calls because it is full.
type surge struct {
	since, last time.Time
}

// limitPoolCalls computes how many calls the pool may have including one more of this customer. The
// limit applies to the pool, not to single endpoints: one that has a context cached may have more
// calls, as long as others have fewer. Endpoints that look dead have no slots. If all look dead,
// the view is suspect and the pool is not limited.
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

// hasGapGoals reports whether the pool has served requests with a gap goal recently. Its limit is then
// the same for all requests: with a higher one, those without a gap goal would keep the pool so full
// that all others are refused.
func (ch *choice) hasGapGoals(pl *Placer) bool {
	if !ch.rq.Engine {
		return false
	}
	if ch.rq.GapGoal > 0 {
		pl.paceOf(ch.rq.Pool).gapGoalAt = ch.now
		return true
	}
	return ch.pace != nil && !ch.pace.gapGoalAt.IsZero() && ch.now.Sub(ch.pace.gapGoalAt) <= gapGoalWindow
}

// surgeRetryAfter returns the retry delay for a pool that is full now. The end of a surge is
// unknown; one that has lasted for a time lasts, at the median, about as long again. Callers who
// retry sooner meet the same surge.
func (pl *Placer) surgeRetryAfter(now time.Time, id core.PoolID) time.Duration {
	su := pl.surges[id]
	if su == nil || now.Sub(su.last) > surgeGap {
		su = &surge{since: now}
		pl.surges[id] = su
	}
	su.last = now
	return min(maxFullRetryAfter, max(minFullRetryAfter, now.Sub(su.since)))
}
