// Package member decides which VMs may get work, from the platform's lagging
// list, the processes' own announcements and what traffic shows.
//
// # Concepts
//
// The list is the base. An announcement (a digest, or the report beside an
// answer) tells at once that a process drains or has started anew. Traffic tells
// at once that one cannot be reached: it becomes suspect for a time that doubles
// with every failure in a row. One that comes back after failing is readmitted
// gradually: its Allowance, the part of its keys it gets, grows from
// firstAllowance to 1.
//
// # Invariants
//
//   - A draining announcement holds for the incarnation that made it.
//   - If the list drops most of a pool at once, or most of a pool is suspect, the
//     view is doubted rather than the pool: the dropped stay usable for doubtFor
//     and suspicion is ignored. Losing a link looks like losing the others.
//   - Nothing here keeps a leaving VM from work if the list lags; the agent on
//     it refuses by itself. This package only aims well.
//
// # Usage
//
// A Table belongs to the control goroutine. Feed it with Listed, Announced and
// Traffic, and read Usable after each change and at every Tick.
package member

import (
	"slices"
	"time"

	"almondrill/core"
)

const (
	minSuspicion = time.Second
	maxSuspicion = 30 * time.Second
	rampPerFlap  = 10 * time.Second
	maxRamp      = 2 * time.Minute
	minAllowance = 0.1
	removalGrace = 60 * time.Second
	// flapWindow is how long a failure counts towards the ramp.
	flapWindow = 10 * time.Minute
	// minGracePool is the pool size from which doubt makes sense.
	minGracePool = 4
)

type record struct {
	vm           core.VM
	incarnation  core.Incarnation
	draining     bool
	failures     int
	suspectUntil time.Time
	flaps        int
	lastFlap     time.Time
	rampFrom     time.Time
	removeAt     time.Time
}

// Usable is a VM that may get work. Allowance is the part of its keys that it
// should get, above 0 and up to 1.
type Usable struct {
	VM        core.VM
	Allowance float64
	// Suspect is set where it is listed only because most of its pool is.
	Suspect bool
}

// Table is the membership as one process sees it. It is not safe for concurrent
// use. Set the exported fields before use.
type Table struct {
	Rand core.Rand

	records map[core.VMID]*record
	// changesUntil is the time up to which Usable changes by itself.
	changesUntil time.Time
}

// ApplyList takes in changes of the platform's list.
func (ta *Table) ApplyList(vms []core.VM, now time.Time) {
	if ta.records == nil {
		ta.records = map[core.VMID]*record{}
	}
	massRemoval := ta.isMassRemoval(vms)
	for _, vm := range vms {
		re := ta.records[vm.ID]
		switch {
		case vm.State == core.VMGone && re == nil:
		case vm.State == core.VMGone && massRemoval:
			re.removeAt = now.Add(removalGrace)
		case vm.State == core.VMGone:
			delete(ta.records, vm.ID)
		case re == nil:
			ta.records[vm.ID] = &record{vm: vm}
		default:
			re.vm = vm
			re.removeAt = time.Time{}
		}
	}
}

// isMassRemoval tells whether the changes would drop more than half of some pool.
func (ta *Table) isMassRemoval(vms []core.VM) bool {
	dropped := map[core.PoolID]int{}
	for _, vm := range vms {
		if re := ta.records[vm.ID]; vm.State == core.VMGone && re != nil && re.vm.State == core.VMLive {
			for _, po := range re.vm.Pools {
				dropped[po]++
			}
		}
	}
	if len(dropped) == 0 {
		return false
	}
	live := map[core.PoolID]int{}
	for _, re := range ta.records {
		if re.vm.State == core.VMLive {
			for _, po := range re.vm.Pools {
				live[po]++
			}
		}
	}
	for po, gone := range dropped {
		if live[po] >= minGracePool && 2*gone > live[po] {
			return true
		}
	}
	return false
}

