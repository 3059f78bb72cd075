package relay_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/place"
	"almondrill/io/relay"
)

// beforeSending makes the router call the hook when a request has its endpoint and connection, right
// before it is sent.
func (fl *fleet) beforeSending(hook func()) {
	front := httptest.NewUnstartedServer(fl.re)
	front.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return relay.WithConnClosed(ctx, func() bool {
			hook()
			return false
		})
	}
	front.Start()
	fl.t.Cleanup(front.Close)
	fl.front.Close()
	fl.front = front
}

// Guards against a request that is sent to an endpoint that was chosen before its zone was evacuated
// or it began to drain: the request must go elsewhere, even if it is not idempotent.
func TestRequestIsNotSentOnStalePlacement(t *testing.T) {
	for name, change := range map[string]func(pl *place.Placer){
		"evacuated": func(pl *place.Placer) { pl.Evacuate(time.Now(), "a", time.Now()) },
		"drains": func(pl *place.Placer) {
			pl.Register(time.Now(), place.Endpoint{ID: "e0", Addr: "127.0.0.1:9", Pool: "pool", Zone: "a", Slots: 8, Draining: true})
		},
		"gone": func(pl *place.Placer) { pl.Remove("e0") },
	} {
		t.Run(name, func(t *testing.T) {
			fl := newFleet(t, respond(http.StatusOK, "zone a")).configure(onceOnly)
			other := fl.startEndpoint(1, respond(http.StatusOK, "zone b"))
			changed := false
			fl.beforeSending(func() {
				if changed {
					return
				}
				changed = true
				change(fl.re.Placer)
				fl.re.Placer.Register(time.Now(), place.Endpoint{ID: "e1", Addr: other, Pool: "pool", Zone: "b", Slots: 8})
			})
			rs, body, err := fl.send("POST", "/r/x", "hello")
			fl.expect(rs, err, http.StatusOK, 1)
			if body != "zone b" {
				t.Errorf("got %q, want the response of zone b", body)
			}
		})
	}
}

// Guards against a wrong outcome, or a wait, when no endpoint is left for a request: it must be refused
// at once, as not run, because of the evacuation.
func TestRequestIsRefusedAfterEvacuation(t *testing.T) {
	fl := newFleet(t, respond(http.StatusOK, "ok")).configure(onceOnly)
	fl.beforeSending(func() { fl.re.Placer.Evacuate(time.Now(), "a", time.Now()) })
	began := time.Now()
	rs, body, err := fl.send("POST", "/r/x", "hello")
	fl.expect(rs, err, http.StatusServiceUnavailable, 0)
	if !strings.Contains(body, string(core.ReasonEvacuated)) || rs.Header.Get("Retry-After") == "" || time.Since(began) > time.Second {
		t.Errorf("refused after %s: %s", time.Since(began), body)
	}
}
