package waitq_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"almondrill/core/demand"
	"almondrill/core/retry"
	"almondrill/core/waitq"
)

// newQueue returns a queue of a pool with 24 slots.
func newQueue(routers int) *waitq.Queue {
	return &waitq.Queue{
		Pool: 1, Slots: func() int { return 24 }, Routers: func() int { return routers },
		Network: 4 * time.Millisecond, Returns: &retry.Returns{},
	}
}

func levelOf(now time.Time, places uint16, over ...demand.Share) demand.Level {
	return demand.Level{Pool: 1, AtMs: uint64(now.UnixMilli()), Places: places, CallMs: 60, OfferedPer10s: 8000, Over: over}
}

func offerAt(now time.Time, cu demand.CustomerHash, rank uint8) waitq.Request {
	return waitq.Request{Customer: cu, Rank: rank, Arrived: now, GoalAt: now.Add(150 * time.Millisecond), Deadline: now.Add(2500 * time.Millisecond)}
}

// Whatever arrives, ends, disconnects and is published in any order: each request must be decided once,
// the counts must be those of the caller, and no refused caller may be told a time that is too short
// or after its deadline.
func TestEachRequestIsDecidedOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		qu, now := newQueue(12), epoch
		waiting := map[*waitq.Waiter]bool{}
		running := 0
		check := func(de waitq.Decision, rq waitq.Request) {
			if de.Admitted == (de.Refused != "") {
				rt.Fatalf("admitted %t and refused as %q", de.Admitted, de.Refused)
			}
			if de.Admitted {
				running++
			} else if after := de.RetryAfter; after != 0 && (after < 250*time.Millisecond || now.Add(after).After(rq.Deadline)) {
				rt.Fatalf("told to return after %s, %s before the deadline", after, rq.Deadline.Sub(now))
			}
		}
		tick := func() {
			for _, wa := range qu.Tick(now) {
				if !waiting[wa] {
					rt.Fatal("a waiter was decided twice or after it was withdrawn")
				}
				delete(waiting, wa)
				<-wa.Ready()
				check(wa.Decision, wa.Request)
			}
		}
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(rt, "ms")) * time.Millisecond)
			case 1:
				le := levelOf(now, uint16(rapid.IntRange(0, 100).Draw(rt, "places")), demand.Share{ID: 1, Admit: uint8(rapid.IntRange(0, 255).Draw(rt, "admit"))})
				le.More = rapid.Bool().Draw(rt, "more")
				qu.SetLevel(now, le)
			case 2, 3:
				if running > 0 {
					qu.Done(now, 30*time.Millisecond, true)
					running--
				}
			case 4:
				for wa := range waiting {
					qu.Cancel(now, wa)
					delete(waiting, wa)
					break
				}
			case 5:
				qu.Report(now)
			default:
				rq := offerAt(now, demand.CustomerHash(rapid.IntRange(0, 3).Draw(rt, "customer")), uint8(rapid.IntRange(0, 2).Draw(rt, "rank")))
				rq.Budget = time.Duration(rapid.IntRange(1, 3).Draw(rt, "budget")) * time.Second
				if de := qu.Offer(now, rq); de.Wait != nil {
					waiting[de.Wait] = true
				} else {
					check(de, rq)
				}
			}
			tick()
			if sn := qu.Snapshot(now); sn.Running != running || sn.Waiting != len(waiting) {
				rt.Fatalf("snapshot has %d running and %d waiting, want %d and %d", sn.Running, sn.Waiting, running, len(waiting))
			}
		}
		now = now.Add(time.Minute)
		if tick(); len(waiting) > 0 {
			rt.Fatalf("%d requests still wait after their deadlines", len(waiting))
		}
	})
}

// No router may refuse everything: one that was idle must admit a burst, also of a customer over its
// share, and however small its part of the places is.
func TestNoRouterAdmitsNothing(t *testing.T) {
	for _, routers := range []int{1, 12, 420} {
		for _, over := range [][]demand.Share{nil, {{ID: 1, Admit: 10}}} {
			qu := newQueue(routers)
			qu.SetLevel(epoch, levelOf(epoch, 1, over...))
			if de := qu.Offer(epoch, offerAt(epoch, 1, 0)); !de.Admitted {
				t.Errorf("%d routers: the first request was refused: %s", routers, de.Basis)
			}
		}
	}
}

