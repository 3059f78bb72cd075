package place_test

import (
	"fmt"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/place"
)

// replay simulates a load on routers that exchange load reports, on virtual time.
type replay struct {
	routers []*place.Placer
	count   int
	calls   map[core.EndpointID]int
	ending  map[int][]*place.Ticket // by step
	step    int
	// Of the placed calls, beyondCap exceeded the load cap and awayFromHome were not at their home.
	// Of the sent prompt tokens, prefilledAgain were prefilled although another endpoint had them
	// cached.
	placed, beyondCap, awayFromHome int
	prefilledAgain, sent            core.Tokens
	cached                          map[string]bool
}

const (
	stepTime = 10 * time.Millisecond
	// reportSteps is the interval, in steps, between load reports of a router: 0.4 s, as with 26
	// routers.
	reportSteps = 40
)

func newReplay(routers, endpoints int) *replay {
	re := &replay{
		count: endpoints, calls: map[core.EndpointID]int{}, ending: map[int][]*place.Ticket{}, cached: map[string]bool{},
	}
	for ix := range routers {
		pl := &place.Placer{Zone: "a", Rand: newRand(uint64(ix)), CapFactor: 2, RouterCount: func() int { return routers }}
		register(pl, endpoints)
		re.routers = append(re.routers, pl)
	}
	return re
}

func (re *replay) now() time.Time { return begin.Add(time.Duration(re.step) * stepTime) }

// place sends one call through a router; it runs for the given number of steps.
func (re *replay) place(t *testing.T, router int, parts []place.Part, steps int) {
	t.Helper()
	tk := pick(t, re.routers[router], re.now(), newRequest(parts))
	total := 0
	for _, calls := range re.calls {
		total += calls
	}
	id := tk.Endpoint.ID
	re.placed++
	if !tk.AtHome {
		re.awayFromHome++
	}
	if float64(re.calls[id]+1) > 2*float64(total)/float64(re.count)+3 {
		re.beyondCap++
	}
	re.calls[id]++
	re.recordPrefill(tk, parts)
	re.ending[re.step+steps] = append(re.ending[re.step+steps], tk)
}

// recordPrefill counts the tokens that the endpoint has to prefill, unless it fetches them from a
// holder.
func (re *replay) recordPrefill(tk *place.Ticket, parts []place.Part) {
	for ix, pa := range parts[:len(parts)-1] {
		re.sent += pa.Tokens
		part := fmt.Sprint(ix, "/", parts[0].Hash, "/", pa.Hash, "/")
		fetched := tk.FetchFrom != "" && re.cached[part+tk.FetchFrom]
		if re.cached[part] && !re.cached[part+tk.Endpoint.Addr] && !fetched {
			re.prefilledAgain += pa.Tokens
		}
		re.cached[part] = true
		re.cached[part+tk.Endpoint.Addr] = true
	}
}

// tick ends the calls that are due, and sends the load reports that are due.
func (re *replay) tick() {
	re.step++
	for _, tk := range re.ending[re.step] {
		tk.RecordActivity(re.now())
		tk.Done(re.now(), place.Served)
		re.calls[tk.Endpoint.ID]--
	}
	delete(re.ending, re.step)
	for from, pl := range re.routers {
		if (re.step+from)%reportSteps != 0 {
			continue
		}
		for to, other := range re.routers {
			if to != from {
				other.ApplyLoadReport(re.now(), fmt.Sprint("router", from), pl.LoadReport())
				other.ApplyMoves(pl.Moves(re.now(), re.now().Add(-reportSteps*stepTime)))
			}
		}
	}
}

