package swim_test

import (
	"fmt"
	"testing"
	"time"

	"almondrill/core/swim"
	"almondrill/io/clock"
)

// maxMembers is MaxMembers of the tables here, madeUp how many addresses are named at which there is no peer.
const (
	maxMembers = 100
	madeUp     = 4000
)

func newBoundedTable() *swim.Table {
	return &swim.Table{Self: "self", Rand: clock.NewRand(1), MaxMembers: maxMembers}
}

// known counts the made-up addresses that a table knows.
func known(ta *swim.Table) int {
	count := 0
	for ix := range madeUp {
		if ta.Known(fmt.Sprint("made-up-", ix)) {
			count++
		}
	}
	return count
}

// Guards against tables that grow with the addresses that messages name, in whichever way they do.
func TestNamedPeersAreBounded(t *testing.T) {
	for name, add := range map[string]func(ta *swim.Table, now time.Time, addr string){
		"added":  func(ta *swim.Table, now time.Time, addr string) { ta.Add(now, addr) },
		"named":  func(ta *swim.Table, now time.Time, addr string) { ta.AddNamed(now, addr) },
		"joined": func(ta *swim.Table, now time.Time, addr string) { ta.Join(now, addr) },
		"rumor": func(ta *swim.Table, now time.Time, addr string) {
			ta.ApplyRumors(now, []swim.Rumor{{Addr: addr, State: swim.Alive}})
		},
		"sender": func(ta *swim.Table, now time.Time, addr string) { ta.MessageReceived(now, addr, 0) },
	} {
		ta, now := newBoundedTable(), time.Unix(1000, 0)
		ta.MessageReceived(now, "peer", 0)
		for ix := range madeUp {
			add(ta, now, fmt.Sprint("made-up-", ix))
			if ix%100 == 0 {
				now = now.Add(swim.Period)
				ta.MessageReceived(now, "peer", 0)
				ta.Tick(now)
			}
		}
		if count := known(ta); count > maxMembers-1 {
			t.Errorf("%s: %d made-up peers are known, want %d or fewer", name, count, maxMembers-1)
		}
		if !ta.Alive("peer") {
			t.Errorf("%s: a peer that sends messages was forgotten for others", name)
		}
		if ta.Rejected() == 0 && name != "added" {
			t.Errorf("%s: rejected addresses are not counted", name)
		}
	}
}

// Guards against a table full of made-up peers in which a real one finds no room: it takes the place of one that sent nothing.
func TestSenderTakesThePlaceOfANamedPeer(t *testing.T) {
	ta, now := newBoundedTable(), time.Unix(1000, 0)
	for ix := range maxMembers {
		ta.Join(now, fmt.Sprint("made-up-", ix))
	}
	ta.Join(now, "real")
	if ta.Known("real") {
		t.Error("a peer that is only named took the place of another")
	}
	if !ta.MessageReceived(now, "real", 0) || !ta.Alive("real") {
		t.Error("a peer that sends messages finds no room")
	}
	if live := ta.Live(); live != maxMembers {
		t.Errorf("%d peers are alive, want %d", live, maxMembers)
	}
	if !ta.Add(now, "seed") {
		t.Error("a peer of the store finds no room")
	}
	// Each peer in the table is still probed, and no other.
	probed := map[string]bool{}
	for range 2 * maxMembers {
		now = now.Add(swim.Period)
		ta.MessageReceived(now, "real", 0)
		for _, pr := range ta.Tick(now) {
			if pr.Target == "" {
				probed[pr.To] = true
			}
		}
	}
	if len(probed) < maxMembers-1 || len(probed) > maxMembers {
		t.Errorf("%d peers were probed, want those %d but the one that sends messages", len(probed), maxMembers)
	}
}
