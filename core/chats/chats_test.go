package chats_test

import (
	"testing"
	"testing/synctest"
	"time"

	"almondrill/core"
	"almondrill/core/chats"
	"almondrill/io/clock"
)

func book() *chats.Book {
	return &chats.Book{Clock: clock.Wall{}, MaxHeld: 3, MaxAway: 3, KeepFor: time.Hour}
}

// An engine evicts chats, and some of its events are lost on the way. The gap is
// noticed, and the listing that follows drops what is no longer cached.
func TestGapInEventsForcesResync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bo := book()
		for key := range uint64(3) {
			bo.Keep(key+1, chats.Held{Endpoint: "e"})
		}
		if !bo.Evicted("e", 1, 1) {
			t.Error("the first event counts as a gap")
		}
		if bo.Evicted("e", 3, 0) {
			t.Error("a gap went unnoticed")
		}
		bo.Resynced("e", 5, map[uint64]bool{3: true})
		if !bo.Evicted("e", 4, 3) {
			t.Error("a late event counts as a gap")
		}
		_, one := bo.Held(1)
		_, two := bo.Held(2)
		_, three := bo.Held(3)
		if one || two || !three {
			t.Errorf("held: %v %v %v, want only the third", one, two, three)
		}
	})
}

// The tables are bounded and entries age out; a chat that came home needs no
// pointer any more.
func TestBookIsBoundedAndForgets(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		bo := book()
		for key := range uint64(10) {
			bo.Keep(key, chats.Held{Endpoint: "e"})
			bo.Point(key+100, core.Placement{VM: "vm"})
		}
		if held, away, _ := bo.Sizes(); held != 3 || away != 3 {
			t.Errorf("%d held, %d pointers", held, away)
		}
		bo.Point(9, core.Placement{VM: "vm"})
		bo.Keep(9, chats.Held{Endpoint: "e"})
		if _, away := bo.Away(9); away {
			t.Error("a chat that is here points elsewhere")
		}
		time.Sleep(2 * time.Hour)
		_, held := bo.Held(9)
		_, away := bo.Away(109)
		if held || away {
			t.Error("old entries are used")
		}
	})
}
