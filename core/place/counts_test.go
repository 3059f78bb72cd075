package place_test

import (
	"math"
	"testing"
	"time"

	"almondrill/core/gauge"
	"almondrill/core/place"
	"almondrill/core/ring"
)

// crowd is the load of a stage's start: calls double for four seconds, and at each moment a
// few chats are asked some thirty times, as a runner comes into sight.
func crowd(seed uint64, routers, reportSteps int, kept counts) *surge {
	const (
		engines, places, runs = 45, 16, 57
		usual                 = 5.0 * engines / runs
		chats                 = 20 * engines
		// popular chats get a sixth of the calls, each for the steps of a moment.
		popular, moment = 3, 60
	)
	su := newSurge(routers, engines, places, runs)
	su.seed, su.reportSteps, su.goal, su.counts = seed, reportSteps, 40, kept
	su.prompt = func(id uint64) []place.Part {
		return []place.Part{{Hash: id % 12, Tokens: 700}, {Hash: 1000 + id, Tokens: 1300}, {Hash: 1 << 40, Tokens: 360}}
	}
	su.chat = func(ra testRand) uint64 {
		if ra.IntN(6) == 0 {
			return ring.Mix(uint64(su.step/moment), uint64(ra.IntN(popular))) % chats
		}
		return ra.Uint64() % chats
	}
	su.play(usual, 200)
	su.late = 0 // routers that have just started know little yet
	su.play(2*usual, 400)
	return su
}

// A stage starts, and for some seconds twice as many spectators ask. A popular runner's chats
// share a home; each of many routers sees its own few calls there and those that the
// others had most of a second ago. The engine gets twice as many calls as it has places,
// and they wait behind each other, though others have places free. Asked before the choice,
// the router that keeps the engine's count tells how many it has.
func TestPopularHomesAreNotOverrun(t *testing.T) {
	const (
		many, rarely = 50, 80 // each hears the others every 0.8 s
		few, often   = 12, 20
		seeds        = 3
	)
	var all, told, asked, small, refused int
	for seed := range uint64(seeds) {
		byPeers, byCounts := crowd(seed, many, rarely, nil), crowd(seed, many, rarely, &gauge.Table{})
		all += byPeers.all
		told += byPeers.late
		asked += byCounts.late
		refused += byCounts.lost - byPeers.lost
		small += crowd(seed, few, often, nil).late
	}
	t.Logf("late of %d: %d by what peers told, %d by the counts; %d among few routers", all, told, asked, small)
	// The counts of late callers are random: two deviations of their difference are allowed.
	if spread := 2 * math.Sqrt(float64(asked+small)); float64(asked) > float64(small)+spread {
		t.Errorf("%d callers are late among many routers, want no more than the %d among few", asked, small)
	}
	if told <= small {
		t.Error("what peers tell is good enough among many routers: the load shows nothing")
	}
	if refused > 0 {
		t.Errorf("%d callers more are refused where counts are asked", refused)
	}
}

// A router that shares its engines asks for a count that may have changed since it heard of
// it, and not for one of this moment. One that is alone knows all calls itself.
func TestNeedsCountWhenStale(t *testing.T) {
	alone, shared := newPlacer(1), newPlacer(2)
	register(alone, 1)
	register(shared, 1)
	for _, pl := range []*place.Placer{alone, shared} {
		if _, uncertain := pl.NeedsCount(begin, newRequest(nil)); uncertain {
			t.Error("a count is asked for in a pool that is idle")
		}
		for range 12 {
			pick(t, pl, begin, newRequest(nil))
		}
	}
	if _, uncertain := alone.NeedsCount(begin, newRequest(nil)); uncertain {
		t.Error("a router that is alone asks for a count")
	}
	endpoint, uncertain := shared.NeedsCount(begin, newRequest(nil))
	if !uncertain || endpoint != place.EndpointHash("e00", 0) {
		t.Fatal("a count that was never heard is not asked for")
	}
	shared.ApplyCount(begin, endpoint, 5)
	if _, uncertain = shared.NeedsCount(begin.Add(10*time.Millisecond), newRequest(nil)); uncertain {
		t.Error("a count of this moment is asked for")
	}
	if _, uncertain = shared.NeedsCount(begin.Add(200*time.Millisecond), newRequest(nil)); !uncertain {
		t.Error("a count of 200 ms ago is not asked for")
	}
}

// Peers told of calls that have ended since. The engine's own count of a moment ago goes
// before them, or the chat leaves a home that has room.
func TestFreshCountOverridesLoadReports(t *testing.T) {
	pl, peer := newPlacer(2), newPlacer(2)
	register(pl, 1)
	register(peer, 1)
	for range 3 {
		pick(t, peer, begin, newRequest(nil))
	}
	pl.ApplyLoadReport(begin, "peer", peer.LoadReport())
	pl.ApplyCount(begin.Add(time.Millisecond), place.EndpointHash(endpoint(0).ID, 0), 1)
	if tk := pick(t, pl, begin.Add(2*time.Millisecond), newRequest(nil)); tk.PeerCalls != 1 {
		t.Errorf("%d calls of others are believed, want the 1 that the endpoint counted", tk.PeerCalls)
	}
	if tk := pick(t, pl, begin.Add(time.Second), newRequest(nil)); tk.PeerCalls != 3 {
		t.Errorf("%d calls of others are believed a second later, want the 3 that were told", tk.PeerCalls)
	}
}
