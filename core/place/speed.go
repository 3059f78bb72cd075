package place

import (
	"math"
	"slices"
	"time"
)

// Load pattern: engines run several times slower than usual, a few of them for half a second at a
// time because of their neighbours, and a part of a pool for many seconds. Calls last longer at a
// slow engine while its homes keep sending it chats, so that it has three times the calls of the
// others, and their answers reach the callers' deadlines. If all calls left a slow engine at once,
// the reads and copies of their prompts would cost more than the short periods do. Therefore a slow
// engine costs more only by the calls that would be late there, and by its load as far as it has
// been slow for a time comparable to a call.

const (
	// usualTime is the time that an endpoint reports at its usual speed.
	usualTime = 100
	// maxSlowness bounds the factor of an endpoint, so that it fits a byte in eighths.
	maxSlowness = 31
	// minSlowness is the factor from which on an endpoint counts as slow: smaller differences are
	// below those between calls.
	minSlowness = 1.125
	// speedTTL is how long a figure is used. Most periods of half a second have ended by then.
	speedTTL = 1500 * time.Millisecond
	// slownessStep is the resolution of the window over which a factor lasts, slownessSteps the
	// number of steps in it: twice the duration of a short period. What lasts longer will probably
	// last for the duration of a call.
	slownessStep  = 300 * time.Millisecond
	slownessSteps = 5
	// learnedSteps is the number of steps for which a learned factor has to last before it applies
	// to a first token: it is known late, when a short period is nearly over.
	learnedSteps = 2
	// slownessFade is the time constant with which the lasting factor fades once its figure has
	// expired. An engine with many calls gets no further ones and reports nothing; if it counted as
	// usual at once, all routers would send it calls at the same time.
	slownessFade = 2 * time.Second
	// slownessMemory is how long after the last figure the window is kept: an endpoint that gets no
	// calls reports nothing, and is still slow when it is tried again.
	slownessMemory = 5 * time.Second
)

// speed is how much slower than usual an endpoint works, as it reported or as routers learned.
type speed struct {
	// factor is the latest reported one, 0 if there is none; at is when the endpoint reported it.
	factor float64
	at     time.Time
	// least holds the least factor of each of the latest steps up to at, and step is the last one.
	least [slownessSteps]float64
	step  int64
	// slowAt is when the endpoint was last slow, as far as it reported, and slowSince since when.
	// lastedAt is when it last had been slow for the whole window.
	slowAt, slowSince, lastedAt time.Time
	// excess is the integral of the factor above 1, in ms, over the time before at, lost that of the
	// part of the time that calls lose by the factor.
	excess, lost float64
	// learned is set if the latest factor was learned from streams, not reported.
	learned bool
}

// update records a reported factor unless a later one is known. It returns whether it was recorded.
func (sp *speed) update(at time.Time, factor float64) bool {
	if !at.After(sp.at) {
		return false
	}
	factor = min(maxSlowness, max(1, factor))
	sp.excess, sp.lost = sp.excessUntil(at), sp.lostUntil(at)
	sp.roll(at, factor)
	if factor >= minSlowness {
		if sp.factor < minSlowness || at.Sub(sp.at) > slownessMemory {
			sp.slowSince = at
		}
		sp.slowAt = at
	}
	sp.factor, sp.at = factor, at
	if sp.lasting() >= minSlowness {
		sp.lastedAt = at
	}
	return true
}

// roll moves the window to the step of a new factor. In steps without a figure the endpoint has the
// lesser of the factors before and after.
func (sp *speed) roll(at time.Time, factor float64) {
	step := at.UnixNano() / int64(slownessStep)
	between := min(sp.factor, factor)
	since := at.Sub(sp.at)
	if sp.factor == 0 || since > slownessMemory || since > speedTTL && between < minSlowness {
		between = 1
	}
	for range min(slownessSteps, step-sp.step) {
		copy(sp.least[:], sp.least[1:])
		sp.least[slownessSteps-1] = between
	}
	last := &sp.least[slownessSteps-1]
	if step > sp.step && between == 1 {
		*last = factor
	}
	*last = min(*last, factor)
	sp.step = step
}

