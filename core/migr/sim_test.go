package migr_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/migr"
)

const (
	stepMs   = 10
	simSteps = 1400
	slowness = 4
	// The factor of an engine lasts after knownAfter, copyMs is the time of a copy, stoppedMs that
	// from the stop until the target continues.
	knownAfter, copyMs, stoppedMs = 1300, 50, 80
)

// simRun is a stream of the simulation. Times are in ms, work is in ms at the usual speed.
type simRun struct {
	id             uint64
	work, estimate float64
	deadline       int
	moved          bool
	// resumesAt is when the stream continues after it was moved, 0 if it is not being moved.
	copiedAt, resumesAt, endedAt int
}

// left is what the router expects of the remaining work.
func (sr *simRun) left() time.Duration {
	return time.Duration(max(100, sr.estimate*sr.work) * float64(time.Millisecond))
}

func newSimRuns(ra *rand.Rand) []*simRun {
	var list []*simRun
	for id := range 30 {
		sr := &simRun{id: uint64(id), work: 500 + 3500*ra.Float64(), deadline: 5000 + ra.IntN(4000)}
		sr.estimate = math.Exp(0.3 * ra.NormFloat64())
		list = append(list, sr)
	}
	return list
}

// simulate lets an engine become four times slower while thirty streams run there, which belong to
// that many routers, and returns how many miss their deadlines.
func simulate(t *testing.T, routers int, moves bool, seed uint64) (missed, moved int) {
	runs, now := newSimRuns(rand.New(rand.NewPCG(seed, 1))), 0
	var planners []*migr.Planner
	for range routers {
		pl := newPlanner(nil)
		pl.Source = func(time.Time, core.EndpointID) migr.Source {
			return migr.Source{Slowness: 1 + (slowness-1)*float64(min(1, now/knownAfter))}
		}
		planners = append(planners, pl)
	}
	for _, sr := range runs {
		planners[sr.id%uint64(routers)].Add(at(0), sr.run())
	}
	for ; now < simSteps*stepMs; now += stepMs {
		for _, sr := range runs {
			sr.advance(planners[sr.id%uint64(routers)], now)
		}
		if !moves || now%100 != 0 {
			continue
		}
		for _, pl := range planners {
			for _, plan := range checkOrder(t, now, pl.Due(at(now))) {
				sr := runs[plan.Run.ID]
				target := core.EndpointID(fmt.Sprint("target", sr.id))
				if !pl.Reserve(at(now), sr.id, target) {
					t.Fatalf("%s cannot be reserved", target)
				}
				sr.copiedAt, sr.resumesAt = now+copyMs, now+copyMs+stoppedMs
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

func (sr *simRun) run() migr.Run {
	return migr.Run{ID: sr.id, Endpoint: "source", Left: sr.left(), Memory: 12_000, Deadline: at(sr.deadline)}
}

// advance continues the stream by one step, at the speed of its engine unless it is stopped.
func (sr *simRun) advance(pl *migr.Planner, now int) {
	if sr.endedAt > 0 {
		return
	}
	if sr.resumesAt > 0 && now >= sr.resumesAt {
		pl.Done(at(now), sr.id, core.EndpointID(fmt.Sprint("target", sr.id)), true)
		pl.Remove(at(now), sr.id)
		sr.moved, sr.resumesAt = true, 0
	}
	switch {
	case sr.resumesAt > 0 && now >= sr.copiedAt:
		return
	case sr.moved:
		sr.work -= stepMs
	default:
		sr.work -= float64(stepMs) / slowness
	}
	if sr.work <= 0 {
		sr.endedAt = now
		pl.Remove(at(now), sr.id)
	} else if !sr.moved {
		pl.Update(at(now), sr.run())
	}
}

// checkOrder checks that the streams are returned in the order of what they lose.
func checkOrder(t *testing.T, now int, plans []migr.Plan) []migr.Plan {
	t.Helper()
	loss := func(plan migr.Plan) time.Duration { return plan.Run.Left - plan.Run.Deadline.Sub(at(now))/slowness }
	if !slices.IsSortedFunc(plans, func(a, b migr.Plan) int { return cmp.Compare(loss(b), loss(a)) }) {
		t.Errorf("after %d ms the order is %v", now, plans)
	}
	return plans
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
