package place

import (
	"time"

	"almondrill/core"
)

// Costs of a call to the engine or to its callers, in ms unless the name or comment says otherwise.
const (
	// prefillTokensPerMs is how many prompt tokens an engine prefills per millisecond, assumed of
	// all engines.
	prefillTokensPerMs = 140.0
	// runningCallMs is what each running call adds to the time to first token of the next.
	runningCallMs = 0.7
	// crossZoneMs is the cost of leaving the zone: the round trip and the transferred bytes.
	crossZoneMs = 3.0
	// prefillWeight is the cost of prefill relative to its own duration: the steps in which an
	// engine prefills delay every call that runs there.
	prefillWeight = 6.0
	// queueWeight weighs the wait for a slot, which takes the end of one call for each call ahead.
	queueWeight = 0.3
	// pressureMs is the cost of an engine with twice its pool's mean of calls. It grows with the
	// square of the excess, so that chats that are cheap to move leave first. pressureFloor, in
	// calls, is added to the mean, since differences of one or two calls are insignificant.
	pressureMs    = 25.0
	pressureFloor = 2.0
	// plainLoadMs is the cost of a plain endpoint whose slots are all taken, so that calls are
	// spread before they have to wait.
	plainLoadMs = 10.0
	coldMs      = 20.0
	// failureMs is the cost of a failure rate of 1: more than prefilling the longest context.
	failureMs = 400.0
	// unreachableMs is the cost of an endpoint that two peers could not reach: a trial takes up to
	// the connection timeout.
	unreachableMs = 400.0
	// fetchSetupMs is the cost of a fetch apart from the transfer: the setup, and the memory that
	// the context takes on a further engine. fetchWeight counts the transfer at both engines.
	fetchSetupMs = 50.0
	fetchWeight  = 2.0
)

// Where cached prompts are expected.
const (
	// homeCachedFraction is the fraction of a context that is assumed to be cached at its home,
	// where peers send it too. For each further home it is multiplied by nextHomeFactor.
	homeCachedFraction = 0.98
	nextHomeFactor     = 0.6
	// maxHomes is how many endpoints, in an order that all routers agree on, take the chats whose
	// first home is under pressure.
	maxHomes = 3
	// minFetchTokens is the least number of tokens of a context that is worth a fetch,
	// minPrefixTokens that of a shared prefix.
	minFetchTokens  = 256
	minPrefixTokens = 64
	// settleTime is how long after an endpoint joins prompts are still expected where they were
	// before: most chats return within it.
	settleTime = 10 * time.Second
	// startupWindow is the time after the first registration within which further endpoints count
	// as present from the start: in a new deployment all register within a few heartbeats.
	startupWindow = 4 * time.Second
)

// Capacity for calls.
const (
	// staleCapFraction is the fraction of the load cap that is used if an endpoint's calls are
	// known only from peers' messages: the rest covers the calls that peers placed since.
	// minCapMeanFraction bounds the mean that the cap is based on, as a fraction of the mean of
	// open endpoints: without it, a pool that is mostly evacuated refuses calls that the remaining
	// endpoints can run. Below capFloor calls the cap does not apply.
	staleCapFraction   = 0.9
	minCapMeanFraction = 2.0 / 3
	capFloor           = 3
	// engineSlotFactor and plainSlotFactor are how many calls an endpoint is given, running and
	// waiting, as a multiple of its slots.
	engineSlotFactor = 2
	plainSlotFactor  = 4
	// rejectedPause is how long an endpoint that rejected a call is skipped: about the time in
	// which one of its calls ends.
	rejectedPause = 150 * time.Millisecond
)

// loadTableSize is the number of calls up to which a choice computes loadMs in advance. Few engines
// have more.
const loadTableSize = 64

