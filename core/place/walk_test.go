package place_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"almondrill/core"
	"almondrill/core/place"
)

// world is a router whose endpoints come, fail and leave, and whose peers tell it of calls.
type world struct {
	pl      *place.Placer
	now     time.Time
	tickets []*place.Ticket
	peers   []*place.Placer
}

const worldSize = 12

func newWorld() *world {
	wo := &world{pl: newPlacer(4), now: begin}
	register(wo.pl, worldSize)
	for range 3 {
		peer := newPlacer(4)
		register(peer, worldSize)
		wo.peers = append(wo.peers, peer)
	}
	return wo
}

// step does one thing that may happen.
func (wo *world) step(rt *rapid.T) {
	ix := rapid.IntRange(0, worldSize-1).Draw(rt, "endpoint")
	switch rapid.IntRange(0, 8).Draw(rt, "what") {
	case 0:
		wo.now = wo.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(rt, "ms")) * time.Millisecond)
	case 1:
		wo.pl.Remove(endpoint(ix).ID)
	case 2:
		wo.pl.MarkMissing(endpoint(ix).ID)
	case 3:
		en := endpoint(ix)
		en.Incarnation = core.Incarnation(rapid.IntRange(0, 3).Draw(rt, "start"))
		en.Draining = rapid.IntRange(0, 5).Draw(rt, "draining") == 0
		en.Zone = core.Zone(rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "zone"))
		en.ColdUntil = wo.now.Add(time.Duration(rapid.IntRange(-100, 500).Draw(rt, "cold")) * time.Millisecond)
		wo.pl.Register(wo.now, en)
	case 4, 5:
		at := rapid.IntRange(0, len(wo.peers)-1).Draw(rt, "peer")
		peer := wo.peers[at]
		if tk, rf := peer.Pick(wo.now, newRequest(chat(uint64(ix%3), uint64(ix)))); rf == nil && rapid.Bool().Draw(rt, "short") {
			tk.RecordLoad(wo.now, rapid.IntRange(0, 60).Draw(rt, "count"))
			tk.Done(wo.now, place.Served)
		}
		wo.pl.ApplyLoadReport(wo.now, fmt.Sprint("peer", at), peer.LoadReport())
		wo.pl.ApplyMoves(peer.Moves(wo.now, time.Time{}))
		wo.pl.ApplyReadings(wo.now, time.Millisecond, peer.Readings(wo.now))
	case 6:
		if tk, rf := wo.pl.Pick(wo.now, wo.drawRequest(rt)); rf == nil {
			wo.tickets = append(wo.tickets, tk)
		}
	case 7:
		if len(wo.tickets) > 0 {
			wo.tickets[0].Done(wo.now, place.Result(rapid.IntRange(0, int(place.Replaced)).Draw(rt, "result")))
			wo.tickets = wo.tickets[1:]
		}
	case 8:
		if len(wo.tickets) > 0 {
			wo.tickets[0].RecordActivity(wo.now)
			wo.tickets[0].RecordLoad(wo.now, rapid.IntRange(0, 60).Draw(rt, "count"))
		}
	}
}

func (wo *world) drawRequest(rt *rapid.T) *place.Request {
	id := rapid.Uint64Range(0, 20).Draw(rt, "chat")
	rq := newRequest(chat(id%3, id)[:rapid.IntRange(0, 3).Draw(rt, "parts")])
	rq.Engine = rapid.IntRange(0, 9).Draw(rt, "engine") > 0
	if rapid.IntRange(0, 3).Draw(rt, "retried") == 0 {
		rq.Tried = []core.EndpointID{endpoint(0).ID}
		rq.HealthyOnly = rapid.Bool().Draw(rt, "healthy")
	}
	return rq
}

// A choice among thousands of endpoints passes those by that cannot cost least, and looks
// little at those about which it knew nothing before. Were one passed by wrongly, chats would
// leave the engines that hold them, or calls go to one that is down, on large pools only.
func TestChoiceMatchesWeighingAll(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wo := newWorld()
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			wo.step(rt)
			rq := wo.drawRequest(rt)
			if !rq.Engine {
				continue // its price has a part that is drawn
			}
			got, want := wo.pl.InspectChoice(wo.now, rq), wo.pl.WeighAll(wo.now, rq)
			if math.Abs(got.CostMs-want.CostMs) > 1e-6 {
				// The holder may be drawn from several: both were weighed with one of them.
				if wo.ambiguousHolder(rq) {
					continue
				}
				rt.Fatalf("the choice costs %v ms, the cheapest of all %v", got.CostMs, want.CostMs)
			}
			got.CostMs, want.CostMs = 0, 0
			got.FailureRate, want.FailureRate = math.Round(1e6*got.FailureRate), math.Round(1e6*want.FailureRate)
			if got != want {
				rt.Fatalf("the choice went by %+v, want %+v", got, want)
			}
		}
	})
}

