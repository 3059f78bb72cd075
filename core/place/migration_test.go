package place_test

import (
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/place"
)

// migration is a request that runs on e00 and is to continue elsewhere.
func migration() *place.Request {
	rq := memoryRequest(1, 10_000, 400_000)
	rq.ColdDuration, rq.MigrateFrom, rq.Produced = 3*time.Second, "e00", 50
	return rq
}

// Guards against streams that continue at an engine where they are no better off, or where they take
// what other calls need.
func TestTargetsOfMigrations(t *testing.T) {
	now := begin.Add(time.Minute)
	busy := func(t *testing.T, pl *place.Placer, at int, rq *place.Request) {
		rq.Tried = []core.EndpointID{endpoint(1 - at).ID}
		pick(t, pl, now, rq)
	}
	// with registers e00 and e01 with changes.
	with := func(pl *place.Placer, change func(ep *place.Endpoint)) {
		for ix := range 2 {
			ep := endpoint(ix)
			change(&ep)
			pl.Register(now, ep)
		}
	}
	fits := map[string]bool{"usual": true, "with a slot in a full pool": true}
	for name, change := range map[string]func(t *testing.T, pl *place.Placer){
		"usual":        func(*testing.T, *place.Placer) {},
		"slow":         func(_ *testing.T, pl *place.Placer) { slowFor(pl, now.Add(-2*time.Second), 2*time.Second, 1, 250) },
		"slow now":     func(_ *testing.T, pl *place.Placer) { pl.ApplySpeeds(now, 0, speedEntry(1, 250, 0)) },
		"slow 2 s ago": func(_ *testing.T, pl *place.Placer) { slowFor(pl, now.Add(-4*time.Second), 2*time.Second, 1, 250) },
		"cold": func(_ *testing.T, pl *place.Placer) {
			with(pl, func(ep *place.Endpoint) { ep.ColdUntil = now.Add(time.Second) })
		},
		"draining": func(_ *testing.T, pl *place.Placer) { pl.Register(now, draining(endpoint(1))) },
		"missing":  func(_ *testing.T, pl *place.Placer) { pl.MarkMissing("e01") },
		"removed":  func(_ *testing.T, pl *place.Placer) { pl.Remove("e01") },
		"unreachable": func(_ *testing.T, pl *place.Placer) {
			pl.MarkUnreachable(now, place.EndpointHash("e01", 0), time.Second)
		},
		"without a slot": func(t *testing.T, pl *place.Placer) {
			with(pl, func(ep *place.Endpoint) { ep.Slots = 1 })
			busy(t, pl, 1, newRequest(chat(1, 1)))
		},
		"without a slot by a peer's call": func(t *testing.T, pl *place.Placer) {
			peer := newPlacer(1)
			for _, one := range []*place.Placer{pl, peer} {
				with(one, func(ep *place.Endpoint) { ep.Slots = 1 })
			}
			busy(t, peer, 1, newRequest(chat(1, 1)))
			pl.ApplyLoadReport(now, "peer", peer.LoadReport())
		},
		"with a slot in a full pool": func(t *testing.T, pl *place.Placer) {
			with(pl, func(ep *place.Endpoint) { ep.Slots = 2 })
			busy(t, pl, 1, newRequest(chat(1, 1)))
			for id := range uint64(4) {
				busy(t, pl, 0, newRequest(chat(1, id)))
			}
		},
		"without memory": func(t *testing.T, pl *place.Placer) { busy(t, pl, 1, memoryRequest(2, 391_000, 400_000)) },
		"with memory only for what is not shared": func(t *testing.T, pl *place.Placer) {
			busy(t, pl, 1, memoryRequest(1, 10_000, 400_000))
			busy(t, pl, 1, memoryRequest(2, 385_000, 400_000))
		},
	} {
		t.Run(name, func(t *testing.T) {
			pl := newPlacer(1)
			register(pl, 2)
			change(t, pl)
			if tk, rf := pl.Pick(now, migration()); (rf == nil) != fits[name] || rf == nil && tk.Endpoint.ID != "e01" {
				t.Fatalf("refusal %v", rf)
			}
		})
	}
}