// lasting returns the least factor within the window.
func (sp *speed) lasting() float64 { return max(1, slices.Min(sp.least[:])) }

// excessUntil returns the integral of the factor above 1, in ms, until now.
func (sp *speed) excessUntil(now time.Time) float64 {
	held := max(0, min(now.Sub(sp.at), speedTTL))
	return sp.excess + max(0, sp.factor-1)*ms(held)
}

// lostUntil returns how much time calls have lost by the factor until now, in ms: three quarters of
// the time at a factor of 4.
func (sp *speed) lostUntil(now time.Time) float64 {
	if sp.factor <= 1 {
		return sp.lost
	}
	return sp.lost + (1-1/sp.factor)*ms(max(0, min(now.Sub(sp.at), speedTTL)))
}

// current returns the factor to assume now.
func (sp *speed) current(now time.Time) float64 {
	if sp.factor < minSlowness || now.Sub(sp.at) > speedTTL {
		return 1
	}
	if sp.learned {
		return max(1, slices.Min(sp.least[slownessSteps-learnedSteps:]))
	}
	return sp.factor
}

// ahead returns the factor to expect over the duration of a call. Once the figure has expired, the
// factor fades.
func (sp *speed) ahead(now time.Time) float64 {
	if sp.factor < minSlowness {
		return 1
	}
	since := now.Sub(sp.at)
	factor := min(sp.factor, sp.lasting())
	if since > speedTTL {
		factor = 1 + (factor-1)*math.Exp(-float64(since-speedTTL)/float64(slownessFade))
		if factor < minSlowness {
			return 1
		}
	}
	return factor
}

func ms(du time.Duration) float64 { return float64(du) / float64(time.Millisecond) }

// RecordSpeed records how much time work takes at the endpoint, in percent of the usual, as it
// reported in its response.
func (tk *Ticket) RecordSpeed(now time.Time, percent int) {
	if percent <= 0 {
		return
	}
	tk.pl.mu.Lock()
	defer tk.pl.mu.Unlock()
	tk.pl.markReported(now, tk.st)
	tk.st.updateSpeed(now, float64(percent)/usualTime, false)
	tk.pacer.slow = tk.pacer.slow || tk.st.speed.current(now) > 1
}

func (st *state) updateSpeed(at time.Time, factor float64, learned bool) {
	if st.speed.update(at, factor) {
		st.speed.learned = learned
		st.markChanged()
	}
}

// Costs of slow endpoints, in ms.
const (
	// lateMs is the cost of an answer that begins late or pauses for too long, missedMs that of one
	// that reaches its deadline. A late answer still serves its caller, one that is cut off does not.
	// Both are in the range of failureMs: a call that is sure to be late is worth the prefill of its
	// prompt elsewhere.
	lateMs   = 500.0
	missedMs = 700.0
	// slowLoadWeight weighs the load of a slow engine beyond that of its calls at the usual speed.
	// With the full weight, chats leave that would be in time; without, a slow engine has three times
	// the calls of the others, and new ones wait behind them.
	slowLoadWeight = 0.5
	// returnMs is the cost of a chat that stays away from a home that has recovered: more than the
	// part of a context that its home is assumed to lack. It applies for returnWindow after the
	// recovery, as most chats return within it. After that the home has other chats.
	returnMs = 20.0
	// hopelessShare is the probability of missing the deadline at the fastest engine from which on
	// a request goes to the fastest.
	hopelessShare = 0.5
)

// returnWindow is how long after its home has recovered a chat is drawn back to it.
const returnWindow = 10 * time.Second

