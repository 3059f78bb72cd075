package place

import (
	"time"

	"almondrill/core"
	"almondrill/core/decl"
	"almondrill/core/gauge"
	"almondrill/core/ring"
)

// state is what the router believes of one endpoint. What each choice looks at comes
// first.
type state struct {
	// idHash is the hash of its id, by which routers agree on homes.
	idHash uint64
	// ownCalls are the router's own in progress, told those that peers told of theirs.
	ownCalls, peerCalls int
	// pendingPrefill are the prompt tokens of own calls whose first token is awaited.
	pendingPrefill core.Tokens
	// missing is set while the registration is missing, but may come back.
	missing bool
	// sameZone is set in the router's own zone, removed once its registration is gone.
	sameZone, removed bool
	// evacuated is its zone's evacuation, nil if there is none.
	evacuated *evacuation
	// fastPath is set by a choice that finds nothing about the endpoint but what peers told: no
	// own calls, failures, counts or refusals, and no limit in time. The next choices pass
	// it in a few ns. Whoever changes any of these clears it with stir.
	fastPath  bool
	fullUntil time.Time
	// backoffUntil is until when it wants no requests from this router.
	backoffUntil time.Time
	// unreachableUntil is until when it is taken to be down as peers told.
	unreachableUntil time.Time
	health           health
	cold             coldState
	// load is how many calls it said that it has, and the own ones begun and ended since.
	load gauge.Count
	Endpoint

	// hash is that of its id and start, by which peers tell of it, so that their words of an
	// earlier start are not taken for this one.
	hash    uint64
	addedAt time.Time
	cache   *cacheModel
	scratch scratch
}

// scratch is what one choice works out of an endpoint.
type scratch struct {
	// peerCalls are calls of other routers, score its claim as a home of the chat.
	peerCalls int
	homeScore uint64
	// looksDead is set if it looks dead, settled if it does not and has been there for a time,
	// usable if it may be picked.
	looksDead, settled, usable bool
	// minBaseMs is a lower bound of the cost of a call there but for its prompt, in ms.
	minBaseMs float64
	// weighed is set once its cost is known.
	weighed bool
}

// EndpointHash names a start of an endpoint to peers.
func EndpointHash(id core.EndpointID, start core.Incarnation) uint64 {
	name := decl.HashName(string(id))
	if start == 0 {
		return name
	}
	return ring.Mix(name, uint64(start))
}

func (pl *Placer) newState(now time.Time, ep *Endpoint) *state {
	name, hash := decl.HashName(string(ep.ID)), EndpointHash(ep.ID, ep.Incarnation)
	st := &state{idHash: name, hash: hash, addedAt: now, peerCalls: pl.reports.sums[shortHash(hash)], sameZone: ep.Zone == pl.Zone, backoffUntil: pl.backoffs[ep.ID]}
	st.cache = newCacheModel(st, pl.partIndex)
	return st
}

// markChanged lets the next choice look at the endpoint in full again.
func (st *state) markChanged() { st.fastPath = false }

// updateFastPath makes the endpoint quiet if nothing is left that a choice has to look at.
func (st *state) updateFastPath(now time.Time, settled bool, coldFor time.Duration) {
	st.fastPath = settled && !st.isCold(now, coldFor) && st.ownCalls == 0 && !st.missing && st.pendingPrefill == 0 &&
		st.health.clean(now) && st.load.Expired(now) && !now.Before(st.fullUntil) && !now.Before(st.backoffUntil) &&
		!now.Before(st.unreachableUntil)
}

// failureRate is the endpoint's failure rate, 0 if it gets no calls.
func (st *state) failureRate(now time.Time) float64 {
	if st.Draining || st.evacuated != nil {
		return 0
	}
	return st.health.failureRate(now)
}
