package place

import (
	"math"
	"time"

	"almondrill/core"
)

// pace is how long calls of a pool take at engines that work at their usual speed, as this router
// observed.
type pace struct {
	// first is the time until the first token without that of the prompt, gap the longest pause
	// between events, both in ms.
	first, gap spread
	// byRoute holds the duration of answers: those of a route are of similar length. all is that of
	// all routes, for routes of which too few are known.
	byRoute map[string]*answers
	all     answers
	// slope is by how much first grows with the factor of the engine's speed, relative to first: the
	// parts of it outside of the engine do not grow. slopeCount counts the calls that it was learned
	// from.
	slope      float64
	slopeCount int
	// gapGoalAt is when a request with a gap goal was last placed or refused.
	gapGoalAt time.Time
	// pauses is what the factors of engines that do not report their speed are learned from.
	pauses usualPauses
}

const (
	// slopeWeight is the weight of one call in the slope, and slopePrior the number of calls as
	// which the assumption counts that first grows in proportion.
	slopeWeight = 0.05
	slopePrior  = 5
	maxSlope    = 4
)

// firstFactor returns the factor of the time until the first token, given that of the engine.
func (pa *pace) firstFactor(factor float64) float64 {
	slope := (pa.slope*float64(pa.slopeCount) + slopePrior) / float64(pa.slopeCount+slopePrior)
	return 1 + slope*(factor-1)
}

// recordSlope learns from a call whose first token took that long at an engine that was slower than
// usual, and whose prompt was expected to take promptMs.
func (pa *pace) recordSlope(firstMs, promptMs, factor float64) {
	usual := pa.first.median()
	if factor < minSlowness || usual <= 0 {
		return
	}
	slope := ((firstMs-promptMs*factor)/usual - 1) / (factor - 1)
	pa.slopeCount++
	pa.slope += max(slopeWeight, 1/float64(pa.slopeCount)) * (min(maxSlope, max(0, slope)) - pa.slope)
}

func (pl *Placer) paceOf(pool core.PoolID) *pace {
	pa := pl.paces[pool]
	if pa == nil {
		pa = &pace{}
		pl.paces[pool] = pa
	}
	return pa
}

const (
	// spreadSteps is the number of buckets in which a value doubles; the lowest begins at
	// spreadLowest, and there are spreadBuckets: up to 65 s in ms.
	spreadSteps   = 4
	spreadLowest  = 1.0 / 256
	spreadBuckets = 24 * spreadSteps
	// spreadWindow is the number of samples after which all weights are halved, so that the
	// distribution follows the load within a few hundred calls.
	spreadWindow = 512
	// minSpreadSamples is the number of samples below which they say little about the slowest
	// tenth: one of hundreds of routers has that many only after many seconds. Until then the mean
	// of at least minMeanSamples is used, as that of an exponential distribution.
	minSpreadSamples = 20
	minMeanSamples   = 3
)

// spread is the distribution of the latest samples of a quantity, in buckets of equal ratio.
type spread struct {
	weights [spreadBuckets]float32
	// higher holds, for each bucket, the sum of the weights above it; it is computed when needed.
	higher  [spreadBuckets]float32
	sum     float32
	current bool
	count   int
	// total is the sum of the first minSpreadSamples samples.
	total float64
}

// position returns the bucket of a value and the value's position within it.
func position(value float64) (int, float64) {
	at := spreadSteps * math.Log2(value/spreadLowest)
	if !(at > 0) {
		return 0, 0
	}
	if at >= spreadBuckets {
		return spreadBuckets - 1, 1
	}
	return int(at), at - math.Floor(at)
}

func (sp *spread) add(value float64) {
	if sp.count++; sp.count%spreadWindow == 0 {
		for ix := range sp.weights {
			sp.weights[ix] /= 2
		}
	}
	if sp.count <= minSpreadSamples {
		sp.total += value
	}
	bucket, _ := position(value)
	sp.weights[bucket]++
	sp.current = false
}

