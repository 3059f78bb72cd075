package place_test

import (
	"fmt"
	"testing"
	"time"

	"almondrill/core/place"
)

// newLearning returns a simulation whose engines report no speed and read prompts in chunks.
func newLearning(routers int, learns bool) *uneven {
	un := newUneven(routers, false)
	un.learns, un.chunked = learns, true
	return un
}

// third slows a third of the engines by four from one step to another.
func third(from, until int) func(engine, step int) float64 {
	return func(engine, step int) float64 {
		if engine%3 == 0 && step >= from && step < until {
			return 4
		}
		return 1
	}
}

// Load pattern: as in TestSlowEnginesGetFewerCalls, but the engines do not report their speed. If
// nothing is learned from the pauses of running streams, they keep getting their share of the calls.
func TestUnreportedSlowEnginesGetFewerCalls(t *testing.T) {
	t.Parallel()
	for routers, chunked := range map[int]bool{12: true, 103: true, 420: false} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			t.Parallel()
			checkUnreported(t, routers, chunked)
		})
	}
}

// The same for hundreds of routers where prompts are read in chunks that delay streams.
func TestUnreportedSlowEnginesOfManyRouters(t *testing.T) {
	t.Parallel()
	checkUnreported(t, 420, true)
}

func checkUnreported(t *testing.T, routers int, chunked bool) {
	t.Helper()
	without, with := newLearning(routers, false), newLearning(routers, true)
	without.chunked, with.chunked = chunked, chunked
	bothAtOnce(func() { playSlow(without, 1500) }, func() { playSlow(with, 1500) })
	checkFewerLate(t, without, with)
}

// known returns which fraction of the slow third of the engines the routers with odd numbers count
// as slow, and how many others.
func (un *uneven) known() (fraction float64, others int) {
	for ix := 1; ix < len(un.routers); ix += 2 {
		for _, slow := range un.routers[ix].SlowEndpoints(un.now()) {
			switch {
			case un.engineOf(slow.ID).number%3 == 0:
				fraction += 1 / float64(len(un.routers)/2*9)
			case slow.Ahead > 1:
				others++
			}
		}
	}
	return fraction, others
}

// Guards against a slow engine that only the routers with streams there know of, and against one
// that counts as slow long after it has recovered: if all is well, if reports are lost, if half of the
// routers are of builds that send no such factors, and at a router that has just started.
func TestSlownessIsKnownWithinASecond(t *testing.T) {
	t.Parallel()
	for name, ca := range map[string]struct {
		soon float64
		lost func(un *uneven, from, to int) bool
	}{
		"all well":     {0.9, func(*uneven, int, int) bool { return false }},
		"reports lost": {0.9, func(un *uneven, _, _ int) bool { return un.ra.Float64() < 0.33 }},
		"old builds":   {0.6, func(_ *uneven, from, _ int) bool { return from%2 == 0 }},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			un := newLearning(25, true)
			un.lost, un.factorOf = ca.lost, third(600, 1000)
			un.play(720)
			soon, _ := un.known()
			un.play(180)
			un.routers[1] = newSimRouter(1, 25)
			un.play(100)
			lasting, others := un.known()
			un.play(200)
			after, _ := un.known()
			t.Logf("known after 1.2 s: %.2f, after 4 s: %.2f, 2 s after the end: %.2f; %d others", soon, lasting, after, others)
			if soon < ca.soon || lasting < 0.95 || after > 0.05 || others > 0 {
				t.Errorf("want at least %.2f, 0.95, and 0.05 at most; no others", ca.soon)
			}
		})
	}
}

// Guards against factors that are not the engine's: of callers that read slowly, of calls that triple
// at one engine, of a higher load, and of a pool that is slower as a whole.
func TestNoEngineIsSlow(t *testing.T) {
	t.Parallel()
	for name, set := range map[string]func(un *uneven){
		"usual speed":        func(*uneven) {},
		"slow callers":       func(un *uneven) { un.writing = 300 * time.Millisecond },
		"calls triple":       func(un *uneven) { un.extra = true },
		"higher load":        func(un *uneven) { un.rate = func(int) float64 { return 1.7 } },
		"all engines slower": func(un *uneven) { un.factorOf = func(int, int) float64 { return 2.5 } },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			un := newLearning(25, true)
			un.play(800)
			set(un)
			un.compare = true
			un.measure(400)
			others := 0
			for _, en := range un.engines[1:] {
				others += len(en.calls)
			}
			if calls, mean := len(un.engines[0].calls), others/(simEngines-1); un.extra && calls < 3*mean {
				t.Errorf("the first engine has %d calls, want three times the mean of %d", calls, mean)
			}
			t.Logf("%d of %d choices differ from those without factors, %d refused", un.differ, un.all, un.refused)
			if 100*un.differ >= un.all || un.refused > 0 {
				t.Error("want less than 1%, and no refusal")
			}
		})
	}
}

