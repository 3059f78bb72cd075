package swim_test

import (
	"fmt"
	"testing"
	"time"

	"almondrill/core/swim"
	"almondrill/io/clock"
)

// Guards against a sender of messages that counts as a peer although it answers no probe, and a peer that does not count once
// it has.
func TestStrangerIsAliveOnceItReplies(t *testing.T) {
	ta, now := newBoundedTable(), time.Unix(1000, 0)
	if ta.ReplyReceived(now, "a", 0); ta.Alive("a") {
		t.Error("alive by a reply to a probe that was never sent")
	}
	ta.Contact(now, "a", 0)
	if !ta.Challenge(now, "a") || ta.Challenge(now, "a") {
		t.Error("want one probe for the messages of a moment")
	}
	ta.Contact(now, "a", 0)
	if ta.Alive("a") || ta.Live() != 0 || ta.CountNotLongDead(now, time.Minute) != 0 || ta.AliveWithin(now, "a", time.Minute) {
		t.Error("counted without a reply")
	}
	if !ta.ReplyReceived(now, "a", 0) || !ta.Alive("a") || ta.CountNotLongDead(now, time.Minute) != 1 {
		t.Error("not counted after its reply")
	}
	ta.Add(now, "listed")
	if ta.CountNotLongDead(now, time.Minute) != 2 {
		t.Error("a peer of the store is not counted until it has replied")
	}
}

// Guards against strangers that fill the table so that no peer finds room, and against a probe for each of them at once.
func TestStrangersTakeNoRoomFromPeers(t *testing.T) {
	ta, now := newBoundedTable(), time.Unix(1000, 0)
	probes := 0
	for ix := range madeUp {
		addr := fmt.Sprint("made-up-", ix)
		ta.Contact(now, addr, 0)
		if ta.Challenge(now, addr) {
			probes++
		}
	}
	if probes > maxMembers {
		t.Errorf("%d probes at once for %d strangers", probes, madeUp)
	}
	ta.Tick(now)
	ta.Contact(now, "real", 0)
	if !ta.Challenge(now, "real") || !ta.ReplyReceived(now, "real", 0) || !ta.Alive("real") {
		t.Error("a peer finds no room among strangers")
	}
}

// Guards against routers that disagree on owners while strangers send messages to all of them: these are nobody's peers.
func TestStrangersChangeNoOwners(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 100)
	fl.connectAll()
	fl.run(2 * time.Second)
	strangers := []string{}
	for ix := range 20 {
		strangers = append(strangers, fmt.Sprintf("127.0.0.%d:1", ix))
	}
	for range 20 {
		for _, ro := range fl.routers {
			for _, addr := range strangers {
				ro.Contact(fl.now, addr, 0)
				ro.Challenge(fl.now, addr) // nobody answers
			}
		}
		fl.run(step)
	}
	for ix, ro := range fl.routers {
		if live := ro.Live(); live != len(fl.routers)-1 {
			t.Errorf("router %d: %d peers are alive, want %d", ix, live, len(fl.routers)-1)
		}
	}
}

// Guards against routers that never meet, as each waits for a reply of the other first.
func TestStrangersMeet(t *testing.T) {
	ra := clock.NewRand(1)
	one, two := &swim.Table{Self: "one", Rand: ra}, &swim.Table{Self: "two", Rand: ra}
	now := time.Unix(1000, 0)
	one.Add(now, "two")
	two.Contact(now, "one", 0)
	if !two.Challenge(now, "one") {
		t.Fatal("two does not probe one")
	}
	one.Contact(now, "two", 0)
	if !one.Challenge(now, "two") {
		t.Fatal("one does not probe two")
	}
	if !two.ReplyReceived(now, "one", 0) || !one.ReplyReceived(now, "two", 0) {
		t.Error("they did not meet")
	}
}
