package place_test

import (
	"math"
	"sync"
	"testing"
	"time"

	"almondrill/core/gauge"
	"almondrill/core/place"
	"almondrill/core/ring"
)

// crowd simulates the start of a stage: calls double for four seconds, and at each moment a few
// chats get some thirty calls each, as when a runner comes into sight.
func crowd(seed uint64, routers, reportSteps int, owned counts) *surge {
	const (
		engines, slots, callSteps = 45, 16, 57
		usual                     = 5.0 * engines / callSteps
		chats                     = 20 * engines
		// popular chats get a sixth of the calls, each for moment steps.
		popular, moment = 3, 60
	)
	su := newSurge(routers, engines, slots, callSteps)
	su.seed, su.reportSteps, su.goal, su.counts = seed, reportSteps, 40, owned
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

// Guards against overloaded homes of popular chats: at the start of a stage twice as many
// spectators send requests for some seconds, and a popular runner's chats share a home. Each of
// many routers sees its own few calls there and those that its peers had most of a second ago, so
// that the engine gets twice as many calls as it has slots, and they queue while other engines have
// free slots. Asked before the choice, the router that owns the engine's count reports how many
// calls it has.
func TestPopularHomesAreNotOverrun(t *testing.T) {
	t.Parallel()
	const (
		many, rarely = 50, 80 // each receives the others' reports every 0.8 s
		few, often   = 12, 20
		seeds        = 3
	)
	var all, byReports, asked, amongFew, refused int
	var byPeers, byCounts, byFew [seeds]*surge
	var runs sync.WaitGroup
	for seed := range uint64(seeds) {
		runs.Go(func() { byPeers[seed] = crowd(seed, many, rarely, nil) })
		runs.Go(func() { byCounts[seed] = crowd(seed, many, rarely, &gauge.Table{}) })
		runs.Go(func() { byFew[seed] = crowd(seed, few, often, nil) })
	}
	runs.Wait()
	for seed := range seeds {
		all += byPeers[seed].all
		byReports += byPeers[seed].late
		asked += byCounts[seed].late
		refused += byCounts[seed].lost - byPeers[seed].lost
		amongFew += byFew[seed].late
	}
	t.Logf("late of %d: %d by load reports, %d by counts; %d among few routers", all, byReports, asked, amongFew)
	// The numbers of late callers are random: two deviations of their difference are allowed.
	if spread := 2 * math.Sqrt(float64(asked+amongFew)); float64(asked) > float64(amongFew)+spread {
		t.Errorf("%d callers are late among many routers, want no more than the %d among few", asked, amongFew)
	}
	if byReports <= amongFew {
		t.Error("load reports suffice among many routers: the load does not test counts")
	}
	if refused > 0 {
		t.Errorf("%d more callers are refused if counts are requested", refused)
	}
}

// Guards against needless and missing requests for counts: a router that shares its engines
// requests a count that may have changed since it was received, but not a current one. A single
// router knows all calls itself.
func TestNeedsCountWhenStale(t *testing.T) {
	alone, shared := newPlacer(1), newPlacer(2)
	register(alone, 1)
	register(shared, 1)
	for _, pl := range []*place.Placer{alone, shared} {
		if _, uncertain := pl.NeedsCount(begin, newRequest(nil)); uncertain {
			t.Error("a count is requested in an idle pool")
		}
		for range 12 {
			pick(t, pl, begin, newRequest(nil))
		}
	}
	if _, uncertain := alone.NeedsCount(begin, newRequest(nil)); uncertain {
		t.Error("a single router requests a count")
	}
	endpoint, uncertain := shared.NeedsCount(begin, newRequest(nil))
	if !uncertain || endpoint != place.EndpointHash("e00", 0) {
		t.Fatal("an unknown count is not requested")
	}
	shared.ApplyCount(begin, endpoint, 5)
	if _, uncertain = shared.NeedsCount(begin.Add(10*time.Millisecond), newRequest(nil)); uncertain {
		t.Error("a current count is requested")
	}
	if _, uncertain = shared.NeedsCount(begin.Add(200*time.Millisecond), newRequest(nil)); !uncertain {
		t.Error("a count of 200 ms ago is not requested again")
	}
}

// Guards against a chat that leaves a home with free capacity: peers reported calls that have ended
// since, so that the engine's own recent count takes precedence.
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
		t.Errorf("%d calls of peers, want the 1 that the endpoint counted", tk.PeerCalls)
	}
	if tk := pick(t, pl, begin.Add(time.Second), newRequest(nil)); tk.PeerCalls != 3 {
		t.Errorf("%d calls of peers a second later, want the 3 that were reported", tk.PeerCalls)
	}
}
