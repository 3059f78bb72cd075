package place

import (
	"time"

	"almondrill/core"
)

// Load pattern: a part of a large pool crashes. One router of a hundred sends each engine a request
// every ten seconds. It takes that long to notice a crash, and meanwhile names dead engines as
// sources of cached contexts: each such request waits 0.3 s until its engine gives up the fetch.
// Therefore what two routers have found is sent to all.

const (
	// UnreachableTTL is how long an endpoint is assumed to be down after two peers reported it.
	UnreachableTTL = time.Second
	// contactWindow is how recent data from an endpoint must be to override reports of peers.
	contactWindow = 200 * time.Millisecond
)

// MarkUnreachable records for a time that peers could not reach an endpoint. It is not used as a
// source of fetches then, and gets calls only where other endpoints cost more: peers may be wrong,
// as in a network partition. MarkUnreachable returns the endpoint's ID, and false if the endpoint
// is not known or was heard from recently.
func (pl *Placer) MarkUnreachable(now time.Time, endpoint uint64, lasts time.Duration) (core.EndpointID, bool) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	st := pl.byHash[endpoint]
	if st == nil {
		return "", false
	}
	if now.Sub(st.health.lastActivity) < contactWindow {
		return st.ID, false
	}
	st.markChanged()
	st.unreachableUntil = now.Add(lasts)
	st.cold.unreachable = true
	return st.ID, true
}

// MarkReachable records that an endpoint can be reached again.
func (pl *Placer) MarkReachable(endpoint uint64) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if st := pl.byHash[endpoint]; st != nil {
		st.markChanged()
		st.unreachableUntil = time.Time{}
	}
}

// AddrOf returns the address of the endpoint with the hash, and false if the endpoint is unknown,
// draining, or its registration is missing.
func (pl *Placer) AddrOf(endpoint uint64) (string, bool) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	st := pl.byHash[endpoint]
	if st == nil || st.Draining || st.missing {
		return "", false
	}
	return st.Addr, true
}

// canTransfer reports whether other engines may fetch contexts from the endpoint.
func (st *state) canTransfer(now time.Time) bool {
	return st.fastPath || !st.missing && !now.Before(st.unreachableUntil) && !st.health.looksDead(now, st.ownCalls)
}
