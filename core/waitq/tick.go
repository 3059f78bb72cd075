package waitq

import (
	"slices"
	"time"
)

// tickInterval is how often waiting requests are checked if no call ends: finer than the part of a
// goal within which refusals are free.
const tickInterval = 5 * time.Millisecond

// Done records the end of a call; took is its time at the endpoint. ok says that the endpoint ran
// it, whatever it answered. Call Tick afterwards.
func (qu *Queue) Done(now time.Time, took time.Duration, ok bool) {
	vi := qu.look()
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.release(now)
	if ok {
		qu.me.ended++
		qu.recordTook(now, took, qu.poolUse(&vi) < vi.slots/2)
	} else {
		qu.refusedAt = now
	}
}

func (qu *Queue) release(now time.Time) {
	qu.usage.update(now, qu.running)
	qu.running = max(0, qu.running-1)
}

// Cancel withdraws a waiter whose caller disconnected. A place that it was given in the meantime is
// free again; do not call Done for it.
func (qu *Queue) Cancel(now time.Time, wa *Waiter) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if wa.Decision.Admitted {
		qu.release(now)
	} else if qu.remove(wa) {
		qu.class(wa.Request.Rank).time.Credit(&wa.customer.flow, 1)
		qu.count(now, wa.customer, func(co *Counts) { co.Cancelled++ })
	}
}

// remove takes a waiter out of its class, and reports whether it was there.
func (qu *Queue) remove(wa *Waiter) bool {
	cl := qu.class(wa.Request.Rank)
	at, found := slices.BinarySearchFunc(cl.waiters, wa, compareOrder)
	if !found {
		return false
	}
	cl.waiters = slices.Delete(cl.waiters, at, at+1)
	wa.customer.waiting--
	qu.waiting--
	return true
}

// insert puts a waiter into its class.
func (qu *Queue) insert(wa *Waiter) {
	cl := qu.class(wa.Request.Rank)
	at, _ := slices.BinarySearchFunc(cl.waiters, wa, compareOrder)
	cl.waiters = slices.Insert(cl.waiters, at, wa)
	wa.customer.waiting++
	qu.waiting++
}

// Tick returns the waiters to start or refuse now; each has its Decision, and its Ready is closed.
func (qu *Queue) Tick(now time.Time) []*Waiter {
	vi := qu.look()
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if qu.waiting == 0 {
		return nil
	}
	li := qu.limit(now, &vi)
	var decided []*Waiter
	for qu.waiting > 0 {
		wa := qu.next(&li, &vi)
		if wa == nil {
			break
		}
		qu.remove(wa)
		wa.Decision = qu.admit(now, wa, &li)
		decided = append(decided, wa)
	}
	if li.limited() {
		decided = qu.review(now, &li, decided)
	}
	for _, wa := range decided {
		close(wa.ready)
	}
	return decided
}

// next returns the waiter that is next to start, nil if none may start. Every tenth start goes to the
// one that waits longest of those overtaken: lower ranks, and requests whose goal passed while they
// waited.
func (qu *Queue) next(li *limit, vi *view) *Waiter {
	var first, overtaken *Waiter
	for _, cl := range qu.classes {
		wa := qu.firstOf(cl, li, vi)
		if first == nil {
			first = wa
		} else {
			overtaken = older(overtaken, wa)
		}
		if last := cl.last(); last != nil && last != first && last.late && !last.arrivedLate && qu.free(last, li) {
			overtaken = older(overtaken, last)
		}
	}
	if overtaken == nil || qu.overtaken < overtakenMax {
		return first
	}
	qu.overtaken = -1 // admit counts this one
	return overtaken
}

// older returns the request that arrived earlier; either may be nil.
func older(one, two *Waiter) *Waiter {
	if one == nil || two != nil && two.Request.Arrived.Before(one.Request.Arrived) {
		return two
	}
	return one
}

// last returns the last waiter, nil if there is none.
func (cl *class) last() *Waiter {
	if len(cl.waiters) == 0 {
		return nil
	}
	return cl.waiters[len(cl.waiters)-1]
}

// firstOf returns the first waiter of a class that may start.
func (qu *Queue) firstOf(cl *class, li *limit, vi *view) *Waiter {
	for _, wa := range cl.waiters {
		if qu.free(wa, li) && (!wa.arrivedLate || !li.limited() || qu.spare(li, vi, lateUse)) {
			return wa
		}
	}
	return nil
}

// review refuses waiters that fell behind while a refusal costs their callers nothing. Others keep
// their turn until their goal has passed, and are then served after those that can be in time.
func (qu *Queue) review(now time.Time, li *limit, decided []*Waiter) []*Waiter {
	ahead := 0
	rest := qu.callTime(li) + qu.Network
	for ix, cl := range qu.classes {
		lower := -1
		if ix > 0 {
			lower = max(0, ahead-qu.classes[0].inTimeCount())
		}
		var behind []*Waiter
		for _, wa := range cl.waiters {
			if !qu.keeps(now, wa, ahead, lower, rest, li) {
				behind = append(behind, wa)
				continue
			}
			ahead++
			if ix > 0 {
				lower++
			}
		}
		for _, wa := range behind {
			decided = qu.moveBehind(now, li, wa, rest, decided)
		}
	}
	return decided
}

// keeps reports whether a waiter keeps its turn.
func (qu *Queue) keeps(now time.Time, wa *Waiter, ahead, lower int, rest time.Duration, li *limit) bool {
	switch {
	case wa.arrivedLate:
		return !qu.held(now, wa)
	case wa.late:
		return inTime(now, wa, 0, rest)
	case qu.held(now, wa):
		return inTime(now, wa, 0, 0)
	}
	// Half of the expected wait: the prediction must be clearly wrong to withdraw what was promised
	// on arrival.
	return inTime(now, wa, qu.expectedWait(now, wa, ahead, lower, li)/2, rest)
}

// held reports whether the request has waited for so long that a refusal costs its caller as much as
// no answer.
func (qu *Queue) held(now time.Time, wa *Waiter) bool {
	return now.Sub(wa.Request.Arrived) > qu.freeTime(wa)
}

// freeTime is for how long after its arrival a refusal of the request costs its caller nothing.
func (qu *Queue) freeTime(wa *Waiter) time.Duration {
	goal := wa.Request.GoalAt.Sub(wa.Request.Arrived)
	if goal <= 0 {
		goal = qu.smallestGoal()
	}
	return time.Duration(freeRefusal*float64(goal)) - qu.Network - tickInterval
}

// moveBehind places a waiter after those of its rank that can be in time, if it has waited for long
// and can still be served, and refuses it otherwise.
func (qu *Queue) moveBehind(now time.Time, li *limit, wa *Waiter, rest time.Duration, decided []*Waiter) []*Waiter {
	qu.remove(wa)
	if !wa.late && qu.held(now, wa) {
		wa.late = true
		if inTime(now, wa, 0, rest) {
			qu.insert(wa)
			return decided
		}
	}
	qu.class(wa.Request.Rank).time.Credit(&wa.customer.flow, 1)
	wa.Decision = qu.refuse(now, wa, refusalReason(wa.customer), li, 0)
	return append(decided, wa)
}

// NextTick returns when Tick should be called next if no call ends before. It returns false if
// nothing waits.
func (qu *Queue) NextTick(now time.Time) (time.Time, bool) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return now.Add(tickInterval), qu.waiting > 0
}
