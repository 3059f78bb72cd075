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
	// stepsPerSpan is how many counters a span is divided into.
	stepsPerSpan = 20
	// ratioMargin and usedSlack are the parts of the bound that are used. A router
	// that was restarted has forgotten what it spent, and requests on their way
	// are counted later at the endpoint than here.
	ratioMargin = 0.8
	slackMargin = 0.5
)

// counts holds a ring of steps+1 counters: the oldest is still partly in the span.
type counts struct {
	first, extra [stepsPerSpan + 1]int
	step         int64 // number of the newest step
}

// RecordFirst counts a request's first attempt.
func (wi *Window) RecordFirst(now time.Time, po core.PoolID) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	co := wi.countsAt(now, po)
	co.first[co.step%(stepsPerSpan+1)]++
}

// TryExtra takes one further attempt from the bound, if there is one.
func (wi *Window) TryExtra(now time.Time, po core.PoolID) bool {
	routers := max(1, wi.Routers()) // before the lock, which is held for no one else's
	wi.mu.Lock()
	defer wi.mu.Unlock()
	co := wi.countsAt(now, po)
	var first, extra int
	for ix := range co.first {
		first += co.first[ix]
		extra += co.extra[ix]
	}
	bound := ratioMargin*wi.Ratio*float64(first) + slackMargin*wi.Slack/float64(routers)
	if float64(extra+1) > bound {
		return false
	}
	co.extra[co.step%(stepsPerSpan+1)]++
	return true
}

func (wi *Window) countsAt(now time.Time, po core.PoolID) *counts {
	if wi.pools == nil {
		wi.pools = map[core.PoolID]*counts{}
	}
	step := now.UnixNano() / int64(wi.Span/stepsPerSpan)
	co := wi.pools[po]
	if co == nil {
		co = &counts{step: step}
		wi.pools[po] = co
	}
	if step-co.step > stepsPerSpan {
		*co = counts{step: step}
	}
	for co.step < step {
		co.step++
		co.first[co.step%(stepsPerSpan+1)] = 0
		co.extra[co.step%(stepsPerSpan+1)] = 0
	}
	return co
}

// SetBound changes the fleet's bound while in use.
func (wi *Window) SetBound(ratio, slack float64) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	wi.Ratio, wi.Slack = ratio, slack
}
