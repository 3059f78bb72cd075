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

// Some of an engine's eviction events are lost. The gap must be detected, and the resync that follows
// must remove the entries that are no longer cached.
func TestGapInEventsForcesResync(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		di := directory()
		for key := range uint64(3) {
			di.Add(key+1, ctxdir.CachedContext{Endpoint: "e"})
		}
		if !di.ApplyEviction("e", 1, 1) {
			t.Error("the first event was reported as a gap")
		}
		if di.ApplyEviction("e", 3, 0) {
			t.Error("a gap in the sequence was not reported")
		}
		di.Resync("e", 5, map[uint64]bool{3: true})
		if !di.ApplyEviction("e", 4, 3) {
			t.Error("a late event was reported as a gap")
		}
		_, one := di.Lookup(1)
		_, two := di.Lookup(2)
		_, three := di.Lookup(3)
		if one || two || !three {
			t.Errorf("cached: %v %v %v, want only the third", one, two, three)
		}
	})
}

// Both tables must stay within their bounds and expire entries. Caching a chat's context here must
// remove its pointer.
func TestDirectoryIsBoundedAndExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		di := directory()
		for key := range uint64(10) {
			di.Add(key, ctxdir.CachedContext{Endpoint: "e"})
			di.AddPointer(key+100, core.Placement{VM: "vm"})
		}
		if cached, pointed, _ := di.Sizes(); cached != 3 || pointed != 3 {
			t.Errorf("%d contexts and %d pointers, want 3 of each", cached, pointed)
		}
		di.AddPointer(9, core.Placement{VM: "vm"})
		di.Add(9, ctxdir.CachedContext{Endpoint: "e"})
		if _, pointed := di.Pointer(9); pointed {
			t.Error("a chat whose context is cached here still has a pointer")
		}
		time.Sleep(2 * time.Hour)
		_, cached := di.Lookup(9)
		_, pointed := di.Pointer(109)
		if cached || pointed {
			t.Error("entries older than TTL were returned")
		}
	})
}