// Guards against late tokens at hot homes while other engines are idle: the load arrives at once,
// as when a stage starts, through 26 routers to 47 engines. What each router knows of its peers'
// calls is up to 0.4 s old, and popular chats share homes.
func TestSurgeStaysWithinTheLoadCap(t *testing.T) {
	re := newReplay(26, 47)
	ra := newRand(3)
	for re.step < 500 {
		// 300 long calls per second, each running for 1.5 s, skewed towards some chats.
		for range 3 {
			id := uint64(ra.Float64() * ra.Float64() * 206)
			re.place(t, ra.IntN(26), chat(id%3, id), 150)
		}
		re.tick()
	}
	if part := float64(re.beyondCap) / float64(re.placed); part > 0.03 {
		t.Errorf("%.3f of %d calls exceeded the load cap, want at most 0.03", part, re.placed)
	}
	if part := float64(re.prefilledAgain) / float64(re.sent); part > 0.05 {
		t.Errorf("%.3f of the returning tokens were prefilled again, want at most 0.05", part)
	}
}

// Guards against keeping chats with a common prefix together, which would hold a few engines at the
// load cap all the time, and short prompts would wait behind contexts that move. The load has three
// kinds of chats, each with a few shared prefixes, at the rate of a calm day.
func TestChatsWithSharedPrefixesStayAtHome(t *testing.T) {
	re := newReplay(26, 47)
	ra := newRand(6)
	kinds := []struct {
		perSecond           float64
		prefixes, chats     uint64
		prefix, said, steps int
	}{
		{286, 8, 509, 341, 1700, 10},
		{225, 40, 604, 119, 580, 70},
		{118, 3, 217, 512, 10000, 110},
	}
	for re.step < 800 {
		for at, ki := range kinds {
			for due := ki.perSecond * stepTime.Seconds(); due > 0; due-- {
				if due < 1 && ra.Float64() > due {
					continue
				}
				id := uint64(ra.Float64()*float64(ki.chats)) + 1000*uint64(at)
				begun := place.Part{Hash: 1 + id%ki.prefixes + 100*uint64(at), Tokens: core.Tokens(ki.prefix)}
				said := place.Part{Hash: 1000 + id, Tokens: core.Tokens(ki.said)}
				re.place(t, ra.IntN(26), []place.Part{begun, said, {Hash: 1 << 40, Tokens: 300}}, ki.steps)
			}
		}
		re.tick()
	}
	if part := float64(re.awayFromHome) / float64(re.placed); part > 0.05 {
		t.Errorf("%.3f of %d calls were placed elsewhere than at home, want at most 0.05", part, re.placed)
	}
}

// Guards against a hot chat that is prefilled on many endpoints: more than a quarter of the
// requests are for one chat and fill its home. All routers send the overflow to the same few
// further homes, which fetch the context from the first.
func TestHotChatSpreadsToFewEndpoints(t *testing.T) {
	re := newReplay(4, 12)
	ra := newRand(4)
	for re.step < 600 {
		if re.step%2 == 0 {
			id := uint64(ra.IntN(52))
			if ra.Float64() < 0.28 {
				id = 7
			}
			re.place(t, ra.IntN(4), chat(id%3, id), 150)
		}
		re.tick()
	}
	if part := float64(re.beyondCap) / float64(re.placed); part > 0.03 {
		t.Errorf("%.3f of %d calls exceeded the load cap", part, re.placed)
	}
	if part := float64(re.prefilledAgain) / float64(re.sent); part > 0.1 {
		t.Errorf("%.3f of the returning tokens were prefilled again, want at most 0.1", part)
	}
}

// Guards against prefilling contexts again when engines are replaced one after the other: chats of
// draining engines are fetched from them.
func TestReplacedEnginesTransferTheirChats(t *testing.T) {
	re := newReplay(4, 12)
	ra := newRand(5)
	before := core.Tokens(0)
	for re.step < 1500 {
		if re.step == 700 {
			before = re.prefilledAgain
		}
		if at := re.step - 700; at >= 0 && at%150 == 0 && at/150 < 4 {
			for _, pl := range re.routers {
				pl.Register(re.now(), endpoint(20+at/150))
				leaving := endpoint(at / 150)
				leaving.Draining = true
				pl.Register(re.now(), leaving)
			}
		}
		id := uint64(ra.IntN(52))
		if re.step%4 == 0 {
			re.place(t, ra.IntN(4), chat(id%3, id), 100)
		}
		re.tick()
	}
	// A third of the engines left; without a source, a third of 52 chats were prefilled again.
	if again := re.prefilledAgain - before; again > 60000 {
		t.Errorf("%d tokens were prefilled again, want at most 60,000 of some 180,000", again)
	}
}

