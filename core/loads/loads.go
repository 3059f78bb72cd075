// Package loads holds an agent's samples of its pool's loads and estimates the mean load.
//
// # Concepts
//
// Agents of a pool gossip their loads. A Table holds the latest sample of each peer with its age.
// Mean averages the agent's own load and all fresh samples. These are a sample of the pool; in a
// pool of more than a few dozen members the error is small. docs/design/load-cap.md discusses other
// estimates.
//
// # Invariants
//
//   - Samples older than MaxAge and those of draining peers do not count. If there are peers but no
//     fresh sample, the mean is 0, which leaves FloorWork as the load cap: an agent without reports
//     from its peers cannot overload its endpoints.
//   - An older sample never replaces a newer one, whichever path it arrived by.
//
// # Usage
//
//	ta := &loads.Table{Clock: clock}
//	ta.SetPeers(vms)
//	ta.Observe(entry)
//	mean := ta.Mean(ownLoad)
package loads

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"almondrill/core"
)

// Gauge is a load that can be read and written concurrently without locks.
type Gauge struct {
	work atomic.Int64
}

// Set stores the load.
func (ga *Gauge) Set(wo core.Work) { ga.work.Store(int64(wo)) }

// Get returns the load that was stored last.
func (ga *Gauge) Get() core.Work { return core.Work(ga.work.Load()) }

// MaxAge is the age beyond which a sample does not count.
const MaxAge = 5 * time.Second

type sample struct {
	load       core.Work
	throughput core.Work
	measuredAt time.Time
	draining   bool
}

// Table holds the load samples of one pool. Set the exported fields before use.
type Table struct {
	Clock core.Clock
	Pool  core.PoolID
	Self  core.VMID

	mu         sync.Mutex // guards all below
	peers      []core.VMID
	samples    map[core.VMID]sample
	freshSum   core.Work // sum of the peers' fresh loads as of summedAt
	freshCount int       // number of samples in freshSum
	summedAt   time.Time
	// trend and longTrend are the change of the peers' mean in work per second, smoothed over
	// trendWindow and longTrendWindow. trendMean and trendAt are the mean and the time of their last
	// update.
	trend     float64
	longTrend float64
	trendMean float64
	trendAt   time.Time
}

// sumTTL is how long the sum over the peers is cached. Admission reads it for every call, and within
// this time it changes by less than the work of one call.
const sumTTL = 10 * time.Millisecond

// SetPeers replaces the pool's live members; Self is ignored. It reports whether the list of peers
// changed.
func (ta *Table) SetPeers(vms []core.VMID) bool {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	before := slices.Clone(ta.peers)
	kept := make(map[core.VMID]sample, len(vms))
	ta.peers = ta.peers[:0]
	for _, vm := range vms {
		if vm == ta.Self {
			continue
		}
		ta.peers = append(ta.peers, vm)
		if sa, known := ta.samples[vm]; known {
			kept[vm] = sa
		}
	}
	ta.samples = kept
	ta.summedAt = time.Time{}
	return !slices.Equal(before, ta.peers)
}

// Observe records a sample of a peer's load, measured en.Age ago.
func (ta *Table) Observe(en core.LoadEntry) {
	at := ta.Clock.Now().Add(-en.Age)
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if !slices.Contains(ta.peers, en.VM) {
		return
	}
	if old, known := ta.samples[en.VM]; known && !at.After(old.measuredAt) {
		return
	}
	ta.samples[en.VM] = sample{load: en.Load, throughput: en.Throughput, measuredAt: at, draining: en.Draining}
	ta.summedAt = time.Time{}
}

// Mean returns the mean of the pool's known loads, including ownLoad.
func (ta *Table) Mean(ownLoad core.Work) core.Work {
	now := ta.Clock.Now()
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if age := now.Sub(ta.summedAt); age < 0 || age > sumTTL {
		ta.refreshSum(now)
	}
	if ta.freshCount == 0 && len(ta.peers) > 0 {
		return 0
	}
	return (ta.freshSum + ownLoad) / core.Work(ta.freshCount+1)
}

