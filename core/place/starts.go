package place

import "almondrill/core"

// Failure: an endpoint crashes and starts again under its id while a registration of
// the earlier start is still on its way, delayed in the store or in a peer's copy. Taken
// for news, that one would bring a dead address or a drained state back: callers see
// refused connections, or a new endpoint stays idle for good. Starts only rise, and the
// latest is remembered after the endpoint is gone, so that whichever order news arrives
// in, all routers end at the same start.

// mostStarts bounds the starts that are remembered: at 170 replaced VMs a day, those of
// weeks. The earliest noted is forgotten first.
const mostStarts = 8192

// start is the latest known start of an endpoint, and whether that one was draining.
type start struct {
	at       core.Incarnation
	draining bool
}

// starts are the latest known starts. Of endpoints that do not tell theirs, those are kept that
// are closed: their ids are not used again.
type starts struct {
	latest map[core.EndpointID]start
	// order is in which they were first noted.
	order []core.EndpointID
}

// note takes a registration. current is false if a later start is known already, and
// drained tells that this one was draining before.
func (ss *starts) note(ep *Endpoint) (drained, current bool) {
	known, seen := ss.latest[ep.ID]
	if ep.Start < known.at {
		return false, false
	}
	drained = seen && ep.Start == known.at && known.draining
	if ep.Start == 0 {
		return drained, true
	}
	if !seen {
		ss.add(ep.ID)
	}
	ss.latest[ep.ID] = start{at: ep.Start, draining: drained || ep.Draining}
	return drained, true
}

func (ss *starts) add(id core.EndpointID) {
	if ss.latest == nil {
		ss.latest = map[core.EndpointID]start{}
	}
	if len(ss.order) >= mostStarts {
		delete(ss.latest, ss.order[0])
		ss.order = ss.order[1:]
	}
	ss.order = append(ss.order, id)
}

// drain notes that a start gets no more work.
func (ss *starts) drain(ep *Endpoint) {
	known, seen := ss.latest[ep.ID]
	if seen && known.at != ep.Start {
		return
	}
	if !seen {
		ss.add(ep.ID)
	}
	ss.latest[ep.ID] = start{at: ep.Start, draining: true}
}
