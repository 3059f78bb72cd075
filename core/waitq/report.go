package waitq

import (
	"cmp"
	"math"
	"slices"
	"time"

	"almondrill/core/demand"
)

const (
	// rateTime is the time constant of the rates by which the places are divided. The owner averages
	// over about the same time.
	rateTime = time.Second
	// tookTime is the time constant of the mean call time, and levelCalls how many calls the level's
	// figure counts for in it.
	tookTime   = 500 * time.Millisecond
	levelCalls = 4
	// reportTail is how long a router goes on reporting after the use fell below half of the slots.
	reportTail = time.Second
	// leastOffered is how many requests a report before the end of an interval covers at least. Fewer
	// say nothing about the rate, because requests arrive in bursts.
	leastOffered = 6
	// forgetAfter is after how long without requests a customer's state is dropped.
	forgetAfter = 2 * RecentSpan
	// calmWeight is the weight of one call in the mean time of calls that did not queue.
	calmWeight = 1.0 / 32
)

// rate is an exponentially weighted rate of events per second.
type rate struct {
	perSecond float64
	updated   time.Time
}

func (ra *rate) at(now time.Time) float64 {
	return ra.perSecond * math.Exp(-max(0, now.Sub(ra.updated).Seconds())/rateTime.Seconds())
}

func (ra *rate) add(now time.Time, weight float64) {
	ra.perSecond = ra.at(now) + weight/rateTime.Seconds()
	ra.updated = now
}

// heldTime integrates the running calls over time.
type heldTime struct {
	sum     float64 // in call seconds since the last report
	updated time.Time
}

func (he *heldTime) update(now time.Time, running int) {
	if !he.updated.IsZero() {
		he.sum += float64(running) * max(0, now.Sub(he.updated).Seconds())
	}
	he.updated = now
}

// measured is what the queue measures for its reports.
type measured struct {
	reportedAt     time.Time
	offered, ended int
	rate           rate          // of all requests, as kept is of those that are not cut
	goal           time.Duration // the smallest since the report before the last
	lastGoal       time.Duration
	// carry is what rounding the mean of running calls left over.
	carry       float64
	reportUntil time.Time
	// calm is the mean time of calls that did not queue at the endpoint.
	calm time.Duration
	// tookSum and tookCount decay with tookTime.
	tookSum, tookCount float64
	tookAt             time.Time
	use                float64 // smoothed own calls
}

// recordOffered sets an arriving request's customer and counts the request. Late ones are not part of
// the demand: they take only what others leave.
func (qu *Queue) recordOffered(now time.Time, wa *Waiter) {
	rq := &wa.Request
	cu := qu.customerOf(customerRank{rq.Customer, rq.Rank})
	cu.flow.Weight = cmp.Or(max(0, rq.Weight), 1)
	wa.customer = cu
	if wa.late {
		return
	}
	cu.offered.add(now, 1)
	cu.reported++
	qu.kept.add(now, cu.admit)
	qu.me.offered++
	qu.me.rate.add(now, 1)
	if goal := rq.GoalAt.Sub(rq.Arrived); !rq.GoalAt.IsZero() && goal > 0 && (qu.me.goal == 0 || goal < qu.me.goal) {
		qu.me.goal = goal
	}
}

func (qu *Queue) customerOf(key customerRank) *customer {
	cu := qu.customers[key]
	if cu != nil {
		return cu
	}
	if qu.customers == nil {
		qu.customers = map[customerRank]*customer{}
	}
	cu = &customer{customerRank: key, admit: 1}
	if qu.le.applied {
		cu.admit, cu.over = admitOf(qu.le.Over, key)
		cu.credit = 1
	}
	qu.customers[key] = cu
	return cu
}

// recordTook updates the mean times of calls.
func (qu *Queue) recordTook(now time.Time, took time.Duration, calm bool) {
	if took <= 0 {
		return
	}
	me := &qu.me
	me.decayTook(now)
	me.tookSum += took.Seconds()
	me.tookCount++
	switch {
	case !calm:
	case me.calm == 0:
		me.calm = took
	default:
		me.calm += time.Duration(float64(took-me.calm) * calmWeight)
	}
}

func (me *measured) decayTook(now time.Time) {
	factor := math.Exp(-max(0, now.Sub(me.tookAt).Seconds()) / tookTime.Seconds())
	me.tookSum *= factor
	me.tookCount *= factor
	me.tookAt = now
}

// callTime is how long a call is expected to take that starts now, including the endpoint's queue.
func (qu *Queue) callTime(li *limit) time.Duration {
	me := &qu.me
	return time.Duration((me.tookSum + levelCalls*li.held.Seconds()) / (me.tookCount + levelCalls) * float64(time.Second))
}

