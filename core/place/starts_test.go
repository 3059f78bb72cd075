package place_test

import (
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/place"
)

// withIncarnation is an endpoint at one of its starts.
func withIncarnation(ix int, at core.Incarnation) place.Endpoint {
	ep := endpoint(ix)
	ep.Incarnation = at
	return ep
}

func draining(ep place.Endpoint) place.Endpoint {
	ep.Draining = true
	return ep
}

// countPicks tells how many of 50 chats the endpoint gets.
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

// An endpoint drains, ends, and starts again under its id. Taken for the one that
// drained, the new one would stay idle for good, while callers are refused for want of
// room.
func TestRestartedEndpointIsUsed(t *testing.T) {
	pl := newPlacer(1)
	pl.Register(begin, withIncarnation(0, 100))
	pl.Register(begin, withIncarnation(1, 100))
	pl.Register(begin, draining(withIncarnation(0, 100)))
	if got := countPicks(t, pl, begin, "e00"); got != 0 {
		t.Fatalf("%d calls for an endpoint that drains", got)
	}
	if !pl.Register(begin, withIncarnation(0, 200)) || countPicks(t, pl, begin, "e00") == 0 {
		t.Error("an endpoint that started again gets nothing")
	}
}

// The same, but its registration goes before the new one comes, as after a crash.
func TestRestartedEndpointIsUsedAfterItsRemoval(t *testing.T) {
	pl := newPlacer(1)
	pl.Register(begin, withIncarnation(1, 100))
	pl.Register(begin, draining(withIncarnation(0, 100)))
	pl.Remove("e00")
	pl.Register(begin, withIncarnation(0, 100))
	if got := countPicks(t, pl, begin, "e00"); got != 0 {
		t.Errorf("%d calls for a start that was seen draining", got)
	}
	pl.Register(begin, withIncarnation(0, 200))
	if countPicks(t, pl, begin, "e00") == 0 {
		t.Error("an endpoint that started again gets nothing")
	}
}

// A registration of the earlier start was delayed in the store and comes after that of
// the later one. Taken, it would lead callers to an address where nobody listens.
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
			t.Errorf("an earlier start was taken, gone %v", gone)
		}
		tk, re := pl.Pick(begin, newRequest(chat(1, 1)))
		if gone && re == nil || !gone && (re != nil || tk.Endpoint.Addr != now.Addr) {
			t.Errorf("gone %v: picked %+v, %v", gone, tk, re)
		}
	}
}

// An engine that held a prompt crashed and is back, empty. Asked to take the prompt over
// from it, another engine would wait for nothing and then read it all the same.
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
			t.Errorf("restarted %v: %d of 10000 tokens are to be read", restarted, tk.UncachedTokens)
		}
	}
}

// placeCalls places calls and leaves them open; the endpoint says each time that it has
// them all.
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

// Calls that were in progress at the earlier start, and what it said of its load, say
// nothing of the new one: counted there, they would keep callers away from an empty
// engine.
func TestLoadOfAnEarlierIncarnationIsForgotten(t *testing.T) {
	pl := newPlacer(1)
	pl.Register(begin, withIncarnation(0, 100))
	open := placeCalls(t, pl, 20)
	pl.Register(begin, withIncarnation(0, 200))
	tk := pick(t, pl, begin, newRequest(chat(1, 1)))
	if tk.OwnCalls != 0 || tk.PeerCalls != 0 {
		t.Errorf("%d own calls and %d of others at a start that has none", tk.OwnCalls, tk.PeerCalls)
	}
	for _, old := range open {
		old.Done(begin, place.Failed)
	}
	if next := pick(t, pl, begin, newRequest(chat(1, 2))); next.OwnCalls != 1 {
		t.Errorf("%d own calls after those of the earlier start ended, want 1", next.OwnCalls)
	}
}

// One of two routers has not heard yet that an endpoint started again. Its word of the
// calls, the reading and the chats that it believes there is about the earlier start, and
// does not count; once it has heard, it does.
func TestPeerReportOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	one, two := newPlacer(2), newPlacer(2)
	for _, pl := range []*place.Placer{one, two} {
		pl.Register(begin, withIncarnation(0, 100))
	}
	one.Register(begin, withIncarnation(0, 200))
	open := placeCalls(t, two, 9)
	hear := func() int {
		one.ApplyLoadReport(begin, "two", two.LoadReport())
		one.ApplyReadings(begin, 0, two.Readings(begin))
		one.ApplyMoves(two.Moves(begin, time.Time{}))
		tk := pick(t, one, begin, newRequest(chat(1, 1)))
		defer tk.Done(begin, place.Neutral)
		return tk.PeerCalls
	}
	if others := hear(); others != 0 {
		t.Errorf("%d calls of an earlier start are counted at the later one", others)
	}
	two.Register(begin, withIncarnation(0, 200))
	for _, tk := range open {
		tk.Done(begin, place.Failed)
	}
	pick(t, two, begin, newRequest(chat(1, 1)))
	if others := hear(); others != 1 {
		t.Errorf("%d calls of the later start, want 1", others)
	}
}
