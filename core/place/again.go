package place

import (
	"time"

	"almondrill/core"
)

// Again returns a ticket for another call of the same request at the same endpoint, which continues a
// run that has stopped there after it produced that many tokens. It is not a new request to the
// endpoint: BeforeSend need not be called, and the endpoint may be closed to new ones.
func (tk *Ticket) Again(now time.Time, produced core.Tokens) *Ticket {
	tk.pl.mu.Lock()
	defer tk.pl.mu.Unlock()
	next, rq, st := *tk, *tk.request, tk.st
	rq.MigrateFrom, rq.Produced = st.ID, produced
	next.request, next.Started, next.ReportedCalls = &rq, now, -1
	next.FetchFrom, next.FetchTokens = "", 0
	next.done, next.reserved, next.unrecorded = false, false, false
	next.prefill, next.heldOutput, next.pacer = 0, 0, pacer{}
	next.progress = progress{startLost: st.speed.lostUntil(now)}
	next.use.add(next.customer, 1)
	next.holdMemory(now)
	st.markChanged()
	st.ownCalls++
	st.load.Add(now, 1)
	st.health.callStarted(now)
	if st.removed {
		tk.pl.departed[st.ID] = st
	}
	return &next
}
