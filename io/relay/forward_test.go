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

// A caller sends headers that apply only to its own connection. If they were forwarded, they would
// change the router's connection to the endpoint: an upgrade, a length other than the body's,
// credentials for a proxy.
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
			t.Errorf("%s was forwarded: %q", name, value)
		}
	}
}

// One endpoint closes the connection while it runs an idempotent request, and the other one is full.
// A 503 would claim that the request has not run.
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

// A late response to another caller's request, complete and stamped, arrives before the awaited one.
// The caller must get the response to its own request.
func TestResponseToAnotherRequestIsNotForwarded(t *testing.T) {
	fl := newFleet(t, respondWith(func(se *received) string {
		others := "HTTP/1.1 200 X\r\nX-Id: other\r\nX-Stamp: s0\r\nContent-Length: 6\r\n\r\nothers"
		return others + formatResponse(se, 200, "mine")
	})).configure(onceOnly)
	rs, body, err := fl.send("POST", "/r/x", "hello")
	if err != nil || rs.StatusCode != http.StatusOK || body != "mine" {
		t.Errorf("%v %q %v, want the response to this request", rs, body, err)
	}
}

// A caller disconnects while its request waits for the CPU. The close has arrived, but the server has
// not read it yet. If the request were sent, an endpoint would run it in vain.
func TestRequestOfDisconnectedCallerIsNotSent(t *testing.T) {
	fl := newFleet(t, respond(200, "ok")).configure(onceOnly)
	server := httptest.NewUnstartedServer(fl.re)
	server.Config.ConnContext = func(ctx context.Context, _ net.Conn) context.Context {
		return relay.WithConnClosed(ctx, func() bool { return true })
	}
	server.Start()
	t.Cleanup(server.Close)
	fl.front.Close()
	fl.front = server
	rs, _, err := fl.send("POST", "/r/x", "hello")
	fl.expect(rs, err, http.StatusServiceUnavailable, 0)
}

// All endpoints fail an idempotent request. It must be sent to no more of them than its route allows:
// retries must not multiply the load on a failing pool.
func TestAttemptsAreBounded(t *testing.T) {
	fl := newFleet(t, respond(500, "a"), respond(500, "b"), respond(500, "c"), respond(500, "d")).configure(idempotent)
	rs, _, err := fl.send("GET", "/r/x", "")
	fl.expect(rs, err, 500, idempotent.MaxAttempts)
}
