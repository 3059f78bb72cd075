package place_test

import (
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/place"
)

// withIncarnation returns an endpoint with the incarnation.
func withIncarnation(ix int, at core.Incarnation) place.Endpoint {
	ep := endpoint(ix)
	ep.Incarnation = at
	return ep
}

func draining(ep place.Endpoint) place.Endpoint {
	ep.Draining = true
	return ep
}

// countPicks returns how many of 50 chats the endpoint gets.
func countPicks(t *testing.T, pl *place.Placer, now time.Time, id core.EndpointID) int {
	t.Helper()
	count := 0
	for chatID := range uint64(50) {
		if serve(t, pl, now, newRequest(chat(1, chatID))).Endpoint.ID == id {
			count++
		}
	}
	return count
}

// Guards against a restarted endpoint that stays idle forever: mistaken for the incarnation that
// was draining, it gets no calls, and callers are refused for lack of capacity.
func TestRestartedEndpointIsUsed(t *testing.T) {
	pl := newPlacer(1)
	pl.Register(begin, withIncarnation(0, 100))
	pl.Register(begin, withIncarnation(1, 100))
	pl.Register(begin, draining(withIncarnation(0, 100)))
	if got := countPicks(t, pl, begin, "e00"); got != 0 {
		t.Fatalf("%d calls for a draining endpoint", got)
	}
	if !pl.Register(begin, withIncarnation(0, 200)) || countPicks(t, pl, begin, "e00") == 0 {
		t.Error("a restarted endpoint gets no calls")
	}
}

// The same, but the earlier registration is removed before the new one arrives, as after a crash.
func TestRestartedEndpointIsUsedAfterItsRemoval(t *testing.T) {
	pl := newPlacer(1)
	pl.Register(begin, withIncarnation(1, 100))
	pl.Register(begin, draining(withIncarnation(0, 100)))
	pl.Remove("e00")
	pl.Register(begin, withIncarnation(0, 100))
	if got := countPicks(t, pl, begin, "e00"); got != 0 {
		t.Errorf("%d calls for an incarnation that was draining", got)
	}
	pl.Register(begin, withIncarnation(0, 200))
	if countPicks(t, pl, begin, "e00") == 0 {
		t.Error("a restarted endpoint gets no calls")
	}
}

// Guards against calls to a dead address: a registration of the earlier incarnation was delayed in
// the store and arrives after that of the later one.
func TestLateRegistrationOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	for _, gone := range []bool{false, true} {
		pl := newPlacer(1)
		now := withIncarnation(0, 200)
		now.Addr = "10.0.9.9:80"
		pl.Register(begin, now)
		if gone {
			pl.Remove("e00")
		}
		if pl.Register(begin, draining(withIncarnation(0, 100))) {
			t.Errorf("an earlier incarnation was accepted, gone %v", gone)
		}
		tk, re := pl.Pick(begin, newRequest(chat(1, 1)))
		if gone && re == nil || !gone && (re != nil || tk.Endpoint.Addr != now.Addr) {
			t.Errorf("gone %v: picked %+v, %v", gone, tk, re)
		}
	}
}

// Guards against fetches from an engine that has lost its cache: it crashed and is back empty.
// Another engine would wait in vain and then prefill the prompt itself.
func TestNothingIsFetchedFromAnEarlierIncarnation(t *testing.T) {
	prompt := []place.Part{{Hash: 7, Tokens: 10000}}
	elsewhere := newRequest(prompt)
	elsewhere.Tried = []core.EndpointID{"e00"}
	for _, restarted := range []bool{false, true} {
		pl := newPlacer(1)
		pl.Register(begin, withIncarnation(0, 100))
		serve(t, pl, begin, newRequest(prompt))
		pl.Register(begin, withIncarnation(1, 100))
		if restarted {
			pl.Register(begin, withIncarnation(0, 200))
		}
		tk := pick(t, pl, begin, elsewhere)
		if fetches := tk.FetchFrom == withIncarnation(0, 100).Addr; fetches == restarted {
			t.Errorf("restarted %v: fetches %d tokens from %q", restarted, tk.FetchTokens, tk.FetchFrom)
		}
		tk.Done(begin, place.Neutral)
		pl.Remove("e01")
		if tk = pick(t, pl, begin, newRequest(prompt)); (tk.UncachedTokens == 0) == restarted {
			t.Errorf("restarted %v: %d of 10000 tokens are expected to be prefilled", restarted, tk.UncachedTokens)
		}
	}
}

// placeCalls places calls and leaves them in progress. For each, the endpoint reports that it has
// all of them.
func placeCalls(t *testing.T, pl *place.Placer, count int) []*place.Ticket {
	t.Helper()
	var open []*place.Ticket
	for id := range uint64(count) {
		tk := pick(t, pl, begin, newRequest(chat(1, id)))
		tk.RecordLoad(begin, count)
		open = append(open, tk)
	}
	return open
}

// Guards against calls kept away from an empty engine: calls in progress at the earlier
// incarnation, and the load that it reported, do not count for the later one.
func TestLoadOfAnEarlierIncarnationIsForgotten(t *testing.T) {
	pl := newPlacer(1)
	pl.Register(begin, withIncarnation(0, 100))
	open := placeCalls(t, pl, 20)
	pl.Register(begin, withIncarnation(0, 200))
	tk := pick(t, pl, begin, newRequest(chat(1, 1)))
	if tk.OwnCalls != 0 || tk.PeerCalls != 0 {
		t.Errorf("%d own calls and %d of peers at an incarnation that has none", tk.OwnCalls, tk.PeerCalls)
	}
	for _, old := range open {
		old.Done(begin, place.Failed)
	}
	if next := pick(t, pl, begin, newRequest(chat(1, 2))); next.OwnCalls != 1 {
		t.Errorf("%d own calls after those of the earlier incarnation ended, want 1", next.OwnCalls)
	}
}

// Guards against load that peers report for an earlier incarnation: one of two routers has not
// learned yet that an endpoint restarted. Its calls, readings and moves apply to the earlier
// incarnation and do not count until it has learned of the later one.
func TestPeerReportOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	one, two := newPlacer(2), newPlacer(2)
	for _, pl := range []*place.Placer{one, two} {
		pl.Register(begin, withIncarnation(0, 100))
	}
	one.Register(begin, withIncarnation(0, 200))
	open := placeCalls(t, two, 9)
	applyReports := func() int {
		one.ApplyLoadReport(begin, "two", two.LoadReport())
		one.ApplyReadings(begin, 0, two.Readings(begin))
		one.ApplyMoves(two.Moves(begin, time.Time{}))
		tk := pick(t, one, begin, newRequest(chat(1, 1)))
		defer tk.Done(begin, place.Neutral)
		return tk.PeerCalls
	}
	if others := applyReports(); others != 0 {
		t.Errorf("%d calls of an earlier incarnation are counted at the later one", others)
	}
	two.Register(begin, withIncarnation(0, 200))
	for _, tk := range open {
		tk.Done(begin, place.Failed)
	}
	pick(t, two, begin, newRequest(chat(1, 1)))
	if others := applyReports(); others != 1 {
		t.Errorf("%d calls of the later incarnation, want 1", others)
	}
}
