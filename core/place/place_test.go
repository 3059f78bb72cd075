package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/place"
)

const pool = core.PoolID("chat")

var begin = time.Unix(1_700_000_000, 0)

type testRand struct{ *rand.Rand }

func newRand(seed uint64) testRand { return testRand{rand.New(rand.NewPCG(seed, 1))} }

func newPlacer(routers int) *place.Placer {
	return &place.Placer{Zone: "a", Rand: newRand(1), CapFactor: 2, RouterCount: func() int { return routers }}
}

func endpoint(ix int) place.Endpoint {
	return place.Endpoint{
		ID: core.EndpointID(fmt.Sprintf("e%02d", ix)), Addr: fmt.Sprintf("10.0.0.%d:80", ix), Pool: pool, Zone: "a", Slots: 48,
	}
}

func register(pl *place.Placer, count int) {
	for ix := range count {
		pl.Register(begin, endpoint(ix))
	}
}

// chat returns the prompt of a chat: a shared prefix, the conversation so far, and the new turn.
func chat(prefix, id uint64) []place.Part {
	return []place.Part{{Hash: prefix, Tokens: 500}, {Hash: 1000 + id, Tokens: 10000}, {Hash: 1 << 40, Tokens: 1000}}
}

func newRequest(parts []place.Part) *place.Request {
	return &place.Request{Pool: pool, Parts: parts, Engine: true, EngineMemory: 400000, FetchTokensPerMs: 1000, MaxConns: 300}
}

func pick(t *testing.T, pl *place.Placer, now time.Time, rq *place.Request) *place.Ticket {
	t.Helper()
	tk, re := pl.Pick(now, rq)
	if re != nil {
		t.Fatal(re)
	}
	return tk
}

// serve places a call and ends it successfully.
func serve(t *testing.T, pl *place.Placer, now time.Time, rq *place.Request) *place.Ticket {
	t.Helper()
	tk := pick(t, pl, now, rq)
	tk.RecordActivity(now)
	tk.Done(now, place.Served)
	return tk
}

// Guards against calls cut off by an exiting endpoint: it announces that it is draining, and then
// an outdated copy of its registration says that it is ready.
func TestDrainingEndpointGetsNoCalls(t *testing.T) {
	pl := newPlacer(1)
	register(pl, 2)
	leaving := endpoint(0)
	leaving.Draining = true
	pl.Register(begin, leaving)
	pl.Register(begin, endpoint(0))
	for id := range uint64(50) {
		if tk := serve(t, pl, begin, newRequest(chat(1, id))); tk.Endpoint.ID == "e00" {
			t.Fatal("a draining endpoint was picked")
		}
	}
	pl.Remove("e01")
	if _, re := pl.Pick(begin, newRequest(chat(1, 1))); re == nil || re.Outcome != core.NotRun || re.RetryAfter <= 0 {
		t.Errorf("with only a draining endpoint: %v, want a refusal with a retry delay", re)
	}
}

// Guards against calls to an endpoint that is gone, and against an apparently empty pool: the store
// was unavailable and registrations expired. Requests to the endpoint that really left fail or come
// back late. If all registrations expired, an empty pool would refuse everything.
func TestMissingRegistrationDoesNotEmptyThePool(t *testing.T) {
	pl := newPlacer(1)
	register(pl, 3)
	pl.MarkMissing("e00")
	for id := range uint64(50) {
		if tk := serve(t, pl, begin, newRequest(chat(1, id))); tk.Endpoint.ID == "e00" {
			t.Fatal("an endpoint whose registration is missing was picked although there are others")
		}
	}
	pl.MarkMissing("e01")
	pl.MarkMissing("e02")
	serve(t, pl, begin, newRequest(chat(1, 1)))
	pl.Register(begin, endpoint(2))
	for id := range uint64(50) {
		if tk := serve(t, pl, begin, newRequest(chat(1, id))); tk.Endpoint.ID != "e02" {
			t.Fatal("the endpoint that is back was not preferred")
		}
	}
}

// Guards against further calls to a dead machine: after a power failure its connections stay open
// and nothing arrives, so that each request sent there is lost after seconds.
func TestSilentEndpointIsAvoided(t *testing.T) {
	pl := newPlacer(1)
	register(pl, 3)
	stuck := pick(t, pl, begin, newRequest(chat(1, 7)))
	now := begin.Add(1200 * time.Millisecond)
	for id := range uint64(30) {
		if tk := serve(t, pl, now, newRequest(chat(1, id))); tk.Endpoint.ID == stuck.Endpoint.ID {
			t.Fatal("an endpoint that is silent with a call in progress was picked")
		}
	}
	stuck.RecordActivity(now)
	back := 0
	for id := range uint64(30) {
		if tk := serve(t, pl, now, newRequest(chat(2, 100+id))); tk.Endpoint.ID == stuck.Endpoint.ID {
			back++
		}
	}
	if back == 0 {
		t.Error("an endpoint that responded again gets no calls")
	}
}

