package waitq

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"almondrill/core"
	"almondrill/core/retry"
)

// Load pattern: the pool's slots are all in use, often because of one customer. Whatever is sent
// then is served first come, first served, and one customer's surge makes all others late. Therefore
// requests wait at the routers, which order them, and those that would be late anyway are refused
// on arrival, when a refusal costs their callers nothing.

const (
	// overtakenMax is how many starts may go before waiting requests of lower ranks or late ones.
	overtakenMax = 9
	// marginFraction is how much longer than the mean a call is assumed to take when an arriving
	// request is promised to be in time: calls vary. It does not apply to customers within their
	// share: their requests go before others, which are to be refused first.
	marginFraction = 0.3
	// freeRefusal is the part of a goal within which a refusal costs the caller nothing.
	freeRefusal = 1.0 / 8
	// lateRate is the part of the starts that late requests may count on, less those in time.
	lateRate = 0.9
	// spareUse is up to how many calls per slot customers beyond their share may start more, lateUse
	// up to how many late requests may start. With fewer calls than that, slots are probably free.
	spareUse = 1.25
	lateUse  = 0.8
	// spareLoad is the same for routers with less than one place, as the part of the starts that the
	// places allow: a single router's calls say nothing about the pool's.
	spareLoad = 0.5
	// maxWaiting bounds the memory. Waiting times are bounded by the requests' goals.
	maxWaiting = 4096
	// maxWait is how long requests without a goal and deadline may wait.
	maxWait = 5 * time.Second
)

// Offer decides about a request on its arrival. An admitted request must end with Done.
func (qu *Queue) Offer(now time.Time, rq Request) Decision {
	vi := qu.look()
	qu.mu.Lock()
	defer qu.mu.Unlock()
	wa := &Waiter{Request: rq}
	wa.arrivedLate = qu.isRetry(now, wa, &vi) || !rq.GoalAt.IsZero() && !rq.GoalAt.After(now.Add(qu.Network))
	wa.late = wa.arrivedLate
	qu.recordOffered(now, wa)
	li := qu.limit(now, &vi)
	switch {
	case !li.limited():
		qu.charge(wa)
		return qu.admit(now, wa, &li)
	case wa.late:
		return qu.offerLate(now, wa, &li, &vi)
	}
	return qu.offerInTime(now, wa, &li, &vi)
}

// offerInTime decides about a request whose goal has not passed.
func (qu *Queue) offerInTime(now time.Time, wa *Waiter, li *limit, vi *view) Decision {
	cu, free := wa.customer, qu.free(wa, li)
	if !cu.takeShare() && !(free && qu.waiting == 0 && qu.spare(li, vi, spareUse)) {
		return qu.refuse(now, wa, core.ReasonShareExceeded, li, 0)
	}
	overdraft := li.overdraft && qu.withinShare(wa)
	cl := qu.class(wa.Request.Rank)
	cl.offered.add(now, 1)
	if overdraft {
		cl.within.add(now, 1)
	}
	qu.charge(wa)
	wa.Ahead = qu.aheadOf(cl, wa)
	lower := qu.lowerWaiting(cl)
	turn := lower == 0 && qu.overtaken >= overtakenMax
	if free && (wa.Ahead == 0 || overdraft || turn) {
		if turn {
			qu.overtaken = -1 // admit counts this one
		}
		return qu.admit(now, wa, li)
	}
	wait := qu.expectedWait(now, wa, wa.Ahead, lower, li)
	rest := qu.callTime(li) + qu.Network
	if !overdraft {
		rest += time.Duration(marginFraction * float64(rest))
	}
	if qu.waiting >= maxWaiting || !inTime(now, wa, wait, rest) {
		cl.time.Credit(&cu.flow, 1)
		return qu.refuse(now, wa, refusalReason(cu), li, wait)
	}
	return qu.wait(now, wa, li, wait)
}

// lowerWaiting returns how many requests wait for the starts that are left to lower ranks, -1 if the
// class is the highest one.
func (qu *Queue) lowerWaiting(cl *class) int {
	count := -1
	for _, other := range qu.classes {
		switch {
		case count >= 0:
			count += len(other.waiters)
		case other == cl:
			return -1
		default:
			count = 0
		}
	}
	return count
}

