package place

import (
	"time"

	"almondrill/core"
)

// Load pattern: endpoints turn requests away at once, and ask for none for some seconds. Without
// calls of its own such an endpoint looks the least loaded, draws the next requests and turns them
// away too, while the others have room. Therefore it is left out for as long as it asked.

// RecordBackoff tells that the endpoint wants no requests from this router for that long. It returns false
// if that was known.
func (tk *Ticket) RecordBackoff(now time.Time, lasts time.Duration) bool {
	tk.pl.mu.Lock()
	defer tk.pl.mu.Unlock()
	st := tk.st
	if current := tk.pl.byID[st.ID]; current != nil {
		st = current // it has registered again since the call was placed
	}
	known := now.Before(st.backoffUntil)
	if until := now.Add(lasts); until.After(st.backoffUntil) {
		st.markChanged()
		st.backoffUntil = until
		tk.pl.rememberBackoff(now, st.ID, until)
	}
	return !known
}

// rememberBackoff remembers until when an endpoint wants no requests, so that it holds also when the
// endpoint is removed and registers again. It holds for a later start too: the registration may
// come late, so that it was that start which asked.
func (pl *Placer) rememberBackoff(now time.Time, endpoint core.EndpointID, until time.Time) {
	for other, ends := range pl.backoffs {
		if !now.Before(ends) {
			delete(pl.backoffs, other)
		}
	}
	if until.After(pl.backoffs[endpoint]) {
		pl.backoffs[endpoint] = until
	}
}

// backsOff tells whether the endpoint wants no requests now, and counts it.
func (ch *choice) backsOff(st *state) bool {
	if st.fastPath || !ch.now.Before(st.backoffUntil) {
		return false
	}
	ch.backingOffCount++
	if ch.backoffEnds.IsZero() || st.backoffUntil.Before(ch.backoffEnds) {
		ch.backoffEnds = st.backoffUntil
	}
	return true
}
