package place

import (
	"time"

	"almondrill/core"
	"almondrill/core/decl"
	"almondrill/core/gauge"
	"almondrill/core/ring"
)

// state is what the router knows of one endpoint. The fields that each choice reads come first.
type state struct {
	// idHash is the hash of the ID, from which all routers derive the same homes.
	idHash uint64
	// ownCalls are this router's calls in progress, peerCalls those that peers reported.
	ownCalls, peerCalls int
	// pendingPrefill is the number of prompt tokens of own calls that wait for their first token.
	pendingPrefill core.Tokens
	// missing is set while the registration is missing but may come back.
	missing bool
	// sameZone is set if the endpoint is in the router's zone, removed once the endpoint was
	// removed or a later incarnation of it registered.
	sameZone, removed bool
	// drainingSince is when it became known that the endpoint is draining, zero if it is not.
	drainingSince time.Time
	// evacuated is the evacuation of the endpoint's zone, nil if there is none.
	evacuated *evacuation
	// fastPath is set by a choice that finds nothing about the endpoint except calls reported by
	// peers: no own calls, failures, counts or rejections, and no pending deadline. Later choices
	// then skip most checks and take a few ns for the endpoint. Whatever changes one of these
	// clears it with markChanged.
	fastPath  bool
	fullUntil time.Time
	// backoffUntil is the time until which the endpoint accepts no requests from this router.
	backoffUntil time.Time
	// unreachableUntil is the time until which the endpoint is assumed to be down, as peers
	// reported.
	unreachableUntil time.Time
	health           health
	cold             coldState
	// load is the number of calls that the endpoint last reported, adjusted by own calls begun and
	// ended since.
	load gauge.Count
	// speed is how much slower than usual the endpoint works, as it reported or as routers learned
	// from their streams there. pauses is what this router observes of them.
	speed  speed
	pauses pauses
	Endpoint

	// build is that of the process that has registered. Once it has ended, it stands for an unknown version, from
	// endedAt on.
	build   core.Build
	endedAt time.Time
	// hash is that of the ID and incarnation. It names the endpoint to peers, so that their reports
	// about an earlier incarnation are not applied to this one.
	hash    uint64
	addedAt time.Time
	cache   *cacheModel
	memory  engineMemory
	// peerMemory is the memory of peers' calls, as reported.
	peerMemory peerMemory
	// reservedBy is the waiting request that has reserved the endpoint's memory, nil if none has.
	reservedBy *MemoryWait
	scratch    scratch
}

// scratch holds what one choice computes for an endpoint.
type scratch struct {
	// peerCalls are the calls of other routers. homeScore is the rendezvous score of the endpoint
	// for the chat.
	peerCalls int
	homeScore uint64
	// looksDead is set if the endpoint looks dead, settled if it can transfer contexts and joined
	// some time ago, usable if it may be picked.
	looksDead, settled, usable bool
	// minBaseMs is a lower bound of baseMs.
	minBaseMs float64
	// slowness is the factor by which the endpoint is slower than usual, 1 or more; slownessAhead is
	// the one to expect over the duration of a call.
	slowness, slownessAhead float64
	// weighed is set once the cost of the endpoint is computed.
	weighed bool
}

// EndpointHash returns the hash that names an incarnation of an endpoint to peers.
func EndpointHash(id core.EndpointID, incarnation core.Incarnation) uint64 {
	name := decl.HashName(string(id))
	if incarnation == 0 {
		return name
	}
	return ring.Mix(name, uint64(incarnation))
}

func (pl *Placer) newState(now time.Time, ep *Endpoint) *state {
	name, hash := decl.HashName(string(ep.ID)), EndpointHash(ep.ID, ep.Incarnation)
	st := &state{idHash: name, hash: hash, addedAt: now, peerCalls: pl.reports.sums[shortHash(hash)], peerMemory: pl.reports.memory[shortHash(hash)], sameZone: ep.Zone == pl.Zone, backoffUntil: pl.backoffs[ep.ID]}
	st.cache = newCacheModel(st, pl.partIndex)
	return st
}

// markChanged makes the next choice check the endpoint in full.
func (st *state) markChanged() { st.fastPath = false }

// updateFastPath sets fastPath if nothing is left that a choice has to check.
func (st *state) updateFastPath(now time.Time, settled bool, coldFor time.Duration) {
	st.fastPath = settled && !st.isCold(now, coldFor) && st.ownCalls == 0 && !st.missing && st.pendingPrefill == 0 &&
		st.health.clean(now) && st.load.Expired(now) && !now.Before(st.fullUntil) && !now.Before(st.backoffUntil) &&
		!now.Before(st.unreachableUntil) && st.speed.current(now) == 1 && st.speed.ahead(now) == 1
}

// failureRate returns the endpoint's failure rate, or 0 if it gets no calls.
func (st *state) failureRate(now time.Time) float64 {
	if st.Draining || st.evacuated != nil {
		return 0
	}
	return st.health.failureRate(now)
}