// refreshSum sums the fresh samples and extrapolates them to now along the trend, the lesser of the
// short and the long one.
//
// Failure: the mean load of six agents rises to 450 and is back at 400 a second later. Extrapolated
// along the short trend alone, the peers' mean comes out at 560 by then, and a gate admits four calls
// beyond the cap.
func (ta *Table) refreshSum(now time.Time) {
	ta.summedAt = now
	var sum, age float64
	ta.freshCount = 0
	for _, sa := range ta.samples {
		if now.Sub(sa.measuredAt) > MaxAge || sa.draining {
			continue
		}
		sum += float64(sa.load)
		age += now.Sub(sa.measuredAt).Seconds()
		ta.freshCount++
	}
	if ta.freshCount == 0 {
		ta.freshSum = 0
		return
	}
	mean, meanAge := sum/float64(ta.freshCount), age/float64(ta.freshCount)
	ta.updateTrend(mean, now.Add(-time.Duration(meanAge*float64(time.Second))))
	extrapolated := min(mean*maxExtrapolation, max(0, min(ta.trend, ta.longTrend))*meanAge)
	ta.freshSum = core.Work((mean + extrapolated) * float64(ta.freshCount))
}

// updateTrend updates the trend of the peers' mean, in work per second. The agent's own load is not
// included: an agent whose load grows must not mistake its own growth for the pool's.
func (ta *Table) updateTrend(mean float64, at time.Time) {
	elapsed := at.Sub(ta.trendAt).Seconds()
	if elapsed < trendInterval.Seconds() {
		return
	}
	if elapsed < MaxAge.Seconds() {
		rate := (mean - ta.trendMean) / elapsed
		ta.trend += (rate - ta.trend) * min(1, elapsed/trendWindow.Seconds())
		ta.longTrend += (rate - ta.longTrend) * min(1, elapsed/longTrendWindow.Seconds())
	} else {
		ta.trend, ta.longTrend = 0, 0
	}
	ta.trendMean, ta.trendAt = mean, at
}

const (
	// trendInterval is the minimum time between updates of the trend, trendWindow and
	// longTrendWindow the times over which it is smoothed.
	trendInterval   = 300 * time.Millisecond
	trendWindow     = time.Second
	longTrendWindow = 4 * time.Second
	// maxExtrapolation bounds the extrapolated change, as a fraction of the mean.
	maxExtrapolation = 0.25
)

// LessLoaded returns up to maxCount peers whose load is below limit. They are drawn at random with
// probabilities proportional to their headroom, so that many refusals at once do not send all calls
// to the one least loaded peer.
func (ta *Table) LessLoaded(limit core.Work, maxCount int, ra core.Rand) []core.VMID {
	type drawn struct {
		vm  core.VMID
		key float64
	}
	now := ta.Clock.Now()
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var found []drawn
	for _, vm := range ta.peers { // in order, for reproducible runs with a seed
		sa, known := ta.samples[vm]
		headroom := limit - sa.load
		if !known || headroom <= 0 || sa.draining || now.Sub(sa.measuredAt) > MaxAge {
			continue
		}
		// The smallest Exp(1)/headroom falls on a peer with probability proportional to its headroom.
		found = append(found, drawn{vm, exponential(ra) / float64(headroom)})
	}
	slices.SortFunc(found, func(one, two drawn) int { return cmp.Compare(one.key, two.key) })
	names := make([]core.VMID, 0, maxCount)
	for _, dr := range found[:min(maxCount, len(found))] {
		names = append(names, dr.vm)
	}
	return names
}

// LoadOf returns the last known load of a peer. The second result is false if the sample is
// older than MaxAge, or the peer is draining or unknown.
func (ta *Table) LoadOf(vm core.VMID) (core.Work, bool) {
	now := ta.Clock.Now()
	ta.mu.Lock()
	defer ta.mu.Unlock()
	sa, known := ta.samples[vm]
	return sa.load, known && !sa.draining && now.Sub(sa.measuredAt) <= MaxAge
}

// Freshest returns up to maxCount samples to gossip to peers, the most recent first.
func (ta *Table) Freshest(maxCount int) []core.LoadEntry {
	now := ta.Clock.Now()
	ta.mu.Lock()
	entries := make([]core.LoadEntry, 0, len(ta.samples))
	for vm, sa := range ta.samples {
		age := now.Sub(sa.measuredAt)
		if age > MaxAge {
			continue
		}
		entries = append(entries, core.LoadEntry{
			Pool: ta.Pool, VM: vm, Load: sa.load, Throughput: sa.throughput, Age: age, Draining: sa.draining,
		})
	}
	ta.mu.Unlock()
	slices.SortFunc(entries, func(one, two core.LoadEntry) int {
		return cmp.Or(cmp.Compare(one.Age, two.Age), cmp.Compare(one.VM, two.VM))
	})
	return entries[:min(maxCount, len(entries))]
}

// exponential returns a random number from the exponential distribution with mean 1.
func exponential(ra core.Rand) float64 {
	return -math.Log(1 - ra.Float64())
}
