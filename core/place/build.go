package place

import (
	"fmt"

	"almondrill/core"
)

// Endpoints of several software versions may serve in one pool, and streams that one version began
// cannot be continued by another. The versions have no order.

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
