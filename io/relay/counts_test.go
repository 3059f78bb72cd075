package relay_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"almondrill/core/place"
	"almondrill/core/route"
	"almondrill/io/stand/local"
)

// fakeCounts tells the same count of each endpoint, and remembers what it was told.
type fakeCounts struct {
	calls int
	known bool

	mu       sync.Mutex // guards all below
	asked    []uint64
	reported map[uint64]int
	down     []uint64
	// draining are the endpoints that announced that they leave.
	draining []uint64
}

func (ke *fakeCounts) ReportDown(endpoint uint64) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	ke.down = append(ke.down, endpoint)
}

func (ke *fakeCounts) ReportDraining(endpoint uint64) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	ke.draining = append(ke.draining, endpoint)
}

func (ke *fakeCounts) InFlight(_ context.Context, endpoint uint64) (int, bool) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	ke.asked = append(ke.asked, endpoint)
	return ke.calls, ke.known
}

func (ke *fakeCounts) ReportInFlight(endpoint uint64, calls int) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if ke.reported == nil {
		ke.reported = map[uint64]int{}
	}
	ke.reported[endpoint] = calls
}

// newSharedPool is a router before two engines of a pool that another router shares.
func newSharedPool(t *testing.T, ke *fakeCounts) *fleet {
	t.Helper()
	fl := newFleet(t, respond(http.StatusOK, "x"), respond(http.StatusOK, "x"))
	fl.re.Placer.RouterCount = func() int { return 2 }
	fl.re.Dialect.Calls = func(http.Header) (int, bool) { return 5, true }
	fl.re.Counts = ke
	for range 6 { // the pool is in use
		if _, rf := fl.re.Placer.Pick(time.Now(), &place.Request{Pool: "pool", Engine: true}); rf != nil {
			t.Fatal(rf)
		}
	}
	return fl.configurePool(route.Route{Kind: route.Idempotent}, route.Pool{ID: "pool", Engine: true})
}

// The engine that a router would choose has more calls than places, by other routers' calls,
// of which it has not heard yet. Told so when it asks, it sends the request to the other.
func TestFullEngineIsFoundBeforeSend(t *testing.T) {
	ke := &fakeCounts{calls: 12, known: true}
	fl := newSharedPool(t, ke)
	rs, _, err := fl.send(http.MethodGet, "/r/a", "")
	fl.expect(rs, err, http.StatusOK, 1)
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if len(ke.asked) != 1 {
		t.Fatalf("counts of %v were asked for, want that of one engine", ke.asked)
	}
	if _, told := ke.reported[ke.asked[0]]; told || len(ke.reported) != 1 {
		t.Errorf("engines said %v, want an answer of the one that was not asked about", ke.reported)
	}
}

// Nobody knows the engine's count, as its keeper is lost. The request goes on by what is
// believed.
func TestRequestProceedsWithoutCount(t *testing.T) {
	ke := &fakeCounts{}
	fl := newSharedPool(t, ke)
	rs, _, err := fl.send(http.MethodGet, "/r/a", "")
	fl.expect(rs, err, http.StatusOK, 1)
	if len(ke.asked) != 1 {
		t.Errorf("counts were asked for %d times, want once", len(ke.asked))
	}
}

// An engine has crashed, and the router that finds out is one of many. It says so, or each of
// the others has to find out by a request of its own.
func TestDeadEngineIsReported(t *testing.T) {
	ke := &fakeCounts{}
	fl := newSharedPool(t, ke)
	fl.re.Placer.Register(time.Now(), place.Endpoint{ID: "dead", Addr: local.Addr(t), Pool: "pool", Zone: "a", Slots: 1000})
	for range 8 {
		rs, _, err := fl.send(http.MethodGet, "/r/a", "")
		if err != nil || rs.StatusCode != http.StatusOK {
			t.Fatal(rs, err)
		}
	}
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if len(ke.down) == 0 {
		t.Error("nobody was told of an engine that refuses connections")
	}
}
