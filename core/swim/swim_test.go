package swim_test

import (
	"flag"
	"slices"
	"testing"
	"time"

	"almondrill/core/swim"
)

var large = flag.Bool("large", false, "simulate churn among 714 routers too")

// sizes are those of the fleets: small ones, the whole one, and twice as many.
var sizes = []int{4, 30, 357, 714}

// deadWithin is the time within which all routers have to know of a lost one, whatever their number.
const deadWithin = 7 * time.Second

// Guards against detection by a round of messages to all peers, which takes longer the more there are.
// For that long, routers would disagree on the owner of an endpoint's count.
func TestLostRouterIsKnownToAllAtAnySize(t *testing.T) {
	t.Parallel()
	for _, size := range sizes {
		fl := newFleet(t, size)
		fl.connectAll()
		fl.run(2 * time.Second)
		lost := fl.routers[size/2]
		lost.down = true
		first := fl.waitUntil(deadWithin, "one router knows of the lost one", func() bool { return fl.countSeeingAlive(lost) < size-1 })
		half := fl.waitUntil(deadWithin, "half of the routers know of the lost one", func() bool { return fl.countSeeingAlive(lost) <= size/2 })
		all := fl.waitUntil(deadWithin, "all routers know of the lost one", func() bool { return fl.countSeeingAlive(lost) == 0 })
		t.Logf("%d routers: lost one detected by the first after %s, half %s, all %s", size, first, first+half, first+half+all)
		if first+half+all > deadWithin {
			t.Errorf("%d routers: detected by all after %s, want %s", size, first+half+all, deadWithin)
		}
	}
}

// Guards against routers that disagree on owners for good: grants for cold endpoints and call counts
// hold only while all agree on one.
func TestRoutersAgreeOnOwnersThroughChurn(t *testing.T) {
	t.Parallel()
	churned := []int{30, 357}
	if *large {
		churned = append(churned, 714)
	}
	for _, size := range churned {
		fl := newFleet(t, size)
		fl.connectAll()
		fl.run(2 * time.Second)
		const seconds = 20
		var total, least float64 = 0, 1
		for second := range seconds {
			if second < seconds/2 { // one in fifty is lost each second, and back after two
				for ix := range max(1, size/50) {
					ro := fl.routers[(second*size/50+ix)%size]
					ro.down = true
				}
			}
			fl.run(time.Second)
			if second >= 2 {
				for ix := range max(1, size/50) {
					if ro := fl.routers[((second-2)*size/50+ix)%size]; ro.down {
						fl.start(ro)
					}
				}
			}
			ag := fl.agreement()
			total, least = total+ag, min(least, ag)
		}
		end := fl.agreement()
		t.Logf("%d routers: agree on the owner %.3f on average, %.3f at least, %.3f at the end", size, total/seconds, least, end)
		if mean := total / seconds; mean < 0.9 || end < 0.99 {
			t.Errorf("%d routers: %.3f agree on the owner, %.3f at the end; want 0.9 and 0.99", size, mean, end)
		}
	}
}

// Guards against running routers that are declared dead, which loses the counts that they own.
func TestNoRouterIsFalselyDeclaredDead(t *testing.T) {
	t.Parallel()
	for name, disturb := range map[string]func(fl *fleet){
		"messages are lost": func(fl *fleet) { fl.lossRate = 0.03 },
		"a one-way cut": func(fl *fleet) {
			fl.cut = func(from, to *router) bool { return from == fl.routers[1] && to == fl.routers[2] }
		},
		"a pause of 1.5 s": func(fl *fleet) {
			fl.routers[5].down = true
			fl.run(1500 * time.Millisecond)
			fl.routers[5].down = false
		},
	} {
		t.Run(name, func(t *testing.T) {
			const size = 200
			fl := newFleet(t, size)
			fl.connectAll()
			fl.run(2 * time.Second)
			disturb(fl)
			for range 15 {
				fl.run(time.Second)
				for ix, ro := range fl.routers {
					if got := fl.countSeeingAlive(ro); got < size-1 {
						t.Fatalf("router %d is considered alive by %d of %d others", ix, got, size-1)
					}
				}
			}
		})
	}
}

