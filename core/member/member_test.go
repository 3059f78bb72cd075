package member_test

import (
	"fmt"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/member"
	"almondrill/io/clock"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func table(count int) *member.Table {
	ta := &member.Table{Rand: clock.NewRand(1)}
	ta.ApplyList(listed(count, core.VMLive), start)
	return ta
}

func listed(count int, st core.VMState) []core.VM {
	var vms []core.VM
	for n := range count {
		vms = append(vms, core.VM{ID: id(n), Role: core.RoleAgent, Pools: []core.PoolID{"chat"}, State: st})
	}
	return vms
}

func id(n int) core.VMID { return core.VMID(fmt.Sprint("agent-", n)) }

// The platform's list is faulty for a moment and drops most of a pool. If it were applied at once,
// most calls would be refused. The VMs must stay usable for a minute, in which the list usually
// recovers, and be removed after it if the list did not recover.
func TestMassRemovalIsDelayed(t *testing.T) {
	ta := table(8)
	ta.ApplyList(listed(6, core.VMGone), start)
	if got := len(ta.Usable(start.Add(time.Second))); got != 8 {
		t.Errorf("%d usable right after, want 8", got)
	}
	ta.ApplyList(listed(3, core.VMLive), start.Add(30*time.Second))
	if got := len(ta.Usable(start.Add(2 * time.Minute))); got != 5 {
		t.Errorf("%d usable after two minutes, want 5: 3 listed again and 2 never dropped", got)
	}
}

// If the list drops one VM of many, it must be removed at once.
func TestSingleRemovalIsImmediate(t *testing.T) {
	ta := table(8)
	ta.ApplyList(listed(1, core.VMGone), start)
	if got := len(ta.Usable(start)); got != 7 {
		t.Errorf("%d usable, want 7", got)
	}
}

// A router's own link fails, so it cannot reach any VM. All must stay usable, marked as suspect, so
// that calls are still tried.
func TestAllSuspectsStayUsable(t *testing.T) {
	ta := table(6)
	for n := range 2 {
		ta.RecordReachability(id(n), false, start)
	}
	if got := len(ta.Usable(start)); got != 4 {
		t.Errorf("%d usable with 2 suspects, want 4", got)
	}
	for n := range 6 {
		ta.RecordReachability(id(n), false, start)
	}
	if got := ta.Usable(start); len(got) != 6 || !got[0].Suspect {
		t.Errorf("%+v", got)
	}
}

// A VM flaps. After the first failure it must get its full allowance as soon as it is back; each
// later return must be more gradual than the one before.
func TestFlappingVMComesBackGradually(t *testing.T) {
	ta := table(4)
	now := start
	allowance := func() float64 {
		for _, us := range ta.Usable(now) {
			if us.VM.ID == id(0) {
				return us.Allowance
			}
		}
		return 0
	}
	ta.RecordReachability(id(0), false, now)
	if allowance() != 0 {
		t.Error("an unreachable VM has an allowance")
	}
	now = now.Add(5 * time.Second)
	ta.RecordReachability(id(0), true, now)
	if allowance() != 1 {
		t.Errorf("allowance %.2f after one failure, want 1", allowance())
	}
	last := 1.0
	for range 3 {
		ta.RecordReachability(id(0), false, now)
		now = now.Add(time.Minute)
		ta.RecordReachability(id(0), true, now)
		now = now.Add(5 * time.Second)
		if got := allowance(); got >= last || got <= 0 {
			t.Errorf("allowance %.2f after another flap, want above 0 and below the previous %.2f", got, last)
		} else {
			last = got
		}
	}
}

// An agent announced that it drains and was then replaced under the same name. The new process must
// get work, though the list never changed.
func TestDrainingBelongsToAnIncarnation(t *testing.T) {
	ta := table(3)
	ta.ApplyAnnouncement(id(0), 1, true, start)
	if got := len(ta.Usable(start)); got != 2 {
		t.Errorf("%d usable while one of 3 drains, want 2", got)
	}
	ta.ApplyAnnouncement(id(0), 2, false, start)
	if got := len(ta.Usable(start)); got != 3 {
		t.Errorf("%d usable after its restart, want 3", got)
	}
}
