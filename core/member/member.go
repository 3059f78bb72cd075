// Package member decides which VMs may get work, based on the platform's list of VMs, which lags,
// the processes' own announcements, and whether calls reached the VMs.
//
// # Concepts
//
// The list is the base. An announcement (a digest, or the report that comes with a response) shows
// at once that a process drains or has restarted. A failed call shows at once that a VM cannot be
// reached: it becomes suspect for a time that doubles with every failure in a row. A VM that recovers
// after repeated failures is readmitted gradually: its Allowance, the part of its keys that it gets,
// grows from minAllowance to 1.
//
// # Invariants
//
//   - A draining announcement applies only to the incarnation that made it.
//   - If the list drops most of a pool at once, or most of a pool is suspect, the fault is assumed to
//     be in this process's view, as its own lost link looks like the loss of the others: dropped VMs
//     stay usable for removalGrace, and suspicion is ignored.
//   - While the list lags, a VM that shuts down may still be chosen for work; the agent on it refuses
//     the work. This package only reduces such refusals.
//
// # Usage
//
// A Table belongs to the control goroutine. Update it by ApplyList, ApplyAnnouncement and
// RecordReachability, and read Usable after each change, and at every tick while Pending.
package member

import (
	"slices"
	"time"

	"almondrill/core"
)

const (
	// A suspicion lasts minSuspicion after the first failure and doubles with each further one in a
	// row, up to maxSuspicion.
	minSuspicion = time.Second
	maxSuspicion = 30 * time.Second
	// After n flaps, the ramp from minAllowance to 1 takes n-1 times rampPerFlap, at most maxRamp.
	rampPerFlap  = 10 * time.Second
	maxRamp      = 2 * time.Minute
	minAllowance = 0.1
	// removalGrace is how long the VMs of a mass removal stay usable.
	removalGrace = 60 * time.Second
	// flapWindow is how long a failure or restart counts towards the ramp.
	flapWindow = 10 * time.Minute
	// minGracePool is the smallest pool whose mass removal is delayed.
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

// Usable is a VM that may get work. Allowance is the part of its keys that it should get, above 0
// and up to 1.
type Usable struct {
	VM        core.VM
	Allowance float64
	// Suspect is set on a suspect VM that stays usable because most of its pool is suspect.
	Suspect bool
}

// Table is the membership as one process sees it. It is not safe for concurrent
// use. Set the exported fields before use.
type Table struct {
	Rand core.Rand

	records map[core.VMID]*record
	// changesUntil is the time until which the result of Usable may change without an update.
	changesUntil time.Time
}

// ApplyList applies changes of the platform's list.
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

// isMassRemoval reports whether the changes would drop more than half of some pool.
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

// ApplyAnnouncement applies what a process announced about itself. It reports whether the result of
// Usable may have changed.
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

// RecordReachability records whether a call reached a VM. It reports whether the result of Usable may
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
	// Jitter keeps the routers from all retrying a returning VM at the same moment.
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

// recover ends the suspicion, if there is one, and starts the ramp.
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
	// A single failure is tolerated; the ramp is for VMs that fail repeatedly.
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

// Incarnation returns the last incarnation that the VM's process announced, 0 if there is none.
func (ta *Table) Incarnation(id core.VMID) core.Incarnation {
	if re := ta.records[id]; re != nil {
		return re.incarnation
	}
	return 0
}

// Pending reports whether the result of Usable may have changed with time alone: a suspicion, a ramp
// or a delayed removal is running, or ended recently.
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
