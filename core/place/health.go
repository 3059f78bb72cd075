package place

import (
	"math"
	"time"
)

// health is how an endpoint's calls went of late, as this router saw it.
type health struct {
	successes, failures float64
	decayedAt           time.Time
	// lastActivity is when anything last came from it, busySince when it last began to
	// have calls in progress without a word.
	lastActivity time.Time
	silentSince  time.Time
	// downUntil and backoff pace the trials of an endpoint that cannot be reached
	// or is silent.
	downUntil time.Time
	backoff   time.Duration
	callMs    float64
	// failureStreak counts the failures since the last call that ended well; failedUntil is until when
	// no other call is to be failed.
	failureStreak int
	failAllUntil  time.Time
}

const (
	// failureHalfLife is how fast failures are forgiven: endpoints are restarted
	// within seconds.
	failureHalfLife = 2 * time.Second
	// priorSuccesses keeps a single failure from standing out.
	priorSuccesses = 2.0
	// negligibleFailures is what is left of a failure after 40 s, which weighs nothing in a choice.
	negligibleFailures = 1e-6
	// silenceTimeout is how long an endpoint with calls in progress may send nothing
	// at all before it is taken for dead: several times a step of a busy engine
	// (200 ms), below the time at which callers give up (2 s).
	silenceTimeout = 900 * time.Millisecond
	// minBackoff and mostBackoff pace trials of an endpoint that is down.
	minBackoff = 300 * time.Millisecond
	maxBackoff = 2 * time.Second
	// defaultCallMs is assumed of a pool of which no endpoint has answered yet.
	defaultCallMs  = 40.0
	durationWeight = 0.1
	// failAllStreak is how many calls in a row have to fail before an endpoint is passed over,
	// and failedFor for how long, until the next trial.
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

// looksDead tells whether the endpoint gets no call now: it is down and its next
// trial is not due, or it has been silent with calls in progress.
func (he *health) looksDead(now time.Time, calls int) bool {
	if now.Before(he.downUntil) {
		return true
	}
	if he.backoff > 0 && calls > 0 {
		return true // a trial is under way
	}
	return calls > 0 && !he.silentSince.IsZero() && now.Sub(he.silentSince) > silenceTimeout
}

// clean tells that there is nothing to avoid the endpoint for.
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

// recordFailure counts a call that the endpoint failed.
func (he *health) recordFailure(now time.Time) {
	he.recordOutcome(now, 1)
	if he.failureStreak++; he.failureStreak >= failAllStreak {
		he.failAllUntil = now.Add(failAllPause)
	}
}

// recordSuccess counts a call that ended well.
func (he *health) recordSuccess(now time.Time) {
	he.recordOutcome(now, 0)
	he.failureStreak = 0
}

// failsAll tells whether the endpoint has failed all that it was sent of late.
func (he *health) failsAll(now time.Time) bool {
	return he.failureStreak >= failAllStreak && now.Before(he.failAllUntil)
}

// recordDuration takes how long a call took, where typical is how long those of the pool take.
func (he *health) recordDuration(ms, typical float64) {
	he.callMs = he.typicalMs(typical)
	he.callMs += durationWeight * (ms - he.callMs)
}

// typicalMs is how long the endpoint's calls take; as those of its pool if it had none.
func (he *health) typicalMs(typical float64) float64 {
	if he.callMs == 0 {
		return typical
	}
	return he.callMs
}

// callDuration is how long the calls of a pool take. A router of hundreds before hundreds of endpoints
// has none or few at each: what it sees of all of them is what it expects of one.
type callDuration struct {
	ms    float64
	count int
}

// record takes how long a call took.
func (cd *callDuration) record(ms float64) {
	cd.count++
	cd.ms += max(durationWeight, 1/float64(cd.count)) * (ms - cd.ms)
}

// typicalMs is how long calls take, firstAnswerMs before any has ended.
func (cd *callDuration) typicalMs() float64 {
	if cd == nil || cd.count == 0 {
		return defaultCallMs
	}
	return cd.ms
}
