package place

import (
	"time"

	"almondrill/core"
)

const (
	// laterIncarnationHold is how long a later incarnation gets no calls if it may have announced its
	// shutdown before it registered: endpoints keep serving for some seconds after the announcement.
	laterIncarnationHold = 5 * time.Second
	// successorHold is that time if contact with the endpoint was not lost, as far as is known here. The
	// process that announced its shutdown serves for two seconds at least, so that one which registers sooner
	// is not its successor.
	successorHold = 3 * time.Second
)

// RecordShutdown records that the endpoint has announced its shutdown: it gets no new calls,
// whatever its registration says. It returns false if that was known.
func (tk *Ticket) RecordShutdown(now time.Time) bool {
	tk.pl.mu.Lock()
	defer tk.pl.mu.Unlock()
	st := tk.st
	if st.Draining {
		return false
	}
	tk.pl.holdSuccessor(now, st)
	tk.pl.closeIncarnation(now, st)
	return true
}

// holdSuccessor keeps calls from a later incarnation of an endpoint that announced its shutdown, which may
// have announced it: this router may know the earlier one only.
func (pl *Placer) holdSuccessor(now time.Time, st *state) {
	hold := successorHold
	if !st.cold.since.IsZero() {
		hold = laterIncarnationHold // it was reached again after contact was lost
	}
	if st.Incarnation != 0 {
		pl.rememberBackoff(now, st.ID, now.Add(hold))
	}
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
	pl.holdSuccessor(now, st)
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
