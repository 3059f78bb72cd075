package relay

import (
	"slices"
	"sync"
	"time"

	"almondrill/core/place"
	"almondrill/core/route"
)

// Failure: an endpoint is so busy that an attempt receives nothing for longer than the stall
// timeout, and no other endpoint has free capacity. If the attempt were abandoned all the same, the
// request would fail, or its stream would be cut, although the endpoint would have continued.
// Therefore a stalled attempt is abandoned only once its replacement is reserved: a slot at
// another, healthy endpoint, and one retry from the budget.

const (
	// attemptShare is the fraction of the remaining time after which an idempotent attempt counts as
	// stalled: the rest has to suffice for the next one.
	attemptShare = 0.45
	// A resumable stream counts as stalled after stallGaps times the route's GapGoal, the longest
	// pause that callers consider on time, but not before minStallTimeout. That is below the two
	// seconds after which callers give up.
	stallGaps       = 4
	minStallTimeout = time.Second
	// reserveRetryInterval is the time between attempts to reserve a replacement: calls that could
	// free a slot end within hundreds of milliseconds.
	reserveRetryInterval = 200 * time.Millisecond
)

// stallTimer abandons a stalled attempt for another one. The zero value never does.
type stallTimer struct {
	ex      *exchange
	timeout time.Duration
	timer   *time.Timer

	mu sync.Mutex // guards all below
	// reserved is the ticket of the attempt for which this one was abandoned, nil if it was not.
	reserved *place.Ticket
	stopped  bool
}

// stallTimeout returns how long the endpoint may send nothing before another one is tried, 0 if no
// other may be tried.
func (ex *exchange) stallTimeout() time.Duration {
	rq := ex.rq
	if !rq.route.MayRepeat() || rq.sends >= rq.route.MaxAttempts {
		return 0
	}
	if rq.route.Kind == route.Stream {
		return max(minStallTimeout, stallGaps*rq.route.GapGoal)
	}
	return time.Duration(attemptShare * float64(time.Until(rq.deadline)))
}

// start arms the timer, if the attempt may be abandoned at all.
func (si *stallTimer) start(ex *exchange) {
	si.mu.Lock() // expire uses si.timer, which is not set yet when the timer starts
	defer si.mu.Unlock()
	if si.timeout = ex.stallTimeout(); si.timeout > 0 {
		si.ex = ex
		si.timer = time.AfterFunc(si.timeout, si.expire)
	}
}

// reset restarts the timer.
func (si *stallTimer) reset() {
	if si.timer != nil {
		si.timer.Reset(si.timeout)
	}
}

// stop stops the timer. It returns the reserved ticket, nil if the attempt was not abandoned.
func (si *stallTimer) stop() *place.Ticket {
	if si.timer == nil {
		return nil
	}
	si.timer.Stop()
	si.mu.Lock()
	defer si.mu.Unlock()
	si.stopped = true
	return si.reserved
}

// expire abandons the attempt if another can be reserved, and otherwise tries again later.
func (si *stallTimer) expire() {
	si.mu.Lock()
	defer si.mu.Unlock()
	if si.stopped || si.reserved != nil {
		return
	}
	if si.reserved = si.ex.rq.reserve(si.ex.tk); si.reserved == nil {
		si.timer.Reset(reserveRetryInterval)
		return
	}
	si.ex.co.Interrupt()
}

// reserve returns a ticket for another attempt at a different endpoint; nil if no healthy endpoint
// has free capacity or the retry budget is exhausted. It runs concurrently with the request's own
// goroutine, which does not change the fields read here during an attempt.
func (rq *request) reserve(current *place.Ticket) *place.Ticket {
	as := rq.placementRequest()
	as.Tried = append(slices.Clone(rq.tried), current.Endpoint.ID)
	as.HealthyOnly = true
	now := time.Now()
	tk, rf := rq.pick(rq.hr.Context(), as)
	if rf != nil {
		return nil
	}
	if !rq.re.Budget.TryExtra(now, rq.pool) {
		tk.Done(now, place.Neutral)
		return nil
	}
	return tk
}
