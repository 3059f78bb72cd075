package retry

import (
	"sync"
	"time"

	"almondrill/core"
)

// Window bounds what a fleet of routers sends endpoints beyond the first attempt
// of each request, by pool and over any span of time. Each router keeps to its
// part without a word to the others: Ratio of its own requests, and an even part
// of Slack. Set the exported fields before use.
type Window struct {
	// Ratio and Slack are the fleet's bound: Ratio x requests + Slack in any Span.
	Ratio float64
	Slack float64
	Span  time.Duration
	// Routers tells how many routers share Slack.
	Routers func() int

	mu    sync.Mutex // guards all below
	pools map[core.PoolID]*counts
}

const (
	// steps is how many counters a span is divided into.
	steps = 20
	// usedRatio and usedSlack are the parts of the bound that are used. A router
	// that was restarted has forgotten what it spent, and requests on their way
	// are counted later at the endpoint than here.
	usedRatio = 0.8
	usedSlack = 0.5
)

// counts holds a ring of steps+1 counters: the oldest is still partly in the span.
type counts struct {
	first, extra [steps + 1]int
	at           int64 // number of the newest step
}

// First counts a request's first attempt.
func (wi *Window) First(now time.Time, po core.PoolID) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	co := wi.of(now, po)
	co.first[co.at%(steps+1)]++
}

// Take takes one further attempt from the bound, if there is one.
func (wi *Window) Take(now time.Time, po core.PoolID) bool {
	routers := max(1, wi.Routers()) // before the lock, which is held for no one else's
	wi.mu.Lock()
	defer wi.mu.Unlock()
	co := wi.of(now, po)
	var first, extra int
	for ix := range co.first {
		first += co.first[ix]
		extra += co.extra[ix]
	}
	bound := usedRatio*wi.Ratio*float64(first) + usedSlack*wi.Slack/float64(routers)
	if float64(extra+1) > bound {
		return false
	}
	co.extra[co.at%(steps+1)]++
	return true
}

func (wi *Window) of(now time.Time, po core.PoolID) *counts {
	if wi.pools == nil {
		wi.pools = map[core.PoolID]*counts{}
	}
	step := now.UnixNano() / int64(wi.Span/steps)
	co := wi.pools[po]
	if co == nil {
		co = &counts{at: step}
		wi.pools[po] = co
	}
	if step-co.at > steps {
		*co = counts{at: step}
	}
	for co.at < step {
		co.at++
		co.first[co.at%(steps+1)] = 0
		co.extra[co.at%(steps+1)] = 0
	}
	return co
}

// SetBound changes the fleet's bound while in use.
func (wi *Window) SetBound(ratio, slack float64) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	wi.Ratio, wi.Slack = ratio, slack
}
