package waitq

import (
	"cmp"
	"math"
	"slices"
	"time"

	"almondrill/core/demand"
)

// Load pattern: a customer's requests grow many times over within a second. Until the owner's first
// level has reached all routers, which takes up to 1.5 s where there are hundreds, all that arrives
// would be sent at once, and the others' requests would be late. Therefore a router limits surging
// customers by what it observes itself.

const (
	// provisionalTime is for how long a router limits itself without any level. An owner that exists
	// has published by then.
	provisionalTime = 3 * time.Second
	// provisionalPause is after how long without a full pool a provisional limit may begin again.
	// Shorter pauses are those of one overload, in which no owner has published.
	provisionalPause = fallbackTime
	// surgeLoad is the part of the capacity beyond whose fair shares a customer counts as surging. It
	// is less than 1 because the calls beyond the slots have to be worked off.
	surgeLoad = 0.7
	// leastSurge is up to how many requests in the last second are no surge: callers' requests arrive
	// in bursts, and with hundreds of routers one burst exceeds a router's part of the capacity.
	leastSurge = 4
	// fullExponent and leastScale say how the starts of customers over their share decrease while
	// more calls than slots are in progress. Demand in reports is averaged over a second: while it
	// grows, routers' parts add up to more than the places, and the first estimates of the capacity
	// are too high. The bound remains because calls may queue at slow endpoints while slots are free
	// at others.
	fullExponent = 2
	leastScale   = 0.5
	// Who surges is found again after surgeInterval, or once there were as many decisions as a
	// surgeCalls-th of the customers: finding it takes 0.4 ms with 1,000 customers.
	surgeInterval = 50 * time.Millisecond
	surgeCalls    = 8
	// startsTime is for how long before its begin starts count against the burst of a limit, and after
	// how long without one a limit begins anew.
	startsTime = 3 * time.Second
)

// shortage is when the pool was seen to be full: from the first time of this overload to the last.
type shortage struct {
	from, seen time.Time
	// markedAt is when surging customers were last marked, decisions the number of decisions since.
	markedAt  time.Time
	decisions int
}

// full reports whether peers' counts say that all of the pool's slots are in use.
func (vi *view) full() bool { return vi.slots > 0 && vi.calls >= vi.slots }

// provisional returns the limit that applies before the first level. Customers within their share are
// admitted as without a limit; those that surge share the starts that this router's equal part of
// the slots allows.
func (qu *Queue) provisional(now time.Time, vi *view) limit {
	call := qu.me.meanCall()
	if !vi.full() || call == 0 {
		return limit{}
	}
	if now.Sub(qu.short.seen) > provisionalPause {
		qu.short.from = now
	}
	qu.short.seen = now
	if now.Sub(qu.short.from) > provisionalTime {
		return limit{}
	}
	places := float64(vi.slots) / float64(vi.routers)
	qu.short.decisions++
	if surgeCalls*qu.short.decisions >= len(qu.customers) || now.Sub(qu.short.markedAt) >= surgeInterval {
		qu.short.markedAt, qu.short.decisions = now, 0
		qu.markSurging(now, surgeLoad*places/call.Seconds())
	}
	return limit{kind: byProvisional, pool: float64(vi.slots), places: places, held: call}
}

// meanCall returns the mean time of calls that did not queue, or of the recent ones if none is known
// yet; 0 if no call has ended.
func (me *measured) meanCall() time.Duration {
	if me.calm > 0 || me.tookCount == 0 {
		return me.calm
	}
	return time.Duration(me.tookSum / me.tookCount * float64(time.Second))
}

// markSurging sets which customers are over their fair share of this router's part of the capacity,
// by rank first, as the owner does for all routers.
func (qu *Queue) markSurging(now time.Time, capacity float64) {
	all := make([]offering, 0, len(qu.customers))
	for _, cu := range qu.customers {
		all = append(all, offering{cu, cu.offered.at(now)})
	}
	slices.SortFunc(all, func(one, two offering) int {
		return cmp.Or(cmp.Compare(one.rank, two.rank), cmp.Compare(one.perSecond/one.flow.Weight, two.perSecond/two.flow.Weight), cmp.Compare(one.id, two.id))
	})
	for len(all) > 0 {
		count := slices.IndexFunc(all, func(of offering) bool { return of.rank != all[0].rank })
		given := capacity * (1 - demand.LowerFraction)
		if count < 0 {
			count, given = len(all), capacity
		}
		capacity -= markOver(all[:count], given)
		all = all[count:]
	}
}

// offering is a customer with what it offers.
type offering struct {
	*customer
	perSecond float64
}

// markOver divides what one rank is given among its customers, those first that offer least for their
// weight, and returns what they use of it.
func markOver(rank []offering, given float64) (used float64) {
	weights := 0.0
	for _, of := range rank {
		weights += of.flow.Weight
	}
	for _, of := range rank {
		share := (given - used) * of.flow.Weight / weights
		of.over = of.perSecond > max(share, leastSurge)
		used += min(of.perSecond, share)
		weights -= of.flow.Weight
	}
	return used
}

// startScale is the factor for starts by tokens: less than 1 while the pool has more calls than slots.
// It does not apply to routers with a place or more, which limit their calls themselves.
func (li *limit) startScale(vi *view) float64 {
	if !vi.full() || li.whole > 0 || li.kind == byFallback {
		return 1
	}
	return max(leastScale, math.Pow(float64(vi.slots)/float64(vi.calls), fullExponent))
}
