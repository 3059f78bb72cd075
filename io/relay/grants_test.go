package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/place"
	"almondrill/core/route"
)

// fakeRateLimiter grants a number of requests per endpoint, and counts the queries.
type fakeRateLimiter struct {
	perEndpoint int

	mu    sync.Mutex // guards asked
	asked map[uint64]int
}

func (gr *fakeRateLimiter) Grant(_ context.Context, endpoint uint64, _ int) (bool, time.Duration) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if gr.asked == nil {
		gr.asked = map[uint64]int{}
	}
	gr.asked[endpoint]++
	return gr.asked[endpoint] <= gr.perEndpoint, time.Minute
}

var coldPool = route.Pool{ID: "pool", Engine: true, ColdDuration: time.Minute, ColdRate: 100}

// makeCold registers an endpoint as cold for a minute.
func (fl *fleet) makeCold(ix int) {
	fl.re.Placer.Register(time.Now(), place.Endpoint{
		ID: core.EndpointID(fmt.Sprint("e", ix)), Addr: fl.addrs[ix], Pool: "pool", Zone: "a", Slots: 8,
		ColdUntil: time.Now().Add(time.Minute),
	})
}

// Guards against requests to a cold endpoint without a grant: they must go to a warm one, and grants
// for a denied endpoint must not be requested again at once.
func TestRequestsDeniedByColdEndpointGoElsewhere(t *testing.T) {
	fl := newFleet(t, respond(http.StatusOK, "cold"), respond(http.StatusOK, "warm")).configurePool(onceOnly, coldPool)
	gr := &fakeRateLimiter{perEndpoint: 2}
	fl.re.Grants = gr
	fl.makeCold(0)
	served := map[string]int{}
	for range 12 {
		rs, body, err := fl.send("POST", "/r/x", "hello")
		if err != nil || rs.StatusCode != http.StatusOK {
			t.Fatal(rs, err)
		}
		served[body]++
	}
	if served["cold"] > 2 || served["warm"] < 10 {
		t.Errorf("served by %v, want at most 2 requests at the cold endpoint", served)
	}
	for endpoint, asked := range gr.asked {
		if asked > 3 {
			t.Errorf("endpoint %x: %d grants requested, although it was denied for a minute", endpoint, asked)
		}
	}
}

// Guards against callers that wait when all endpoints are cold and none is granted: they must be
// refused at once, as not run.
func TestRequestIsRefusedWhenAllEndpointsAreCold(t *testing.T) {
	fl := newFleet(t, respond(http.StatusOK, "a"), respond(http.StatusOK, "b")).configurePool(onceOnly, coldPool)
	fl.re.Grants = &fakeRateLimiter{}
	fl.makeCold(0)
	fl.makeCold(1)
	began := time.Now()
	rs, _, err := fl.send("POST", "/r/x", "hello")
	fl.expect(rs, err, http.StatusServiceUnavailable, 0)
	if rs.Header.Get("Retry-After") == "" || time.Since(began) > time.Second {
		t.Errorf("refused after %s with Retry-After %q", time.Since(began), rs.Header.Get("Retry-After"))
	}
}
