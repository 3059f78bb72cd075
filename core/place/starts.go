package place

import "almondrill/core"

// Failure: an endpoint crashes and starts again under its id while a registration of
// the earlier start is still on its way, delayed in the store or in a peer's copy. Taken
// for news, that one would bring a dead address or a drained state back: callers see
// refused connections, or a new endpoint stays idle for good. Starts only rise, and the
// latest is remembered after the endpoint is gone, so that whichever order news arrives
// in, all routers end at the same start.

// maxIncarnations bounds the starts that are remembered: at 170 replaced VMs a day, those of
// weeks. The earliest noted is forgotten first.
const maxIncarnations = 8192

// latestIncarnation is the latest known start of an endpoint, and whether that one was draining.
type latestIncarnation struct {
	incarnation core.Incarnation
	draining    bool
}

// incarnations are the latest known starts. Of endpoints that do not tell theirs, those are kept that
// are closed: their ids are not used again.
type incarnations struct {
	latest map[core.EndpointID]latestIncarnation
	// order is in which they were first noted.
	order []core.EndpointID
}

// record takes a registration. current is false if a later start is known already, and
// drained tells that this one was draining before.
func (ic *incarnations) record(ep *Endpoint) (drained, current bool) {
	known, seen := ic.latest[ep.ID]
	if ep.Incarnation < known.incarnation {
		return false, false
	}
	drained = seen && ep.Incarnation == known.incarnation && known.draining
	if ep.Incarnation == 0 {
		return drained, true
	}
	if !seen {
		ic.add(ep.ID)
	}
	ic.latest[ep.ID] = latestIncarnation{incarnation: ep.Incarnation, draining: drained || ep.Draining}
	return drained, true
}

func (ic *incarnations) add(id core.EndpointID) {
	if ic.latest == nil {
		ic.latest = map[core.EndpointID]latestIncarnation{}
	}
	if len(ic.order) >= maxIncarnations {
		delete(ic.latest, ic.order[0])
		ic.order = ic.order[1:]
	}
	ic.order = append(ic.order, id)
}

// markDraining notes that a start gets no more work.
func (ic *incarnations) markDraining(ep *Endpoint) {
	known, seen := ic.latest[ep.ID]
	if seen && known.incarnation != ep.Incarnation {
		return
	}
	if !seen {
		ic.add(ep.ID)
	}
	ic.latest[ep.ID] = latestIncarnation{incarnation: ep.Incarnation, draining: true}
}
