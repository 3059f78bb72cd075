package migr_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/migr"
)

var begin = time.Unix(1_700_000_000, 0)

func millis(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

func at(ms int) time.Time { return begin.Add(millis(ms)) }

// newPlanner returns a planner for engines of which the map says what is known.
func newPlanner(sources map[core.EndpointID]migr.Source) *migr.Planner {
	return &migr.Planner{
		Source: func(_ time.Time, id core.EndpointID) migr.Source {
			if src, found := sources[id]; found {
				return src
			}
			return migr.Source{Slowness: 1}
		},
		DrainTime: 3 * time.Second,
	}
}

// dueAfter calls Due for some time, and returns the plans of the last call.
func dueAfter(pl *migr.Planner, from, to int) []migr.Plan {
	for ms := from; ms < to; ms += 50 {
		if plans := pl.Due(at(ms)); len(plans) > 0 {
			return plans
		}
	}
	return pl.Due(at(to))
}

// Guards against streams that move without need, which pause and take bandwidth and memory, and
// against streams that stay although only a move saves them.
func TestWhichStreamsMove(t *testing.T) {
	for _, tc := range []struct {
		name           string
		factor         float64
		drained        int // ms ago, 0: not
		left, deadline int
		gapGoal, gap   int
		want           migr.Reason
	}{
		{"usual speed", 1, 0, 9000, 9050, 0, 0, ""},
		{"nothing known", 0, 0, 9000, 9050, 0, 0, ""},
		{"slow, misses its deadline", 4, 0, 3000, 8000, 0, 0, migr.Slow},
		{"slow by little", 1.2, 0, 7400, 8000, 0, 0, ""},
		{"slow, still in time", 4, 0, 1900, 8000, 0, 0, ""},
		{"slow, without deadline", 4, 0, 9000, 0, 0, 0, ""},
		{"slow, too late at the target", 4, 0, 4000, 4050, 0, 0, ""},
		{"slow, too late by the copy", 4, 0, 4000, 4350, 0, 0, ""},
		{"slow, ends within a second", 4, 0, 249, 900, 0, 0, ""},
		{"slow, ends after a second", 4, 0, 251, 900, 0, 0, migr.Slow},
		{"slow, pauses", 4, 0, 1000, 0, 200, 150, migr.Slow},
		{"slow, pauses little", 4, 0, 1000, 0, 300, 150, ""},
		{"slow, pauses anywhere", 4, 0, 1000, 0, 100, 300, ""},
		{"slow, pauses less than a move", 4, 0, 1000, 0, 70, 60, ""},
		{"slow, pauses, too late anyway", 4, 0, 3000, 2000, 200, 150, ""},
		{"draining, ends in time", 1, 1, 4000, 0, 0, 0, ""},
		{"draining, lasts longer", 1, 1, 4600, 0, 0, 0, migr.Draining},
		{"draining, deadline before its end", 1, 1, 9000, 4400, 0, 0, ""},
		{"draining and slow", 4, 1, 2000, 0, 0, 0, migr.Draining},
		{"drained, ends within a second", 1, 9000, 990, 0, 0, 0, ""},
		{"drained, ends after a second", 1, 9000, 1010, 0, 0, 0, migr.Draining},
		{"drained, deadline near", 1, 9000, 2000, 490, 0, 0, ""},
		{"drained, deadline less near", 1, 9000, 2000, 510, 0, 0, migr.Draining},
		{"drained", 1, 9000, 2000, 2500, 0, 0, migr.Draining},
	} {
		t.Run(tc.name, func(t *testing.T) {
			src, run := migr.Source{Slowness: tc.factor}, migr.Run{Endpoint: "source", Memory: 50_000, Left: millis(tc.left), GapGoal: millis(tc.gapGoal), EventGap: millis(tc.gap)}
			if tc.drained > 0 {
				src.DrainingSince = at(-tc.drained)
			}
			if tc.deadline > 0 {
				run.Deadline = at(tc.deadline)
			}
			pl := newPlanner(map[core.EndpointID]migr.Source{"source": src})
			pl.Add(begin, run)
			var reason migr.Reason
			if plans := dueAfter(pl, 0, 200); len(plans) > 0 {
				reason = plans[0].Reason
			}
			if reason != tc.want {
				t.Errorf("reason is %q, want %q", reason, tc.want)
			}
		})
	}
}

// Guards against moves caused by one wrong figure: a factor that holds for a moment, or an expected
// end that jumps.
func TestOneWrongFigureMovesNothing(t *testing.T) {
	sources := map[core.EndpointID]migr.Source{}
	pl := newPlanner(sources)
	run := migr.Run{ID: 1, Endpoint: "source", Left: 3 * time.Second, Deadline: at(8000)}
	pl.Add(begin, run)
	for ms := 0; ms < 2000; ms += 100 {
		sources["source"] = migr.Source{Slowness: 1 + 3*float64(ms/100%2)}
		if plans := pl.Due(at(ms)); len(plans) > 0 {
			t.Fatalf("moved after %d ms: %s", ms, plans[0].Basis)
		}
	}
}

// Guards against streams that move back and forth, and attempts that repeat a failure or go to the
// stream's own engine.
func TestRepeatedMoves(t *testing.T) {
	slow, from := migr.Source{Slowness: 4}, 0
	pl := newPlanner(map[core.EndpointID]migr.Source{"a": slow, "b": slow, "c": slow})
	pl.Add(begin, migr.Run{ID: 1, Endpoint: "a", Left: 10 * time.Second, Deadline: at(30_000)})
	for _, tc := range []struct {
		ms       int
		excluded []core.EndpointID
		target   core.EndpointID
		ok       bool
	}{
		{150, []core.EndpointID{"a"}, "", false},
		{650, []core.EndpointID{"a"}, "x", false},
		{2650, []core.EndpointID{"a", "x"}, "b", true},
		{2800, []core.EndpointID{"b", "x"}, "c", true},
	} {
		early := dueAfter(pl, from, tc.ms-50)
		plans := pl.Due(at(tc.ms))
		if len(early) > 0 || len(plans) != 1 || plans[0].Run.Endpoint != tc.excluded[0] {
			t.Fatalf("plans before %d ms are %v, then %v", tc.ms, early, plans)
		}
		if list := pl.Excluded(at(tc.ms), 1); !slices.Equal(list, tc.excluded) || pl.Reserve(at(tc.ms), 1, list[len(list)-1]) {
			t.Errorf("after %d ms %v are excluded, want %v", tc.ms, list, tc.excluded)
		}
		pl.Done(at(tc.ms), 1, tc.target, tc.ok)
		from = tc.ms
	}
	if plans := dueAfter(pl, from, 9000); len(plans) > 0 {
		t.Errorf("moved for the third time: %v", plans)
	}
	if got, want := pl.Snapshot(at(9000)).ByReason[migr.Slow], (migr.Counts{Begun: 4, Done: 2, Failed: 1, NoTarget: 1}); got != want {
		t.Errorf("counts are %+v, want %+v", got, want)
	}
}

// Guards against a stream that is stopped and restarted every two seconds because no target takes it.
func TestStreamStaysAfterFailures(t *testing.T) {
	pl := newPlanner(map[core.EndpointID]migr.Source{"a": {Slowness: 4}})
	pl.Add(begin, migr.Run{ID: 1, Endpoint: "a", Left: 50 * time.Second, Deadline: at(90_000)})
	attempts := 0
	for ms := 0; ms < 20_000; ms += 50 {
		for range pl.Due(at(ms)) {
			attempts++
			pl.Done(at(ms), 1, core.EndpointID(rune('b'+attempts)), false)
		}
	}
	if attempts != 3 {
		t.Errorf("%d failed attempts in 20 s, want 3", attempts)
	}
}

// Guards against an engine that receives the copies of many streams at once: its own streams would
// wait for them.
func TestCopiesToOneEngine(t *testing.T) {
	pl := newPlanner(map[core.EndpointID]migr.Source{"a": {Slowness: 4}, "b": {Slowness: 4}})
	for id := range uint64(4) {
		pl.Add(begin, migr.Run{ID: id, Endpoint: core.EndpointID("ab"[id/2 : id/2+1]), Left: 10 * time.Second, Deadline: at(30_000)})
	}
	if plans := dueAfter(pl, 0, 150); len(plans) != 4 {
		t.Fatalf("%d plans, want 4", len(plans))
	}
	for id := range uint64(4) {
		if ok, excluded := pl.Reserve(at(200), id, "c"), pl.Excluded(at(200), id); ok != (id < 2) || slices.Contains(excluded, "c") == ok {
			t.Errorf("stream %d: reserved %v, excluded are %v", id, ok, excluded)
		}
	}
	pl.Done(at(300), 0, "c", true)
	if !pl.Reserve(at(300), 3, "c") {
		t.Error("the engine is not available after a copy to it has ended")
	}
}

// Guards against streams that are saved last although they lose most, such as those that are cut after
// those with long pauses.
func TestOrderOfLoss(t *testing.T) {
	sources := map[core.EndpointID]migr.Source{"a": {Slowness: 4}}
	pl := newPlanner(sources)
	const s = time.Second
	for ix, run := range []migr.Run{
		{Endpoint: "a", Left: 9 * s, GapGoal: s, EventGap: s}, // pauses
		{Endpoint: "a", Left: 3 * s, Deadline: at(8000)},      // misses its deadline, loses 1 s
		{Endpoint: "b", Left: 9 * s, Deadline: at(5000)},      // is too late anyway
		{Endpoint: "b", Left: 4 * s},                          // is cut, loses 1.6 s
		{Endpoint: "a", Left: 5 * s, Deadline: at(8000)},      // misses its deadline, loses 3 s
	} {
		run.ID = uint64(ix)
		pl.Add(begin, run)
	}
	pl.Due(begin)
	sources["b"] = migr.Source{Slowness: 1, DrainingSince: at(-2000)}
	var order []uint64
	for _, ms := range []int{150, 160} {
		for _, plan := range pl.Due(at(ms)) {
			order = append(order, plan.Run.ID)
		}
		pl.Done(at(ms), 4, "c", true)
	}
	if !slices.Equal(order, []uint64{4, 3, 1, 2, 0}) {
		t.Errorf("due are %v, want 4, 3, 1, 2 and, after the first has moved, 0", order)
	}
}

// Guards against copies that take the bandwidth of engines from the streams there: the limits hold
// whatever the order of calls.
func TestLimitsHoldForAnyOrderOfCalls(t *testing.T) {
	again := 0 // streams that moved for the second time
	for seed := range uint64(200) {
		ra, sources, now := rand.New(rand.NewPCG(seed, 1)), map[core.EndpointID]migr.Source{}, begin
		pl := newPlanner(sources)
		listed, moved, failedAt, failedTo := map[uint64]bool{}, map[uint64]int{}, map[uint64]time.Time{}, map[uint64][]core.EndpointID{}
		for range 600 {
			now = now.Add(millis(ra.IntN(200)))
			id, engine := ra.Uint64()%12, core.EndpointID(fmt.Sprint("e", ra.IntN(6)))
			moves := pl.Snapshot(now).Moves
			at := slices.IndexFunc(moves, func(mo migr.Move) bool { return mo.ID == id })
			switch ra.IntN(8) {
			case 0:
				if at < 0 && ra.IntN(3) == 0 {
					pl.Add(now, migr.Run{ID: id, Endpoint: engine, Left: 8 * time.Second, Deadline: now.Add(20 * time.Second)})
					listed[id] = true
					delete(moved, id)
					delete(failedAt, id)
					delete(failedTo, id)
				}
			case 1:
				if ra.IntN(8) == 0 {
					pl.Remove(now, id)
					delete(listed, id)
				}
			case 2:
				sources[engine] = migr.Source{Slowness: 1 + 6*ra.Float64()}
			case 3:
				sources[engine] = migr.Source{Slowness: 1, DrainingSince: now.Add(-time.Hour)}
			case 4, 5:
				if pl.Reserve(now, id, engine) && listed[id] && slices.Contains(failedTo[id], engine) {
					t.Fatalf("seed %d: stream %d goes to %s again, where it failed", seed, id, engine)
				}
			case 6:
				if at < 0 {
					pl.Done(now, id, engine, true) // no migration of it has begun
					continue
				}
				target := moves[at].Target
				ok := target != "" && ra.IntN(2) == 0
				if pl.Done(now, id, target, ok); ok {
					moved[id]++
					again += moved[id] / 2
				} else if target != "" {
					failedAt[id], failedTo[id] = now, append(failedTo[id], target)
				}
			case 7:
				for _, plan := range pl.Due(now) {
					id := plan.Run.ID
					twice := slices.ContainsFunc(moves, func(mo migr.Move) bool { return mo.ID == id })
					if twice || moved[id] >= 2 || now.Sub(failedAt[id]) < 2*time.Second {
						t.Fatalf("seed %d: stream %d must not be moved now", seed, id)
					}
				}
			}
			count := map[string]int{}
			for _, mo := range pl.Snapshot(now).Moves {
				count["all"]++
				count["from "+string(mo.Source)]++
				count["to "+string(mo.Target)]++
				if count["all"] > 4 || count["from "+string(mo.Source)] > 2 || mo.Target != "" && count["to "+string(mo.Target)] > 2 || mo.Source == mo.Target {
					t.Fatalf("seed %d: too many copies: %v", seed, count)
				}
			}
		}
	}
	if again < 20 {
		t.Errorf("%d streams moved twice, too few to reach the limit", again)
	}
}