// Guards against two partitions of a fleet that treat each other as dead for good after a network cut.
func TestPartitionsRejoinAfterACut(t *testing.T) {
	t.Parallel()
	const size = 100
	fl := newFleet(t, size)
	fl.connectAll()
	fl.run(2 * time.Second)
	side := func(ro *router) bool { return slices.Index(fl.routers, ro) < size/2 }
	sides := map[*router]bool{}
	for _, ro := range fl.routers {
		sides[ro] = side(ro)
	}
	fl.cut = func(from, to *router) bool { return sides[from] != sides[to] }
	fl.waitUntil(30*time.Second, "each partition treats the other as dead", func() bool {
		return fl.countSeeingAlive(fl.routers[0]) == size/2-1 && fl.countSeeingAlive(fl.routers[size-1]) == size/2-1
	})
	fl.cut = func(_, _ *router) bool { return false }
	fl.waitUntil(30*time.Second, "all routers consider each other alive", func() bool {
		for _, ro := range fl.routers {
			if fl.countSeeingAlive(ro) < size-1 {
				return false
			}
		}
		return true
	})
}

// Guards against an isolated router that convinces all others that their peers are dead, and against
// one of two routers that keeps counting on the other after its end.
func TestIsolatedRouter(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 50)
	fl.connectAll()
	fl.run(2 * time.Second)
	alone := fl.routers[7]
	fl.cut = func(from, to *router) bool { return from == alone || to == alone }
	fl.run(4 * time.Second)
	if got := alone.Live(); got > 0 {
		t.Errorf("%d peers are considered alive by a router that has received no message for 4 s", got)
	}
	fl.cut = func(_, _ *router) bool { return false }
	fl.waitUntil(5*time.Second, "all routers consider each other alive", func() bool {
		for _, ro := range fl.routers {
			if fl.countSeeingAlive(ro) < 49 {
				return false
			}
		}
		return true
	})
}

// Guards against a router that has shut down and still owns keys for peers that missed its last messages.
func TestAnnouncedShutdownIsKnownToAll(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 100)
	fl.connectAll()
	fl.run(2 * time.Second)
	ro := fl.routers[3]
	ro.Leave()
	for _, to := range fl.routers[10:14] {
		fl.send(ro, to)
	}
	ro.down = true
	fl.waitUntil(2*time.Second, "all know of its shutdown", func() bool { return fl.countSeeingAlive(ro) == 0 })
	fl.start(ro)
	fl.waitUntil(5*time.Second, "all consider it alive again", func() bool { return fl.countSeeingAlive(ro) == 99 })
}

// Guards against routers that do not know each other after all of them started at once.
func TestAllRoutersStartAtOnce(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 357)
	took := fl.waitUntil(4*time.Second, "all routers consider each other alive", func() bool {
		for _, ro := range fl.routers {
			if ro.Live() < 356 {
				return false
			}
		}
		return true
	})
	t.Logf("all routers know all after %s", took)
}

// Guards against a cost for each router that grows with the number of routers.
func TestMessagesDoNotGrowWithTheFleet(t *testing.T) {
	t.Parallel()
	perSecond := func(size int) float64 {
		fl := newFleet(t, size)
		fl.connectAll()
		fl.run(5 * time.Second)
		fl.sent = 0
		fl.run(5 * time.Second)
		return float64(fl.sent) / 5 / float64(size)
	}
	small, large := perSecond(100), perSecond(700)
	t.Logf("messages per router and second: %.1f of 100, %.1f of 700", small, large)
	if large > 1.1*small {
		t.Errorf("%.1f messages a second of 700 routers, %.1f of 100", large, small)
	}
}

// Guards against an outdated rumor that overrides a later one.
func TestOlderRumorsAreDropped(t *testing.T) {
	t.Parallel()
	now := time.Unix(1_000_000, 0)
	ta := &swim.Table{Self: "self:1", Rand: newFleet(t, 1).rand}
	apply := func(st swim.State, in swim.Incarnation) {
		ta.ApplyRumors(now, []swim.Rumor{{Addr: "a:1", State: st, Incarnation: in}})
	}
	for _, sp := range []struct {
		state swim.State
		in    swim.Incarnation
		alive bool
	}{
		{swim.Dead, 3, false},
		{swim.Alive, 3, true},
		{swim.Suspect, 3, true},
		{swim.Alive, 3, true},
		{swim.Dead, 3, false},
		{swim.Alive, 3, false},
		{swim.Suspect, 3, false},
		{swim.Alive, 4, true},
		{swim.Dead, 3, true},
		{swim.Left, 4, false},
		{9, 9, false},
	} {
		apply(sp.state, sp.in)
		if got := ta.Alive("a:1"); got != sp.alive {
			t.Errorf("after state %d of incarnation %d: alive %v, want %v", sp.state, sp.in, got, sp.alive)
		}
	}
	ta.ApplyRumors(now, []swim.Rumor{{Addr: "self:1", State: swim.Dead, Incarnation: 6}})
	if ta.Incarnation() != 7 {
		t.Errorf("incarnation %d after a rumor of its own death in 6, want 7", ta.Incarnation())
	}
}
