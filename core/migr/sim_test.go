package migr_test

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/migr"
)

// Times are in ms. The factor of an engine lasts after knownAfter. A stream is copied for copyMs, and
// continues at the target stoppedMs later.
const stepMs, slowness, knownAfter, copyMs, stoppedMs = 10, 4, 1300, 50, 80

// simRun is a stream of the simulation, with its work left at the usual speed.
type simRun struct {
	migr.Run
	work, estimate             float64
	deadline, movesAt, endedAt int
}

// advance continues the stream by one step, and updates what its router expects.
func (sr *simRun) advance(pl *migr.Planner, now int) {
	switch {
	case sr.endedAt > 0 || sr.movesAt > 0 && now >= sr.movesAt+copyMs && now < sr.movesAt+copyMs+stoppedMs:
		return
	case sr.movesAt > 0 && now >= sr.movesAt+copyMs:
		pl.Done(at(now), sr.ID, "target", true)
		sr.Endpoint = "target"
		sr.work -= stepMs
	default:
		sr.work -= float64(stepMs) / slowness
	}
	sr.Left = time.Duration(max(100, sr.estimate*sr.work) * float64(time.Millisecond))
	if pl.Update(at(now), sr.Run); sr.work <= 0 {
		sr.endedAt = now
		pl.Remove(at(now), sr.ID)
	}
}

// simulate lets an engine become four times slower while thirty streams run there, which belong to
// that many routers, and returns how many miss their deadlines.
func simulate(t *testing.T, routers int, moves bool, seed uint64) (missed, moved int) {
	ra, now := rand.New(rand.NewPCG(seed, 1)), 0
	planners, runs := make([]*migr.Planner, routers), make([]*simRun, 30)
	for ix := range planners {
		planners[ix] = newPlanner(nil)
		planners[ix].Source = func(_ time.Time, id core.EndpointID) migr.Source {
			if id == "target" {
				return migr.Source{Slowness: 1}
			}
			return migr.Source{Slowness: 1 + (slowness-1)*float64(min(1, now/knownAfter))}
		}
	}
	for id := range runs {
		sr := &simRun{work: 500 + 3500*ra.Float64(), deadline: 5000 + ra.IntN(4000), estimate: math.Exp(0.3 * ra.NormFloat64())}
		sr.Run = migr.Run{ID: uint64(id), Endpoint: "source", Memory: 12_000, Deadline: at(sr.deadline)}
		planners[id%routers].Add(at(0), sr.Run)
		runs[id] = sr
	}
	for ; now < 14_000; now += stepMs {
		for id, sr := range runs {
			sr.advance(planners[id%routers], now)
		}
		for ix := 0; moves && now%100 == 0 && ix < routers; ix++ {
			plans := planners[ix].Due(at(now))
			loss := func(plan migr.Plan) time.Duration { return plan.Run.Left - plan.Run.Deadline.Sub(at(now))/slowness }
			if !slices.IsSortedFunc(plans, func(a, b migr.Plan) int { return cmp.Compare(loss(b), loss(a)) }) {
				t.Errorf("after %d ms the order is not that of loss: %v", now, plans)
			}
			for _, plan := range plans {
				runs[plan.Run.ID].movesAt = now
				moved++
			}
		}
	}
	for _, sr := range runs {
		if sr.endedAt == 0 || sr.endedAt > sr.deadline {
			missed++
		}
	}
	return missed, moved
}

// Guards against streams that run on a slow engine until their deadlines, although the others have
// free slots: their callers get nothing.
func TestStreamsLeaveAnEngineThatBecomesSlow(t *testing.T) {
	for _, routers := range []int{1, 12, 30} {
		var without, with, moves int
		for seed := range uint64(20) {
			missed, _ := simulate(t, routers, false, seed)
			without += missed
			missed, moved := simulate(t, routers, true, seed)
			with, moves = with+missed, moves+moved
		}
		t.Logf("%d routers: %d of 600 streams miss their deadlines without migration, %d with it, %d are moved", routers, without, with, moves)
		if 3*with > without {
			t.Errorf("%d routers: %d streams miss their deadlines, want at most a third of %d", routers, with, without)
		}
		if moves > without*5/4 {
			t.Errorf("%d routers: %d streams are moved, of which %d would miss their deadlines", routers, moves, without)
		}
	}
}