// offerLate decides about a request whose goal has passed. It takes a place that is probably not
// needed by others, and waits for one no longer than a refusal costs its caller nothing.
func (qu *Queue) offerLate(now time.Time, wa *Waiter, li *limit, vi *view) Decision {
	qu.charge(wa)
	cl := qu.class(wa.Request.Rank)
	wa.Ahead = qu.aheadOf(cl, wa)
	if wa.Ahead == 0 && qu.free(wa, li) && qu.spare(li, vi, lateUse) {
		return qu.admit(now, wa, li)
	}
	wait := qu.expectedWait(now, wa, wa.Ahead, -1, li)
	if qu.waiting >= maxWaiting || wait > qu.freeTime(wa) {
		cl.time.Credit(&wa.customer.flow, 1)
		return qu.refuse(now, wa, refusalReason(wa.customer), li, wait)
	}
	return qu.wait(now, wa, li, wait)
}

// wait lets the request wait.
func (qu *Queue) wait(now time.Time, wa *Waiter, li *limit, wait time.Duration) Decision {
	wa.ready = make(chan struct{})
	qu.lastSeq++
	wa.seq = qu.lastSeq
	qu.insert(wa)
	de := qu.decision(now, wa, li, wait)
	de.Wait = wa
	return de
}

// decision returns the facts of a decision, without its outcome.
func (qu *Queue) decision(now time.Time, wa *Waiter, li *limit, wait time.Duration) Decision {
	if !li.limited() {
		return Decision{}
	}
	de := Decision{Basis: qu.basis(now, wa, li, wait), Ahead: wa.Ahead, LevelAge: qu.levelAge(now)}
	if wa.ready != nil {
		de.Waited = now.Sub(wa.Request.Arrived)
	}
	return de
}

// takeShare counts a request against the customer's admitted fraction, and reports whether it is
// within it.
func (cu *customer) takeShare() bool {
	if cu.admit >= 1 {
		return true
	}
	cu.credit = min(2, cu.credit+cu.admit)
	if cu.credit < 1 {
		return false
	}
	cu.credit--
	return true
}

// spare reports whether there are fewer than use calls per slot, as far as this router knows, so that
// a request of a customer beyond its share, or one that is late anyway, may take a place. The last
// places are for the others. Without this rule places would stay free, because fractions are
// computed from demand that is some hundred milliseconds old.
func (qu *Queue) spare(li *limit, vi *view, use float64) bool {
	if li.whole == 0 {
		return qu.running == 0 && qu.tokens >= 1 && float64(qu.le.OfferedPer10s)/10 <= spareLoad*li.pool/li.held.Seconds()
	}
	return float64(qu.running+1) <= li.places*use*float64(vi.slots)/li.pool
}

func (qu *Queue) charge(wa *Waiter) {
	wa.tag = qu.class(wa.Request.Rank).time.Charge(&wa.customer.flow, 1)
}

// admit gives the request a place.
func (qu *Queue) admit(now time.Time, wa *Waiter, li *limit) Decision {
	de := qu.decision(now, wa, li, 0)
	de.Admitted = true
	cl := qu.class(wa.Request.Rank)
	cl.time.Start(wa.tag)
	if li.limited() && float64(qu.running) >= li.whole {
		qu.tokens--
	}
	qu.overtaken = min(qu.overtaken+1, overtakenMax)
	qu.usage.update(now, qu.running)
	qu.running++
	if wa.ready == nil {
		qu.count(now, wa.customer, func(co *Counts) { co.AdmittedAtOnce++ })
	} else {
		qu.count(now, wa.customer, func(co *Counts) { co.AdmittedAfterWait++ })
	}
	return de
}

// refuse returns the refusal of a request.
func (qu *Queue) refuse(now time.Time, wa *Waiter, reason core.Reason, li *limit, wait time.Duration) Decision {
	if reason == core.ReasonShareExceeded {
		qu.count(now, wa.customer, func(co *Counts) { co.RefusedByShare++ })
	} else {
		qu.count(now, wa.customer, func(co *Counts) { co.RefusedForTime++ })
	}
	de := qu.decision(now, wa, li, wait)
	de.Refused = reason
	if qu.Returns != nil {
		cu := wa.customer
		de.RetryAfter, _ = qu.Returns.Reserve(now, retry.Refused{
			Customer: cu.id, PerSecond: qu.returnRate(now, cu, li),
			Call: qu.callTime(li) + qu.Network, Deadline: wa.Request.Deadline,
		})
	}
	return de
}

// returnRate is the rate at which the customer's requests are expected to be admitted here: what
// the level admits of them, or their part of this router's starts if that is less.
func (qu *Queue) returnRate(now time.Time, cu *customer, li *limit) float64 {
	offered := cu.offered.at(now)
	return min(offered*cu.admit, li.startRate()*offered/max(offered, qu.kept.at(now), 1e-9))
}

// refusalReason is the reason of refusing a request that cannot be in time.
func refusalReason(cu *customer) core.Reason {
	if cu.over {
		return core.ReasonShareExceeded
	}
	return core.ReasonQueueFull
}