// Guards against callers who are sent away for too long because migrations found no target: a pool without
// a target is full only for them.
func TestRefusedMigrationsAreNoSurge(t *testing.T) {
	for _, reason := range []core.Reason{core.ReasonLoadCap, core.ReasonMemoryFull} {
		t.Run(string(reason), func(t *testing.T) {
			pl, now := newPlacer(1), begin
			ep := endpoint(0)
			ep.Slots = 2
			pl.Register(begin, ep)
			var running *place.Ticket
			if reason == core.ReasonMemoryFull {
				running = pick(t, pl, now, memoryRequest(2, 391_000, 400_000))
			}
			for range 30 {
				if running != nil {
					running.RecordActivity(now)
				} else {
					ep.ColdUntil = now.Add(time.Second)
					pl.Register(now, ep)
				}
				rq := migration()
				rq.MigrateFrom = "e09"
				if _, rf := pl.Pick(now, rq); rf == nil || rf.Reason != reason {
					t.Fatalf("refusal %v, want %s", rf, reason)
				}
				now = now.Add(100 * time.Millisecond)
			}
			if rf := fill(t, pl, now); rf.RetryAfter > 400*time.Millisecond {
				t.Errorf("retry after %v, want that of a pool that was never full, 400 ms", rf.RetryAfter)
			}
		})
	}
}

// fill places calls until one is refused, and returns the refusal.
func fill(t *testing.T, pl *place.Placer, now time.Time) *core.Refusal {
	t.Helper()
	for range 100 {
		if _, rf := pl.Pick(now, newRequest(chat(1, 1))); rf != nil {
			return rf
		}
	}
	t.Fatal("no call is refused")
	return nil
}

// Guards against an engine that all routers of a fleet pick as a target at once, because it has a few calls
// less than the others: its load would exceed the load cap and its slots, and all copies would share its
// link.
func TestRoutersSpreadMigrations(t *testing.T) {
	const routers, engines, meanCalls, fewer = 25, 46, 20, 5
	registerAll := func(pl *place.Placer, slots int) {
		for ix := range engines {
			ep := endpoint(ix)
			ep.Slots = slots
			pl.Register(begin, ep)
		}
	}
	peer := newPlacer(routers)
	peer.CapFactor = 1000
	registerAll(peer, 0)
	for ix := range engines {
		rq := &place.Request{Pool: pool, Engine: true}
		for other := range engines {
			if other != ix {
				rq.Tried = append(rq.Tried, endpoint(other).ID)
			}
		}
		count := meanCalls
		if ix == 1 {
			count -= fewer
		}
		for range count {
			pick(t, peer, begin, rq)
		}
	}
	calls := map[core.EndpointID]int{"e01": -fewer}
	for seed := range uint64(routers) {
		pl := newPlacer(routers)
		pl.Rand = newRand(seed)
		registerAll(pl, 64)
		pl.ApplyLoadReport(begin, "peer", peer.LoadReport())
		for range 2 { // copies of one router from an engine
			rq := newRequest(nil)
			rq.MigrateFrom = "e00"
			calls[pick(t, pl, begin, rq).Endpoint.ID]++
		}
	}
	for id, more := range calls {
		if meanCalls+more > 2*meanCalls {
			t.Errorf("%s has %d calls, more than twice the pool's mean of %d", id, meanCalls+more, meanCalls)
		}
	}
}

