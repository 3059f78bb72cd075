package retry

import (
	"sync"
	"time"

	"almondrill/core"
)

// Window bounds the attempts that a fleet of routers makes beyond the first one of each request, per
// pool and over any span of time. Each router applies its part of the bound without coordination:
// Ratio of its own requests plus an equal part of Slack. Set the exported fields before use.
type Window struct {
	// Ratio and Slack are the fleet's bound: Ratio x requests + Slack within any Span.
	Ratio float64
	Slack float64
	Span  time.Duration
	// Routers returns the number of routers that share Slack.
	Routers func() int

	mu    sync.Mutex // guards all below
	pools map[core.PoolID]*counts
}

const (
	// stepsPerSpan is the number of counters into which a span is divided.
	stepsPerSpan = 20
	// usableRatio and usableSlack are the fractions of the bound that are used. The rest covers
	// routers that lost their counts in a restart, and requests in transit, which endpoints count
	// later than routers.
	usableRatio = 0.8
	usableSlack = 0.5
)

// counts is a ring of stepsPerSpan+1 counters: the oldest one is still partly within the span.
type counts struct {
	first, extra [stepsPerSpan + 1]int
	step         int64 // number of the newest step
}

// RecordFirst counts the first attempt of a request.
func (wi *Window) RecordFirst(now time.Time, po core.PoolID) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	co := wi.countsAt(now, po)
	co.first[co.step%(stepsPerSpan+1)]++
}

// TryExtra takes one further attempt from the bound and reports whether there was one left.
func (wi *Window) TryExtra(now time.Time, po core.PoolID) bool {
	routers := max(1, wi.Routers()) // called before locking, so that mu is not held meanwhile
	wi.mu.Lock()
	defer wi.mu.Unlock()
	co := wi.countsAt(now, po)
	var first, extra int
	for ix := range co.first {
		first += co.first[ix]
		extra += co.extra[ix]
	}
	bound := usableRatio*wi.Ratio*float64(first) + usableSlack*wi.Slack/float64(routers)
	if float64(extra+1) > bound {
		return false
	}
	co.extra[co.step%(stepsPerSpan+1)]++
	return true
}

// RecordExtra counts a further attempt that is made whether or not the bound allows it.
func (wi *Window) RecordExtra(now time.Time, po core.PoolID) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	co := wi.countsAt(now, po)
	co.extra[co.step%(stepsPerSpan+1)]++
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

// SetBound changes the fleet's bound. It may be called while the Window is in use.
func (wi *Window) SetBound(ratio, slack float64) {
	wi.mu.Lock()
	defer wi.mu.Unlock()
	wi.Ratio, wi.Slack = ratio, slack
}
