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

// world simulates a router whose endpoints join, fail and leave, and whose peers report calls.
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

// step does one random thing.
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

// Guards against errors in the shortcuts of a choice, which show on large pools only: among
// thousands of endpoints the choice skips those that cannot be the cheapest, and most checks of
// those for which an earlier choice found nothing to check. Wrongly skipped endpoints would make
// chats leave the engines that have them cached, or send calls to an endpoint that is down.
func TestChoiceMatchesWeighingAll(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wo := newWorld()
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			wo.step(rt)
			rq := wo.drawRequest(rt)
			if !rq.Engine {
				continue // its cost has a random part
			}
			got, want := wo.pl.InspectChoice(wo.now, rq), wo.pl.WeighAll(wo.now, rq)
			if math.Abs(got.CostMs-want.CostMs) > 1e-6 {
				// The holder may be drawn from several: both results are based on one of them.
				if wo.ambiguousHolder(rq) {
					continue
				}
				rt.Fatalf("the chosen endpoint costs %v ms, the cheapest of all %v", got.CostMs, want.CostMs)
			}
			got.CostMs, want.CostMs = 0, 0
			got.FailureRate, want.FailureRate = math.Round(1e6*got.FailureRate), math.Round(1e6*want.FailureRate)
			if got != want {
				rt.Fatalf("the choice is based on %+v, want %+v", got, want)
			}
		}
	})
}

// ambiguousHolder reports whether more than one endpoint may be the holder, by repeated draws.
func (wo *world) ambiguousHolder(rq *place.Request) bool {
	first := wo.pl.WeighAll(wo.now, rq)
	for range 20 {
		if wo.pl.WeighAll(wo.now, rq).CostMs != first.CostMs {
			return true
		}
	}
	return false
}

// Guards against errors in the maintained sums of load reports, which would make an endpoint look
// busy or idle forever: reports are replaced and expire while endpoints join and leave.
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
					rt.Fatalf("e%02d has %d reported calls of peers, want %d", ix, got, want)
				}
			}
		}
	})
}

// unexpired reports whether a report is still valid: for 2 s, or for three intervals if reports are
// further apart.
func unexpired(now, at time.Time, interval time.Duration) bool {
	return now.Sub(at) <= min(20*time.Second, max(2*time.Second, 3*interval))
}

// Guards against load reports that expire before the next one arrives: among hundreds of routers,
// each peer's reports arrive every 4 s, because its messages are bounded. Routers would know of no
// more than half of the calls, and send new ones to full engines.
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
		reported, _ := pl.PeerCalls(at.Add(gap-time.Millisecond), endpoint(0).ID)
		if turn > 0 && reported != 3 {
			t.Errorf("report %d: %d calls are counted before the next, want 3", turn, reported)
		}
	}
	if reported, _ := pl.PeerCalls(begin.Add(4*gap+reportTTLIntervals*gap+time.Millisecond), endpoint(0).ID); reported != 0 {
		t.Errorf("%d calls are counted of a peer that has stopped", reported)
	}
}

// reportTTLIntervals is after how many intervals without a report a peer counts as stopped.
const reportTTLIntervals = 3
