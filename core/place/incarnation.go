package place

import "almondrill/core"

// Failure: an endpoint crashes and restarts under its ID while a registration of the earlier
// incarnation is still in transit, delayed in the store or in a peer's copy. Applied as an update,
// it would bring back a dead address or a draining state: callers see refused connections, or a new
// endpoint stays idle forever. Incarnations only increase, and the latest is remembered after the
// endpoint is gone, so that all routers end with the same incarnation whatever the order of
// updates.

// maxIncarnations bounds the remembered incarnations: at 170 replaced VMs a day, it covers weeks.
// The first recorded is forgotten first.
const maxIncarnations = 8192

// latestIncarnation is the latest known incarnation of an endpoint, and whether it was draining.
type latestIncarnation struct {
	incarnation core.Incarnation
	draining    bool
}

// incarnations holds the latest known incarnations. For endpoints that do not report one, only
// closed ones are kept: their IDs are not used again.
type incarnations struct {
	latest map[core.EndpointID]latestIncarnation
	// order lists the IDs in the order in which they were first recorded.
	order []core.EndpointID
}

// record applies a registration. current is false if a later incarnation is known, and drained is
// set if this one was draining before.
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

// markDraining records that an incarnation gets no more work.
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
