package gossip_test

import "testing"

// Guards against calls to the store that grow with the fleet: each of hundreds of routers would
// write its address, renew it, and have all others receive it. A few that announce themselves
// suffice; where these are lost, others must take their place, or a joining router finds nobody.
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
	eventually(t, "others take the place of lost announced routers", func() bool {
		alive := 0
		for _, ro := range announcing() {
			if !ro.stopped {
				alive++
			}
		}
		return alive == want
	})
}

// An isolated router must announce itself, so that others can find it.
func TestIsolatedRouterAnnounces(t *testing.T) {
	if !start(t, 0).ShouldAnnounce() {
		t.Error("an isolated router does not announce itself")
	}
}
