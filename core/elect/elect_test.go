package elect_test

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"almondrill/core/elect"
)

// fleet simulates routers that watch a store and exchange the watchers they know, in virtual time.
type fleet struct {
	rand    *rand.Rand
	now     time.Time
	routers []*router // by rank
	// rejects reports whether the store rejects a router's calls.
	rejects func(ro *router) bool
	// calls counts the calls to the store.
	calls int
}

type router struct {
	elect.Table
	hash elect.Hash
	rank int
	// confirmed is the time of the store's latest confirmation known here, busyUntil the end of the
	// router's own call, answeredAt when one was last answered.
	confirmed, busyUntil, answeredAt time.Time
}

const (
	step = 50 * time.Millisecond
	// A call ends after watchDuration, or callTimeout if it is rejected. A router whose confirmation is
	// older than confirmationTimeout calls the store on its own. In each step it sends messagesPerStep
	// messages.
	watchDuration       = 600 * time.Millisecond
	callTimeout         = 1300 * time.Millisecond
	confirmationTimeout = 1300 * time.Millisecond
	messagesPerStep     = 2
)

func newFleet(count int) *fleet {
	fl := &fleet{rand: rand.New(rand.NewPCG(1, uint64(count))), now: time.Unix(1_000_000, 0), rejects: func(*router) bool { return false }}
	for range count {
		fl.routers = append(fl.routers, &router{hash: elect.Hash(fl.rand.Uint32()), confirmed: fl.now})
	}
	slices.SortFunc(fl.routers, func(a, b *router) int { return int(int64(a.hash) - int64(b.hash)) })
	for rank, ro := range fl.routers {
		ro.rank = rank
	}
	return fl
}

func (fl *fleet) run(duration time.Duration) {
	for end := fl.now.Add(duration); fl.now.Before(end); {
		fl.now = fl.now.Add(step)
		for _, ro := range fl.routers {
			fl.stepRouter(ro)
		}
	}
}

func (fl *fleet) stepRouter(ro *router) {
	if fl.now.After(ro.busyUntil) && (fl.isElected(ro) || fl.now.Sub(ro.confirmed) > confirmationTimeout+elect.TakeoverDelay(ro.rank)) {
		fl.calls++
		duration := watchDuration
		if fl.rejects(ro) {
			duration = callTimeout
		} else {
			ro.confirmed, ro.answeredAt = fl.now, fl.now
			ro.Apply(fl.now, []elect.Watcher{{Hash: ro.hash, At: fl.now}})
		}
		ro.busyUntil = fl.now.Add(duration)
	}
	elected := ro.Elected(fl.now)
	for range messagesPerStep {
		to := fl.routers[fl.rand.IntN(len(fl.routers))]
		to.Apply(fl.now, elected)
		if ro.confirmed.After(to.confirmed) {
			to.confirmed = ro.confirmed
		}
	}
}

func (fl *fleet) isElected(ro *router) bool {
	return ro.IsElected(fl.now, ro.hash, ro.rank, fl.now.Sub(ro.answeredAt))
}

func (fl *fleet) electedCount() (count int) {
	for _, ro := range fl.routers {
		if fl.isElected(ro) {
			count++
		}
	}
	return count
}

// oldestConfirmation returns the greatest age of a router's latest confirmation.
func (fl *fleet) oldestConfirmation() time.Duration {
	var most time.Duration
	for _, ro := range fl.routers {
		most = max(most, fl.now.Sub(ro.confirmed))
	}
	return most
}

// sizes returns the size of the whole fleet, a small one, and twice and four times the whole; the last
// on request.
func sizes() []int {
	if *large {
		return []int{4, 357, 714, 1428}
	}
	return []int{4, 357, 714}
}

var large = flag.Bool("large", false, "simulate fleets of 1,428 routers too")

// Guards against a number of watchers that grows with the fleet, because each router receives messages
// from any other one only every few seconds.
func TestTwoWatchTheStoreAtAnySize(t *testing.T) {
	for _, size := range sizes() {
		fl := newFleet(size)
		fl.run(5 * time.Second)
		fl.calls = 0
		fl.run(10 * time.Second)
		if got := fl.electedCount(); got != elect.ElectedCount {
			t.Errorf("%d routers: %d are elected", size, got)
		}
		if limit := 2 * int(10*time.Second/watchDuration); fl.calls > limit {
			t.Errorf("%d routers: %d calls in 10 s, want at most %d", size, fl.calls, limit)
		}
		if old := fl.oldestConfirmation(); old > confirmationTimeout {
			t.Errorf("%d routers: the oldest confirmation of the store is %s old", size, old)
		}
	}
}

// Guards against all routers calling an unresponsive store at once, again and again, and against views
// that stay stale after its return.
func TestSilentStoreIsCalledByFew(t *testing.T) {
	for _, size := range sizes() {
		fl := newFleet(size)
		fl.run(5 * time.Second)
		fl.calls = 0
		fl.rejects = func(*router) bool { return true }
		const silence = 8 * time.Second
		fl.run(silence)
		if fl.calls > 150 {
			t.Errorf("%d routers: %d calls while the store did not respond for %s, want at most 150", size, fl.calls, silence)
		}
		fl.rejects = func(*router) bool { return false }
		fl.run(time.Second)
		if old := fl.oldestConfirmation(); old > time.Second {
			t.Errorf("%d routers: the oldest confirmation of the store is %s old, 1 s after its return", size, old)
		}
		fl.run(5 * time.Second)
		if got := fl.electedCount(); got != elect.ElectedCount {
			t.Errorf("%d routers: %d are elected after the store's return", size, got)
		}
	}
}

// Guards against changes that are not received while the store rejects the elected routers and a third
// of the others, or once the elected routers have ended.
func TestOthersTakeOverFromRejectedWatchers(t *testing.T) {
	for _, size := range sizes()[1:] {
		for name, rejects := range map[string]func(ro *router) bool{
			"two":     func(ro *router) bool { return ro.rank < elect.ElectedCount },
			"a third": func(ro *router) bool { return ro.rank < 5 || ro.hash%3 == 0 },
		} {
			fl := newFleet(size)
			fl.run(5 * time.Second)
			fl.rejects = rejects
			var oldest time.Duration
			for range 200 {
				fl.run(step)
				oldest = max(oldest, fl.oldestConfirmation())
			}
			if oldest > 2500*time.Millisecond {
				t.Errorf("%d routers, %s rejected: the oldest confirmation of the store was %s old", size, name, oldest)
			}
			fl.rejects = func(*router) bool { return false }
			fl.run(5 * time.Second)
			if got := fl.electedCount(); got != elect.ElectedCount {
				t.Errorf("%d routers: %d are elected once no router is rejected", size, got)
			}
		}
	}
}

// Guards against a table that grows without bound, and against watchers that are kept too long.
func TestOnlyRecentWatchersAreKept(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	ta := &elect.Table{}
	for ha := range elect.Hash(1000) {
		ta.Apply(now, []elect.Watcher{{Hash: 1000 - ha, At: now}})
	}
	ta.Apply(now, []elect.Watcher{{Hash: 0, At: now.Add(-time.Minute)}})
	if elected := ta.Elected(now); len(elected) != 2 || elected[0].Hash != 1 || elected[1].Hash != 2 {
		t.Errorf("%+v", elected)
	}
	if elected := ta.Elected(now.Add(2 * time.Second)); len(elected) != 0 {
		t.Errorf("elected watchers 2 s later: %+v, want none", elected)
	}
}