// ApplyAnnouncement takes in what a process says of itself. It reports whether Usable
// may have changed.
func (ta *Table) ApplyAnnouncement(id core.VMID, in core.Incarnation, draining bool, now time.Time) bool {
	re := ta.records[id]
	if re == nil {
		return false
	}
	before := *re
	if in != 0 && re.incarnation != 0 && in != re.incarnation {
		re.flap(now)
	}
	re.incarnation = in
	re.draining = draining
	re.recover(now)
	return re.draining != before.draining || re.suspectUntil != before.suspectUntil || re.flaps != before.flaps
}

// RecordReachability takes in whether a VM could be reached. It reports whether Usable may
// have changed.
func (ta *Table) RecordReachability(id core.VMID, reached bool, now time.Time) bool {
	re := ta.records[id]
	if re == nil {
		return false
	}
	if reached {
		return re.recover(now)
	}
	if now.Before(re.suspectUntil) {
		return false
	}
	suspicion := min(maxSuspicion, minSuspicion<<min(re.failures, 10))
	// Jitter keeps routers from trying a returning VM all at the same moment.
	suspicion += time.Duration(ta.Rand.Float64() * float64(suspicion) / 2)
	re.failures++
	re.flap(now)
	re.suspectUntil = now.Add(suspicion)
	return true
}

func (re *record) flap(now time.Time) {
	if now.Sub(re.lastFlap) > flapWindow {
		re.flaps = 0
	}
	re.flaps++
	re.lastFlap = now
	re.rampFrom = now
}

// recover ends a suspicion and starts the ramp of its return.
func (re *record) recover(now time.Time) bool {
	if re.failures == 0 {
		return false
	}
	re.failures = 0
	re.suspectUntil = time.Time{}
	re.rampFrom = now
	return true
}

func (re *record) allowance(now time.Time) float64 {
	// One failure is an accident; the ramp is for what fails again and again.
	if re.flaps < 2 {
		return 1
	}
	ramp := min(maxRamp, rampPerFlap*time.Duration(re.flaps-1))
	part := float64(now.Sub(re.rampFrom)) / float64(ramp)
	return min(1, max(minAllowance, part))
}

// Usable lists the VMs that may get work, in order of their names.
func (ta *Table) Usable(now time.Time) []Usable {
	var usable []Usable
	suspects := map[core.PoolID]int{}
	members := map[core.PoolID]int{}
	for id, re := range ta.records {
		if !re.removeAt.IsZero() && now.After(re.removeAt) {
			delete(ta.records, id)
			continue
		}
		if re.vm.State != core.VMLive || re.draining {
			continue
		}
		suspect := now.Before(re.suspectUntil)
		for _, po := range re.vm.Pools {
			members[po]++
			if suspect {
				suspects[po]++
			}
		}
		usable = append(usable, Usable{VM: re.vm, Allowance: re.allowance(now), Suspect: suspect})
	}
	usable = slices.DeleteFunc(usable, func(us Usable) bool {
		return us.Suspect && !mostSuspect(us.VM.Pools, suspects, members)
	})
	slices.SortFunc(usable, func(one, two Usable) int {
		if one.VM.ID < two.VM.ID {
			return -1
		}
		return 1
	})
	return usable
}

func mostSuspect(pools []core.PoolID, suspects, members map[core.PoolID]int) bool {
	for _, po := range pools {
		if 2*suspects[po] > members[po] {
			return true
		}
	}
	return false
}

// Incarnation is the last one that the VM's process announced, 0 if none.
func (ta *Table) Incarnation(id core.VMID) core.Incarnation {
	if re := ta.records[id]; re != nil {
		return re.incarnation
	}
	return 0
}

// Pending tells whether Usable may have changed since it was last read, merely
// because time has passed: a suspicion, a ramp or a doubt is running.
func (ta *Table) Pending(now time.Time) bool {
	pending := now.Before(ta.changesUntil)
	ta.changesUntil = time.Time{}
	for _, re := range ta.records {
		if !re.suspectUntil.IsZero() || !re.removeAt.IsZero() || re.allowance(now) < 1 {
			ta.changesUntil = now.Add(maxRamp)
			return true
		}
	}
	return pending
}
