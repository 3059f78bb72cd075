package place

import (
	"time"

	"almondrill/core/quota"
)

// Load pattern: engines come back cold, a third of a pool at once, while callers ask for more
// than the warm ones run. An engine that is cold takes few requests a second and crashes well
// above that, so that one that is sent what is its share of the load takes the others with it.
// Therefore all routers together send a cold endpoint no more than its limit, which the router
// that keeps the endpoint's count grants request by request; what gets no grant goes elsewhere.

// ColdLimits bound what endpoints get while they are cold, as multiples of what a pool
// declares.
type ColdLimits struct {
	// Overrun and Slack bound the requests that reach an endpoint in any second: the declared
	// rate times Overrun, plus Slack.
	Overrun, Slack float64
}

// grantedFraction is the part of the bound that is granted, so that two keepers of a fleet that is cut
// in two, or whose keepers change, stay within the whole.
const grantedFraction = 0.5

// grantRate is how many requests a second all routers together send a cold endpoint whose pool
// declares that rate: no more than the rate, which it tolerates, nor than a safe part of the
// bound; one where the rate is below that.
func (cl ColdLimits) grantRate(rate float64) int {
	bound := rate*max(1, cl.Overrun) + cl.Slack
	return max(1, int(min(rate, grantedFraction*bound)))
}

// coldState is what is believed of an endpoint's time after a start.
type coldState struct {
	// since is when it may have become cold without having said so: contact was lost and is
	// back, or the evacuation of its zone has ended.
	since time.Time
	// unreachable is set while it cannot be reached.
	unreachable bool
	// window holds this router's own requests, and deniedUntil is until when no more are
	// granted to it.
	window      quota.Window
	deniedUntil time.Time
}

// isCold tells whether the endpoint is cold, of a pool whose endpoints are so for that long.
func (st *state) isCold(now time.Time, lasts time.Duration) bool {
	return now.Before(st.ColdUntil) || now.Before(st.cold.since.Add(lasts))
}

// withinColdLimit tells whether this router may ask to send a cold endpoint one more request now.
func (pl *Placer) withinColdLimit(now time.Time, st *state, rate float64) bool {
	if rate <= 0 {
		return true
	}
	return !now.Before(st.cold.deniedUntil) && st.cold.window.HasCapacity(now, pl.ColdLimits.grantRate(rate))
}

// GrantLimit is how many requests a second all routers together may send to the ticket's
// endpoint, as it is cold; 0 if nothing limits them. Before the request is sent it has to be
// granted as one of these.
func (tk *Ticket) GrantLimit() int {
	tk.pl.mu.Lock()
	defer tk.pl.mu.Unlock()
	if !tk.reserved {
		return 0
	}
	return tk.pl.ColdLimits.grantRate(tk.request.ColdRate)
}

// Deny gives the ticket back, as its endpoint gets no more requests for that time.
func (tk *Ticket) Deny(now time.Time, after time.Duration) {
	tk.pl.mu.Lock()
	tk.st.cold.deniedUntil = now.Add(after)
	tk.pl.mu.Unlock()
	tk.Done(now, Neutral)
}
