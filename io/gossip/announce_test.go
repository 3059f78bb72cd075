package gossip_test

import "testing"

// Each of hundreds of routers would write its address, renew it, and have all others told:
// calls to the store that grow with the fleet. A few are enough to be found by; where they
// are lost, others take their place, or a newcomer finds nobody.
func TestFewAnnounceThemselves(t *testing.T) {
	const count, few = 12, 8
	all := meet(t, count)
	announcing := func() (some []*router) {
		for _, ro := range all {
			if ro.Announces() {
				some = append(some, ro)
			}
		}
		return some
	}
	first := announcing()
	if len(first) != few {
		t.Fatalf("%d of %d routers announce themselves, want %d", len(first), count, few)
	}
	for _, ro := range first[:3] {
		ro.stop()
	}
	eventually(t, "others take the place of those that are lost", func() bool {
		alive := 0
		for _, ro := range announcing() {
			if !ro.stopped {
				alive++
			}
		}
		return alive == few
	})
}

// A router that hears nobody has to be found by others: it announces itself.
func TestLonelyRouterAnnouncesItself(t *testing.T) {
	if !start(t, 0).Announces() {
		t.Error("a router that hears nobody does not announce itself")
	}
}
