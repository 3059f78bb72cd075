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

// Stale is the age beyond which a figure does not count.
const Stale = 5 * time.Second

type figure struct {
	load     core.Work
	drain    core.Work
	at       time.Time
	draining bool
}

// Table holds one pool's loads. Set the exported fields before use.
type Table struct {
	Clock core.Clock
	Pool  core.PoolID
	Self  core.VMID

	mu      sync.Mutex // guards all below
	peers   []core.VMID
	figures map[core.VMID]figure
	sum     core.Work // of the peers' fresh loads, as at summed
	fresh   int       // how many figures are in sum
	summed  time.Time
	// The trend of the peers' mean, and the mean and time it was last taken at.
	trend     float64
	trendMean float64
	trendAt   time.Time
}

// sumEvery is how long the sum over the peers is kept: admission reads it for
// every call, and in so short a time it moves by less than one call's work.
const sumEvery = 10 * time.Millisecond

// SetPeers replaces the pool's live members, Self among them or not. It reports
// whether they are others than before.
func (ta *Table) SetPeers(vms []core.VMID) bool {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	before := slices.Clone(ta.peers)
	kept := make(map[core.VMID]figure, len(vms))
	ta.peers = ta.peers[:0]
	for _, vm := range vms {
		if vm == ta.Self {
			continue
		}
		ta.peers = append(ta.peers, vm)
		if fi, known := ta.figures[vm]; known {
			kept[vm] = fi
		}
	}
	ta.figures = kept
	ta.summed = time.Time{}
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
	if old, known := ta.figures[en.VM]; known && !at.After(old.at) {
		return
	}
	ta.figures[en.VM] = figure{load: en.Load, drain: en.Throughput, at: at, draining: en.Draining}
	ta.summed = time.Time{}
}

// Mean is the mean of the pool's loads as far as known, own load included.
func (ta *Table) Mean(own core.Work) core.Work {
	now := ta.Clock.Now()
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if age := now.Sub(ta.summed); age < 0 || age > sumEvery {
		ta.addUp(now)
	}
	if ta.fresh == 0 && len(ta.peers) > 0 {
		return 0
	}
	return (ta.sum + own) / core.Work(ta.fresh+1)
}

// addUp sums the fresh figures, each brought forward by its age along the trend.
func (ta *Table) addUp(now time.Time) {
	ta.summed = now
	var sum, age float64
	ta.fresh = 0
	for _, fi := range ta.figures {
		if now.Sub(fi.at) > Stale || fi.draining {
			continue
		}
		sum += float64(fi.load)
		age += now.Sub(fi.at).Seconds()
		ta.fresh++
	}
	if ta.fresh == 0 {
		ta.sum = 0
		return
	}
	mean, meanAge := sum/float64(ta.fresh), age/float64(ta.fresh)
	ta.follow(mean, now.Add(-time.Duration(meanAge*float64(time.Second))))
	ahead := min(mean*mostAhead, max(0, ta.trend)*meanAge)
	ta.sum = core.Work((mean + ahead) * float64(ta.fresh))
}

// follow keeps the trend of the peers' mean, in work a second. The own load has no
// part in it: an agent that grows hot must not take its own growth for the pool's.
func (ta *Table) follow(mean float64, at time.Time) {
	past := at.Sub(ta.trendAt).Seconds()
	if past < trendEvery.Seconds() {
		return
	}
	if past < Stale.Seconds() {
		rate := (mean - ta.trendMean) / past
		ta.trend += (rate - ta.trend) * min(1, past/trendOver.Seconds())
	} else {
		ta.trend = 0
	}
	ta.trendMean, ta.trendAt = mean, at
}

const (
	// trendEvery and trendOver are how often the trend is looked at, and over how
	// long it is smoothed.
	trendEvery = 300 * time.Millisecond
	trendOver  = time.Second
	// mostAhead bounds how far a figure is brought forward, as a part of it.
	mostAhead = 0.25
)

// Less names up to most peers whose load is below limit. Which ones is drawn at
// random with odds by their headroom, so that many refusals at once do not send
// everyone to the one least loaded peer.
func (ta *Table) Less(limit core.Work, most int, ra core.Rand) []core.VMID {
	type drawn struct {
		vm  core.VMID
		key float64
	}
	now := ta.Clock.Now()
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var found []drawn
	for _, vm := range ta.peers { // in order, so that a seeded run repeats
		fi, known := ta.figures[vm]
		room := limit - fi.load
		if !known || room <= 0 || fi.draining || now.Sub(fi.at) > Stale {
			continue
		}
		// The smallest of Exp(1)/room is drawn with odds proportional to room.
		found = append(found, drawn{vm, exponential(ra) / float64(room)})
	}
	slices.SortFunc(found, func(one, two drawn) int { return cmp.Compare(one.key, two.key) })
	names := make([]core.VMID, 0, most)
	for _, dr := range found[:min(most, len(found))] {
		names = append(names, dr.vm)
	}
	return names
}

// LoadOf is the last known load of a peer, and whether it is fresh.
func (ta *Table) LoadOf(vm core.VMID) (core.Work, bool) {
	now := ta.Clock.Now()
	ta.mu.Lock()
	defer ta.mu.Unlock()
	fi, known := ta.figures[vm]
	return fi.load, known && !fi.draining && now.Sub(fi.at) <= Stale
}

// Freshest returns up to most figures, the most recent first, for passing on.
func (ta *Table) Freshest(most int) []core.LoadEntry {
	now := ta.Clock.Now()
	ta.mu.Lock()
	entries := make([]core.LoadEntry, 0, len(ta.figures))
	for vm, fi := range ta.figures {
		age := now.Sub(fi.at)
		if age > Stale {
			continue
		}
		entries = append(entries, core.LoadEntry{
			Pool: ta.Pool, VM: vm, Load: fi.load, Throughput: fi.drain, Age: age, Draining: fi.draining,
		})
	}
	ta.mu.Unlock()
	slices.SortFunc(entries, func(one, two core.LoadEntry) int {
		return cmp.Or(cmp.Compare(one.Age, two.Age), cmp.Compare(one.VM, two.VM))
	})
	return entries[:min(most, len(entries))]
}

// exponential draws from the exponential distribution with mean 1.
func exponential(ra core.Rand) float64 {
	return -math.Log(1 - ra.Float64())
}
