package relay

import (
	"slices"
	"sync"
	"time"

	"almondrill/core/place"
	"almondrill/core/route"
)

// Failure: an endpoint is so busy that a request hears nothing for longer than it would
// be worth waiting, and no other endpoint has room. Given up all the same, the request
// ends in an error, or its stream in the middle, where the endpoint would have gone on.
// Therefore a silent attempt is given up only for one that is reserved already: the place
// at another endpoint in good health, and its part of the budget.

const (
	// attemptShare is the part of the time left that an attempt gets which may be
	// repeated: the rest has to do for the next one.
	attemptShare = 0.45
	// stallGaps and leastStall bound the silence of a stream that may go on
	// elsewhere: a few times the pause that callers take for on time, below the
	// two seconds after which they give up.
	stallGaps       = 4
	minStallTimeout = time.Second
	// reserveRetryInterval is when room elsewhere is looked for again: calls end within
	// hundreds of milliseconds.
	reserveRetryInterval = 200 * time.Millisecond
)

// stallTimer watches an attempt that may be given up for another. The zero value watches
// nothing.
type stallTimer struct {
	ex      *exchange
	timeout time.Duration
	timer   *time.Timer

	mu sync.Mutex // guards all below
	// reserved is reserved for the next attempt, which this one was given up for.
	reserved *place.Ticket
	stopped  bool
}

// stallTimeout is how long the endpoint may be silent before another is tried; 0 if
// none will be.
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

// start begins to watch, if the attempt may be given up at all.
func (si *stallTimer) start(ex *exchange) {
	si.mu.Lock() // fire needs the timer
	defer si.mu.Unlock()
	if si.timeout = ex.stallTimeout(); si.timeout > 0 {
		si.ex = ex
		si.timer = time.AfterFunc(si.timeout, si.expire)
	}
}

// reset begins the patience anew.
func (si *stallTimer) reset() {
	if si.timer != nil {
		si.timer.Reset(si.timeout)
	}
}

// stop stops watching. It returns what was reserved, nil if the attempt was not given up.
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

// expire gives the attempt up if another can be reserved.
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

// reserve places a further attempt, elsewhere than the one that is in progress; nil if no
// endpoint in good health has room or the budget is spent. It runs beside the request's
// own goroutine, which changes nothing of what it reads during an attempt.
func (rq *request) reserve(current *place.Ticket) *place.Ticket {
	as := rq.placementAsk()
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
