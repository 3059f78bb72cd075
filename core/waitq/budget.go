package waitq

import (
	"time"

	"almondrill/core/demand"
)

// Load pattern: callers retry refused requests, with the rest of their time. A retry is late already
// for its caller. If it is served like a new request, it makes a new one late; in an overload of
// seconds, a large part of what is served is late for that reason alone.

const (
	// budgetTolerance is by how much budgets of first attempts may differ from the usual one.
	budgetTolerance = 0.01
	// usualPart is which part of a route's requests must have the usual budget. Otherwise its callers
	// choose budgets of all lengths, from which nothing follows. The part counts from 0 whenever a
	// longer budget becomes the usual one: taken as 1, it made most first attempts count as retries
	// where budgets vary.
	usualPart = 0.25
	// budgetWeight is the weight of one request in that part.
	budgetWeight = 1.0 / 64
	// budgetTTL is after how long without a request of the usual budget another one becomes usual.
	budgetTTL = 10 * time.Second
	// maxLengths bounds the shorter budgets of first attempts that are kept for a route, and lengthPart
	// is which part of its requests must have one: a few callers may retry for reasons of their own.
	maxLengths = 4
	lengthPart = 1.0 / 32
)

type budgetKey struct {
	customer demand.CustomerHash
	route    uint64
}

// budget is what is known of the time that a customer's callers wait for a route.
type budget struct {
	usual time.Duration // the longest
	part  float64       // of the requests that have it
	seen  time.Time
	// lengths are shorter budgets seen while nothing was refused, when all requests are first attempts.
	lengths []budgetLength
}

// budgetLength is a budget, the part of the requests that have it, and when it was last seen.
type budgetLength struct {
	budget time.Duration
	part   float64
	seen   time.Time
}

// isRetry reports whether a request has spent its goal in earlier attempts: its caller waits for less
// time than for others of the route, by more than the goal, and for a time that first attempts do not
// have.
func (qu *Queue) isRetry(now time.Time, wa *Waiter, vi *view) bool {
	rq := &wa.Request
	if rq.Budget <= 0 || rq.GoalAt.IsZero() {
		return false
	}
	key := budgetKey{rq.Customer, rq.Route}
	bu := qu.budgets[key]
	if bu == nil {
		if qu.budgets == nil {
			qu.budgets = map[budgetKey]*budget{}
		}
		bu = &budget{}
		qu.budgets[key] = bu
	}
	tolerance := time.Duration(budgetTolerance * float64(bu.usual))
	switch {
	case rq.Budget > bu.usual+tolerance || now.Sub(bu.seen) > budgetTTL:
		bu.usual, bu.part, bu.seen = rq.Budget, 0, now
	case rq.Budget >= bu.usual-tolerance:
		bu.part += (1 - bu.part) * budgetWeight
		bu.seen = now
	default:
		bu.part -= bu.part * budgetWeight
		first := bu.isLength(now, rq.Budget, qu.noRefusals(now, bu.usual, vi))
		return !first && bu.part >= usualPart && bu.usual-rq.Budget > rq.GoalAt.Sub(rq.Arrived)
	}
	return false
}

// noRefusals reports whether no request that may be retried now can have been refused, as far as this
// router knows: callers retry within the longest time that they wait.
func (qu *Queue) noRefusals(now time.Time, longest time.Duration, vi *view) bool {
	return qu.poolUse(vi) < vi.slots && (qu.refusedAt.IsZero() || now.Sub(qu.refusedAt) > longest)
}

// isLength reports whether first attempts have that budget. If learn is set, the request is a first
// attempt, and its budget is recorded.
func (bu *budget) isLength(now time.Time, length time.Duration, learn bool) bool {
	tolerance := time.Duration(budgetTolerance * float64(bu.usual))
	var match *budgetLength
	least := -1 // of the smallest part
	for ix := range bu.lengths {
		le := &bu.lengths[ix]
		if learn {
			le.part -= le.part * budgetWeight
		}
		switch {
		case now.Sub(le.seen) > budgetTTL:
			le.part = 0
		case match == nil && (length-le.budget).Abs() <= tolerance:
			match = le
		}
		if least < 0 || le.part < bu.lengths[least].part {
			least = ix
		}
	}
	if match == nil {
		if learn {
			bu.addLength(budgetLength{length, budgetWeight, now}, least)
		}
		return false
	}
	match.seen = now
	if learn {
		match.part += budgetWeight
	}
	return match.part >= lengthPart
}

// addLength adds a length, if necessary in the place of the one with the smallest part.
func (bu *budget) addLength(le budgetLength, least int) {
	if len(bu.lengths) < maxLengths {
		bu.lengths = append(bu.lengths, le)
	} else if bu.lengths[least].part <= le.part {
		bu.lengths[least] = le
	}
}

func (qu *Queue) forgetBudgets(now time.Time) {
	for key, bu := range qu.budgets {
		if now.Sub(bu.seen) > 2*budgetTTL {
			delete(qu.budgets, key)
		}
	}
}
