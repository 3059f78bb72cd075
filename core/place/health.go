package place

import (
	"math"
	"time"
)

// health describes the outcome of this router's recent calls to an endpoint.
type health struct {
	successes, failures float64
	decayedAt           time.Time
	// lastActivity is when data last arrived from the endpoint. silentSince is the start of the
	// current period with calls in progress and no data.
	lastActivity time.Time
	silentSince  time.Time
	// downUntil and backoff pace the trials of an endpoint that is unreachable or silent.
	downUntil time.Time
	backoff   time.Duration
	callMs    float64
	// failureStreak counts the failures since the last successful call. Until skipUntil, no
	// further call is risked.
	failureStreak int
	skipUntil     time.Time
}

const (
	// failureHalfLife is how fast failures lose weight: endpoints are restarted within seconds.
	failureHalfLife = 2 * time.Second
	// priorSuccesses keeps the weight of a single failure low.
	priorSuccesses = 2.0
	// negligibleFailures is what remains of a failure after 40 s, which has no effect on a choice.
	negligibleFailures = 1e-6
	// silenceTimeout is how long an endpoint with calls in progress may send nothing before it is
	// considered dead: several times a step of a busy engine (200 ms), and less than the timeout of
	// callers (2 s).
	silenceTimeout = 900 * time.Millisecond
	// minBackoff and maxBackoff pace the trials of an endpoint that is down.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 2 * time.Second
	// defaultCallMs is assumed for a pool in which no endpoint has responded yet.
	defaultCallMs  = 40.0
	durationWeight = 0.1
	// failAllStreak is how many calls in a row must fail before an endpoint is skipped, and
	// failAllPause how long it is skipped until the next trial.
	failAllStreak = 2
	failAllPause  = time.Second
)

func (he *health) decay(now time.Time) {
	if !he.decayedAt.IsZero() {
		factor := math.Exp2(-float64(now.Sub(he.decayedAt)) / float64(failureHalfLife))
		he.successes *= factor
		he.failures *= factor
	}
	he.decayedAt = now
}

func (he *health) failureRate(now time.Time) float64 {
	if he.failures == 0 {
		return 0
	}
	he.decay(now)
	if he.failures < negligibleFailures {
		he.failures = 0
	}
	return he.failures / (he.successes + he.failures + priorSuccesses)
}

func (he *health) callStarted(now time.Time) {
	if he.silentSince.IsZero() {
		he.silentSince = now
	}
}

func (he *health) recordActivity(now time.Time) {
	he.lastActivity = now
	he.silentSince = now
	he.backoff = 0
	he.downUntil = time.Time{}
}

// looksDead reports whether the endpoint should get no call now: it is down and its next trial is
// not due or still in progress, or it has been silent with calls in progress.
func (he *health) looksDead(now time.Time, calls int) bool {
	if now.Before(he.downUntil) {
		return true
	}
	if he.backoff > 0 && calls > 0 {
		return true // a trial is in progress
	}
	return calls > 0 && !he.silentSince.IsZero() && now.Sub(he.silentSince) > silenceTimeout
}

// clean reports whether there is no sign of trouble.
func (he *health) clean(now time.Time) bool {
	return he.failures == 0 && he.failureStreak == 0 && he.backoff == 0 && !now.Before(he.downUntil)
}

func (he *health) markDown(now time.Time) {
	he.backoff = min(maxBackoff, max(minBackoff, 2*he.backoff))
	he.downUntil = now.Add(he.backoff)
}

func (he *health) recordOutcome(now time.Time, bad float64) {
	he.decay(now)
	he.failures += bad
	he.successes += 1 - bad
}

// recordFailure records a call that the endpoint failed.
func (he *health) recordFailure(now time.Time) {
	he.recordOutcome(now, 1)
	if he.failureStreak++; he.failureStreak >= failAllStreak {
		he.skipUntil = now.Add(failAllPause)
	}
}

// recordSuccess records a call that ended well.
func (he *health) recordSuccess(now time.Time) {
	he.recordOutcome(now, 0)
	he.failureStreak = 0
}

// failsAll reports whether the endpoint failed all recent calls.
func (he *health) failsAll(now time.Time) bool {
	return he.failureStreak >= failAllStreak && now.Before(he.skipUntil)
}

// recordDuration updates the endpoint's mean duration of calls with a call that took ms; typical is
// the mean of its pool.
func (he *health) recordDuration(ms, typical float64) {
	he.callMs = he.typicalMs(typical)
	he.callMs += durationWeight * (ms - he.callMs)
}

// typicalMs returns how long the endpoint's calls take, or the given duration of its pool if it had
// none.
func (he *health) typicalMs(typical float64) float64 {
	if he.callMs == 0 {
		return typical
	}
	return he.callMs
}

// callDuration is the mean duration of a pool's calls. One router of hundreds has few calls or none
// at each of hundreds of endpoints, so that it assumes the pool's mean for each.
type callDuration struct {
	ms    float64
	count int
}

// record updates the mean with the duration of one call.
func (cd *callDuration) record(ms float64) {
	cd.count++
	cd.ms += max(durationWeight, 1/float64(cd.count)) * (ms - cd.ms)
}

// typicalMs returns the mean duration, or defaultCallMs before any call has ended.
func (cd *callDuration) typicalMs() float64 {
	if cd == nil || cd.count == 0 {
		return defaultCallMs
	}
	return cd.ms
}
