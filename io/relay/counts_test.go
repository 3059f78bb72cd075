package relay_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"almondrill/core/place"
	"almondrill/core/route"
	"almondrill/io/fakes/local"
	"almondrill/io/relay"
)

// fakeCounts returns the same count for each endpoint, and records what is reported to it.
type fakeCounts struct {
	calls int
	known bool

	mu       sync.Mutex // guards all below
	asked    []uint64
	reported map[uint64]int
	down     []uint64
	// draining are the endpoints reported as draining.
	draining []uint64
}

func (fc *fakeCounts) ReportDown(endpoint uint64) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	fc.down = append(fc.down, endpoint)
}

func (fc *fakeCounts) ReportDraining(endpoint uint64) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	fc.draining = append(fc.draining, endpoint)
}

func (fc *fakeCounts) InFlight(_ context.Context, endpoint uint64) (int, bool) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	fc.asked = append(fc.asked, endpoint)
	return fc.calls, fc.known
}

func (fc *fakeCounts) ReportInFlight(endpoint uint64, calls int) {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	if fc.reported == nil {
		fc.reported = map[uint64]int{}
	}
	fc.reported[endpoint] = calls
}

// newSharedPool returns a router with two engines that it shares with another router.
func newSharedPool(t *testing.T, fc *fakeCounts) *fleet {
	t.Helper()
	fl := newFleet(t, respond(http.StatusOK, "x"), respond(http.StatusOK, "x"))
	fl.re.Placer.RouterCount = func() int { return 2 }
	fl.re.Dialect.Load = func(http.Header) (relay.Load, bool) { return relay.Load{Running: 5}, true }
	fl.re.Counts = fc
	for range 6 { // occupy some slots
		if _, rf := fl.re.Placer.Pick(time.Now(), &place.Request{Pool: "pool", Engine: true}); rf != nil {
			t.Fatal(rf)
		}
	}
	return fl.configurePool(route.Route{Kind: route.Idempotent}, route.Pool{ID: "pool", Engine: true})
}

// The engine that the router would choose has no free slot, because of other routers' calls that this
// router has not learned of yet. It must ask for the count and send the request to the other engine.
func TestFullEngineIsFoundBeforeSend(t *testing.T) {
	fc := &fakeCounts{calls: 12, known: true}
	fl := newSharedPool(t, fc)
	rs, _, err := fl.send(http.MethodGet, "/r/a", "")
	fl.expect(rs, err, http.StatusOK, 1)
	fc.mu.Lock()
	defer fc.mu.Unlock()
	if len(fc.asked) != 1 {
		t.Fatalf("asked for the counts of %v, want one engine", fc.asked)
	}
	if _, reported := fc.reported[fc.asked[0]]; reported || len(fc.reported) != 1 {
		t.Errorf("counts reported by %v, want only the engine that was not asked about", fc.reported)
	}
}

// No router knows the engine's count, because its owner is lost. The request must be sent according
// to the router's own estimate.
func TestRequestProceedsWithoutCount(t *testing.T) {
	fc := &fakeCounts{}
	fl := newSharedPool(t, fc)
	rs, _, err := fl.send(http.MethodGet, "/r/a", "")
	fl.expect(rs, err, http.StatusOK, 1)
	if len(fc.asked) != 1 {
		t.Errorf("asked for counts %d times, want once", len(fc.asked))
	}
}

// A router finds that an engine has crashed. It must report this to the other routers, or each of
// them would find out only by a failed request of its own.
func TestDeadEngineIsReported(t *testing.T) {
	fc := &fakeCounts{}
	fl := newSharedPool(t, fc)
	fl.re.Placer.Register(time.Now(), place.Endpoint{ID: "dead", Addr: local.Addr(t), Pool: "pool", Zone: "a", Slots: 1000})
	for range 8 {
		rs, _, err := fl.send(http.MethodGet, "/r/a", "")
		if err != nil || rs.StatusCode != http.StatusOK {
			t.Fatal(rs, err)
		}
	}
	fc.mu.Lock()
	defer fc.mu.Unlock()
	if len(fc.down) == 0 {
		t.Error("an engine that refuses connections was not reported")
	}
}