// ambiguousHolder tells whether more than one endpoint may be the holder, by repeated draws.
func (wo *world) ambiguousHolder(rq *place.Request) bool {
	first := wo.pl.WeighAll(wo.now, rq)
	for range 20 {
		if wo.pl.WeighAll(wo.now, rq).CostMs != first.CostMs {
			return true
		}
	}
	return false
}

// Words are replaced, lapse and meet endpoints that come and go. The kept sums have to be
// what adding the words up gives: an error would stay for good, and an endpoint look busy or
// idle for ever.
func TestLoadReportSumsStayCorrect(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pl := newPlacer(9)
		now := begin
		type report struct {
			at    time.Time
			gap   time.Duration
			calls map[int]int
		}
		reports := map[string]*report{}
		for range rapid.IntRange(1, 80).Draw(rt, "steps") {
			ix := rapid.IntRange(0, worldSize-1).Draw(rt, "endpoint")
			switch rapid.IntRange(0, 3).Draw(rt, "what") {
			case 0:
				now = now.Add(time.Duration(rapid.IntRange(0, 2500).Draw(rt, "ms")) * time.Millisecond)
			case 1:
				pl.Register(now, endpoint(ix))
			case 2:
				pl.Remove(endpoint(ix).ID)
			case 3:
				name := fmt.Sprint("peer", rapid.IntRange(0, 4).Draw(rt, "peer"))
				peer := newPlacer(9)
				rp := &report{at: now, calls: map[int]int{}}
				for at := range rapid.IntRange(0, worldSize).Draw(rt, "told") {
					peer.Register(now, endpoint(at))
					only := newRequest(nil)
					for other := range at {
						only.Tried = append(only.Tried, endpoint(other).ID)
					}
					if _, rf := peer.Pick(now, only); rf == nil {
						rp.calls[at]++
					}
				}
				if old := reports[name]; old != nil && now.Sub(old.at) < 20*time.Second {
					rp.gap = max(now.Sub(old.at), old.gap/2)
				}
				reports[name] = rp
				pl.ApplyLoadReport(now, name, peer.LoadReport())
			}
			for ix := range worldSize {
				want := 0
				for _, rp := range reports {
					if unexpired(now, rp.at, rp.gap) {
						want += rp.calls[ix]
					}
				}
				if got, known := pl.PeerCalls(now, endpoint(ix).ID); known && got != want {
					rt.Fatalf("e%02d is believed to have %d calls of others, want %d", ix, got, want)
				}
			}
		}
	})
}

// unexpired tells whether a word counts still: 2 s, or three gaps where words are further apart.
func unexpired(now, at time.Time, interval time.Duration) bool {
	return now.Sub(at) <= min(20*time.Second, max(2*time.Second, 3*interval))
}

// Before hundreds of routers, each peer is heard every 4 s, as what it sends is bounded.
// Were its word forgotten before it speaks again, no router would know of more than half of
// the calls, and send new ones to engines that are full.
func TestInfrequentLoadReportsCount(t *testing.T) {
	pl, peer := newPlacer(400), newPlacer(400)
	register(pl, 1)
	register(peer, 1)
	for range 3 {
		pick(t, peer, begin, &place.Request{Pool: pool, Engine: true})
	}
	const gap = 4 * time.Second
	for turn := range 5 {
		at := begin.Add(time.Duration(turn) * gap)
		pl.ApplyLoadReport(at, "peer", peer.LoadReport())
		told, _ := pl.PeerCalls(at.Add(gap-time.Millisecond), endpoint(0).ID)
		if turn > 0 && told != 3 {
			t.Errorf("word %d: %d calls are believed before the next, want 3", turn, told)
		}
	}
	if told, _ := pl.PeerCalls(begin.Add(4*gap+reportTTLIntervals*gap+time.Millisecond), endpoint(0).ID); told != 0 {
		t.Errorf("%d calls are believed of a peer that has stopped", told)
	}
}

// reportTTLIntervals is after how many gaps a peer counts as stopped.
const reportTTLIntervals = 3
