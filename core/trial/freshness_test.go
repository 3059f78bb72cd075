package trial_test

import (
	"slices"
	"testing"
	"time"
)

// Guards against a load cap that is based on outdated figures: in a pool of six agents, peers' loads are
// up to a second old, 95 in 100 of them, and each peer is met within a round of five exchanges.
func TestPeerLoadsAreFresh(t *testing.T) {
	const (
		bound, oldest = time.Second, 5 * 450 * time.Millisecond * 5 / 4
		quantile      = 0.95
	)
	runHarness(t, 8, func(st *harness) {
		time.Sleep(5 * time.Second)
		var ages []time.Duration
		for range 600 {
			time.Sleep(100 * time.Millisecond)
			for _, me := range st.fl.LiveAgents() {
				for _, en := range me.Agent.Slots[0].Gate().Loads.Freshest(10) {
					ages = append(ages, en.Age)
				}
			}
		}
		slices.Sort(ages)
		if got := ages[int(quantile*float64(len(ages)))]; got > bound {
			t.Errorf("95 in 100 figures are up to %s old, want %s", got, bound)
		}
		if got := ages[len(ages)-1]; got > oldest {
			t.Errorf("the oldest figure is %s old, want at most %s", got, oldest)
		}
	})
}