// Guards against many calls to an endpoint that may still be down: it refuses connections while it
// restarts, and is tried again with one call at a time after a growing pause.
func TestUnreachableEndpointIsProbedByOneCall(t *testing.T) {
	pl := newPlacer(1)
	register(pl, 2)
	home := pick(t, pl, begin, newRequest(chat(1, 7)))
	home.Done(begin, place.Unreachable)
	other := serve(t, pl, begin.Add(100*time.Millisecond), newRequest(chat(1, 7)))
	if other.Endpoint.ID == home.Endpoint.ID {
		t.Fatal("the unreachable endpoint was picked again at once")
	}
	later := begin.Add(10 * time.Second)
	trials := 0
	for id := range uint64(15) {
		if tk := pick(t, pl, later, newRequest(chat(2, id))); tk.Endpoint.ID == home.Endpoint.ID {
			trials++
		}
	}
	if trials > 1 {
		t.Errorf("%d concurrent calls were sent to an endpoint that may still be down", trials)
	}
}

// Guards against calls to an endpoint that fails 45 of 100 requests while its health check
// succeeds. If all endpoints fail alike, none is better.
func TestFailingEndpointIsAvoidedUnlessAllFail(t *testing.T) {
	share := func(failing int) float64 {
		pl := newPlacer(1)
		register(pl, 4)
		now, at := begin, 0
		const calls = 400
		for id := range uint64(calls) {
			now = now.Add(10 * time.Millisecond)
			tk := pick(t, pl, now, newRequest(chat(id%8, id%60)))
			bad := place.Served
			if tk.Endpoint.ID == "e00" {
				at++
			}
			if tk.Endpoint.ID < core.EndpointID(fmt.Sprintf("e%02d", failing)) && id%2 == 0 {
				bad = place.Failed
			}
			tk.RecordActivity(now)
			tk.Done(now, bad)
		}
		return float64(at) / calls
	}
	if got := share(1); got > 0.1 {
		t.Errorf("the failing endpoint got %.2f of the calls", got)
	}
	if got := share(4); got < 0.1 {
		t.Errorf("if all fail, one got only %.2f of the calls", got)
	}
}

// Guards against chats without a common home: routers that never exchanged messages send a chat to
// the same endpoint. When an endpoint joins, only its own share of the chats moves.
func TestRoutersAgreeOnHomes(t *testing.T) {
	one, two := newPlacer(2), newPlacer(2)
	register(one, 12)
	register(two, 12)
	homes := map[uint64]core.EndpointID{}
	for id := range uint64(200) {
		homes[id] = serve(t, one, begin, newRequest(chat(id%3, id))).Endpoint.ID
		if got := serve(t, two, begin, newRequest(chat(id%3, id))).Endpoint.ID; got != homes[id] {
			t.Errorf("chat %d: the routers chose %s and %s", id, homes[id], got)
		}
	}
	fresh := newPlacer(2)
	register(fresh, 13)
	moved := 0
	for id, home := range homes {
		if serve(t, fresh, begin, newRequest(chat(id%3, id))).Endpoint.ID != home {
			moved++
		}
	}
	if moved > 40 {
		t.Errorf("%d of 200 homes moved when a thirteenth endpoint joined", moved)
	}
}

// Guards against prefilling a context again when a chat's home is draining: the next endpoint can
// fetch the context from there, which takes some 10 ms, while prefilling 10,000 tokens takes 86 ms.
func TestMovedChatNamesItsHolder(t *testing.T) {
	pl := newPlacer(1)
	register(pl, 6)
	home := serve(t, pl, begin, newRequest(chat(1, 7)))
	leaving := home.Endpoint
	leaving.Draining = true
	pl.Register(begin, leaving)
	next := serve(t, pl, begin, newRequest(chat(1, 7)))
	if next.FetchFrom != home.Endpoint.Addr || next.FetchTokens == 0 {
		t.Errorf("fetches %d tokens from %q, want the context from %s", next.FetchTokens, next.FetchFrom, home.Endpoint.Addr)
	}
	rq := newRequest(chat(1, 7))
	rq.FetchTokensPerMs = 0
	if tk := serve(t, pl, begin, rq); tk.FetchFrom != "" {
		t.Error("a source is named although engines of the pool cannot fetch")
	}
}

// Guards against a shared prefix that hides where a chat is cached: a router has sent the prefix to
// one endpoint, but never the chat, which a peer has moved to another.
func TestSharedPrefixDoesNotHideTheChat(t *testing.T) {
	one, two := newPlacer(2), newPlacer(2)
	register(one, 6)
	register(two, 6)
	serve(t, two, begin, newRequest([]place.Part{{Hash: 1, Tokens: 500}, {Hash: 5, Tokens: 10}}))
	home := serve(t, one, begin, newRequest(chat(1, 7))).Endpoint
	rq := newRequest(chat(1, 7))
	rq.Tried = []core.EndpointID{home.ID}
	moved := serve(t, one, begin, rq)
	two.ApplyMoves(one.Moves(begin, time.Time{}))
	gone := home
	gone.Draining = true
	two.Register(begin, gone)
	two.Remove(home.ID)
	tk := serve(t, two, begin, newRequest(chat(1, 7)))
	if tk.Endpoint.ID != moved.Endpoint.ID && tk.FetchFrom != moved.Endpoint.Addr {
		t.Errorf("went to %s, fetching from %q; the chat is at %s", tk.Endpoint.ID, tk.FetchFrom, moved.Endpoint.Addr)
	}
}

