package demand_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"almondrill/core/demand"
)

var begin = time.Unix(1_700_000_000, 0)

// pool is what the routers of a fleet report of a pool, all the same.
type pool struct {
	routers, slots        int
	running, offered      float64 // of the whole pool; offered and ended per second
	ended                 float64
	call, goal, roundTrip time.Duration
	customers             map[demand.Customer]float64
}

// levelAfter reports for a number of intervals and returns the level at the end.
func (po *pool) levelAfter(intervals, reporters int) (demand.Level, bool) {
	ow := &demand.Owner{RoundTrip: po.roundTrip}
	interval := demand.Interval(po.routers)
	var le demand.Level
	ok := false
	for count := range intervals + 1 {
		now := begin.Add(time.Duration(count) * interval)
		for ro := range reporters {
			po.report(ow, now, ro)
		}
		le, ok = ow.Level(now, 1, po.routers)
	}
	return le, ok
}

func (po *pool) report(ow *demand.Owner, now time.Time, router int) {
	part := 1 / float64(po.routers)
	running := math.Floor(po.running*part*float64(router+1)) - math.Floor(po.running*part*float64(router))
	re := demand.Report{
		Pool: 1, Running: uint16(running), Slots: uint16(po.slots),
		OfferedPer10s: uint32(10 * po.offered * part), EndedPer10s: uint32(10 * po.ended * part),
		CallMs: uint16(po.call.Milliseconds()), GoalMs: uint16(po.goal.Milliseconds()),
	}
	for cu, offered := range po.customers {
		cu.OfferedPer10s = uint32(math.Ceil(10 * offered * part))
		re.Customers = append(re.Customers, cu)
	}
	ow.Apply(now, fmt.Sprint(router), re)
}

// busy returns a pool of that size at its capacity, with two and a half calls per slot.
func busy(routers, slots int, call, goal time.Duration) *pool {
	rate := float64(slots) / call.Seconds()
	return &pool{
		routers: routers, slots: slots, running: 2.5 * float64(slots), offered: rate, ended: rate, call: call, goal: goal,
		roundTrip: 2 * time.Millisecond,
	}
}

// With too few places slots stay free, because routers choose endpoints independently; with too many,
// calls are late in the endpoints' queues. Two calls per slot and some are right for pools of a few
// dozens of slots, and a short goal or a large fleet must not lead beyond what the goal allows.
func TestPlaces(t *testing.T) {
	for _, ca := range []struct {
		po          *pool
		least, most uint16
	}{
		{busy(12, 24, 30*time.Millisecond, 150*time.Millisecond), 48, 64},
		{busy(25, 24, 15*time.Millisecond, 120*time.Millisecond), 54, 96},
		{busy(12, 24, 30*time.Millisecond, 60*time.Millisecond), 30, 40}, // less time for queues
		{busy(12, 24, 30*time.Millisecond, 20*time.Millisecond), 24, 24}, // none
		{busy(420, 24, 30*time.Millisecond, 150*time.Millisecond), 48, 85},
		{busy(420, 840, 30*time.Millisecond, 150*time.Millisecond), 1400, 2000},
		{busy(1, 6, 30*time.Millisecond, time.Minute), 7, 24},
	} {
		le, ok := ca.po.levelAfter(10, ca.po.routers)
		if !ok || le.Places < ca.least || le.Places > ca.most {
			t.Errorf("%d routers, %d slots, goal %s: %d places (%t), want %d to %d", ca.po.routers, ca.po.slots, ca.po.goal, le.Places, ok, ca.least, ca.most)
		}
	}
}

// An owner that has just taken over, and one of a calm pool, must not limit it. A reporter that is
// lost must not count for longer than three intervals, nor one that reports to another owner: two
// owners together would allocate the pool twice.
func TestWhenLevelsArePublished(t *testing.T) {
	po := busy(12, 24, 30*time.Millisecond, 150*time.Millisecond)
	if _, ok := po.levelAfter(1, 11); ok {
		t.Error("a level after reports of one interval of some of the routers")
	}
	whole, ok := po.levelAfter(2, 12)
	if !ok {
		t.Error("no level after two intervals")
	}
	half, ok := po.levelAfter(3, 6)
	if !ok || half.Places > whole.Places/2+1 || half.OfferedPer10s > whole.OfferedPer10s/2+10 {
		t.Errorf("level with half of the reporters: %+v, with all: %+v", half, whole)
	}
	calm := busy(12, 24, 30*time.Millisecond, 150*time.Millisecond)
	calm.running, calm.offered, calm.ended = 0, 150, 150
	if le, ok := calm.levelAfter(10, 12); ok {
		t.Errorf("level of a calm pool: %+v", le)
	}
	ow := &demand.Owner{}
	for ro := range 12 {
		for count := range 5 {
			po.report(ow, begin.Add(time.Duration(count)*demand.Interval(12)), ro)
		}
	}
	if _, ok := ow.Level(begin.Add(8*demand.Interval(12)), 1, 12); ok {
		t.Error("a level from reports that are older than three intervals")
	}
}

