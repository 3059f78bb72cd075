// Package loads keeps what an agent knows of its pool's loads and estimates the
// mean from it.
//
// # Concepts
//
// Agents of a pool tell each other their loads now and then; each Table holds
// the freshest figure per peer with its age. Mean is that of the own load and of
// all figures that are fresh: a sample of the pool, and in a pool of more than a
// few dozens a small error. docs/design/load-cap.md weighs other estimates.
//
// # Invariants
//
//   - A figure older than Stale, or of a leaving peer, does not count. If there
//     are peers but no fresh figure of any, the mean is 0, which leaves FloorWork
//     as the cap: an agent that hears from nobody cannot run hot.
//   - An older figure never replaces a fresher one, whatever way it came.
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

// Gauge is a load that traffic goroutines read and write without locks.
type Gauge struct {
	work atomic.Int64
}

// Set stores the load.
func (ga *Gauge) Set(wo core.Work) { ga.work.Store(int64(wo)) }

// Get returns the load last stored.
func (ga *Gauge) Get() core.Work { return core.Work(ga.work.Load()) }

// MaxAge is the age beyond which a figure does not count.
const MaxAge = 5 * time.Second

type sample struct {
	load       core.Work
	throughput core.Work
	measuredAt time.Time
	draining   bool
}

// Table holds one pool's loads. Set the exported fields before use.
type Table struct {
	Clock core.Clock
	Pool  core.PoolID
	Self  core.VMID

	mu         sync.Mutex // guards all below
	peers      []core.VMID
	samples    map[core.VMID]sample
	freshSum   core.Work // of the peers' fresh loads, as at summed
	freshCount int       // how many figures are in sum
	summedAt   time.Time
	// The trend of the peers' mean, and the mean and time it was last taken at.
	trend     float64
	trendMean float64
	trendAt   time.Time
}

// sumTTL is how long the sum over the peers is kept: admission reads it for
// every call, and in so short a time it moves by less than one call's work.
const sumTTL = 10 * time.Millisecond

// SetPeers replaces the pool's live members, Self among them or not. It reports
// whether they are others than before.
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

// Observe takes in one figure; the entry's Age is subtracted from now.
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

// Mean is the mean of the pool's loads as far as known, own load included.
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

// refreshSum sums the fresh figures, each brought forward by its age along the trend.
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
	extrapolated := min(mean*maxExtrapolation, max(0, ta.trend)*meanAge)
	ta.freshSum = core.Work((mean + extrapolated) * float64(ta.freshCount))
}

// updateTrend keeps the trend of the peers' mean, in work a second. The own load has no
// part in it: an agent that grows hot must not take its own growth for the pool's.
func (ta *Table) updateTrend(mean float64, at time.Time) {
	elapsed := at.Sub(ta.trendAt).Seconds()
	if elapsed < trendInterval.Seconds() {
		return
	}
	if elapsed < MaxAge.Seconds() {
		rate := (mean - ta.trendMean) / elapsed
		ta.trend += (rate - ta.trend) * min(1, elapsed/trendWindow.Seconds())
	} else {
		ta.trend = 0
	}
	ta.trendMean, ta.trendAt = mean, at
}

const (
	// trendInterval and trendOver are how often the trend is looked at, and over how
	// long it is smoothed.
	trendInterval = 300 * time.Millisecond
	trendWindow   = time.Second
	// maxExtrapolation bounds how far a figure is brought forward, as a part of it.
	maxExtrapolation = 0.25
)

// LessLoaded names up to most peers whose load is below limit. Which ones is drawn at
// random with odds by their headroom, so that many refusals at once do not send
// everyone to the one least loaded peer.
func (ta *Table) LessLoaded(limit core.Work, maxCount int, ra core.Rand) []core.VMID {
	type drawn struct {
		vm  core.VMID
		key float64
	}
	now := ta.Clock.Now()
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var found []drawn
	for _, vm := range ta.peers { // in order, so that a seeded run repeats
		sa, known := ta.samples[vm]
		headroom := limit - sa.load
		if !known || headroom <= 0 || sa.draining || now.Sub(sa.measuredAt) > MaxAge {
			continue
		}
		// The smallest of Exp(1)/room is drawn with odds proportional to room.
		found = append(found, drawn{vm, exponential(ra) / float64(headroom)})
	}
	slices.SortFunc(found, func(one, two drawn) int { return cmp.Compare(one.key, two.key) })
	names := make([]core.VMID, 0, maxCount)
	for _, dr := range found[:min(maxCount, len(found))] {
		names = append(names, dr.vm)
	}
	return names
}

// LoadOf is the last known load of a peer, and whether it is fresh.
func (ta *Table) LoadOf(vm core.VMID) (core.Work, bool) {
	now := ta.Clock.Now()
	ta.mu.Lock()
	defer ta.mu.Unlock()
	sa, known := ta.samples[vm]
	return sa.load, known && !sa.draining && now.Sub(sa.measuredAt) <= MaxAge
}

// Freshest returns up to most figures, the most recent first, for passing on.
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

// exponential draws from the exponential distribution with mean 1.
func exponential(ra core.Rand) float64 {
	return -math.Log(1 - ra.Float64())
}