// baseMs predicts, in ms, the time to first token at the endpoint and the delay of other calls,
// except for the prefill of the prompt.
func (pl *Placer) baseMs(st *state, ch *choice) float64 {
	calls := float64(st.ownCalls + st.scratch.peerCalls)
	cost := failureMs * max(0, st.health.failureRate(ch.now)-ch.meanFailureRate)
	if !st.sameZone && !ch.ownCallsOnly() {
		cost += crossZoneMs
	}
	if !st.fastPath && st.isCold(ch.now, ch.rq.ColdDuration) {
		cost += coldMs
	}
	if ch.now.Before(st.unreachableUntil) {
		cost += unreachableMs
	}
	if !ch.rq.Engine {
		slots := float64(max(1, st.Slots))
		if ch.ownCallsOnly() {
			calls = (float64(st.ownCalls) + Congestion(calls, ch.meanCalls, slots)) * float64(ch.routers)
		}
		return cost + st.health.typicalMs(ch.typicalMs)*max(0, calls+1-slots)/slots + plainLoadMs*calls/slots + ch.slowPlainMs(st) + pl.Rand.Float64()
	}
	if st.Slots > 0 {
		slots := float64(st.Slots)
		cost += queueWeight * st.health.typicalMs(ch.typicalMs) * max(0, calls+1-slots) / slots
	}
	return cost + float64(st.pendingPrefill)/prefillTokensPerMs + ch.loadMs(calls)
}

// costMs predicts the cost of the call at an engine.
func (pl *Placer) costMs(st *state, ch *choice) float64 {
	prefill, fetched := ch.prefillAndFetch(st)
	return pl.baseMs(st, ch) + ch.prefillMs(prefill, fetched) + ch.slowMs(st, float64(prefill), float64(fetched)) + ch.awayMs(st)
}

// ownCallsOnly reports whether the endpoints are weighed by this router's own calls alone, each of
// which stands for one of every router.
//
// Load pattern: for seconds, requests compete for the slots of a plain pool, and each router has a
// few calls there at a time. A call ends within tens of milliseconds, while peers' reports are up to
// 0.2 s old: by them, all routers choose the endpoint that was idle then. The exception is an endpoint
// where far more calls queue than elsewhere: it is avoided, see Congestion. The zone is not weighed
// either. An endpoint that is the only one of its zone would get the first call of all routers there,
// and waiting for a slot takes longer than a round trip between zones.
func (ch *choice) ownCallsOnly() bool { return ch.rq.OwnCallsOnly && !ch.rq.Engine }

// loadMs returns what an engine's calls and one more call cost each other, in ms.
func (ch *choice) loadMs(calls float64) float64 {
	beyond := max(0, (calls+1)/(ch.capMean+pressureFloor)-1)
	return runningCallMs*calls + pressureMs*beyond*beyond
}

// minBaseMs is a lower bound of baseMs that takes a few ns to compute.
func (ch *choice) minBaseMs(st *state) float64 {
	if !ch.rq.Engine {
		return 0
	}
	var cost float64
	if !st.sameZone {
		cost = crossZoneMs
	}
	calls := st.ownCalls + st.scratch.peerCalls
	if calls < len(ch.loadMsByCalls) {
		return cost + ch.loadMsByCalls[calls]
	}
	return cost + ch.loadMs(float64(calls))
}

// prefillMs returns the cost of prefill and fetch, in ms.
func (ch *choice) prefillMs(prefill, fetched core.Tokens) float64 {
	cost := prefillWeight * float64(prefill) / prefillTokensPerMs
	if fetched > 0 {
		cost += fetchSetupMs + fetchWeight*float64(fetched)/ch.rq.FetchTokensPerMs
	}
	return cost
}

// minPrefillMs returns the least cost of the prompt, in ms, on an endpoint that is not a home and
// has at most the shared prefix cached.
func (ch *choice) minPrefillMs() float64 {
	all := promptTokens(ch.rq.Parts)
	lowest := ch.prefillMs(ch.splitFetch(all))
	if len(ch.rq.Parts) > 1 {
		lowest = min(lowest, ch.prefillMs(ch.splitFetch(all-ch.rq.Parts[0].Tokens)))
	}
	return lowest
}