// For any demand: customers within their fair share must not be cut, all that are over it must be
// listed as far as there is room, the rest must fit into the capacity, and lower ranks keep a tenth.
func TestShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		po := busy(4, 24, 30*time.Millisecond, 150*time.Millisecond)
		po.customers, po.offered = map[demand.Customer]float64{}, 0
		perRank := [3]float64{}
		for id := range rapid.IntRange(1, 12).Draw(rt, "customers") {
			cu := demand.Customer{ID: demand.CustomerHash(id), Rank: uint8(rapid.IntRange(0, 2).Draw(rt, "rank"))}
			po.customers[cu] = float64(rapid.IntRange(10, 1500).Draw(rt, "offered"))
			po.offered += po.customers[cu]
			perRank[cu.Rank] += po.customers[cu]
		}
		const capacity = 800.0
		le, ok := po.levelAfter(30, 4)
		if !ok {
			rt.Fatal("no level")
		}
		admit := map[demand.CustomerHash]float64{}
		for _, sh := range le.Over {
			admit[sh.ID] = float64(sh.Admit) / 255
		}
		var admitted [3]float64
		for cu, offered := range po.customers {
			fraction, listed := admit[cu.ID]
			if !listed {
				fraction = 1
			}
			admitted[cu.Rank] += fraction * offered
			if equal := 0.5 * capacity / float64(len(po.customers)); listed && cu.Rank == 0 && perRank[1]+perRank[2] < 0.1*capacity && offered < equal {
				rt.Fatalf("customer %d offers %g, less than an equal part, and is over its share", cu.ID, offered)
			}
		}
		if total := admitted[0] + admitted[1] + admitted[2]; po.offered > 2*capacity && (total > 1.6*capacity || total < 0.9*capacity) {
			rt.Fatalf("%g admitted of %g, with a capacity of %g", total, po.offered, capacity)
		}
		if lower := perRank[1] + perRank[2]; admitted[1]+admitted[2] < min(0.98*lower, 0.08*capacity) {
			rt.Fatalf("%g of the lower ranks' %g admitted", admitted[1]+admitted[2], lower)
		}
	})
}

// Weights must count, and a customer without a declared one has weight 1.
func TestWeights(t *testing.T) {
	po := busy(1, 24, 30*time.Millisecond, 150*time.Millisecond)
	po.customers = map[demand.Customer]float64{{ID: 1}: 2000, {ID: 2}: 2000}
	po.offered = 4000
	ow := &demand.Owner{Weight: func(id demand.CustomerHash) float64 { return map[demand.CustomerHash]float64{1: 3}[id] }}
	var le demand.Level
	for count := range 20 {
		now := begin.Add(time.Duration(count) * demand.Interval(1))
		po.report(ow, now, 0)
		le, _ = ow.Level(now, 1, 1)
	}
	admit := map[demand.CustomerHash]float64{}
	for _, sh := range le.Over {
		admit[sh.ID] = float64(sh.Admit)
	}
	if ratio := admit[1] / admit[2]; ratio < 2.8 || ratio > 3.2 {
		t.Errorf("fractions %v, want those of weights 3 and 1", admit)
	}
}

// Routers report only while a pool is busy. Reports from before a calm time must not be averaged with
// those of the next busy one, nor be the reason to publish at once.
func TestReportsBeforeAPauseAreForgotten(t *testing.T) {
	po := busy(12, 24, 30*time.Millisecond, 150*time.Millisecond)
	ow := &demand.Owner{}
	interval := demand.Interval(po.routers)
	for count := range 5 {
		for ro := range 12 {
			po.report(ow, begin.Add(time.Duration(count)*interval), ro)
		}
	}
	later := begin.Add(time.Minute)
	po.offered /= 2
	for ro := range 6 {
		po.report(ow, later, ro)
	}
	if le, ok := ow.Level(later, 1, 12); ok {
		t.Errorf("level at the first reports after a minute: %+v", le)
	}
	for count := range 2 {
		for ro := range 12 {
			po.report(ow, later.Add(time.Duration(count+1)*interval), ro)
		}
	}
	le, ok := ow.Level(later.Add(2*interval), 1, 12)
	if !ok || math.Abs(float64(le.OfferedPer10s)/10-po.offered) > 30 {
		t.Errorf("level %+v (%t), want an offered rate of %g", le, ok, po.offered)
	}
}

// Guards against parts of the places that add up to more than all while demand grows: routers' own
// rates have grown since their reports, which average over a second.
func TestGrowingDemandCountsAsOffered(t *testing.T) {
	po := busy(12, 24, 30*time.Millisecond, 150*time.Millisecond)
	listed := 2 * po.offered
	po.customers = map[demand.Customer]float64{{ID: 1}: listed}
	le, ok := po.levelAfter(5, 12)
	if !ok || len(le.Over) != 1 {
		t.Fatalf("level %+v", le)
	}
	want := 10 * listed * float64(le.Over[0].Admit) / 255
	if got := float64(le.OfferedPer10s); math.Abs(got-want) > 0.02*want {
		t.Errorf("%.0f offered per 10 s after cutting, want %.0f", got, want)
	}
}