// above returns the probability of a value above the given one, 0 if too few samples are known.
func (sp *spread) above(value float64) float64 {
	switch {
	case sp.count < minMeanSamples:
		return 0
	case value <= 0:
		return 1
	case sp.count < minSpreadSamples:
		return math.Exp(-value * float64(sp.count) / sp.total)
	}
	if !sp.current {
		sp.sumUp()
	}
	bucket, within := position(value)
	return (float64(sp.higher[bucket]) + (1-within)*float64(sp.weights[bucket])) / float64(sp.sum)
}

func (sp *spread) sumUp() {
	sp.sum = 0
	for ix := spreadBuckets - 1; ix >= 0; ix-- {
		sp.higher[ix] = sp.sum
		sp.sum += sp.weights[ix]
	}
	sp.current = true
}

// pacer observes one call for the pool's pace.
type pacer struct {
	// excess is the engine's speed.excess when the call began.
	excess float64
	// promptMs is how long the prompt was expected to take.
	promptMs float64
	// firstAt and lastAt are when data first and last arrived, longest is the longest pause.
	firstAt, lastAt time.Time
	longest         time.Duration
	// eventAt is when an event last arrived from which the next pause counts, zero if none.
	eventAt time.Time
	// slow is set if the engine was slow during the call.
	slow bool
}

// activity records that data arrived from the engine.
func (pc *pacer) activity(now time.Time, factor float64) {
	pc.slow = pc.slow || factor > 1
	if pc.firstAt.IsZero() {
		pc.firstAt = now
	} else {
		pc.longest = max(pc.longest, now.Sub(pc.lastAt))
	}
	pc.lastAt = now
}

// recordPace adds a call that ended well to what is known of its pool. The first token and the
// pauses are learned from calls that did not see the engine slow, as the parts of them that do not
// scale with its speed are large. The duration is scaled, as few long calls see no slowness at all.
func (tk *Ticket) recordPace(now time.Time) {
	pc, took := &tk.pacer, ms(now.Sub(tk.Started))
	if !tk.request.Engine || pc.firstAt.IsZero() || took <= 0 {
		return
	}
	pa := tk.pl.paceOf(tk.st.Pool)
	first := ms(pc.firstAt.Sub(tk.Started))
	if tk.Slowness > 1 {
		pa.recordSlope(first, pc.promptMs, tk.Slowness)
	}
	if !pc.slow {
		pa.first.add(max(0, first-pc.promptMs))
		if pc.longest > 0 {
			pa.gap.add(ms(pc.longest))
		}
	}
	// A figure of a peer may correct what was assumed when the call began.
	factor := max(1, 1+(tk.st.speed.excessUntil(now)-pc.excess)/took)
	calls, perToken := float64(tk.OwnCalls+tk.PeerCalls), took/factor/float64(max(1, tk.request.MaxOutput))
	pa.answersOf(tk.request.Route).add(calls, perToken)
	pa.all.add(calls, perToken)
}

// recordSpeedAtChoice keeps what the choice assumed of the engine's speed.
func (tk *Ticket) recordSpeedAtChoice(ch *choice, prefill, fetched core.Tokens) {
	sc := &tk.st.scratch
	tk.Slowness, tk.SlownessLearned = sc.slowness, sc.slowness > 1 && tk.st.speed.learned
	tk.pacer.excess = tk.st.speed.excessUntil(ch.now)
	tk.pacer.promptMs = promptMs(tk.st, float64(prefill), float64(fetched), ch.rq.FetchTokensPerMs)
	if ch.rq.Engine && ch.pace != nil && ch.pace.first.count >= minSpreadSamples {
		first := ch.pace.first.median()*ch.pace.firstFactor(sc.slowness) + tk.pacer.promptMs*sc.slowness
		tk.ExpectedFirst = time.Duration(first * float64(time.Millisecond))
	}
}

// median returns the middle of the samples, 0 if there are none.
func (sp *spread) median() float64 {
	if !sp.current {
		sp.sumUp()
	}
	for ix := range sp.weights {
		if sp.sum > 0 && 2*sp.higher[ix] <= sp.sum {
			return spreadLowest * math.Exp2((float64(ix)+0.5)/spreadSteps)
		}
	}
	return 0
}
