package place_test

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/place"
)

// playSlow simulates a third of the engines four times slower after the given steps, with 1.7 times
// the usual load from two seconds later.
func playSlow(un *uneven, steps int) {
	un.play(steps)
	from := un.step
	un.factorOf = third(from, from+1000)
	un.rate = func(step int) float64 {
		if at := step - from; at >= 200 && at < 800 {
			return 1.7
		}
		return 1
	}
	un.measure(1000)
}

// bothAtOnce runs two independent simulations.
func bothAtOnce(one, two func()) {
	var other sync.WaitGroup
	other.Go(two)
	one()
	other.Wait()
}

// checkFewerLate checks that knowing the engines' speed avoids two thirds of the late calls.
func checkFewerLate(t *testing.T, without, with *uneven) {
	t.Helper()
	t.Logf("speed unknown: %s; known: %s", without, with)
	if with.queuedOut > 0 {
		t.Errorf("%d calls waited in an engine's queue until their deadline, want 0", with.queuedOut)
	}
	if late := with.late + with.missed; 3*late > without.late+without.missed {
		t.Errorf("%d calls are late, want at most a third of %d", late, without.late+without.missed)
	}
}

// Load pattern: a third of the engines become four times slower, and the load rises. If they keep
// getting their share of the calls, answers there begin late or reach their deadlines.
func TestSlowEnginesGetFewerCalls(t *testing.T) {
	t.Parallel()
	for _, routers := range []int{12, 103, 420} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			t.Parallel()
			without, with := newUneven(routers, false), newUneven(routers, true)
			bothAtOnce(func() { playSlow(without, 400) }, func() { playSlow(with, 400) })
			checkFewerLate(t, without, with)
		})
	}
}

// noise slows 0.15 of the engines by 2.5 for 0.6 s at a time.
func noise(engine, step int) float64 {
	const period = 60
	if newRand(uint64(engine)<<32|uint64(step/period)).Float64() < 0.15 {
		return 2.5
	}
	return 1
}

// Load pattern: neighbours slow some engines for half a second. If chats left these engines, their
// prompts would be copied twice, which costs more than the short delay.
func TestShortNoiseMovesNoChats(t *testing.T) {
	t.Parallel()
	moved := func(routers int, learns bool, seeds uint64, factorOf func(engine, step int) float64) int {
		var sum atomic.Int64
		var all sync.WaitGroup
		for seed := range seeds {
			all.Go(func() {
				un := newUneven(routers, !learns)
				un.ra, un.factorOf = newRand(50+seed), factorOf
				if learns {
					un.learns = true
					un.play(400) // until the usual pauses are known
				}
				un.play(200)
				un.measure(1000)
				sum.Add(int64(un.moved))
			})
		}
		all.Wait()
		return int(sum.Load())
	}
	// One run with 12 or 25 routers moves some hundred calls, which differ by chance by a third.
	for _, ca := range []struct {
		routers int
		learns  bool // not reported
		seeds   uint64
	}{{12, false, 3}, {103, false, 1}, {25, true, 16}} {
		calm, noisy := moved(ca.routers, ca.learns, ca.seeds, func(int, int) float64 { return 1 }), moved(ca.routers, ca.learns, ca.seeds, noise)
		t.Logf("%d routers, learned %t: %d calls moved, with noise %d", ca.routers, ca.learns, calm, noisy)
		if float64(noisy) > 1.2*float64(calm) {
			t.Errorf("%d routers, learned %t: %d calls moved, want at most 1.2 times the %d without noise", ca.routers, ca.learns, noisy, calm)
		}
	}
}

// Guards against any effect on pools whose engines do not report their speed, or work at their
// usual one.
func TestUsualSpeedChangesNoChoice(t *testing.T) {
	unknown, usual := newUneven(12, false), newUneven(12, true)
	unknown.play(300)
	usual.play(300)
	if !slices.Equal(unknown.choices, usual.choices) {
		t.Error("choices differ between unknown and usual speed, want the same ones")
	}
	unlimited := newUneven(12, false)
	unlimited.unlimited = true
	unlimited.play(300)
	if !slices.Equal(unknown.choices, unlimited.choices) {
		t.Error("choices differ between requests with and without goals, want the same ones")
	}
}