// Guards against stale load readings: an engine reports its calls with each response; the count is
// adjusted by the router's own calls since, and sent to peers with its age.
func TestReadingsAreSharedAndExpire(t *testing.T) {
	one, two := newPlacer(2), newPlacer(2)
	register(one, 1)
	register(two, 1)
	tk := pick(t, one, begin, newRequest(chat(1, 1)))
	tk.RecordLoad(begin, 9)
	two.ApplyReadings(begin.Add(100*time.Millisecond), time.Millisecond, one.Readings(begin.Add(100*time.Millisecond)))
	own := pick(t, two, begin.Add(200*time.Millisecond), newRequest(chat(1, 2)))
	if own.OwnCalls != 0 || own.PeerCalls != 9 {
		t.Errorf("own %d, peers %d; want 0 and the 9 that the engine counted", own.OwnCalls, own.PeerCalls)
	}
	next := pick(t, two, begin.Add(200*time.Millisecond), newRequest(chat(1, 3)))
	if next.OwnCalls != 1 || next.PeerCalls != 9 {
		t.Errorf("own %d, peers %d; want 1 and 9", next.OwnCalls, next.PeerCalls)
	}
	old := pick(t, two, begin.Add(5*time.Second), newRequest(chat(1, 4)))
	if old.PeerCalls != 0 {
		t.Errorf("a count of 5 s ago is still used: %d", old.PeerCalls)
	}
}

// Guards against calls of a killed router that are counted forever: a load report is valid for two
// seconds.
func TestLoadReportExpires(t *testing.T) {
	one, two := newPlacer(2), newPlacer(2)
	register(one, 1)
	register(two, 1)
	for id := range uint64(3) {
		pick(t, one, begin, newRequest(chat(1, id)))
	}
	two.ApplyLoadReport(begin, "10.0.0.1:7000", one.LoadReport())
	if tk := pick(t, two, begin, newRequest(chat(1, 1))); tk.PeerCalls != 3 {
		t.Errorf("%d calls of peers, want 3", tk.PeerCalls)
	}
	if tk := pick(t, two, begin.Add(3*time.Second), newRequest(chat(1, 1))); tk.PeerCalls != 0 {
		t.Errorf("%d calls of peers after 3 s, want 0", tk.PeerCalls)
	}
}

// Guards against repeated calls to an endpoint that rejects them: it is skipped for a moment. If
// all endpoints are full, the refusal says when to retry.
func TestRejectingEndpointIsSkipped(t *testing.T) {
	pl := newPlacer(1)
	register(pl, 1)
	pick(t, pl, begin, newRequest(chat(1, 1))).Done(begin, place.Rejected)
	_, re := pl.Pick(begin, newRequest(chat(1, 1)))
	if re == nil || re.Reason != core.ReasonLoadCap || re.RetryAfter <= 0 {
		t.Fatalf("%v, want a refusal by the load cap with a retry delay", re)
	}
	serve(t, pl, begin.Add(time.Second), newRequest(chat(1, 1)))
}

// Guards against exceeding an endpoint's connections: a router has its even share of them, and more only
// while less than half are in use by all.
func TestConnectionsAreSharedAmongRouters(t *testing.T) {
	for peers, want := range map[int]int{0: 4, 1: 3, 2: 2, 4: 2, 6: 2} {
		pl := newPlacer(4)
		register(pl, 1)
		if peers > 0 {
			pl.ApplyCount(begin, place.EndpointHash(endpoint(0).ID, 0), peers)
		}
		rq := &place.Request{Pool: pool, MaxConns: 8}
		for range want {
			pick(t, pl, begin, rq)
		}
		if _, re := pl.Pick(begin, rq); re == nil {
			t.Errorf("the router used more than %d connections of 8 that four routers share, %d in use by others", want, peers)
		}
	}
}

// Guards against refusing calls that would be served in time: one of three lookup services is
// replaced under high load, and the other two can absorb a short queue.
func TestPlainEndpointAllowsAShortQueue(t *testing.T) {
	pl := newPlacer(1)
	for ix := range 2 {
		ep := endpoint(ix)
		ep.Slots = 6
		pl.Register(begin, ep)
	}
	rq := &place.Request{Pool: pool, MaxConns: 1000}
	for range 48 {
		pick(t, pl, begin, rq)
	}
	_, re := pl.Pick(begin, rq)
	if re == nil || re.Reason != core.ReasonLoadCap || re.RetryAfter <= 0 {
		t.Errorf("%v, want a refusal at four calls per slot", re)
	}
}