// A level must be in force for its time only, then an equal part of its places while the pool is
// busy, and after some time nothing: if owners are lost for good, requests must be sent as before.
func TestLimitsExpire(t *testing.T) {
	qu := newQueue(12)
	calls := 60
	qu.PoolCalls = func() int { return calls }
	qu.SetLevel(epoch, levelOf(epoch, 48))
	for _, ca := range []struct {
		after  time.Duration
		calls  int
		kind   string
		places float64
	}{
		{2 * time.Second, 60, "fallback", 1.5 * 48 / 12},
		{2 * time.Second, 10, "", 0},
		{11 * time.Second, 60, "", 0},
	} {
		calls = ca.calls
		if sn := qu.Snapshot(epoch.Add(ca.after)); sn.Limited != ca.kind || sn.Places != ca.places {
			t.Errorf("after %s with %d calls: %g places by %q, want %g by %q", ca.after, ca.calls, sn.Places, sn.Limited, ca.places, ca.kind)
		}
	}
}

// Peers forward levels, so that old ones arrive after new ones. An old one must not replace a newer one,
// nor may one that is received again extend its time. A new owner whose clock is behind must be
// followed once the former one's levels have expired.
func TestOlderLevelsAreIgnored(t *testing.T) {
	qu := newQueue(12)
	latest, older := levelOf(epoch, 48), levelOf(epoch.Add(-time.Second), 10)
	qu.SetLevel(epoch, latest)
	qu.SetLevel(epoch.Add(100*time.Millisecond), older)
	qu.SetLevel(epoch.Add(time.Second), latest)
	if sn := qu.Snapshot(epoch.Add(1400 * time.Millisecond)); sn.Level.Places != 48 || sn.LevelAge != 1400*time.Millisecond {
		t.Errorf("level with %d places, %s old", sn.Level.Places, sn.LevelAge)
	}
	qu.SetLevel(epoch.Add(4*time.Second), older)
	if sn := qu.Snapshot(epoch.Add(4 * time.Second)); sn.Level.Places != 10 {
		t.Errorf("the level of a new owner was ignored: %d places", sn.Level.Places)
	}
	if _, ok := qu.Level(epoch.Add(4500 * time.Millisecond)); !ok {
		t.Error("a new level is not forwarded")
	}
	if _, ok := qu.Level(epoch.Add(5400 * time.Millisecond)); ok {
		t.Error("a level is forwarded that expires soon")
	}
}

// A router with less than one place must space its starts, and refuse on arrival or soon after what
// cannot start in time.
func TestStartsAreSpacedBelowOnePlace(t *testing.T) {
	qu := newQueue(420)
	admitted, refused, held := 0, 0, 0
	for ms := range 10_000 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		if ms%200 == 0 {
			// 20 of 800 requests per second arrive here, for which 12 places of 60 ms leave 5 starts.
			qu.SetLevel(now, levelOf(now, 12, demand.Share{ID: 1, Admit: 255}))
		}
		decided := qu.Tick(now)
		if ms%50 == 0 {
			de := qu.Offer(now, offerAt(now, 1, 0))
			if de.Wait == nil {
				decided = append(decided, &waitq.Waiter{Request: offerAt(now, 1, 0), Decision: de})
			}
		}
		for _, wa := range decided {
			if wa.Decision.Admitted {
				admitted++
				qu.Done(now, 30*time.Millisecond, true)
				continue
			}
			if refused++; now.Sub(wa.Request.Arrived) > 150*time.Millisecond/8 {
				held++
			}
		}
	}
	if admitted < 45 || admitted > 65 || admitted+refused < 198 || held > 0 {
		t.Errorf("%d admitted, %d refused, %d of them late; want about 50 admitted", admitted, refused, held)
	}
}

// A retry has less time left than its caller's first attempts. It must not take the place of a new
// request, but get one that is free.
func TestRetriesYield(t *testing.T) {
	qu := newQueue(1)
	now := epoch
	offer := func(budget time.Duration) waitq.Decision {
		rq := offerAt(now, 1, 0)
		rq.Route, rq.Budget = 1, budget
		return qu.Offer(now, rq)
	}
	for range 100 {
		now = now.Add(10 * time.Millisecond)
		offer(2500 * time.Millisecond)
		qu.Done(now, 5*time.Millisecond, true)
	}
	qu.SetLevel(now, levelOf(now, 48, demand.Share{ID: 1, Admit: 255}))
	if de := offer(2 * time.Second); !de.Admitted {
		t.Errorf("a retry was refused although nothing runs: %s", de.Basis)
	}
	for range 4 {
		offer(2500 * time.Millisecond)
	}
	if de := offer(2 * time.Second); de.Admitted {
		t.Errorf("a retry was admitted although few places are left: %s", de.Basis)
	}
	if de := offer(2490 * time.Millisecond); !de.Admitted && de.Wait == nil {
		t.Errorf("a new request was refused: %s", de.Basis)
	}
}

