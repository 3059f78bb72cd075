package loads_test

import (
	"fmt"
	"math"
	"testing"
	"testing/synctest"
	"time"

	"almondrill/core"
	"almondrill/core/loads"
	"almondrill/io/clock"
)

func table(peers int) *loads.Table {
	ta := &loads.Table{Clock: clock.Wall{}, Pool: "chat", Self: "self"}
	var vms []core.VMID
	for n := range peers {
		vms = append(vms, vm(n))
	}
	ta.SetPeers(vms)
	return ta
}

func vm(n int) core.VMID { return core.VMID(fmt.Sprint("agent-", n)) }

// The loads of a pool rise fast after an outage, and the peers' samples are a second old. Without
// extrapolation every agent would consider itself above the mean and refuse calls.
func TestRisingLoadsAreExtrapolated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ta := table(10)
		for step := range 100 {
			time.Sleep(100 * time.Millisecond)
			for n := range 10 {
				ta.Observe(core.LoadEntry{Pool: "chat", VM: vm(n), Load: core.Work(1000 + 100*step), Age: time.Second})
			}
			ta.Mean(0)
		}
		now := 1000.0 + 100*109
		others := float64(ta.Mean(0)) * 11 / 10
		if others < 0.95*now || others > 1.05*now {
			t.Errorf("estimated mean of the peers %.0f, want %.0f within 5 %%", others, now)
		}
	})
}

// Guards against a gate that admits far beyond the load cap because the loads of a small pool swing up
// and down within seconds: an upswing that is extrapolated by the age of the samples, when the loads
// fall again already, gives a mean that the pool never has.
func TestSwingIsNotExtrapolated(t *testing.T) {
	const mean, swing, period = 400.0, 80.0, 2.5
	synctest.Test(t, func(t *testing.T) {
		ta := table(5)
		highest := 0.0
		for step := range 300 {
			time.Sleep(100 * time.Millisecond)
			load := mean + swing*math.Sin(2*math.Pi*float64(step)/10/period)
			for n := range 5 {
				ta.Observe(core.LoadEntry{Pool: "chat", VM: vm(n), Load: core.Work(load), Age: time.Second})
			}
			highest = max(highest, float64(ta.Mean(0))*6/5)
		}
		if limit := 1.05 * (mean + swing); highest > limit {
			t.Errorf("estimated mean of the peers up to %.0f, want at most %.0f", highest, limit)
		}
	})
}

// The load of one agent grows while those of its peers stay constant. The agent must not mistake its
// own growth for a trend of the pool: Mean must be the plain average.
func TestOwnLoadDoesNotAffectTrend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ta := table(10)
		for step := range 50 {
			time.Sleep(100 * time.Millisecond)
			for n := range 10 {
				ta.Observe(core.LoadEntry{Pool: "chat", VM: vm(n), Load: 1000, Age: 500 * time.Millisecond})
			}
			own := core.Work(1000 + 200*step)
			if mean, want := ta.Mean(own), (10*1000+own)/11; mean != want {
				t.Fatalf("mean load %d, want %d", mean, want)
			}
		}
	})
}

// A sample that arrives after a newer one, over a slower path, must be ignored.
func TestOlderSampleIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ta := table(1)
		ta.Observe(core.LoadEntry{Pool: "chat", VM: vm(0), Load: 500, Age: time.Second})
		ta.Observe(core.LoadEntry{Pool: "chat", VM: vm(0), Load: 900, Age: 2 * time.Second})
		if load, fresh := ta.LoadOf(vm(0)); load != 500 || !fresh {
			t.Errorf("load %d, fresh %v; want 500, true", load, fresh)
		}
	})
}

// Many refusals at once must not all name the same less loaded peer.
func TestAlternativesAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ta := table(10)
		for n := range 10 {
			ta.Observe(core.LoadEntry{Pool: "chat", VM: vm(n), Load: core.Work(100 * n)})
		}
		ra := clock.NewRand(1)
		first := map[core.VMID]int{}
		for range 1000 {
			first[ta.LessLoaded(800, 3, ra)[0]]++
		}
		if len(first) < 8 || first[vm(0)] > 400 {
			t.Errorf("%v", first)
		}
		if first[vm(8)]+first[vm(9)] > 0 {
			t.Errorf("alternatives include peers at or above the limit: %v", first)
		}
	})
}