// slowFor reports a factor of an endpoint for a time, as it would be known from a peer's calls.
func slowFor(pl *place.Placer, now time.Time, lasts time.Duration, id int, percent byte) time.Time {
	for end := now.Add(lasts); now.Before(end); now = now.Add(100 * time.Millisecond) {
		pl.ApplySpeeds(now, 0, speedEntry(id, percent, 0))
	}
	return now
}

// speedEntry is an entry of a message: the endpoint's short hash, its factor in eighths, and its age.
func speedEntry(id int, percent, age byte) []byte {
	hash := place.EndpointHash(endpoint(id).ID, 0)
	return []byte{byte(hash >> 56), byte(hash >> 48), byte(int(percent) * 8 / 100), age}
}

// learn serves calls that take 400 ms for each of 100 tokens of output.
func learn(t *testing.T, pl *place.Placer, now time.Time) {
	t.Helper()
	for id := range uint64(30) {
		rq := newRequest(chat(1, 900+id))
		rq.MaxOutput = 100
		tk := pick(t, pl, now, rq)
		tk.RecordActivity(now.Add(50 * time.Millisecond))
		tk.Done(now.Add(2*time.Second), place.Served)
	}
}

// A chat whose answers would miss their deadlines at its slow home has its context copied elsewhere,
// stays there, and returns once the home has recovered, without being read again.
func TestChatReturnsToRecoveredHome(t *testing.T) {
	pl := newPlacer(1)
	register(pl, 4)
	learn(t, pl, begin)
	now := begin.Add(3 * time.Second)
	turn := func() *place.Ticket {
		rq := newRequest(chat(1, 7))
		rq.Deadline, rq.MaxOutput = now.Add(4*time.Second), 100
		return serve(t, pl, now, rq)
	}
	home := turn()
	var ix int
	if _, err := fmt.Sscanf(string(home.Endpoint.ID), "e%d", &ix); err != nil {
		t.Fatal(err)
	}
	now = slowFor(pl, now, 2*time.Second, ix, 250)
	if slow := pl.SlowEndpoints(now); len(slow) != 1 || slow[0].ID != home.Endpoint.ID || slow[0].Ahead != 2.5 || now.Sub(slow[0].Since) != 2*time.Second {
		t.Errorf("slow endpoints: %+v, want %s for 2 s", slow, home.Endpoint.ID)
	}
	away := turn()
	if away.AtHome || away.FetchFrom != home.Endpoint.Addr {
		t.Fatalf("the chat went to %s and fetches from %q, want another engine than %s and a fetch from there", away.Endpoint.ID, away.FetchFrom, home.Endpoint.ID)
	}
	if again := turn(); again.Endpoint.ID != away.Endpoint.ID || again.UncachedTokens > 1000 {
		t.Errorf("the next turn went to %s and reads %d tokens, want %s and the new ones only", again.Endpoint.ID, again.UncachedTokens, away.Endpoint.ID)
	}
	now = slowFor(pl, now, 100*time.Millisecond, ix, 100)
	if back := turn(); !back.AtHome || back.UncachedTokens > 1000 {
		t.Errorf("the chat went to %s and reads %d tokens, want its home and the new ones only", back.Endpoint.ID, back.UncachedTokens)
	}
}

