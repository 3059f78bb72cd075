package place

import (
	"time"

	"almondrill/core"
)

// Time that a call costs an engine or its callers, in ms unless another unit is named.
const (
	// prefillTokensPerMs is how many prompt tokens an engine reads in a millisecond, assumed of all.
	prefillTokensPerMs = 140.0
	// runningCallMs is what one running call adds to the first token of the next.
	runningCallMs = 0.7
	// crossZoneMs is the cost of leaving the zone: the way there and back, and the bytes.
	crossZoneMs = 3.0
	// prefillWeight weighs a token to read against the reader's own wait: the steps in which an
	// engine reads delay every call that runs there.
	prefillWeight = 6.0
	// queueWeight weighs the wait for a place, one end of a call for each that is ahead.
	queueWeight = 0.3
	// pressureMs is the cost of an engine with twice its pool's mean of calls. It grows with the
	// square of the excess, so that chats that are cheap to move leave first. pressureFloor, in
	// calls, is added to the mean: differences of a call or two mean nothing.
	pressureMs    = 25.0
	pressureFloor = 2.0
	// plainLoadMs is the cost of a plain endpoint whose places are all taken, so that calls
	// spread before they have to wait.
	plainLoadMs = 10.0
	coldMs      = 20.0
	// failureMs is the cost of a failure rate of 1: more than reading the longest context anew.
	failureMs = 400.0
	// unreachableMs is the cost of an endpoint that two peers could not reach: a trial takes up to the
	// timeout of a connection.
	unreachableMs = 400.0
	// fetchSetupMs is the cost of a fetch beside its transfer: setting it up, and the memory that the
	// context takes on one more engine. fetchWeight counts the transfer at both engines.
	fetchSetupMs = 50.0
	fetchWeight  = 2.0
)

// Where prompts are expected.
const (
	// homeCachedFraction is the part of a context assumed to be at its home, where peers send it too;
	// each further home is less likely to have it by nextCached.
	homeCachedFraction = 0.98
	nextHomeFactor     = 0.6
	// maxHomes is how many endpoints, in an order on which all routers agree, take the
	// chats whose first home is under pressure.
	maxHomes = 3
	// minFetchTokens and leastBeginning are, in tokens, the least that is fetched of a context and
	// of a beginning that chats share.
	minFetchTokens  = 256
	minPrefixTokens = 64
	// settleTime is how long after an endpoint's coming prompts are still looked for
	// where they were before: most return within it.
	settleTime = 10 * time.Second
	// startupWindow is how long after the first endpoint others still count as there from
	// the start: all register within a few heartbeats when a deployment begins.
	startupWindow = 4 * time.Second
)

// Room for calls.
const (
	// staleCapFraction is the part of the cap that is used where an endpoint's calls are known from peers'
	// messages only: the rest covers what they placed since. openPart bounds the mean that the cap
	// goes by, as a part of the mean of the open endpoints: without it a pool whose larger part is
	// evacuated refuses what the rest can run. Below capFloor calls the cap does not apply.
	staleCapFraction   = 0.9
	minCapMeanFraction = 2.0 / 3
	capFloor           = 3
	// engineSlotFactor and plainRoom are how many calls an endpoint is given, running and waiting, as
	// a multiple of its places.
	engineSlotFactor = 2
	plainSlotFactor  = 4
	// rejectedPause is how long an endpoint that refused is passed over: about the time
	// in which one of its calls ends.
	rejectedPause = 150 * time.Millisecond
)

// loadTableSize is up to how many calls loadMs is worked out once a choice: few engines have
// more.
const loadTableSize = 64

// baseMs predicts, in ms, the wait for the first token there and what the call
// costs others, but for reading its prompt.
func (pl *Placer) baseMs(st *state, ch *choice) float64 {
	calls := float64(st.ownCalls + st.scratch.peerCalls)
	cost := failureMs * max(0, st.health.failureRate(ch.now)-ch.meanFailureRate)
	if !st.sameZone {
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
		return cost + st.health.typicalMs(ch.typicalMs)*max(0, calls+1-slots)/slots + plainLoadMs*calls/slots + pl.Rand.Float64()
	}
	if st.Slots > 0 {
		slots := float64(st.Slots)
		cost += queueWeight * st.health.typicalMs(ch.typicalMs) * max(0, calls+1-slots) / slots
	}
	return cost + float64(st.pendingPrefill)/prefillTokensPerMs + ch.loadMs(calls)
}

// loadMs is what the calls that an engine has cost one more, and it them, in ms.
func (ch *choice) loadMs(calls float64) float64 {
	beyond := max(0, (calls+1)/(ch.capMean+pressureFloor)-1)
	return runningCallMs*calls + pressureMs*beyond*beyond
}

// minBaseMs is a lower bound of base that needs a few ns.
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

// prefillMs is what reading and fetching costs, in ms.
func (ch *choice) prefillMs(prefill, fetched core.Tokens) float64 {
	cost := prefillWeight * float64(prefill) / prefillTokensPerMs
	if fetched > 0 {
		cost += fetchSetupMs + fetchWeight*float64(fetched)/ch.rq.FetchTokensPerMs
	}
	return cost
}

// minPrefillMs is what reading the prompt costs at least on an endpoint that is no home and
// holds nothing of it beyond the beginning.
func (ch *choice) minPrefillMs() float64 {
	all := promptTokens(ch.rq.Parts)
	least := ch.prefillMs(ch.splitFetch(all))
	if len(ch.rq.Parts) > 1 {
		least = min(least, ch.prefillMs(ch.splitFetch(all-ch.rq.Parts[0].Tokens)))
	}
	return least
}
