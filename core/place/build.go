package place

import (
	"fmt"
	"time"

	"almondrill/core"
	"almondrill/core/builds"
)

// Endpoints of several software versions may serve in one pool, and streams that one version began
// cannot be continued by another. The versions have no order.

// Knows reports whether an endpoint with the hash is registered.
func (pl *Placer) Knows(endpoint uint64) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.byHash[endpoint] != nil
}

// MarkEnded records that the process of an endpoint has ended. What answers at its address from then on is another one,
// of an unknown version, until it registers: no stream that began elsewhere may continue there. It returns the
// endpoint's ID and pool, and false if the endpoint is unknown or known to have ended.
func (pl *Placer) MarkEnded(now time.Time, endpoint uint64) (core.EndpointID, core.PoolID, bool) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	st := pl.byHash[endpoint]
	if st == nil || !st.endedAt.IsZero() {
		return "", "", false
	}
	st.build, st.endedAt = builds.OfProcess(endpoint), now
	return st.ID, st.Pool, true
}

// ConfirmBuilds takes back MarkEnded for the endpoints that were marked before a time, as another process would have
// registered since, and returns their IDs.
func (pl *Placer) ConfirmBuilds(before time.Time) []core.EndpointID {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var confirmed []core.EndpointID
	for id, st := range pl.byID {
		if !st.endedAt.IsZero() && st.endedAt.Before(before) {
			st.build, st.endedAt = builds.Of(st.Pool, st.Software), time.Time{}
			confirmed = append(confirmed, id)
		}
	}
	return confirmed
}

// continuesAt reports whether the request's stream, if it has begun, may continue at the endpoint.
func (ch *choice) continuesAt(st *state) bool {
	return ch.rq.Build == 0 || st.build == ch.rq.Build
}

// countOfBuild counts the open endpoints at which the request's stream may continue, and those of them
// that fail all calls.
func (ch *choice) countOfBuild() (open, failAll int) {
	for _, st := range ch.members {
		if st.build != ch.rq.Build || ch.closedTo(st) || tried(ch.rq, st.ID) {
			continue
		}
		open++
		if st.health.failsAll(ch.now) {
			failAll++
		}
	}
	return open, failAll
}

// buildGone reports whether no endpoint is left at which the request's stream may continue, whatever
// its load.
func (ch *choice) buildGone() bool {
	if ch.rq.Build == 0 {
		return false
	}
	open, _ := ch.countOfBuild()
	return open == 0
}

func (ch *choice) refuseForBuild(re *core.Refusal) {
	re.Reason = core.ReasonVersionGone
	re.Detail = "no endpoint is left of the software version that began the stream"
	re.RetryAfter = 0
	re.Basis = fmt.Sprintf("build %08x, %d endpoints of the pool are open", ch.rq.Build, ch.openCount)
}
