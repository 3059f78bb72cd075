package retry

import (
	"time"

	"almondrill/core/demand"
)

// Returns decides when a refused request is told to come back.
type Returns struct{}

// Refused is a refused request.
type Refused struct {
	Customer demand.CustomerHash
	// PerSecond is the rate at which the customer's returning requests are expected to be admitted.
	PerSecond float64
	// Call is the expected time of the call at its endpoint.
	Call     time.Duration
	Deadline time.Time
}

// Reserve returns the delay after which the request is told to come back. It returns false if it
// could not be served before its deadline.
func (rt *Returns) Reserve(now time.Time, rf Refused) (time.Duration, bool) {
	return minReturn, true
}

// minReturn is the shortest delay that a refused request is told.
const minReturn = 250 * time.Millisecond
