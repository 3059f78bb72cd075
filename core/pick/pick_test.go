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
	po := &board.Pool{EqualWeights: true, Ramping: allowance < 1}
	for n := range count {
		vm := core.VMID(fmt.Sprintf("agent-%02d", n))
		po.Members = append(po.Members, board.Member{VM: vm, Allowance: allowance, Load: &loads.Gauge{}})
		po.Ring = append(po.Ring, ring.Member{Hash: ring.Key("", "", core.ChatID(vm)), Weight: 1})
		po.SameRegion = append(po.SameRegion, int32(n))
	}
	return po
}

// After an outage all members of a pool are readmitted at once, each with an Allowance of 0.1. A
// chat that is within no member's Allowance must still get a member. (First returned -1 in this
// case; found by the router's history test with seed 1.)
func TestReadmittedPoolServesEveryChat(t *testing.T) {
	po := pool(4, 0.1)
	for key := range uint64(1000) {
		se := pick.Search{Pool: po, Key: key, Rand: clock.NewRand(1)}
		if se.First() < 0 {
			t.Fatalf("no member for chat %d", key)
		}
	}
}

// A member with an Allowance of 0.2 must get about a fifth of the chats whose home it is.
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
		t.Errorf("the readmitted member got %.2f of its chats, want about 0.2", got)
	}
}

// Routers whose member lists differ in one VM must agree on all chats but those of that VM.
func TestDifferingListsDisagreeOnlyOnMissingMember(t *testing.T) {
	all := pool(20, 1).Ring
	for key := range uint64(5000) {
		mixed := ring.Mix(key, 2)
		full, reduced := ring.Best(all, mixed, true), ring.Best(all[:19], mixed, true)
		if full != 19 && full != reduced {
			t.Fatalf("home of chat %d: member %d with the full list, %d without member 19", key, full, reduced)
		}
	}
}

// A refused chat must try the next two members of its rendezvous order, which its later turns try
// too, before it takes an alternative that the refusal names.
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
		t.Errorf("tried %v without alternatives, %v with member %d as alternative", walked, again, named)
	}
}
