package elect_test

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"almondrill/core/elect"
)

// fleet is routers that ask a store and tell each other of followers, on virtual time.
type fleet struct {
	rand    *rand.Rand
	now     time.Time
	routers []*router // by rank
	// rejects tells which routers the store does not answer.
	rejects func(ro *router) bool
	// calls counts those to the store.
	calls int
}

type router struct {
	elect.Table
	hash elect.Hash
	rank int
	// confirmed is when the store confirmed what is known here, asked until when the own call lasts,
	// followed when one was answered.
	confirmed, busyUntil, answeredAt time.Time
}

const (
	step = 50 * time.Millisecond
	// A call lasts for a wait, or until its timeout; words are how many peers are told in a step.
	watchDuration   = 600 * time.Millisecond
	callTimeout     = 1300 * time.Millisecond
	takeoverDelay   = 1300 * time.Millisecond
	messagesPerStep = 2
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

func (fl *fleet) run(lasting time.Duration) {
	for end := fl.now.Add(lasting); fl.now.Before(end); {
		fl.now = fl.now.Add(step)
		for _, ro := range fl.routers {
			fl.stepRouter(ro)
		}
	}
}

func (fl *fleet) stepRouter(ro *router) {
	if fl.now.After(ro.busyUntil) && (fl.isElected(ro) || fl.now.Sub(ro.confirmed) > takeoverDelay+elect.AskDelay(ro.rank)) {
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

// oldestConfirmation is the age of the confirmation at the router that has the oldest.
func (fl *fleet) oldestConfirmation() time.Duration {
	var most time.Duration
	for _, ro := range fl.routers {
		most = max(most, fl.now.Sub(ro.confirmed))
	}
	return most
}

// sizes are those of the whole fleet, and twice and four times as many; the latter on request.
func sizes() []int {
	if *large {
		return []int{4, 357, 714, 1428}
	}
	return []int{4, 357, 714}
}

var large = flag.Bool("large", false, "play fleets of 1,428 routers too")

// Guards against followers whose number grows with the fleet, as each router hears the others only
// every few seconds.
func TestTwoWatchTheStoreAtAnySize(t *testing.T) {
	for _, size := range sizes() {
		fl := newFleet(size)
		fl.run(5 * time.Second)
		fl.calls = 0
		fl.run(10 * time.Second)
		if got := fl.electedCount(); got != elect.ElectedCount {
			t.Errorf("%d routers: %d lead", size, got)
		}
		if limit := 2 * int(10*time.Second/watchDuration); fl.calls > limit {
			t.Errorf("%d routers: %d calls in 10 s, at most %d", size, fl.calls, limit)
		}
		if old := fl.oldestConfirmation(); old > takeoverDelay {
			t.Errorf("%d routers: the store's word is %s old somewhere", size, old)
		}
	}
}

// Guards against a silent store that is asked by all routers at once, again and again, and against
// beliefs that stay old after its return.
func TestSilentStoreIsCalledByFew(t *testing.T) {
	for _, size := range sizes() {
		fl := newFleet(size)
		fl.run(5 * time.Second)
		fl.calls = 0
		fl.rejects = func(*router) bool { return true }
		const silence = 8 * time.Second
		fl.run(silence)
		if fl.calls > 150 {
			t.Errorf("%d routers: %d calls in a silence of %s", size, fl.calls, silence)
		}
		fl.rejects = func(*router) bool { return false }
		fl.run(time.Second)
		if old := fl.oldestConfirmation(); old > time.Second {
			t.Errorf("%d routers: the store's word is %s old somewhere, 1 s after its return", size, old)
		}
		fl.run(5 * time.Second)
		if got := fl.electedCount(); got != elect.ElectedCount {
			t.Errorf("%d routers: %d lead after the store's return", size, got)
		}
	}
}

// Guards against news that stays away while the store turns away the routers that lead, and a third
// of the others, or the routers that lead have ended.
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
				t.Errorf("%d routers, %s turned away: the store's word was %s old somewhere", size, name, oldest)
			}
			fl.rejects = func(*router) bool { return false }
			fl.run(5 * time.Second)
			if got := fl.electedCount(); got != elect.ElectedCount {
				t.Errorf("%d routers: %d lead once nobody is turned away", size, got)
			}
		}
	}
}

// Guards against a table that grows, and against followers of long ago.
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
		t.Errorf("2 s later %+v", elected)
	}
}
