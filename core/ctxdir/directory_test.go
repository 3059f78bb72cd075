package ctxdir_test

import (
	"testing"
	"testing/synctest"
	"time"

	"almondrill/core"
	"almondrill/core/ctxdir"
	"almondrill/io/clock"
)

func directory() *ctxdir.Directory {
	return &ctxdir.Directory{Clock: clock.Wall{}, MaxCached: 3, MaxPointers: 3, TTL: time.Hour}
}

// An engine evicts chats, and some of its events are lost on the way. The gap is
// noticed, and the listing that follows drops what is no longer cached.
func TestGapInEventsForcesResync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		di := directory()
		for key := range uint64(3) {
			di.Add(key+1, ctxdir.CachedContext{Endpoint: "e"})
		}
		if !di.ApplyEviction("e", 1, 1) {
			t.Error("the first event counts as a gap")
		}
		if di.ApplyEviction("e", 3, 0) {
			t.Error("a gap went unnoticed")
		}
		di.Resync("e", 5, map[uint64]bool{3: true})
		if !di.ApplyEviction("e", 4, 3) {
			t.Error("a late event counts as a gap")
		}
		_, one := di.Lookup(1)
		_, two := di.Lookup(2)
		_, three := di.Lookup(3)
		if one || two || !three {
			t.Errorf("held: %v %v %v, want only the third", one, two, three)
		}
	})
}

// The tables are bounded and entries age out; a chat that came home needs no
// pointer any more.
func TestDirectoryIsBoundedAndExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		di := directory()
		for key := range uint64(10) {
			di.Add(key, ctxdir.CachedContext{Endpoint: "e"})
			di.AddPointer(key+100, core.Placement{VM: "vm"})
		}
		if held, away, _ := di.Sizes(); held != 3 || away != 3 {
			t.Errorf("%d held, %d pointers", held, away)
		}
		di.AddPointer(9, core.Placement{VM: "vm"})
		di.Add(9, ctxdir.CachedContext{Endpoint: "e"})
		if _, away := di.Pointer(9); away {
			t.Error("a chat that is here points elsewhere")
		}
		time.Sleep(2 * time.Hour)
		_, held := di.Lookup(9)
		_, away := di.Pointer(109)
		if held || away {
			t.Error("old entries are used")
		}
	})
}