// Guards against first attempts that count as retries because their callers' budgets vary by more
// than the goal: in an overload they would be refused first.
func TestVaryingBudgetsAreNoRetries(t *testing.T) {
	qu := newQueue(1)
	now := epoch
	offer := func(budget time.Duration) waitq.Decision {
		rq := offerAt(now, 1, 0)
		rq.Route, rq.Budget = 1, budget
		return qu.Offer(now, rq)
	}
	for ix := range 40 {
		now = now.Add(10 * time.Millisecond)
		offer(2000*time.Millisecond + time.Duration(ix*37%500)*time.Millisecond)
		qu.Done(now, 5*time.Millisecond, true)
	}
	qu.SetLevel(now, levelOf(now, 48, demand.Share{ID: 1, Admit: 255}))
	for range 4 {
		offer(2500 * time.Millisecond)
	}
	if de := offer(2 * time.Second); !de.Admitted && de.Wait == nil {
		t.Errorf("a first attempt was refused as a retry: %s", de.Basis)
	}
}

// Guards against first attempts that count as retries because a part of the callers have a budget that
// is shorter by more than the goal.
func TestShorterBudgetIsNoRetry(t *testing.T) {
	qu := newQueue(1)
	now := epoch
	offer := func(budget time.Duration) waitq.Decision {
		rq := offerAt(now, 1, 0)
		rq.Route, rq.Budget = 1, budget
		return qu.Offer(now, rq)
	}
	for ix := range 200 {
		now = now.Add(10 * time.Millisecond)
		offer([]time.Duration{2500 * time.Millisecond, time.Second}[ix%2])
		qu.Done(now, 5*time.Millisecond, true)
	}
	qu.SetLevel(now, levelOf(now, 48, demand.Share{ID: 1, Admit: 255}))
	for range 4 {
		offer(2500 * time.Millisecond)
	}
	if de := offer(time.Second); !de.Admitted && de.Wait == nil {
		t.Errorf("a first attempt was refused as a retry: %s", de.Basis)
	}
}

// Guards against retries that count as first attempts because enough of them were seen while requests
// were refused.
func TestBudgetsSeenDuringRefusalsAreRetries(t *testing.T) {
	qu := newQueue(1)
	now := epoch
	offer := func(budget time.Duration) waitq.Decision {
		rq := offerAt(now, 1, 0)
		rq.Route, rq.Budget = 1, budget
		return qu.Offer(now, rq)
	}
	for ix := range 200 {
		now = now.Add(10 * time.Millisecond)
		offer([]time.Duration{2500 * time.Millisecond, time.Second}[ix%2])
		qu.Done(now, 5*time.Millisecond, ix%20 > 0) // endpoints refuse some
	}
	qu.SetLevel(now, levelOf(now, 48, demand.Share{ID: 1, Admit: 255}))
	for range 4 {
		offer(2500 * time.Millisecond)
	}
	if de := offer(time.Second); de.Admitted || de.Wait != nil {
		t.Errorf("a retry was served like a first attempt: %s", de.Basis)
	}
}

// Guards against a request whose goal has passed that waits until its deadline although the limit has
// ended.
func TestLateRequestStartsWhenTheLimitEnds(t *testing.T) {
	calls := 24
	qu := newQueue(1)
	qu.PoolCalls = func() int { return calls }
	qu.SetLevel(epoch, levelOf(epoch, 24))
	now := epoch.Add(2 * time.Second) // the level has expired, the fallback applies
	for range 40 {
		qu.Offer(now, waitq.Request{Customer: 7, Arrived: now, GoalAt: now.Add(time.Second), Deadline: now.Add(4500 * time.Millisecond)})
	}
	wa := qu.Offer(now, waitq.Request{Customer: 7, Arrived: now.Add(-1500 * time.Millisecond), GoalAt: now.Add(-500 * time.Millisecond), Deadline: now.Add(3 * time.Second)}).Wait
	if wa == nil {
		t.Fatal("the late request does not wait")
	}
	for range 20 {
		qu.Done(now.Add(5*time.Millisecond), 30*time.Millisecond, true)
	}
	calls = 0
	qu.Tick(now.Add(10 * time.Millisecond))
	select {
	case <-wa.Ready():
	default:
		t.Error("the request waits although nothing is limited")
	}
}
