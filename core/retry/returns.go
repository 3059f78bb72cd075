package retry

import (
	"sync"
	"time"

	"almondrill/core/demand"
)

// Load pattern: an overloaded pool refuses hundreds of requests within a second. If all get the
// same delay, they return together, however the delay is jittered, and most are refused again.
// Therefore each gets a time of its own, at the rate at which its customer is expected to be
// admitted.

const (
	// minReturn is the shortest delay that a refused request gets. Demand is measured in
	// intervals of about this length; an earlier return meets the same figures.
	minReturn = 250 * time.Millisecond
	// maxReturn bounds the delay for requests without a deadline.
	maxReturn = 5 * time.Second
	// returnsKept is above how many customers those without reservations are forgotten.
	returnsKept = 64
)

// Returns decides when refused requests should return. The first refused request of a
// customer gets the first reservation. It may be used concurrently.
type Returns struct {
	mu   sync.Mutex // guards next
	next map[demand.CustomerHash]time.Time
}

// Refused is a refused request.
type Refused struct {
	Customer demand.CustomerHash
	// PerSecond is the rate at which the customer's returning requests are expected to be admitted.
	PerSecond float64
	// Call is the expected time of the call at its endpoint.
	Call time.Duration
	// Deadline is the request's deadline; zero is none.
	Deadline time.Time
}

// Reserve returns the delay after which the request should return. If reservations extend
// beyond the last time at which the request could still be served, it returns that time without a
// reservation, and false. The delay is then 0 if there is no such time after the shortest delay.
func (rt *Returns) Reserve(now time.Time, rf Refused) (time.Duration, bool) {
	latest := now.Add(maxReturn)
	if !rf.Deadline.IsZero() && rf.Deadline.Add(-rf.Call).Before(latest) {
		latest = rf.Deadline.Add(-rf.Call)
	}
	earliest := now.Add(minReturn)
	if latest.Before(earliest) {
		return 0, false
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	at := earliest
	if next := rt.next[rf.Customer]; next.After(at) {
		at = next
	}
	if at.After(latest) || rf.PerSecond <= 0 {
		return latest.Sub(now), false
	}
	rt.forget(now)
	rt.next[rf.Customer] = at.Add(time.Duration(min(float64(maxReturn), float64(time.Second)/rf.PerSecond)))
	return at.Sub(now), true
}

// forget bounds the memory by dropping customers whose reservations have passed.
func (rt *Returns) forget(now time.Time) {
	if rt.next == nil {
		rt.next = map[demand.CustomerHash]time.Time{}
	}
	if len(rt.next) < returnsKept {
		return
	}
	for cu, next := range rt.next {
		if next.Before(now) {
			delete(rt.next, cu)
		}
	}
}
