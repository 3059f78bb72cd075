package place

import (
	"time"

	"almondrill/core/quota"
)

// Load pattern: engines return cold, a third of a pool at once, while the load exceeds what the
// warm ones can run. A cold engine tolerates few requests per second and crashes well above that,
// so that engines that get their share of the load crash and overload the others. Therefore all
// routers together send a cold endpoint no more than its limit. The router that owns the endpoint's
// count grants each request; requests without a grant go elsewhere.

// ColdLimits bounds the requests to cold endpoints, relative to the rate that a pool declares.
type ColdLimits struct {
	// Overrun and Slack bound the requests that reach an endpoint within any second: the declared
	// rate times Overrun, plus Slack.
	Overrun, Slack float64
}

// grantedFraction is the fraction of the bound that is granted, so that two owners stay within the
// whole bound together, as in a network partition or when the owner changes.
const grantedFraction = 0.5

// grantRate returns how many requests per second all routers together may send to a cold endpoint
// whose pool declares the rate: no more than the rate, which the endpoint tolerates, nor than a
// safe fraction of the bound, and at least one.
func (cl ColdLimits) grantRate(rate float64) int {
	bound := rate*max(1, cl.Overrun) + cl.Slack
	return max(1, int(min(rate, grantedFraction*bound)))
}

// coldState is what is known of the time since an endpoint's start.
type coldState struct {
	// since is when the endpoint may have become cold without announcing it: contact was lost and
	// restored, or the evacuation of its zone ended.
	since time.Time
	// unreachable is set while the endpoint cannot be reached.
	unreachable bool
	// window counts this router's own requests. The router gets no grants until deniedUntil.
	window      quota.Window
	deniedUntil time.Time
}

// isCold reports whether the endpoint is cold, where lasts is how long endpoints of its pool are.
func (st *state) isCold(now time.Time, lasts time.Duration) bool {
	return now.Before(st.ColdUntil) || now.Before(st.cold.since.Add(lasts))
}

// withinColdLimit reports whether this router may ask for a grant for one more request now.
func (pl *Placer) withinColdLimit(now time.Time, st *state, rate float64) bool {
	if rate <= 0 {
		return true
	}
	return !now.Before(st.cold.deniedUntil) && st.cold.window.HasCapacity(now, pl.ColdLimits.grantRate(rate))
}

// GrantLimit returns how many requests per second all routers together may send to the ticket's
// endpoint because it is cold, or 0 if there is no limit. If there is one, the request needs a
// grant within it before it is sent.
func (tk *Ticket) GrantLimit() int {
	tk.pl.mu.Lock()
	defer tk.pl.mu.Unlock()
	if !tk.reserved {
		return 0
	}
	return tk.pl.ColdLimits.grantRate(tk.request.ColdRate)
}

// Deny gives the ticket back, because its endpoint gets no more requests for the duration.
func (tk *Ticket) Deny(now time.Time, lasts time.Duration) {
	tk.pl.mu.Lock()
	tk.st.cold.deniedUntil = now.Add(lasts)
	tk.pl.mu.Unlock()
	tk.Done(now, Neutral)
}