// Guards against targets that are overfilled during a copy: the call counts from the choice on, with
// its prompt and what it has produced, but its prompt delays no other as one that is read does.
func TestMigrationCountsAtItsTarget(t *testing.T) {
	pl := newPlacer(1)
	register(pl, 2)
	rq := migration()
	rq.ExpectedOutput, rq.Produced = 100, 280_000
	tk := pick(t, pl, begin, rq)
	if tk.UncachedTokens != 0 || tk.FetchFrom != "" {
		t.Errorf("%d tokens would be read and %q fetched from, want none", tk.UncachedTokens, tk.FetchFrom)
	}
	other := memoryRequest(2, 120_000, 400_000)
	other.Tried = []core.EndpointID{"e00"}
	if _, rf := pl.Pick(begin, other); rf == nil || rf.Reason != core.ReasonMemoryFull {
		t.Errorf("refusal %v, want %s", rf, core.ReasonMemoryFull)
	}
	tk.Done(begin, place.Neutral)
	pick(t, pl, begin, other)
}

// Guards against prompts that are assumed to be cached where a copy failed, and against chats that are
// read again although their run was copied.
func TestCopiedPromptIsCachedOnceSent(t *testing.T) {
	for _, sent := range []bool{false, true} {
		pl := newPlacer(1)
		register(pl, 2)
		rq := newRequest(chat(1, 7))
		rq.MigrateFrom = "e00"
		tk := pick(t, pl, begin, rq)
		if sent {
			if re := tk.BeforeSend(begin); re != "" {
				t.Fatal(re)
			}
		}
		tk.Done(begin, place.Neutral)
		next := newRequest(chat(1, 7))
		next.Tried, next.FetchTokensPerMs = []core.EndpointID{"e00"}, 0
		after := pick(t, pl, begin, next)
		if cached := after.UncachedTokens == 0; cached != sent {
			t.Errorf("sent %v: %d tokens are uncached at the target afterwards", sent, after.UncachedTokens)
		}
	}
}

// Guards against migrations caused by short noise, or by a drain whose start is not known: streams
// would be moved seconds before the engine ends.
func TestMigrationSource(t *testing.T) {
	pl := newPlacer(1)
	register(pl, 3)
	now := slowFor(pl, begin, 800*time.Millisecond, 0, 250)
	if src := pl.MigrationSource(now, "e00"); src.Slowness != 1 {
		t.Errorf("factor %v after 0.8 s, want 1", src.Slowness)
	}
	now = slowFor(pl, now, 800*time.Millisecond, 0, 250)
	if src := pl.MigrationSource(now, "e00"); src.Slowness != 2.5 || !src.DrainingSince.IsZero() {
		t.Errorf("%+v after 1.6 s, want a factor of 2.5", src)
	}
	rq := newRequest(chat(1, 1))
	rq.Tried = []core.EndpointID{"e00", "e02"}
	tk := pick(t, pl, now, rq)
	announced := now.Add(time.Second)
	tk.RecordShutdown(announced)
	pl.ApplyShutdown(announced, place.EndpointHash("e00", 0))
	later := announced.Add(time.Second)
	pl.ApplyShutdown(later, place.EndpointHash("e00", 0))
	pl.Register(later, draining(endpoint(2)))
	pl.Register(later, endpoint(1))
	for id, want := range map[core.EndpointID]time.Time{"e00": announced, "e01": announced, "e02": later, "e03": {}} {
		if src := pl.MigrationSource(later, id); !src.DrainingSince.Equal(want) {
			t.Errorf("%s is draining since %v, want %v", id, src.DrainingSince, want)
		}
	}
	pl.Remove("e01") // while the call runs there
	if src := pl.MigrationSource(later, "e01"); !src.DrainingSince.Equal(announced) {
		t.Errorf("draining since %v after the registration is gone, want %v", src.DrainingSince, announced)
	}
	tk.Done(later, place.Served)
	pl.Register(later, withIncarnation(2, 200))
	for _, id := range []core.EndpointID{"e01", "e02"} {
		if src := pl.MigrationSource(later, id); !src.DrainingSince.IsZero() {
			t.Errorf("%s is draining since %v after its last call or its restart", id, src.DrainingSince)
		}
	}
}

