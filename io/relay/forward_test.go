package relay_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"almondrill/io/relay"
)

// A caller names headers that concern only its own connection. Passed on, they would
// change what the router's connection to the endpoint means: an upgrade, a length that
// is not the body's, credentials for a proxy.
func TestHopByHopHeadersAreNotForwarded(t *testing.T) {
	fl := newFleet(t, respond(200, "ok")).configure(onceOnly)
	co, err := net.Dial("tcp", fl.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer co.Close()
	_, _ = fmt.Fprint(co, "POST /r/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Key: k\r\nX-Id: id-1\r\nContent-Length: 2\r\n"+
		"Keep-Alive: timeout=5\r\nProxy-Connection: keep-alive\r\nProxy-Authorization: Basic eDp5\r\n"+
		"Te: trailers\r\nUpgrade: websocket\r\nX-Other: kept\r\nConnection: close\r\n\r\nhi")
	_ = co.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, _ = io.ReadAll(co)
	got := fl.requests()
	if len(got) != 1 || got[0].request.Header.Get("X-Other") != "kept" || got[0].body != "hi" {
		t.Fatalf("%d requests reached the endpoint", len(got))
	}
	for _, name := range []string{"Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "Te", "Upgrade"} {
		if value := got[0].request.Header.Get(name); value != "" {
			t.Errorf("%s was passed on: %q", name, value)
		}
	}
}

// One endpoint breaks off while it runs a request that may be repeated; the other has
// no room. A 503 would promise that the request has not run.
func TestRefusalAfterExecutionIsNotReportedAsNotRun(t *testing.T) {
	full := respondWith(func(*received) string {
		return "HTTP/1.1 503 X\r\nX-Id: id-1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	})
	var asked atomic.Int32
	runThenFull := func(se *received, co net.Conn) bool {
		if asked.Add(1) == 1 {
			return closeConn(se, co)
		}
		return full(se, co)
	}
	fl := newFleet(t, runThenFull, runThenFull).configure(idempotent)
	rs, _, err := fl.send("GET", "/r/x", "")
	fl.expect(rs, err, http.StatusBadGateway, 2)
}

// A late answer to another caller's request, complete and stamped, comes before the one
// that is awaited. The caller must get its own.
func TestResponseToAnotherRequestIsNotForwarded(t *testing.T) {
	fl := newFleet(t, respondWith(func(se *received) string {
		others := "HTTP/1.1 200 X\r\nX-Id: other\r\nX-Stamp: s0\r\nContent-Length: 6\r\n\r\nothers"
		return others + formatResponse(se, 200, "mine")
	})).configure(onceOnly)
	rs, body, err := fl.send("POST", "/r/x", "hello")
	if err != nil || rs.StatusCode != http.StatusOK || body != "mine" {
		t.Errorf("%v %q %v, want the own answer", rs, body, err)
	}
}

// A caller gives up while its request waits for the processor; the close is there, but
// the server has not read it yet. Sent on, the request would run for nobody.
func TestRequestOfDisconnectedCallerIsNotSent(t *testing.T) {
	fl := newFleet(t, respond(200, "ok")).configure(onceOnly)
	left := httptest.NewUnstartedServer(fl.re)
	left.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return relay.WithConnClosed(ctx, func() bool { return true })
	}
	left.Start()
	t.Cleanup(left.Close)
	fl.front.Close()
	fl.front = left
	rs, _, err := fl.send("POST", "/r/x", "hello")
	fl.expect(rs, err, http.StatusServiceUnavailable, 0)
}

// All endpoints fail a request that may be repeated. It goes to as many as its route
// allows: callers' failures must not multiply the load on a pool that is in trouble.
func TestAttemptsAreBounded(t *testing.T) {
	fl := newFleet(t, respond(500, "a"), respond(500, "b"), respond(500, "c"), respond(500, "d")).configure(idempotent)
	rs, _, err := fl.send("GET", "/r/x", "")
	fl.expect(rs, err, 500, idempotent.MaxAttempts)
}
