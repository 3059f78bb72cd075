package place_test

import (
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/place"
)

// Guards against calls to endpoints that asked for none: the longest requested time applies, also
// after the registration expires and returns or a later incarnation registers, and no longer.
func TestBackoffLastsAsRequested(t *testing.T) {
	pl := newPlacer(1)
	register(pl, 2)
	held := map[core.EndpointID]*place.Ticket{}
	for id := uint64(1); len(held) < 2; id++ {
		tk := pick(t, pl, begin, newRequest(chat(1, id)))
		held[tk.Endpoint.ID] = tk
	}
	tk := held["e00"]
	if !tk.RecordBackoff(begin, 3*time.Second) || tk.RecordBackoff(begin, time.Second) {
		t.Error("RecordBackoff does not report the pause as new exactly once")
	}
	tk.Done(begin, place.Rejected)
	refresh := func(at core.Incarnation) {
		pl.Remove("e00")
		pl.Register(begin, withIncarnation(0, at))
	}
	for ix, at := range []time.Duration{0, 900 * time.Millisecond, 1100 * time.Millisecond, 2999 * time.Millisecond} {
		if got := countPicks(t, pl, begin.Add(at), "e00"); got != 0 {
			t.Errorf("%d calls after %s of a pause of 3 s", got, at)
		}
		refresh(core.Incarnation(ix / 2))
	}
	if countPicks(t, pl, begin.Add(3*time.Second), "e00") == 0 {
		t.Error("no calls after the pause")
	}
}

// Guards against a refusal that does not say when the first endpoint accepts calls again, and
// against the use of endpoints that look dead although they accept no calls.
func TestAllEndpointsBackOff(t *testing.T) {
	pl := newPlacer(1)
	register(pl, 2)
	held := map[core.EndpointID]*place.Ticket{}
	for id := uint64(1); len(held) < 2; id++ {
		tk := pick(t, pl, begin, newRequest(chat(1, id)))
		held[tk.Endpoint.ID] = tk
	}
	held["e00"].RecordBackoff(begin, 5*time.Second)
	held["e01"].RecordBackoff(begin, 3*time.Second)
	pl.MarkMissing("e01")
	_, rf := pl.Pick(begin.Add(time.Second), newRequest(chat(1, 1)))
	if rf == nil || rf.Outcome != core.NotRun || rf.Reason != core.ReasonBackoff || rf.RetryAfter != 2*time.Second {
		t.Errorf("%+v", rf)
	}
}
