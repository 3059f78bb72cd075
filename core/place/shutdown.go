package place

import (
	"time"

	"almondrill/core"
)

// laterIncarnationHold is how long a later incarnation gets no calls if it may have announced its
// shutdown before it registered: endpoints keep serving for some seconds after the announcement.
const laterIncarnationHold = 5 * time.Second

// RecordShutdown records that the endpoint has announced its shutdown: it gets no new calls,
// whatever its registration says. It returns false if that was known.
func (tk *Ticket) RecordShutdown(now time.Time) bool {
	tk.pl.mu.Lock()
	defer tk.pl.mu.Unlock()
	st := tk.st
	if st.Draining {
		return false
	}
	if !st.cold.since.IsZero() && st.Incarnation != 0 {
		// The endpoint was reached again after contact was lost, so that its process may be a later
		// incarnation.
		tk.pl.rememberBackoff(now, st.ID, now.Add(laterIncarnationHold))
	}
	tk.pl.closeIncarnation(now, st)
	return true
}

// ApplyShutdown records a peer's report that an endpoint has announced its shutdown. It returns the
// endpoint's ID, and false if that was known or the endpoint is unknown.
func (pl *Placer) ApplyShutdown(now time.Time, endpoint uint64) (core.EndpointID, bool) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	st := pl.byHash[endpoint]
	if st == nil || st.Draining {
		return "", false
	}
	pl.closeIncarnation(now, st)
	return st.ID, true
}

// closeIncarnation permanently closes this incarnation of an endpoint to new calls, even if it was
// removed and has registered again since the call was placed.
func (pl *Placer) closeIncarnation(now time.Time, st *state) {
	st.Draining = true
	st.noteDraining(now)
	pl.incarnations.markDraining(&st.Endpoint)
	if current := pl.byID[st.ID]; current != nil && current.Incarnation == st.Incarnation {
		current.markChanged()
		current.Draining = true
		current.noteDraining(now)
	}
}

// noteDraining keeps when a draining endpoint was first known to be so.
func (st *state) noteDraining(now time.Time) {
	if st.Draining && st.drainingSince.IsZero() {
		st.drainingSince = now
	}
}
