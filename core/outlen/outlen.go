// Package outlen estimates how many tokens the response to a streamed request will have.
//
// # Concepts
//
// A caller may state a hint and a maximum. Neither is the length: routes differ in how much of the
// maximum their responses use, and in how good their callers' hints are. An Estimator learns, for
// each route, the mean length and the mean ratio of the length to the hint and to the maximum, each
// with its error. An estimate is the mean of these three figures, weighted by their errors.
//
// Routers see events, not tokens. The tokens of an event are learned for each pool from the
// maximum: a response that ended at its maximum has the fewest tokens of maximum for each event, so
// that the smallest such ratio is taken. If no response reaches its maximum, the figure, and with it
// the estimate, is too high, which costs memory but preempts no call.
//
// # Invariants
//
//   - An estimate is a number of whole events, at least one, and at most the maximum that the caller
//     stated.
//   - The state is bounded: maxRoutes routes and pools, maxErrors errors.
//
// # Usage
//
//	es := &outlen.Estimator{}
//	expected := es.Expect(route, rq)
//	seen := es.Record(route, rq, expected, events)
package outlen

import (
	"math"
	"slices"
	"sync"

	"almondrill/core"
)

// Request is what is known of a response before it begins. Hint and Max are 0 if not stated.
type Request struct {
	Pool      core.PoolID
	Hint, Max core.Tokens
}

// Estimator learns the lengths of responses. The zero value is ready to use.
type Estimator struct {
	mu     sync.Mutex // guards all below
	routes map[string]*lengths
	pools  map[core.PoolID]*eventSize
	// errors holds the latest errors as fractions of the length seen; nextError is the oldest.
	errors    []float64
	nextError int
}

const (
	// maxRoutes bounds the routes and pools that are learned; deployments have some dozens.
	maxRoutes = 512
	// maxErrors is how many errors the published quantiles cover: a minute of a busy router.
	maxErrors = 512
	// learningRate is the weight of a new response. Lengths vary by a factor of three within a
	// route, so that the mean of some thirty is needed.
	learningRate = 1.0 / 32
	// Errors assumed of a route of which nothing is known, as fractions of the estimate: a hint
	// is closer than a maximum.
	initialHintError, initialMaxError, initialMeanError = 0.5, 1.0, 4.0
	// minError bounds the weight of a figure that was exact so far.
	minError = 0.02
)

// ratio is a mean of ratios with the mean of their squared relative errors.
type ratio struct {
	mean, squaredError float64
	count              int
}

// record learns one ratio. The first ones count fully, so that a route is known after a few.
func (ra *ratio) record(value float64) {
	ra.count++
	rate := max(learningRate, 1/float64(ra.count))
	if ra.count > 1 && ra.mean > 0 {
		deviation := (value - ra.mean) / ra.mean
		ra.squaredError += rate * (deviation*deviation - ra.squaredError)
	}
	ra.mean += rate * (value - ra.mean)
}

// minCount is how many responses of a route are needed before its ratios are used.
const minCount = 4

// estimate adds this ratio's estimate of the length to a weighted mean.
func (ra *ratio) estimate(base, initialRatio, initialError float64, sum, weights *float64) {
	if base <= 0 {
		return
	}
	mean, relative := initialRatio, initialError
	if ra.count >= minCount {
		mean, relative = ra.mean, max(minError, math.Sqrt(ra.squaredError))
	}
	weight := 1 / (relative * relative)
	*sum += weight * mean * base
	*weights += weight
}

// lengths is what is known of a route's responses, in events and events per token.
type lengths struct {
	events, perHint, perMax ratio
}

func (es *Estimator) routeOf(route string) *lengths {
	if es.routes == nil {
		es.routes = map[string]*lengths{}
	}
	le := es.routes[route]
	if le == nil {
		le = &lengths{}
		if len(es.routes) < maxRoutes {
			es.routes[route] = le
		}
	}
	return le
}

// Expect returns the expected length of a response.
func (es *Estimator) Expect(route string, rq Request) core.Tokens {
	es.mu.Lock()
	defer es.mu.Unlock()
	size := es.poolOf(rq.Pool).tokens()
	le := es.routeOf(route)
	var sum, weights float64
	if le.events.count >= minCount {
		le.events.estimate(size, 1, initialMeanError, &sum, &weights)
	}
	// The ratios are in events; before any are known, a hint or maximum is taken for the length.
	le.perHint.estimate(size*float64(rq.Hint), 1/size, initialHintError, &sum, &weights)
	le.perMax.estimate(size*float64(rq.Max), 1/size, initialMaxError, &sum, &weights)
	events := 1.0 // a response has at least one
	if weights > 0 {
		events = max(events, math.Round(sum/weights/size))
	}
	expected := max(1, core.Tokens(math.Round(events*size)))
	if rq.Max > 0 {
		expected = min(expected, rq.Max)
	}
	return expected
}

// Record learns from a response that was complete, and returns its length in tokens.
func (es *Estimator) Record(route string, rq Request, expected core.Tokens, events int) core.Tokens {
	if events <= 0 {
		return 0
	}
	es.mu.Lock()
	defer es.mu.Unlock()
	si := es.poolOf(rq.Pool)
	si.record(rq, events)
	le := es.routeOf(route)
	le.events.record(float64(events))
	if rq.Hint > 0 {
		le.perHint.record(float64(events) / float64(rq.Hint))
	}
	if rq.Max > 0 {
		le.perMax.record(float64(events) / float64(rq.Max))
	}
	seen := si.tokens() * float64(events)
	es.recordError(math.Abs(float64(expected)-seen) / seen)
	return core.Tokens(math.Round(seen))
}

// TokensOf returns how many tokens a number of events of a pool's engines hold.
func (es *Estimator) TokensOf(pool core.PoolID, events int) core.Tokens {
	es.mu.Lock()
	defer es.mu.Unlock()
	return core.Tokens(math.Round(es.poolOf(pool).tokens() * float64(events)))
}

func (es *Estimator) recordError(relative float64) {
	if len(es.errors) < maxErrors {
		es.errors = append(es.errors, relative)
		return
	}
	es.errors[es.nextError] = relative
	es.nextError = (es.nextError + 1) % maxErrors
}

// ErrorPercent returns a quantile of the latest errors, in percent of the length seen; 0 if there
// are none.
func (es *Estimator) ErrorPercent(quantile float64) int64 {
	es.mu.Lock()
	sorted := slices.Clone(es.errors)
	es.mu.Unlock()
	if len(sorted) == 0 {
		return 0
	}
	slices.Sort(sorted)
	at := min(len(sorted)-1, int(quantile*float64(len(sorted))))
	return int64(math.Round(100 * sorted[at]))
}