// slowMs returns the additional cost of a call at an engine that is slower than usual, given the
// tokens that it would prefill and fetch. It is never negative, so that bounds of the cost without it
// remain valid.
func (ch *choice) slowMs(st *state, prefill, fetched float64) float64 {
	sc := &st.scratch
	if sc.slownessAhead <= 1 && sc.slowness <= 1 {
		return 0
	}
	calls := float64(st.ownCalls + sc.peerCalls)
	cost := slowLoadWeight * (ch.loadMs(calls*sc.slownessAhead) - ch.loadMs(calls))
	if st.Slots > 0 {
		slots := float64(st.Slots)
		wait := queueWeight * ch.typicalMs / slots
		cost += wait * (sc.slownessAhead*max(0, calls+1-slots) - max(0, calls+1-slots))
	}
	return cost + ch.lateness(st, promptMs(st, prefill, fetched, ch.rq.FetchTokensPerMs))
}

// awayMs returns the cost of staying away from the chat's home that was slow and has recovered.
func (ch *choice) awayMs(st *state) float64 {
	home := ch.firstHome
	if home == nil || home == st || home.scratch.slownessAhead > 1 || ch.now.Sub(home.speed.lastedAt) > returnWindow {
		return 0
	}
	return returnMs
}

// promptMs returns how long the prompt takes before the first token at an engine at its usual speed.
func promptMs(st *state, prefill, fetched, fetchRate float64) float64 {
	took := (float64(st.pendingPrefill) + prefill) / prefillTokensPerMs
	if fetched > 0 {
		took += fetched / fetchRate
	}
	return took
}

// lateness returns the cost of the calls that would be late only because the engine is slow: now by
// its factor, and over the duration of the call by the lasting one.
func (ch *choice) lateness(st *state, promptMs float64) float64 {
	pa, rq := ch.pace, ch.rq
	factor, ahead := st.scratch.slowness, st.scratch.slownessAhead
	if pa == nil {
		return 0
	}
	var cost float64
	if !rq.GoalAt.IsZero() {
		if left := ms(rq.GoalAt.Sub(ch.now)); left > 0 {
			cost += lateMs * (pa.first.above((left-promptMs*factor)/pa.firstFactor(factor)) - pa.first.above(left-promptMs))
		}
	}
	if rq.GapGoal > 0 {
		goal := ms(rq.GapGoal)
		cost += lateMs * (pa.gap.above(goal/ahead) - pa.gap.above(goal))
	}
	return cost + missedMs*ch.missed(st)
}

// missed returns the probability that the call misses its deadline because the engine is slow. If it
// would probably do so at every engine, it is lower the faster the engine is.
func (ch *choice) missed(st *state) float64 {
	left, an := ms(ch.rq.Deadline.Sub(ch.now)), ch.pace.knownAnswers(ch.rq.Route)
	if ch.rq.Deadline.IsZero() || left <= 0 {
		return 0
	}
	calls, ahead := float64(st.ownCalls+st.scratch.peerCalls), st.scratch.slownessAhead
	left /= float64(max(1, ch.rq.MaxOutput))
	if an.above(ch.meanCalls, left/ch.fastest) > hopelessShare {
		return 1 - ch.fastest/ahead
	}
	return an.above(calls, left/ahead) - an.above(calls, left)
}

// slowPlainMs returns the additional cost of a call at a plain endpoint that is slower than usual.
func (ch *choice) slowPlainMs(st *state) float64 {
	slower := st.scratch.slowness - 1
	if slower <= 0 {
		return 0
	}
	calls, slots := float64(st.ownCalls+st.scratch.peerCalls), float64(max(1, st.Slots))
	typical := min(st.health.typicalMs(ch.typicalMs), ch.typicalMs)
	return slower * (typical*(1+max(0, calls+1-slots)/slots) + plainLoadMs*calls/slots)
}

// noteSpeed keeps the least factor of the usable engines.
func (ch *choice) noteSpeed(st *state) {
	if ch.fastest == 0 || st.scratch.slownessAhead < ch.fastest {
		ch.fastest = st.scratch.slownessAhead
	}
}
