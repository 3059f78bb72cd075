package place

import (
	"math"
	"time"
	"unsafe"

	"almondrill/core"
)

// ChoiceStats holds the figures that a choice is based on, and the cost of the cheapest endpoint.
type ChoiceStats struct {
	Mean         float64
	Usable, Full int
	Calls, Slots int
	FailureRate  float64
	CostMs       float64
}

// WeighAll checks all endpoints in full, whatever earlier choices found, and weighs each one that
// is usable.
func (pl *Placer) WeighAll(now time.Time, rq *Request) ChoiceStats {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, st := range pl.byID {
		st.fastPath = false
	}
	ch := pl.newChoice(now, rq, max(1, pl.RouterCount()))
	cs := ChoiceStats{
		Mean: ch.meanCalls, Usable: ch.usableCount, Full: ch.fullCount, Calls: ch.poolCalls, Slots: ch.poolSlots, FailureRate: ch.meanFailureRate,
		CostMs: math.Inf(1),
	}
	for _, st := range ch.members {
		if ch.usableCount > 0 && st.scratch.usable {
			cs.CostMs = min(cs.CostMs, pl.costMs(st, ch))
		}
	}
	return cs
}

// InspectChoice returns the figures of a choice without placing a call.
func (pl *Placer) InspectChoice(now time.Time, rq *Request) ChoiceStats {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	ch := pl.newChoice(now, rq, max(1, pl.RouterCount()))
	cs := ChoiceStats{Mean: ch.meanCalls, Usable: ch.usableCount, Full: ch.fullCount, Calls: ch.poolCalls, Slots: ch.poolSlots, FailureRate: ch.meanFailureRate}
	if ch.usableCount > 0 {
		_, cs.CostMs = pl.cheapest(ch)
	} else {
		cs.CostMs = math.Inf(1)
	}
	return cs
}

// ChoiceWithoutSpeeds returns the endpoint that Pick would choose if all were at their usual speed.
func (pl *Placer) ChoiceWithoutSpeeds(now time.Time, rq *Request) core.EndpointID {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	speeds := map[*state]speed{}
	for _, st := range pl.byID {
		speeds[st], st.speed = st.speed, speed{}
		st.markChanged()
	}
	defer func() {
		for st, known := range speeds {
			st.speed = known
			st.markChanged()
		}
	}()
	ch := pl.newChoice(now, rq, max(1, pl.RouterCount()))
	if ch.usableCount == 0 {
		return ""
	}
	st, _ := pl.cheapest(ch)
	return st.ID
}

// PeerCalls returns how many calls of other routers at an endpoint were reported, and false if the
// endpoint is unknown.
func (pl *Placer) PeerCalls(now time.Time, id core.EndpointID) (int, bool) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.initMaps()
	pl.reports.expire(now)
	st := pl.byID[id]
	if st == nil {
		return 0, false
	}
	return st.peerCalls, true
}

// IndexEntries returns how many parts the cache models of all endpoints contain.
func (pl *Placer) IndexEntries() int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	count := 0
	for _, st := range pl.byID {
		count += st.cache.count()
	}
	return count
}

// What is observed of an endpoint's pauses takes at most 100 bytes.
var _ [100 - unsafe.Sizeof(pauses{})]byte
