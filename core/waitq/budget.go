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
}

// isRetry reports whether a request has spent its goal in earlier attempts: its caller waits for less
// time than for others of the route, by more than the goal.
func (qu *Queue) isRetry(now time.Time, wa *Waiter) bool {
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
		*bu = budget{usual: rq.Budget, seen: now}
	case rq.Budget >= bu.usual-tolerance:
		bu.part += (1 - bu.part) * budgetWeight
		bu.seen = now
	default:
		bu.part -= bu.part * budgetWeight
		return bu.part >= usualPart && bu.usual-rq.Budget > rq.GoalAt.Sub(rq.Arrived)
	}
	return false
}

func (qu *Queue) forgetBudgets(now time.Time) {
	for key, bu := range qu.budgets {
		if now.Sub(bu.seen) > 2*budgetTTL {
			delete(qu.budgets, key)
		}
	}
}