// Guards against learning where it is not enabled: on routes without a gap goal, for plain
// endpoints, and as soon as an endpoint of the pool reports its speed. Guards against factors of
// events that arrive together, and of a router whose own link is slow.
func TestPausesThatAreLearned(t *testing.T) {
	enabled := place.Request{Pool: pool, Engine: true, GapGoal: time.Second}
	for name, ca := range map[string]struct {
		rq       place.Request
		reported int
		together int // events at the first engine
		others   time.Duration
		want     float64
	}{
		"enabled":     {enabled, 0, 1, 35, 4},
		"no gap goal": {place.Request{Pool: pool, Engine: true}, 0, 1, 35, 1},
		"plain":       {place.Request{Pool: pool, GapGoal: time.Second}, 0, 1, 35, 1},
		"reported":    {enabled, 100, 1, 35, 1},
		"together":    {enabled, 0, 4, 35, 1},
		"slow link":   {enabled, 0, 1, 140, 1},
	} {
		pl := newPlacer(1)
		register(pl, 4)
		var tks []*place.Ticket
		for range 60 {
			tk, _ := pl.Pick(begin, &ca.rq)
			tk.RecordSpeed(begin, ca.reported)
			tks = append(tks, tk)
		}
		for at := time.Duration(0); at < 3*time.Second; at += 35 * time.Millisecond {
			for _, tk := range tks {
				pause, events := ca.others*time.Millisecond, 1
				if tk.Endpoint.ID == endpoint(0).ID {
					pause, events = 140*time.Millisecond, ca.together
				}
				if at < time.Second {
					pause, events = 35*time.Millisecond, 1
				}
				if at%pause == 0 {
					tk.RecordEvents(begin.Add(at-pause), begin.Add(at), events)
				}
			}
		}
		got := 1.0
		for _, slow := range pl.SlowEndpoints(begin.Add(3 * time.Second)) {
			got = slow.Ahead
		}
		if got < 0.9*ca.want || got > 1.1*ca.want {
			t.Errorf("%s: factor %.2f, want %.0f", name, got, ca.want)
		}
	}
}

// Guards against a router that learns nothing until its clock has reached the time again from which it
// was set back.
func TestPausesAreLearnedAfterAClockIsSetBack(t *testing.T) {
	pl := newPlacer(1)
	register(pl, 4)
	stream := func(from time.Time, slow time.Duration) {
		var tks []*place.Ticket
		for range 60 {
			tk, _ := pl.Pick(from, &place.Request{Pool: pool, Engine: true, GapGoal: time.Second})
			tks = append(tks, tk)
		}
		for at := time.Duration(0); at < 2*time.Second; at += 35 * time.Millisecond {
			for _, tk := range tks {
				pause := 35 * time.Millisecond
				if tk.Endpoint.ID == endpoint(0).ID {
					pause = slow
				}
				if at%pause == 0 {
					tk.RecordEvents(from.Add(at-pause), from.Add(at), 1)
				}
			}
		}
	}
	stream(begin, 35*time.Millisecond)
	stream(begin.Add(-time.Hour), 140*time.Millisecond)
	if slow := pl.SlowEndpoints(begin.Add(2*time.Second - time.Hour)); len(slow) != 1 || slow[0].ID != endpoint(0).ID {
		t.Errorf("slow engines: %+v, want the first", slow)
	}
}

// Guards against a pool that is full at the speed of its engines and accepts more than these can
// finish, and against fewer slots for pools without goals.
func TestSlowEnginesHaveFewerSlots(t *testing.T) {
	for gapGoal, want := range map[time.Duration]string{
		time.Second: "151 calls, limit 151 for this customer, 137 slots; 4 of 4 endpoints full",
		0:           "212 calls, limit 211 for this customer, 192 slots; 4 of 4 endpoints full",
	} {
		pl := newPlacer(1)
		register(pl, 4)
		slowFor(pl, begin, 2*time.Second, 0, 240)
		now, basis := slowFor(pl, begin, 2*time.Second, 1, 240), ""
		for basis == "" {
			if _, rf := pl.Pick(now, &place.Request{Pool: pool, Engine: true, GapGoal: gapGoal}); rf != nil {
				basis = rf.Basis
			}
		}
		if basis != want {
			t.Errorf("gap goal %s: refusal is based on %q, want %q", gapGoal, basis, want)
		}
	}
}

// Guards against requests without a gap goal that keep a slowed pool so full that all others are
// refused.
func TestSlowPoolIsSharedWithRequestsWithoutGapGoal(t *testing.T) {
	pl := newPlacer(1)
	register(pl, 4)
	slowFor(pl, begin, 2*time.Second, 0, 240)
	now := slowFor(pl, begin, 2*time.Second, 1, 240)
	var running []*place.Ticket
	admitted := map[time.Duration]int{}
	for ix := range 4000 {
		rq := &place.Request{Pool: pool, Engine: true, GapGoal: time.Duration(ix%2) * time.Second}
		if tk, rf := pl.Pick(now, rq); rf == nil {
			running = append(running, tk)
			admitted[rq.GapGoal]++
		}
		if ix > 300 && newRand(uint64(ix)).IntN(4) == 0 {
			running[0].Done(now, place.Served)
			running = running[1:]
		}
	}
	if with, without := admitted[time.Second], admitted[0]; 4*with < 3*without {
		t.Errorf("%d requests with a gap goal were admitted and %d without, want about as many", with, without)
	}
}

// BenchmarkEvents measures what an event takes among engines of which many are observed.
func BenchmarkEvents(b *testing.B) {
	pl := newPlacer(1)
	register(pl, 60)
	var tks []*place.Ticket
	for range 600 {
		tk, _ := pl.Pick(begin, &place.Request{Pool: pool, Engine: true, GapGoal: time.Second})
		tks = append(tks, tk)
	}
	for now, count := begin, 0; b.Loop(); count++ {
		if count%len(tks) == 0 {
			now = now.Add(35 * time.Millisecond)
		}
		tks[count%len(tks)].RecordEvents(now.Add(-35*time.Millisecond), now, 1)
	}
}
