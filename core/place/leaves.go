package place

import (
	"time"

	"almondrill/core"
)

// laterIncarnationHold is how long a later start of an endpoint gets nothing that may have announced before
// it registered that it leaves: endpoints serve on for some seconds after that.
const laterIncarnationHold = 5 * time.Second

// RecordShutdown tells that the endpoint has announced that it leaves: it gets no new calls, whatever its
// registration says. It returns false if that was known.
func (tk *Ticket) RecordShutdown(now time.Time) bool {
	tk.pl.mu.Lock()
	defer tk.pl.mu.Unlock()
	st := tk.st
	if st.Draining {
		return false
	}
	if !st.cold.since.IsZero() && st.Incarnation != 0 {
		// It was reached again after contact was lost: its process may be another by now.
		tk.pl.rememberBackoff(now, st.ID, now.Add(laterIncarnationHold))
	}
	tk.pl.closeIncarnation(st)
	return true
}

// ApplyShutdown takes a peer's word that an endpoint has announced that it leaves. It returns which
// endpoint that is, and false if that was known or the endpoint is not.
func (pl *Placer) ApplyShutdown(endpoint uint64) (core.EndpointID, bool) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	st := pl.byHash[endpoint]
	if st == nil || st.Draining {
		return "", false
	}
	pl.closeIncarnation(st)
	return st.ID, true
}

// closeIncarnation keeps new calls from this start of an endpoint for good, also where it was removed and
// has registered again since the call was placed.
func (pl *Placer) closeIncarnation(st *state) {
	st.Draining = true
	pl.incarnations.markDraining(&st.Endpoint)
	if current := pl.byID[st.ID]; current != nil && current.Incarnation == st.Incarnation {
		current.markChanged()
		current.Draining = true
	}
}