// Guards against an endpoint that gets calls after it has announced its shutdown: a look at it while its
// registration was gone must not make the announcement look like one that is known.
func TestMigrationSourceLeavesAnnouncementsUnknown(t *testing.T) {
	pl := newPlacer(1)
	register(pl, 1)
	tk := pick(t, pl, begin, newRequest(chat(1, 1)))
	pl.Remove("e00")
	if src := pl.MigrationSource(begin, "e00"); !src.DrainingSince.Equal(begin) {
		t.Fatalf("draining since %v, want %v", src.DrainingSince, begin)
	}
	register(pl, 1)
	if !tk.RecordShutdown(begin) {
		t.Error("the announcement counts as known")
	}
	if _, rf := pl.Pick(begin, newRequest(chat(1, 2))); rf == nil {
		t.Error("the endpoint gets a call after it announced its shutdown")
	}
}

// playEvents streams that many events of 12 tokens, one each gap, and returns the time of the last.
func playEvents(tk *place.Ticket, from time.Time, events int, gap time.Duration) time.Time {
	for range events {
		from = from.Add(gap)
		tk.RecordActivity(from)
	}
	return from
}

// Guards against remainders that include the slowness of the engine, with which they are multiplied
// again, and against streams that count as nearly ended because they are longer than expected.
func TestExpectedLeft(t *testing.T) {
	const gap = 30 * time.Millisecond
	between := func(name string, left time.Duration, low, high int) {
		t.Helper()
		if ms := int(left.Milliseconds()); ms < low || ms > high {
			t.Errorf("%s: %d ms left, want %d to %d", name, ms, low, high)
		}
	}
	newStream := func(pl *place.Placer, now time.Time) *place.Ticket {
		rq := newRequest(chat(1, 7))
		rq.Tried = []core.EndpointID{"e01", "e02", "e03"}
		rq.ExpectedOutput, rq.MaxOutput = 1200, 3600
		return pick(t, pl, now, rq)
	}
	unknown := newPlacer(1)
	register(unknown, 1)
	tk := newStream(unknown, begin)
	between("nothing known", tk.ExpectedLeft(begin, 0), 0, 0)
	now := playEvents(tk, begin, 50, gap) // half of the expected output
	between("half", tk.ExpectedLeft(now, 600), 1400, 1600)

	pl := newPlacer(1)
	register(pl, 4)
	learn(t, pl, begin) // answers take 20 ms for each token of the maximum
	begins := begin.Add(5 * time.Second)
	tk = newStream(pl, begins)
	between("no event", tk.ExpectedLeft(begins, 0), 60_000, 85_000)
	now = playEvents(tk, begins, 25, gap)
	now = slowFor(pl, now, 100*time.Millisecond, 0, 250)
	for range 40 { // 75 ms each at a factor of 2.5
		slowFor(pl, now, 75*time.Millisecond, 0, 250)
		now = playEvents(tk, now, 1, 75*time.Millisecond)
	}
	between("slow", tk.ExpectedLeft(now, 65*12), 980, 1150)
	between("longer than expected", tk.ExpectedLeft(now, 1300), 2000, 60_000)
	between("at the maximum", tk.ExpectedLeft(now, 3600), 0, 0)
}

// Guards against a pace that counts the tokens of the engine before, and durations that are learned from
// a part of a response: the expected remainders would be too short.
func TestExpectedLeftAfterAMigration(t *testing.T) {
	pl := newPlacer(1)
	register(pl, 2)
	for range 30 {
		rq := migration()
		rq.ExpectedOutput, rq.Produced = 1200, 600
		tk := pick(t, pl, begin, rq)
		now := playEvents(tk, begin.Add(200*time.Millisecond), 25, 30*time.Millisecond)
		if left := tk.ExpectedLeft(now, 900); left < 700*time.Millisecond || left > 800*time.Millisecond {
			t.Errorf("%v left, want some 750 ms", left)
		}
		tk.Done(now, place.Served)
	}
	if left := pick(t, pl, begin, newRequest(chat(1, 1))).ExpectedLeft(begin, 0); left != 0 {
		t.Errorf("%v left, want 0 for unknown", left)
	}
}
