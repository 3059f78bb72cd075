package place

import (
	"time"

	"almondrill/core"
)

// laterStartFor is how long a later start of an endpoint gets nothing that may have announced before
// it registered that it leaves: endpoints serve on for some seconds after that.
const laterStartFor = 5 * time.Second

// Leaves tells that the endpoint has announced that it leaves: it gets no new calls, whatever its
// registration says. It returns false if that was known.
func (tk *Ticket) Leaves(now time.Time) bool {
	tk.pl.mu.Lock()
	defer tk.pl.mu.Unlock()
	st := tk.st
	if st.Draining {
		return false
	}
	if !st.cold.since.IsZero() && st.Start != 0 {
		// It was reached again after contact was lost: its process may be another by now.
		tk.pl.keepBackoff(now, st.ID, now.Add(laterStartFor))
	}
	tk.pl.close(st)
	return true
}

// HearLeaves takes a peer's word that an endpoint has announced that it leaves. It returns which
// endpoint that is, and false if that was known or the endpoint is not.
func (pl *Placer) HearLeaves(endpoint uint64) (core.EndpointID, bool) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	st := pl.byHash[endpoint]
	if st == nil || st.Draining {
		return "", false
	}
	pl.close(st)
	return st.ID, true
}

// close keeps new calls from this start of an endpoint for good, also where it was removed and
// has registered again since the call was placed.
func (pl *Placer) close(st *state) {
	st.Draining = true
	pl.starts.drain(&st.Endpoint)
	if current := pl.byID[st.ID]; current != nil && current.Start == st.Start {
		current.stir()
		current.Draining = true
	}
}