// A request that no engine would finish in time goes to the fastest, not to one that merely has its
// prompt.
func TestHopelessRequestGoesToFastest(t *testing.T) {
	pl := newPlacer(1)
	register(pl, 3)
	learn(t, pl, begin)
	now := begin.Add(3 * time.Second)
	for at := begin; at.Before(now); at = at.Add(100 * time.Millisecond) {
		for ix, percent := range []byte{240, 240, 160} {
			pl.ApplySpeeds(at, 0, speedEntry(ix, percent, 0))
		}
	}
	for id := range uint64(20) {
		rq := newRequest([]place.Part{{Hash: id, Tokens: 200}, {Hash: 100 + id, Tokens: 200}})
		rq.Deadline, rq.MaxOutput = now.Add(time.Second), 100
		if tk := serve(t, pl, now, rq); tk.Endpoint.ID != "e02" {
			t.Fatalf("request %d went to %s, want e02", id, tk.Endpoint.ID)
		}
	}
}

// Guards against figures that never expire because two routers forward them to each other, against
// invalid entries, and against figures that outlive their time.
func TestForwardedSpeeds(t *testing.T) {
	one, other := newPlacer(2), newPlacer(2)
	register(one, 2)
	register(other, 2)
	slowness := func(pl *place.Placer, now time.Time) float64 {
		tk := pick(t, pl, now, &place.Request{Pool: pool, Engine: true, Tried: []core.EndpointID{endpoint(1).ID}})
		tk.Done(now, place.Served)
		return tk.Slowness
	}
	for _, ca := range []struct {
		packed []byte
		want   float64
	}{
		{nil, 1},
		{speedEntry(0, 200, 0)[:3], 1},
		{speedEntry(0, 200, 80), 1},
		{[]byte{1, 2, 255, 0}, 1},
		{speedEntry(0, 50, 70), 1},
		{speedEntry(0, 200, 60), 2},
		{append(speedEntry(0, 250, 40), 1, 2, 3), 2.5},
		{speedEntry(0, 200, 50), 2.5},
	} {
		one.ApplySpeeds(begin, time.Millisecond, ca.packed)
		if got := slowness(one, begin); got != ca.want {
			t.Errorf("after %v: factor %.2f, want %.2f", ca.packed, got, ca.want)
		}
	}
	now := begin
	for range 200 {
		now = now.Add(10 * time.Millisecond)
		other.ApplySpeeds(now, time.Millisecond, one.Speeds(now))
		one.ApplySpeeds(now, time.Millisecond, other.Speeds(now))
	}
	if got := slowness(other, now); got != 1 {
		t.Errorf("2 s after the figure the factor is %.2f, want 1", got)
	}
	var many place.Placer
	many.Rand, many.RouterCount = newRand(1), func() int { return 1 }
	register(&many, 60)
	for ix := range 60 {
		many.ApplySpeeds(now, 0, speedEntry(ix, 200, byte(ix)))
	}
	packed := many.Speeds(now)
	if len(packed) != 64 || packed[3] != 0 || packed[63] != 15 {
		t.Fatalf("forwarded: %v, want the 16 newest of 60 figures, the newest first", packed)
	}
	if recent := place.SpeedsWithin(packed, 60*time.Millisecond); len(recent) != 20 {
		t.Errorf("%d bytes are not older than 60 ms, want those of 5 figures", len(recent))
	}
}

// BenchmarkUneven measures a choice and a report among the largest fleet, with a third of the
// engines slow.
func BenchmarkUneven(b *testing.B) {
	pl, prompt := loadedPlacer(fleets[len(fleets)-1])
	now := begin
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		for ix := 0; ix < 2100; ix += 3 {
			pl.ApplySpeeds(now, 0, speedEntry(ix, 250, 0))
		}
	}
	ra := newRand(5)
	b.Run("choice", func(b *testing.B) {
		for b.Loop() {
			rq := prompt(ra.Uint64())
			rq.GoalAt, rq.Deadline, rq.MaxOutput = now.Add(time.Second), now.Add(8*time.Second), 300
			if tk, rf := pl.Pick(now, rq); rf == nil {
				tk.Done(now, place.Served)
			}
		}
	})
	b.Run("report", func(b *testing.B) {
		for b.Loop() {
			pl.Speeds(now)
		}
	})
}
