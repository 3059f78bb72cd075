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
	// reservedTicket is the ticket of the attempt for which this one was abandoned, nil if it was not.
	reservedTicket *place.Ticket
	stopped        bool
}

// stallTimeout returns how long the endpoint may send nothing before another one is tried, 0 if no
// other may be tried.
func (ex *exchange) stallTimeout() time.Duration {
	rq := ex.rq
	if !rq.route.MayRepeat() || rq.attempts() >= rq.route.MaxAttempts {
		return 0
	}
	if rq.route.Kind == route.Stream {
		return max(minStallTimeout, stallGaps*rq.route.GapGoal)
	}
	return time.Duration(attemptShare * float64(time.Until(rq.deadline)))
}

// start arms the timer, if the attempt may be abandoned at all.
func (st *stallTimer) start(ex *exchange) {
	st.mu.Lock() // expire uses si.timer, which is not set yet when the timer starts
	defer st.mu.Unlock()
	if st.timeout = ex.stallTimeout(); st.timeout > 0 {
		st.ex = ex
		st.timer = time.AfterFunc(st.timeout, st.expire)
	}
}

// reset restarts the timer.
func (st *stallTimer) reset() {
	if st.timer != nil {
		st.timer.Reset(st.timeout)
	}
}

// stop stops the timer. It returns the reserved ticket, nil if the attempt was not abandoned.
func (st *stallTimer) stop() *place.Ticket {
	if st.timer == nil {
		return nil
	}
	st.timer.Stop()
	st.mu.Lock()
	defer st.mu.Unlock()
	st.stopped = true
	return st.reservedTicket
}

// expire abandons the attempt if another can be reserved, and otherwise tries again later.
func (st *stallTimer) expire() {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.stopped || st.reservedTicket != nil {
		return
	}
	if st.ex.rq.stream.stopping() {
		st.timer.Reset(reserveRetryInterval) // the stream pauses because the router has stopped it
		return
	}
	if st.reservedTicket = st.ex.rq.reserve(st.ex.tk); st.reservedTicket == nil {
		st.timer.Reset(reserveRetryInterval)
		return
	}
	st.ex.co.Interrupt()
}

// reserve returns a ticket for another attempt at a different endpoint; nil if no healthy endpoint
// has free capacity or the retry budget is exhausted. It runs concurrently with the request's own
// goroutine, which does not change the fields read here during an attempt.
func (rq *request) reserve(current *place.Ticket) *place.Ticket {
	pr := rq.placementRequest()
	pr.Tried = append(slices.Clone(rq.tried), current.Endpoint.ID)
	pr.HealthyOnly = true
	now := time.Now()
	tk, rf := rq.pick(rq.hr.Context(), pr)
	if rf != nil {
		return nil
	}
	if !rq.re.Budget.TryExtra(now, rq.pool) {
		tk.Done(now, place.Neutral)
		return nil
	}
	return tk
}