// poolUse estimates the calls of all routers at the pool's endpoints.
func (qu *Queue) poolUse(vi *view) int {
	if vi.calls >= 0 {
		return max(vi.calls, qu.running)
	}
	return max(int(qu.me.use*float64(vi.routers)), qu.running)
}

// ReportDue reports whether Report should be called at once instead of at the end of the interval: the
// pool's use has just passed half of its slots. It returns true once. In the time until the owner
// knows, calls pile up at the endpoints, and all that arrive then are late.
func (qu *Queue) ReportDue(now time.Time) bool {
	vi := qu.look()
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if vi.slots == 0 || !now.After(qu.me.reportUntil) || 2*qu.poolUse(&vi) <= vi.slots || qu.me.offered < leastOffered {
		return false
	}
	qu.me.reportUntil = now.Add(reportTail)
	return true
}

// Report returns the report to send to the pool's owner. It returns false if there is nothing to
// report. Call it once per demand.Interval.
func (qu *Queue) Report(now time.Time) (demand.Report, bool) {
	vi := qu.look()
	qu.mu.Lock()
	defer qu.mu.Unlock()
	past := now.Sub(qu.me.reportedAt)
	if qu.me.reportedAt.IsZero() || past <= 0 {
		past = demand.Interval(vi.routers)
	}
	qu.usage.update(now, qu.running)
	mean := qu.usage.sum / past.Seconds()
	qu.me.use += (mean - qu.me.use) * (1 - math.Exp(-past.Seconds()/rateTime.Seconds()))
	re := qu.report(now, past, mean, &vi)
	qu.resetInterval(now)
	if 2*qu.poolUse(&vi) > vi.slots || qu.le.known && now.Sub(qu.le.at) <= demand.LevelTTL || qu.limitKind(now, &vi) != "" {
		qu.me.reportUntil = now.Add(reportTail)
	}
	return re, vi.slots > 0 && !now.After(qu.me.reportUntil)
}

func (qu *Queue) limitKind(now time.Time, vi *view) string {
	li := qu.limit(now, vi)
	return li.kind
}

// smallestGoal returns the smallest goal of recent requests, 0 if there were none.
func (qu *Queue) smallestGoal() time.Duration {
	goal := qu.me.goal
	if last := qu.me.lastGoal; last > 0 && (goal == 0 || last < goal) {
		goal = last
	}
	return goal
}

// report summarizes the interval since the last report.
func (qu *Queue) report(now time.Time, past time.Duration, mean float64, vi *view) demand.Report {
	per10s := 10 / past.Seconds()
	// The fraction is carried over: with hundreds of routers, most have less than one call.
	running := math.Floor(mean + qu.me.carry)
	qu.me.carry += mean - running
	goal := qu.smallestGoal()
	re := demand.Report{
		Pool: qu.Pool, Running: clamp16(running), Waiting: clamp16(float64(qu.waiting)),
		OfferedPer10s: uint32(math.Round(10 * qu.me.rate.at(now))),
		EndedPer10s:   uint32(math.Round(float64(qu.me.ended) * per10s)),
		Slots:         clamp16(float64(vi.slots)),
		CallMs:        clamp16(float64(qu.me.calm.Milliseconds())), GoalMs: clamp16(float64(goal.Milliseconds())),
	}
	for cr, cu := range qu.customers {
		if cu.reported > 0 {
			re.Customers = append(re.Customers, demand.Customer{
				ID: cr.id, Rank: cr.rank, OfferedPer10s: uint32(math.Round(float64(cu.reported) * per10s)),
			})
		}
	}
	slices.SortFunc(re.Customers, func(one, two demand.Customer) int {
		return cmp.Or(cmp.Compare(two.OfferedPer10s, one.OfferedPer10s), cmp.Compare(one.ID, two.ID), cmp.Compare(one.Rank, two.Rank))
	})
	re.Customers = re.Customers[:min(len(re.Customers), demand.MaxReportCustomers)]
	return re
}

// resetInterval begins the next interval, and forgets customers that sent nothing for long.
func (qu *Queue) resetInterval(now time.Time) {
	me := &qu.me
	me.reportedAt, me.offered, me.ended = now, 0, 0
	me.goal, me.lastGoal = 0, me.goal
	qu.usage.sum = 0
	qu.forgetBudgets(now)
	for cr, cu := range qu.customers {
		cu.reported = 0
		if cu.waiting == 0 && now.Sub(cu.offered.updated) > forgetAfter {
			delete(qu.customers, cr)
		}
	}
}

func clamp16(value float64) uint16 { return uint16(min(math.MaxUint16, max(0, math.Round(value)))) }
