package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// A caller names headers that concern only its own connection. Passed on, they would
// change what the router's connection to the endpoint means: an upgrade, a length that
// is not the body's, credentials for a proxy.
func TestHeadersOfOneConnectionAreNotPassedOn(t *testing.T) {
	fl := newFleet(t, answer(200, "ok")).serve(onceOnly)
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
	if len(got) != 1 || got[0].head.Header.Get("X-Other") != "kept" || got[0].body != "hi" {
		t.Fatalf("%d requests reached the endpoint", len(got))
	}
	for _, name := range []string{"Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "Te", "Upgrade"} {
		if value := got[0].head.Header.Get(name); value != "" {
			t.Errorf("%s was passed on: %q", name, value)
		}
	}
}

// One endpoint breaks off while it runs a request that may be repeated; the other has
// no room. A 503 would promise that the request has not run.
func TestRefusalAfterARunIsNoPromise(t *testing.T) {
	full := say(func(*seen) string {
		return "HTTP/1.1 503 X\r\nX-Id: id-1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	})
	ranThenFull := 0
	for range 8 {
		fl := newFleet(t, breakOff, full).serve(idempotent)
		rs, _, err := fl.call("GET", "/r/x", "")
		if err != nil {
			t.Fatal(err)
		}
		if got := fl.requests(); len(got) == 2 && got[0].at == 0 {
			ranThenFull++
			if rs.StatusCode != http.StatusBadGateway {
				t.Errorf("status %d after a run and a refusal, want 502", rs.StatusCode)
			}
		}
	}
	if ranThenFull == 0 {
		t.Error("no request was sent to the endpoint that breaks off first")
	}
}
