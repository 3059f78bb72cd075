package pick_test

import (
	"fmt"
	"slices"
	"testing"

	"almondrill/core"
	"almondrill/core/board"
	"almondrill/core/loads"
	"almondrill/core/pick"
	"almondrill/core/ring"
	"almondrill/io/clock"
)

func pool(count int, allowance float64) *board.Pool {
	po := &board.Pool{Even: true, Ramping: allowance < 1}
	for n := range count {
		vm := core.VMID(fmt.Sprintf("agent-%02d", n))
		po.Members = append(po.Members, board.Member{VM: vm, Allowance: allowance, Load: &loads.Gauge{}})
		po.Ring = append(po.Ring, ring.Member{Hash: ring.Key("", "", core.ChatID(vm)), Weight: 1})
		po.Near = append(po.Near, int32(n))
	}
	return po
}

// A zone's power returns: all of a pool's members come back at once and are all
// being readmitted, each taking a tenth of its chats. A chat that none of them
// would take must still be served, not refused (the router's history test, seed
// 1, met this as an index of -1).
func TestReadmittedPoolServesEveryChat(t *testing.T) {
	po := pool(4, 0.1)
	for key := range uint64(1000) {
		se := pick.Search{Pool: po, Key: key, Rand: clock.NewRand(1)}
		if se.First() < 0 {
			t.Fatalf("chat %d has nowhere to go", key)
		}
	}
}

// A member that is being readmitted gets about its part of its chats.
func TestReadmittedMemberGetsItsAllowance(t *testing.T) {
	po := pool(10, 1)
	po.Members[3].Allowance, po.Ramping = 0.2, true
	full, part := 0, 0
	for key := range uint64(20_000) {
		mixed := ring.Mix(key, 1)
		if ring.Best(po.Ring, mixed, true) == 3 {
			full++
		}
		if se := (pick.Search{Pool: po, Key: mixed}); se.First() == 3 {
			part++
		}
	}
	if got := float64(part) / float64(full); got < 0.15 || got > 0.25 {
		t.Errorf("got %.2f of its chats", got)
	}
}

// Routers whose lists differ in one VM agree on every chat but that VM's.
func TestDifferingListsDisagreeOnlyOnMissingMember(t *testing.T) {
	all := pool(20, 1).Ring
	for key := range uint64(5000) {
		mixed := ring.Mix(key, 2)
		full, lacking := ring.Best(all, mixed, true), ring.Best(all[:19], mixed, true)
		if full != 19 && full != lacking {
			t.Fatalf("chat %d moved from %d to %d", key, full, lacking)
		}
	}
}

// A refused chat walks its own order, so that its next turn meets the same two,
// and only then takes a name from the refusal.
func TestWalkPrecedesAlternatives(t *testing.T) {
	po := pool(12, 1)
	search := func(names ...core.VMID) []int {
		refusal := &core.Refusal{Reason: core.ReasonLoadCap, Alternatives: names}
		se := pick.Search{Pool: po, Key: 99, Rand: clock.NewRand(1)}
		return []int{se.First(), se.Next(refusal), se.Next(refusal), se.Next(refusal)}
	}
	walked := search()
	var named int
	for slices.Contains(walked, named) {
		named++
	}
	again := search(po.Members[named].VM)
	if !slices.Equal(walked[:3], again[:3]) || again[3] != named {
		t.Errorf("%v without names, %v with member %d named", walked, again, named)
	}
}