// Guards against an overloaded home where moving is expensive: all requests are about one thing,
// and the engines cannot fetch, so that moving a call means prefilling 10,000 tokens.
func TestLoadCapHoldsWhereMovingIsExpensive(t *testing.T) {
	pl := newPlacer(1)
	register(pl, 10)
	calls := map[core.EndpointID]int{}
	for placed := range 60 {
		rq := newRequest(chat(1, 7))
		rq.FetchTokensPerMs = 0
		tk := pick(t, pl, begin, rq)
		calls[tk.Endpoint.ID]++
		if limit := 2*float64(placed)/10 + 3; float64(calls[tk.Endpoint.ID]) > limit {
			t.Fatalf("call %d: %d calls at one endpoint, want at most %.1f", placed+1, calls[tk.Endpoint.ID], limit)
		}
	}
}

// Guards against moving large chats first: an engine has twice its pool's mean of calls, still
// below the load cap. Small chats leave at the price of a step or two, and large ones, which are
// expensive to move, stay.
func TestSmallChatsMoveFirstUnderPressure(t *testing.T) {
	pl := newPlacer(1)
	register(pl, 8)
	big := chat(1, 7)
	home := serve(t, pl, begin, newRequest(big)).Endpoint.ID
	small := smallChatAt(t, pl, home)
	for ix := range 8 {
		tried := []core.EndpointID{}
		for other := range 8 {
			if other != ix {
				tried = append(tried, endpoint(other).ID)
			}
		}
		count := 3
		if endpoint(ix).ID == home {
			count = 7
		}
		for range count {
			pick(t, pl, begin, &place.Request{Pool: pool, Engine: true, Tried: tried})
		}
	}
	if tk := pick(t, pl, begin, newRequest(small)); tk.Endpoint.ID == home {
		t.Error("a small chat stays at an engine under pressure")
	}
	if tk := pick(t, pl, begin, newRequest(big)); tk.Endpoint.ID != home {
		t.Error("a large chat leaves its engine although it has free capacity")
	}
}

// smallChatAt finds a small chat whose home is the endpoint.
func smallChatAt(t *testing.T, pl *place.Placer, home core.EndpointID) []place.Part {
	t.Helper()
	for id := range uint64(200) {
		parts := []place.Part{{Hash: 90 + id, Tokens: 50}, {Hash: 5000 + id, Tokens: 150}, {Hash: 1 << 41, Tokens: 50}}
		if serve(t, pl, begin, newRequest(parts)).Endpoint.ID == home {
			return parts
		}
	}
	t.Fatal("no small chat has its home there")
	return nil
}

// Guards against refusals caused by dead engines: two thirds of a pool crash at once, at a sixth of
// its capacity. The remaining engines can run all calls, but dead ones, which have no calls, would
// lower the pool's mean.
func TestRemainingEnginesTakeAllCalls(t *testing.T) {
	const engines, dead, calls = 9, 6, 90
	pl := newPlacer(1)
	register(pl, engines)
	for ix := range dead { // each is found dead by a call
		rq := newRequest(nil)
		for other := range engines {
			if other != ix {
				rq.Tried = append(rq.Tried, endpoint(other).ID)
			}
		}
		pick(t, pl, begin, rq).Done(begin, place.Unreachable)
	}
	lost := 0
	busiest := map[core.EndpointID]int{}
	for id := range uint64(calls) {
		rq := newRequest(chat(1, id%30))
		tk, re := pl.Pick(begin, rq)
		if re == nil && tk.Endpoint.ID >= endpoint(dead).ID {
			busiest[tk.Endpoint.ID]++
			continue
		}
		lost++
		if re == nil {
			tk.Done(begin, place.Unreachable)
		}
	}
	if lost > 0 {
		t.Errorf("%d of %d callers were refused or sent to dead engines, while the remaining ones run %v of 48 each", lost, calls, busiest)
	}
}
