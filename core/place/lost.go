package place

import (
	"time"

	"almondrill/core"
)

// Load pattern: a part of a large pool crashes. A router of a hundred sends each engine a
// request in ten seconds, so that it does not find out for as long, and goes on naming
// engines that are gone as those from which others are to take prompts over: each such request
// waits for 0.3 s until the engine gives the fetch up. Therefore what two routers have found
// is told to all.

const (
	// UnreachableTTL is how long an endpoint is taken to be down after two peers told so.
	UnreachableTTL = time.Second
	// contactWindow is how lately something has to have come from an endpoint itself to go
	// before what peers tell.
	contactWindow = 200 * time.Millisecond
)

// MarkUnreachable takes for some time that peers could not reach an endpoint. It hands nothing on then, and gets
// calls only where the others cost more: peers may be wrong, as where a link between is cut.
// It returns which endpoint that is, and false where peers are not believed.
func (pl *Placer) MarkUnreachable(now time.Time, endpoint uint64, lasting time.Duration) (core.EndpointID, bool) {
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
	st.unreachableUntil = now.Add(lasting)
	st.cold.unreachable = true
	return st.ID, true
}

// MarkReachable takes that an endpoint can be reached again.
func (pl *Placer) MarkReachable(endpoint uint64) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if st := pl.byHash[endpoint]; st != nil {
		st.markChanged()
		st.unreachableUntil = time.Time{}
	}
}

// AddrOf is the address of the endpoint of that hash; false if it is not known, or about to leave.
func (pl *Placer) AddrOf(endpoint uint64) (string, bool) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	st := pl.byHash[endpoint]
	if st == nil || st.Draining || st.missing {
		return "", false
	}
	return st.Addr, true
}

// canTransfer tells whether others may take prompts over from the endpoint.
func (st *state) canTransfer(now time.Time) bool {
	return st.fastPath || !st.missing && !now.Before(st.unreachableUntil) && !st.health.looksDead(now, st.ownCalls)
}
