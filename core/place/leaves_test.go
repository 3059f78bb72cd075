package place_test

import (
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/place"
)

// Guards against an endpoint that gets calls again after it has drained, as its registration of before is
// back from a copy of the store.
func TestDrainingSurvivesReregistration(t *testing.T) {
	for _, at := range []core.Incarnation{0, 100} {
		pl := newPlacer(1)
		pl.Register(begin, withIncarnation(0, at))
		pl.Register(begin, draining(withIncarnation(0, at)))
		pl.Remove("e00")
		pl.Register(begin, withIncarnation(0, at))
		if _, rf := pl.Pick(begin, newRequest(chat(1, 3))); rf == nil {
			t.Errorf("start %d: a call was placed on an endpoint that had drained", at)
		}
	}
}

// Guards against an announcement that is taken for an earlier start's alone: the endpoint crashed and was
// reached again, so that the later start, whose registration comes afterwards, may have made it.
func TestShutdownOfAnUnregisteredIncarnation(t *testing.T) {
	for name, lost := range map[string]bool{"reached again": true, "never lost": false} {
		pl := newPlacer(1)
		pl.Register(begin, withIncarnation(0, 100))
		tk := pick(t, pl, begin, newRequest(chat(1, 1)))
		if lost {
			tk.Done(begin, place.Unreachable)
		} else {
			tk.Done(begin, place.Served)
		}
		again := begin.Add(time.Second)
		tk = pick(t, pl, again, newRequest(chat(1, 1)))
		tk.RecordActivity(again)
		tk.RecordShutdown(again)
		tk.Done(again, place.Served)
		pl.Register(again, withIncarnation(0, 200))
		if _, rf := pl.Pick(again.Add(4*time.Second), newRequest(chat(1, 1))); (rf != nil) != lost {
			t.Errorf("%s: %v four seconds after", name, rf)
		}
		if _, rf := pl.Pick(again.Add(6*time.Second), newRequest(chat(1, 1))); rf != nil {
			t.Errorf("%s: the later start stays unused: %v", name, rf)
		}
	}
}

// Guards against an endpoint that gets calls again after it has announced that it leaves, as its
// registration lapses and comes back, before or after the announcement.
func TestAnnouncedShutdownSurvivesReregistration(t *testing.T) {
	for _, at := range []core.Incarnation{0, 100} {
		pl := newPlacer(1)
		leaving := withIncarnation(0, at)
		pl.Register(begin, leaving)
		tk := pick(t, pl, begin, newRequest(chat(1, 1)))
		late := pick(t, pl, begin, newRequest(chat(1, 2)))
		pl.Remove(leaving.ID)
		pl.Register(begin, leaving)
		if !tk.RecordShutdown(begin) || tk.RecordShutdown(begin) {
			t.Error("the announcement is not told as new once")
		}
		if late.BeforeSend(begin) != core.ReasonDraining {
			t.Error("a call chosen before may be sent")
		}
		if _, rf := pl.Pick(begin, newRequest(chat(1, 3))); rf == nil {
			t.Errorf("start %d: a call was placed after the announcement", at)
		}
		pl.Remove(leaving.ID)
		pl.Register(begin, leaving)
		if _, rf := pl.Pick(begin, newRequest(chat(1, 3))); rf == nil {
			t.Errorf("start %d: a call was placed once the registration was back", at)
		}
		pl.Register(begin, withIncarnation(0, 200))
		if tk := pick(t, pl, begin, newRequest(chat(1, 3))); tk.Endpoint.Incarnation != 200 {
			t.Errorf("start %d: a later start is not used", at)
		}
		tk.Done(begin, place.Served)
	}
}