// class returns the class of a rank.
func (qu *Queue) class(rank uint8) *class {
	at, found := slices.BinarySearchFunc(qu.classes, rank, func(cl *class, rank uint8) int { return cmp.Compare(cl.rank, rank) })
	if !found {
		qu.classes = slices.Insert(qu.classes, at, &class{rank: rank})
	}
	return qu.classes[at]
}

// compareOrder orders the waiting requests of one class.
func compareOrder(one, two *Waiter) int {
	switch {
	case one.late != two.late:
		if two.late {
			return -1
		}
		return 1
	case one.late:
		return cmp.Compare(one.seq, two.seq)
	}
	return cmp.Or(cmp.Compare(one.tag, two.tag), compareGoal(one, two), cmp.Compare(one.seq, two.seq))
}

// compareGoal orders by the time that is left until the goal; no goal is last.
func compareGoal(one, two *Waiter) int {
	switch none := two.Request.GoalAt.IsZero(); {
	case one.Request.GoalAt.IsZero() && none:
		return 0
	case none:
		return -1
	case one.Request.GoalAt.IsZero():
		return 1
	}
	return one.Request.GoalAt.Compare(two.Request.GoalAt)
}

// aheadOf returns how many waiting requests go before an arriving one.
func (qu *Queue) aheadOf(cl *class, wa *Waiter) int {
	wa.seq = qu.lastSeq + 1
	ahead := 0
	for _, higher := range qu.classes {
		if higher.rank < cl.rank {
			ahead += higher.inTimeCount()
		}
	}
	inClass, _ := slices.BinarySearchFunc(cl.waiters, wa, compareOrder)
	return ahead + inClass
}

// inTimeCount returns the number of waiters that are not late. These come first.
func (cl *class) inTimeCount() int {
	at, _ := slices.BinarySearchFunc(cl.waiters, true, func(wa *Waiter, _ bool) int {
		if wa.late {
			return 0
		}
		return -1
	})
	return at
}

// expectedWait predicts when a request starts that has so many requests ahead. Those of higher ranks
// that arrive in the meantime go before it, but a tenth of the starts is left to lower ranks: of these
// it has lower ahead, -1 if it is not of a lower rank. Before a late one go all that can be in time.
func (qu *Queue) expectedWait(now time.Time, wa *Waiter, ahead, lower int, li *limit) time.Duration {
	rate := min(li.startRate(), li.places/qu.callTime(li).Seconds())
	var before float64
	for _, cl := range qu.classes {
		switch {
		case cl.rank < wa.Request.Rank || wa.late && cl.rank == wa.Request.Rank:
			before += cl.offered.at(now)
		case cl.rank == wa.Request.Rank && !qu.withinShare(wa):
			before += cl.within.at(now)
		}
	}
	left := rate - before
	if wa.late {
		left = lateRate*rate - before
	}
	seconds := float64(ahead+1) / max(left, 1e-3)
	if lower >= 0 {
		seconds = min(seconds, float64((lower+1)*(overtakenMax+1)-qu.overtaken)/max(rate, 1e-3))
	}
	return time.Duration(min(seconds, 2*maxWait.Seconds()) * float64(time.Second))
}

// due is when the request must be done: its goal, or its deadline if it is late or has no goal.
func (wa *Waiter) due() time.Time {
	rq := &wa.Request
	switch {
	case !wa.late && !rq.GoalAt.IsZero():
		return rq.GoalAt
	case !rq.Deadline.IsZero():
		return rq.Deadline
	}
	return rq.Arrived.Add(maxWait)
}

// inTime reports whether a request that waits that long, and needs rest after that, is done when due.
func inTime(now time.Time, wa *Waiter, wait, rest time.Duration) bool {
	return !now.Add(wait + rest).After(wa.due())
}

// basis describes the facts of a decision.
func (qu *Queue) basis(now time.Time, wa *Waiter, li *limit, wait time.Duration) string {
	left := time.Duration(0)
	if !wa.Request.GoalAt.IsZero() {
		left = wa.Request.GoalAt.Sub(now)
	}
	return fmt.Sprintf("%s: %d running of %.2f own places, %d waiting, %d ahead, expected wait %s, call %s, time to goal %s, admitted fraction %.2f, level age %s",
		li.kind, qu.running, li.places, qu.waiting, wa.Ahead, wait.Round(time.Millisecond), qu.callTime(li).Round(time.Millisecond),
		left.Round(time.Millisecond), wa.customer.admit, qu.levelAge(now).Round(time.Millisecond))
}
