package place_test

import (
	"fmt"
	"testing"

	"almondrill/core/gauge"
)

// callerShares holds the fractions of callers by outcome.
type callerShares struct{ inTime, late, lost float64 }

// playLoad simulates a load, as a multiple of what 60 engines with 16 slots can run, for 5 s after
// a calm start, with the given number of routers that each receive each other's reports at the
// given interval in steps.
func playLoad(routers, reportSteps int, load float64) callerShares {
	const (
		engines, slots, callSteps = 60, 16, 130
		capacity                  = engines * slots / float64(callSteps) // calls per step
		seeds                     = 2
	)
	var all, inTime, late, lost float64
	for seed := range uint64(seeds) {
		su := newSurge(routers, engines, slots, callSteps)
		su.seed, su.reportSteps, su.counts = 20+seed, reportSteps, &gauge.Table{}
		su.play(capacity/4, 300)
		su.all, su.inTime, su.late, su.lost = 0, 0, 0, 0
		su.play(load*capacity, 500)
		all += float64(su.all)
		inTime += float64(su.inTime)
		late += float64(su.late)
		lost += float64(su.lost)
	}
	return callerShares{inTime / all, late / all, lost / all}
}

// Load pattern: the load of a pool is 0.7 to 0.9 times its capacity, through many routers. Each
// router has few calls at each engine, from which it learns how long calls wait there. If it
// assumes short waits until it knows better, calls queue at full engines while others have free
// slots: at a load of 0.7, 0.08 of the callers are late with 25 routers, and 0.01 with 4.
func TestManyRoutersLearnQueueTimes(t *testing.T) {
	t.Parallel()
	for _, ca := range []struct {
		routers, reportSteps int
		load                 float64
		inTime               float64
	}{
		{25, 80, 0.7, 0.97},
		{25, 80, 0.9, 0.7},
		{100, 900, 0.9, 0.7},
	} {
		t.Run(fmt.Sprintf("%d routers, load %.1f", ca.routers, ca.load), func(t *testing.T) {
			t.Parallel()
			got := playLoad(ca.routers, ca.reportSteps, ca.load)
			t.Logf("in time %.3f, late %.3f, lost %.3f", got.inTime, got.late, got.lost)
			if got.inTime < ca.inTime {
				t.Errorf("%.3f of the callers were served in time, want at least %.2f", got.inTime, ca.inTime)
			}
		})
	}
}
