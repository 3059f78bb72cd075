package gossip_test

import "testing"

// Each of hundreds of routers would write its address, renew it, and have all others told:
// calls to the store that grow with the fleet. A few are enough to be found by; where they
// are lost, others take their place, or a newcomer finds nobody.
func TestFewRoutersAnnounce(t *testing.T) {
	const count, want = 12, 8
	all := meet(t, count)
	announcing := func() (announcers []*router) {
		for _, ro := range all {
			if ro.ShouldAnnounce() {
				announcers = append(announcers, ro)
			}
		}
		return announcers
	}
	first := announcing()
	if len(first) != want {
		t.Fatalf("%d of %d routers announce themselves, want %d", len(first), count, want)
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
		return alive == want
	})
}

// A router that hears nobody has to be found by others: it announces itself.
func TestIsolatedRouterAnnounces(t *testing.T) {
	if !start(t, 0).ShouldAnnounce() {
		t.Error("a router that hears nobody does not announce itself")
	}
}
