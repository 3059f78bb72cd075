package migr_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"almondrill/core"
	"almondrill/core/migr"
)

var begin = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }

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
	slow, draining := migr.Source{Slowness: 4}, migr.Source{Slowness: 1, DrainingSince: begin}
	const s = time.Second
	for _, tc := range []struct {
		name   string
		run    migr.Run
		source migr.Source
		want   migr.Reason
	}{
		{"usual speed", migr.Run{Left: 9 * s, Deadline: at(5000)}, migr.Source{Slowness: 1}, ""},
		{"nothing known", migr.Run{Left: 9 * s, Deadline: at(5000)}, migr.Source{}, ""},
		{"slow, misses its deadline", migr.Run{Left: 3 * s, Deadline: at(8000)}, slow, migr.Slow},
		{"slow by little", migr.Run{Left: 7400 * time.Millisecond, Deadline: at(8000)}, migr.Source{Slowness: 1.2}, ""},
		{"slow, still in time", migr.Run{Left: 1900 * time.Millisecond, Deadline: at(8000)}, slow, ""},
		{"slow, without deadline", migr.Run{Left: 9 * s}, slow, ""},
		{"slow, too late at the target", migr.Run{Left: 4 * s, Deadline: at(4200)}, slow, ""},
		{"slow, too late at the target by the copy", migr.Run{Left: 3 * s, Memory: 100_000, Deadline: at(3500)}, slow, ""},
		{"slow, ends within a second", migr.Run{Left: 240 * time.Millisecond, Deadline: at(800)}, slow, ""},
		{"slow, pauses", migr.Run{Left: s, GapGoal: 200 * time.Millisecond, EventGap: 150 * time.Millisecond}, slow, migr.Slow},
		{"slow, pauses little", migr.Run{Left: s, GapGoal: 300 * time.Millisecond, EventGap: 150 * time.Millisecond}, slow, ""},
		{"slow, pauses anywhere", migr.Run{Left: s, GapGoal: 100 * time.Millisecond, EventGap: 300 * time.Millisecond}, slow, ""},
		{"slow, pauses, too late anyway", migr.Run{Left: 3 * s, Deadline: at(2000), GapGoal: 200 * time.Millisecond, EventGap: 150 * time.Millisecond}, slow, ""},
		{"draining, ends in time", migr.Run{Left: 4000 * time.Millisecond}, draining, ""},
		{"draining, lasts longer", migr.Run{Left: 4600 * time.Millisecond}, draining, migr.Draining},
		{"draining, deadline before its end", migr.Run{Left: 9 * s, Deadline: at(4400)}, draining, ""},
		{"draining and slow", migr.Run{Left: 2 * s}, migr.Source{Slowness: 4, DrainingSince: begin}, migr.Draining},
		{"drained for long, ends within a second", migr.Run{Left: 900 * time.Millisecond}, migr.Source{Slowness: 1, DrainingSince: at(-9000)}, ""},
		{"drained for long, deadline near", migr.Run{Left: 2 * s, Deadline: at(450)}, migr.Source{Slowness: 1, DrainingSince: at(-9000)}, ""},
		{"drained for long", migr.Run{Left: 2 * s, Deadline: at(2500)}, migr.Source{Slowness: 1, DrainingSince: at(-9000)}, migr.Draining},
	} {
		t.Run(tc.name, func(t *testing.T) {
			pl := newPlanner(map[core.EndpointID]migr.Source{"source": tc.source})
			tc.run.ID, tc.run.Endpoint = 7, "source"
			pl.Add(begin, tc.run)
			var reason migr.Reason
			if plans := dueAfter(pl, 0, 200); len(plans) > 0 {
				reason = plans[0].Reason
				t.Log(plans[0].Basis)
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

// Guards against streams that move back and forth, and against attempts that repeat a failure.
func TestRepeatedMoves(t *testing.T) {
	slow := migr.Source{Slowness: 4}
	pl := newPlanner(map[core.EndpointID]migr.Source{"a": slow, "b": slow, "c": slow})
	run := migr.Run{ID: 1, Endpoint: "a", Left: 10 * time.Second, Deadline: at(30_000)}
	pl.Add(begin, run)
	move := func(from, to int, target core.EndpointID, ok bool) {
		t.Helper()
		if plans := dueAfter(pl, from, to-50); len(plans) > 0 {
			t.Fatalf("due before %d ms: %s", to, plans[0].Basis)
		}
		if plans := pl.Due(at(to)); len(plans) != 1 {
			t.Fatalf("%d plans after %d ms, want 1", len(plans), to)
		}
		if target != "" && !pl.Reserve(at(to), 1, target) {
			t.Fatalf("%s is no target", target)
		}
		pl.Done(at(to), 1, target, ok)
	}
	move(0, 150, "", false)     // no target: again after 0.5 s
	move(150, 650, "x", false)  // failed: again after 2 s
	move(650, 2650, "b", true)  // listed at b
	move(2700, 2850, "c", true) // the second move
	if plans := dueAfter(pl, 2900, 9000); len(plans) > 0 {
		t.Errorf("moved for the third time: %v", plans)
	}
	if got, want := pl.Snapshot(at(9000)).ByReason[migr.Slow], (migr.Counts{Begun: 4, Done: 2, Failed: 1, NoTarget: 1}); got != want {
		t.Errorf("counts are %+v, want %+v", got, want)
	}
}

// Guards against a failed target that is tried again, and against copies to the stream's own engine.
func TestExcludedTargets(t *testing.T) {
	pl := newPlanner(map[core.EndpointID]migr.Source{"a": {Slowness: 4}})
	pl.Add(begin, migr.Run{ID: 1, Endpoint: "a", Left: 10 * time.Second, Deadline: at(30_000)})
	if pl.Reserve(begin, 1, "b") {
		t.Error("a target is reserved although no migration has begun")
	}
	dueAfter(pl, 0, 150)
	pl.Done(at(200), 1, "b", false)
	if plans := dueAfter(pl, 200, 2500); len(plans) != 1 {
		t.Fatalf("%d plans, want 1", len(plans))
	}
	excluded := pl.Excluded(at(2500), 1)
	slices.Sort(excluded)
	if !slices.Equal(excluded, []core.EndpointID{"a", "b"}) {
		t.Errorf("excluded are %v, want a and b", excluded)
	}
	for _, id := range excluded {
		if pl.Reserve(at(2500), 1, id) {
			t.Errorf("%s is reserved", id)
		}
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
		{Endpoint: "b", Left: 9 * s},                          // is cut, loses 6.5 s
		{Endpoint: "a", Left: 5 * s, Deadline: at(8000)},      // misses its deadline, loses 3 s
	} {
		run.ID = uint64(ix)
		pl.Add(begin, run)
	}
	pl.Due(begin)
	sources["b"] = migr.Source{Slowness: 1, DrainingSince: at(-2000)}
	due := func(ms int) (ids []uint64) {
		for _, plan := range pl.Due(at(ms)) {
			ids = append(ids, plan.Run.ID)
		}
		return ids
	}
	if order := due(150); !slices.Equal(order, []uint64{3, 4, 1, 2}) {
		t.Errorf("due are %v, want 3, 4, 1, 2", order)
	}
	pl.Done(at(160), 4, "c", true)
	if order := due(160); !slices.Equal(order, []uint64{0}) {
		t.Errorf("due are %v, want 0", order)
	}
}

// Guards against copies that take the bandwidth of engines from the streams there: the limits hold
// whatever the order of calls.
func TestLimitsHoldForAnyOrderOfCalls(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sources := map[core.EndpointID]migr.Source{}
		pl, now := newPlanner(sources), begin
		type copying struct{ from, to core.EndpointID }
		moving, moved, failedAt := map[uint64]copying{}, map[uint64]int{}, map[uint64]time.Time{}
		anyEngine := rapid.Map(rapid.IntRange(0, 5), func(ix int) core.EndpointID { return core.EndpointID(fmt.Sprint("e", ix)) })
		anyRun := rapid.Uint64Range(0, 19)
		added := map[uint64]core.EndpointID{}
		for range rapid.IntRange(1, 150).Draw(rt, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(rt, "ms")) * time.Millisecond)
			id, engine := anyRun.Draw(rt, "run"), anyEngine.Draw(rt, "engine")
			run := migr.Run{ID: id, Endpoint: engine, Left: time.Duration(rapid.IntRange(0, 9000).Draw(rt, "left")) * time.Millisecond, Deadline: now.Add(10 * time.Second)}
			_, busy := moving[id]
			switch rapid.IntRange(0, 6).Draw(rt, "call") {
			case 0:
				if !busy && added[id] == "" {
					pl.Add(now, run)
					added[id] = engine
					delete(moved, id)
					delete(failedAt, id)
				}
			case 1:
				if run.Endpoint = added[id]; run.Endpoint != "" {
					pl.Update(now, run)
				}
			case 2:
				pl.Remove(now, id)
				delete(added, id)
			case 3:
				sources[engine] = migr.Source{Slowness: rapid.Float64Range(1, 8).Draw(rt, "factor")}
				if rapid.Bool().Draw(rt, "drains") {
					sources[engine] = migr.Source{Slowness: 1, DrainingSince: now.Add(-time.Hour)}
				}
			case 4:
				if busy && pl.Reserve(now, id, engine) {
					moving[id] = copying{moving[id].from, engine}
				}
			case 5:
				co := moving[id]
				if !busy || co.to == "" {
					continue
				}
				ok := rapid.Bool().Draw(rt, "ok")
				pl.Done(now, id, co.to, ok)
				delete(moving, id)
				if ok {
					moved[id]++
					if added[id] != "" {
						added[id] = co.to
					}
				} else {
					failedAt[id] = now
				}
			case 6:
				for _, plan := range pl.Due(now) {
					if _, twice := moving[plan.Run.ID]; twice || moved[plan.Run.ID] >= 2 || now.Sub(failedAt[plan.Run.ID]) < 2*time.Second {
						rt.Fatalf("stream %d must not be moved now", plan.Run.ID)
					}
					moving[plan.Run.ID] = copying{from: plan.Run.Endpoint}
				}
			}
			from, to := map[core.EndpointID]int{}, map[core.EndpointID]int{}
			for _, co := range moving {
				from[co.from]++
				to[co.to]++
				if from[co.from] > 2 || co.to != "" && to[co.to] > 2 || co.from == co.to {
					rt.Fatalf("too many copies: %v", moving)
				}
			}
			if sn := pl.Snapshot(now); len(moving) > 4 || sn.Running != len(moving) {
				rt.Fatalf("%d copies, the snapshot has %d", len(moving), sn.Running)
			}
		}
	})
}
