package place_test

import (
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/place"
)

// Guards against calls to an endpoint that was draining, when its earlier registration returns, as
// after the store is restored from a backup.
func TestDrainingSurvivesReregistration(t *testing.T) {
	for _, at := range []core.Incarnation{0, 100} {
		pl := newPlacer(1)
		pl.Register(begin, withIncarnation(0, at))
		pl.Register(begin, draining(withIncarnation(0, at)))
		pl.Remove("e00")
		pl.Register(begin, withIncarnation(0, at))
		if _, rf := pl.Pick(begin, newRequest(chat(1, 3))); rf == nil {
			t.Errorf("incarnation %d: a call was placed on an endpoint that had been draining", at)
		}
	}
}

// Guards against attributing an announced shutdown to an earlier incarnation only: the endpoint
// crashed and was reached again, so that the later incarnation, which registers afterwards, may
// have announced it. A router that was idle meanwhile has not seen that.
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
		if _, rf := pl.Pick(again.Add(2900*time.Millisecond), newRequest(chat(1, 1))); rf == nil {
			t.Errorf("%s: a call is placed 2.9 s after the shutdown: the later incarnation may have announced it", name)
		}
		if _, rf := pl.Pick(again.Add(4*time.Second), newRequest(chat(1, 1))); (rf != nil) != lost {
			t.Errorf("%s: refusal four seconds after the shutdown: %v", name, rf)
		}
		if _, rf := pl.Pick(again.Add(6*time.Second), newRequest(chat(1, 1))); rf != nil {
			t.Errorf("%s: the later incarnation stays unused: %v", name, rf)
		}
	}
}

// Guards against calls to an endpoint that announced its shutdown, when its registration expires
// and returns before or after the announcement.
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
			t.Error("RecordShutdown does not report the shutdown as new exactly once")
		}
		if late.BeforeSend(begin) != core.ReasonDraining {
			t.Error("a call placed before the shutdown may be sent")
		}
		if _, rf := pl.Pick(begin, newRequest(chat(1, 3))); rf == nil {
			t.Errorf("incarnation %d: a call was placed after the announcement", at)
		}
		pl.Remove(leaving.ID)
		pl.Register(begin, leaving)
		if _, rf := pl.Pick(begin, newRequest(chat(1, 3))); rf == nil {
			t.Errorf("incarnation %d: a call was placed when the registration was back", at)
		}
		pl.Register(begin, withIncarnation(0, 200))
		// Where incarnations are known, it may be the one that announced the shutdown.
		usableFrom := begin
		if at != 0 {
			usableFrom = begin.Add(3 * time.Second)
			if _, rf := pl.Pick(usableFrom.Add(-time.Millisecond), newRequest(chat(1, 3))); rf == nil {
				t.Errorf("incarnation %d: a later incarnation is used at once", at)
			}
		}
		if tk := pick(t, pl, usableFrom, newRequest(chat(1, 3))); tk.Endpoint.Incarnation != 200 {
			t.Errorf("incarnation %d: a later incarnation is not used", at)
		}
		tk.Done(begin, place.Served)
	}
}
