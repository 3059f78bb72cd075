package place

import (
	"time"

	"almondrill/core"
)

// Load pattern: endpoints reject requests at once, and ask for none for some seconds. Without calls
// such an endpoint looks the least loaded, attracts the next requests and rejects them too, while
// the others have capacity. Therefore it is excluded for as long as it asked.

// RecordBackoff records that the endpoint accepts no requests from this router for the duration. It
// returns false if that was known.
func (tk *Ticket) RecordBackoff(now time.Time, lasts time.Duration) bool {
	tk.pl.mu.Lock()
	defer tk.pl.mu.Unlock()
	st := tk.st
	if current := tk.pl.byID[st.ID]; current != nil {
		st = current // the endpoint has registered again since the call was placed
	}
	known := now.Before(st.backoffUntil)
	if until := now.Add(lasts); until.After(st.backoffUntil) {
		st.markChanged()
		st.backoffUntil = until
		tk.pl.rememberBackoff(now, st.ID, until)
	}
	return !known
}

// rememberBackoff stores the time until which an endpoint accepts no requests, so that it also
// applies after the endpoint is removed and registers again. It applies to a later incarnation too:
// its registration may arrive late, so that the later incarnation may be the one that asked.
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

// backsOff reports whether the endpoint accepts no requests now, and counts it.
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
