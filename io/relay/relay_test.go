package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/place"
	"almondrill/core/route"
)

var (
	onceOnly   = route.Route{Kind: route.OnceOnly, MaxAttempts: 3}
	idempotent = route.Route{Kind: route.Idempotent, MaxAttempts: 2}
)

func closeConn(*received, net.Conn) bool { return false }

func TestRequestIsForwardedUnchanged(t *testing.T) {
	fl := newFleet(t, respond(200, "hello")).configure(onceOnly)
	rs, body, err := fl.send("POST", "/r/a%2Fb?x=1&y", "the body", "X-Wait", "900", "X-Customer", "forged",
		"X-Secret", "forged", "X-Expect", "forged", "X-Other", "kept", "Connection", "X-Hop", "X-Hop", "dropped")
	fl.expect(rs, err, 200, 1)
	if body != "hello" || rs.Header.Get("X-Stamp") != "s0" {
		t.Errorf("body %q, header %v", body, rs.Header)
	}
	se := fl.requests()[0]
	if se.request.RequestURI != "/r/a%2Fb?x=1&y" || se.body != "the body" || se.request.Method != "POST" {
		t.Errorf("%s %s %q", se.request.Method, se.request.RequestURI, se.body)
	}
	for name, want := range map[string]string{
		"X-Customer": "herb", "X-Expect": "e0", "X-Secret": "", "X-Key": "", "X-Other": "kept", "X-Hop": "", "X-Id": "id-1",
	} {
		if got := se.request.Header.Get(name); got != want {
			t.Errorf("%s: %q, want %q", name, got, want)
		}
	}
	if left, err := strconv.Atoi(se.request.Header.Get("X-Wait")); err != nil || left > 900 || left < 500 {
		t.Errorf("deadline %q, want the rest of 900", se.request.Header.Get("X-Wait"))
	}
}

func TestChunkedBodyArrivesWhole(t *testing.T) {
	fl := newFleet(t, respond(200, "ok")).configure(onceOnly)
	rq, _ := http.NewRequest("POST", fl.front.URL+"/r/x", io.MultiReader(strings.NewReader("one "), strings.NewReader("two")))
	rq.Header.Set("X-Key", "k")
	rs, err := http.DefaultTransport.RoundTrip(rq)
	fl.expect(rs, err, 200, 1)
	_ = rs.Body.Close()
	if got := fl.requests()[0].body; got != "one two" {
		t.Errorf("body %q", got)
	}
}

// Request smuggling: a request with both a Content-Length and chunked encoding hides a second one in
// its body. If the router and the endpoint disagreed on where the body ends, the endpoint would run
// the hidden request.
func TestSmuggledRequestDoesNotRun(t *testing.T) {
	fl := newFleet(t, respond(200, "ok")).configure(onceOnly)
	co, err := net.Dial("tcp", fl.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer co.Close()
	hidden := "0\r\n\r\nPOST /r/hidden HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Key: k\r\nContent-Length: 0\r\n\r\n"
	_, _ = fmt.Fprintf(co, "POST /r/open HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Key: k\r\nContent-Length: %d\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n%s", len(hidden), hidden)
	_ = co.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, _ = io.ReadAll(co)
	for _, se := range fl.requests() {
		if strings.Contains(se.request.RequestURI, "hidden") {
			t.Error("the hidden request ran")
		}
	}
}

// The endpoint reads a non-idempotent request and closes the connection. The request may have run: it
// must not be sent again, and the caller must not be told that it did not run.
func TestOnceOnlyIsNeverSentAgain(t *testing.T) {
	fl := newFleet(t, closeConn, closeConn).configure(onceOnly)
	rs, _, err := fl.send("POST", "/r/x", "draft")
	fl.expect(rs, err, 502, 1)
	if rs.Header.Get("Retry-After") != "" {
		t.Error("got a Retry-After, although the request may have run")
	}
}

// A non-idempotent request may be sent to another endpoint if the first one declares that it did not
// run it.
func TestRefusedOnceOnlyIsRetriedElsewhere(t *testing.T) {
	full := respondWith(func(se *received) string {
		return "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nX-Id: id-1\r\nContent-Length: 0\r\n\r\n"
	})
	fl := newFleet(t, full, full, respond(200, "ok")).configure(onceOnly)
	for range 6 {
		rs, _, err := fl.send("POST", "/r/x", "draft")
		if err != nil || rs.StatusCode != 200 {
			t.Fatal(rs, err)
		}
	}
}

// All endpoints refuse a request: the caller must be told that it did not run, and when to retry.
func TestRefusalByAllEndpointsGuaranteesNotRun(t *testing.T) {
	full := respondWith(func(se *received) string {
		return "HTTP/1.1 429 X\r\nX-Not-Run: 1\r\nX-Id: id-1\r\nContent-Length: 0\r\n\r\n"
	})
	fl := newFleet(t, full).configure(onceOnly)
	rs, _, err := fl.send("POST", "/r/x", "draft")
	fl.expect(rs, err, 503, 1)
	if after, err := strconv.ParseFloat(rs.Header.Get("Retry-After"), 64); err != nil || after <= 0 {
		t.Errorf("Retry-After %q", rs.Header.Get("Retry-After"))
	}
}

// An endpoint responds with 503 without declaring that it did not run the request. If this were
// forwarded, the caller would conclude that the request has not run, and send it again.
func TestUnmarked503IsNotForwarded(t *testing.T) {
	for _, status := range []int{503, 429, 408} {
		fl := newFleet(t, respond(status, "busy")).configure(onceOnly)
		rs, _, err := fl.send("POST", "/r/x", "draft")
		fl.expect(rs, err, 502, 1)
		if rs.Header.Get("X-Stamp") != "" {
			t.Errorf("%d became 502, but still has the stamp", status)
		}
	}
}

// An endpoint's address now belongs to another endpoint, which responds with 421. The request must be
// sent to one that still exists, and further requests must avoid the address.
func TestReusedAddressIsAvoided(t *testing.T) {
	other := respondWith(func(se *received) string { return "HTTP/1.1 421 X\r\nX-Id: id-1\r\nContent-Length: 0\r\n\r\n" })
	fl := newFleet(t, other, respond(200, "ok")).configure(onceOnly)
	for range 8 {
		if rs, _, err := fl.send("POST", "/r/x", ""); err != nil || rs.StatusCode != 200 {
			t.Fatal(rs, err)
		}
	}
	count := 0
	for _, se := range fl.requests() {
		if se.endpoint == 0 {
			count++
		}
	}
	if count > 1 {
		t.Errorf("%d requests were sent to a reused address, want at most 1", count)
	}
}

// An idempotent request fails at one endpoint and succeeds at another. Nothing of the first response
// may reach the caller.
func TestIdempotentIsRetriedElsewhere(t *testing.T) {
	for name, sc := range map[string]script{
		"failed": respond(500, "oops"), "broken": closeConn, "short": respondWith(func(se *received) string {
			return "HTTP/1.1 200 X\r\nX-Id: id-1\r\nX-Stamp: s0\r\nContent-Length: 99\r\n\r\nshort"
		}),
		"no stamp": respondWith(func(se *received) string { return "HTTP/1.1 200 X\r\nX-Id: id-1\r\nContent-Length: 2\r\n\r\nhi" }),
		"encoded": respondWith(func(se *received) string {
			return "HTTP/1.1 200 X\r\nX-Id: id-1\r\nX-Stamp: s0\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nhi"
		}),
		"nonsense": respondWith(func(se *received) string { return "\x00\x01 what?\r\n\r\n" }),
		"crossed":  respondWith(func(se *received) string { return "HTTP/1.1 200 X\r\nX-Id: other\r\nX-Stamp: s0\r\n\r\nhi" }),
	} {
		fl := newFleet(t, sc, respond(200, "fine")).configure(idempotent)
		for range 8 {
			rs, body, err := fl.send("GET", "/r/x", "")
			if err != nil || rs.StatusCode != 200 || body != "fine" || rs.Header.Get("X-Stamp") != "s1" {
				t.Errorf("%s: %v %q %v", name, rs, body, err)
				break
			}
		}
	}
}

func TestFailureOfAllEndpointsIsForwarded(t *testing.T) {
	fl := newFleet(t, respond(500, "oops"), respond(500, "oops")).configure(idempotent)
	rs, body, err := fl.send("GET", "/r/x", "")
	fl.expect(rs, err, 500, 2)
	if body != "oops" || rs.Header.Get("X-Stamp") == "" {
		t.Errorf("body %q, stamp %q", body, rs.Header.Get("X-Stamp"))
	}
}

// An endpoint has stopped responding. An idempotent request must not wait for it until the caller's
// deadline.
func TestIdempotentIsRetriedWhenEndpointStalls(t *testing.T) {
	silent := func(se *received, _ net.Conn) bool { <-se.closed; return false }
	fl := newFleet(t, silent, respond(200, "fine")).configure(idempotent)
	began := time.Now()
	for range 4 {
		rs, _, err := fl.send("GET", "/r/x", "", "X-Wait", "1000")
		if err != nil || rs.StatusCode != 200 {
			t.Fatal(rs, err)
		}
	}
	if took := time.Since(began); took > 3*time.Second {
		t.Errorf("four requests took %s, want at most 3s", took)
	}
}

// Retries stop when the routers' budget is exhausted: failing endpoints must not get a multiple of
// the load.
func TestBudgetBoundsRetries(t *testing.T) {
	fl := newFleet(t, respond(500, "a"), respond(500, "b")).configure(idempotent)
	fl.re.Budget.SetBound(0, 10)
	for range 30 {
		_, _, _ = fl.send("GET", "/r/x", "")
	}
	if got := len(fl.requests()); got > 35 {
		t.Errorf("%d requests reached endpoints for 30 calls, want at most 35", got)
	}
}

// The route's timeout expires while the endpoint works: the caller must get an error at once, and the
// endpoint's connection must be closed.
func TestRouteTimeout(t *testing.T) {
	silent := func(se *received, _ net.Conn) bool { <-se.closed; return false }
	ro := onceOnly
	ro.Timeout = 200 * time.Millisecond
	fl := newFleet(t, silent).configure(ro)
	began := time.Now()
	rs, _, err := fl.send("POST", "/r/x", "", "X-Wait", "5000")
	fl.expect(rs, err, 504, 1)
	if took := time.Since(began); took < 190*time.Millisecond || took > 500*time.Millisecond {
		t.Errorf("response after %s, want 200ms", took)
	}
	waitClosed(t, fl.requests()[0])
}

func waitClosed(t *testing.T, se *received) {
	t.Helper()
	select {
	case <-se.closed:
	case <-time.After(2 * time.Second):
		t.Error("the endpoint's connection stays open, so that it continues to work")
	}
}

// A caller disconnects before its response begins. The endpoint must not continue in vain.
func TestCallerDisconnectStopsEndpoint(t *testing.T) {
	silent := func(se *received, _ net.Conn) bool { <-se.closed; return false }
	for name, ro := range map[string]route.Route{"stream": {Kind: route.Stream}, "once": onceOnly} {
		fl := newFleet(t, silent).configure(ro)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		rq, _ := http.NewRequestWithContext(ctx, "POST", fl.front.URL+"/r/x", strings.NewReader("hello"))
		rq.Header.Set("X-Key", "k")
		_, err := http.DefaultTransport.RoundTrip(rq)
		cancel()
		if err == nil || len(fl.requests()) != 1 {
			t.Fatalf("%s: %v, %d requests", name, err, len(fl.requests()))
		}
		waitClosed(t, fl.requests()[0])
	}
}

// A second request arrives on a keep-alive connection after the first one's deadline. A write deadline
// left from the first would cut the second response.
func TestKeepAliveConnectionServesLaterRequests(t *testing.T) {
	ro := onceOnly
	ro.Timeout = 100 * time.Millisecond
	fl := newFleet(t, respond(200, "ok")).configure(ro)
	co, err := net.Dial("tcp", fl.front.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer co.Close()
	rd := bufio.NewReader(co)
	for _, path := range []string{"/r/one", "/r/two", "/unknown"} {
		_, _ = fmt.Fprintf(co, "GET %s HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Key: k\r\n\r\n", path)
		rs, err := http.ReadResponse(rd, nil)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		_, _ = io.Copy(io.Discard, rs.Body)
		time.Sleep(1300 * time.Millisecond)
	}
}

// While the router has no configuration, or an outdated one, no caller may be told that a route or a
// key does not exist: the update may not have arrived yet.
func TestNotFoundRequiresFreshConfig(t *testing.T) {
	fl := newFleet(t, respond(200, "ok"))
	rs, _, err := fl.send("GET", "/r/x", "")
	fl.expect(rs, err, 503, 0)
	fl.configure(idempotent)
	for _, te := range []struct {
		path, key string
		age       time.Duration
		want      int
	}{
		{"/other/", "k", 0, 404},
		{"/r/x", "wrong", 0, 401},
		{"/other/", "k", 10 * time.Second, 503},
		{"/r/x", "wrong", 10 * time.Second, 503},
		{"/r/x", "k", 10 * time.Second, 200},
	} {
		fl.viewAge = te.age
		rs, _, err := fl.send("GET", te.path, "", "X-Key", te.key)
		if err != nil || rs.StatusCode != te.want {
			t.Errorf("%s with key %s at age %s: %v %v, want %d", te.path, te.key, te.age, rs.StatusCode, err, te.want)
		}
	}
}

func TestRequestLimits(t *testing.T) {
	fl := newFleet(t, respond(200, "ok")).configure(onceOnly)
	rs, _, err := fl.send("POST", "/r/x", strings.Repeat("x", 2<<20))
	fl.expect(rs, err, 413, 0)
	rs, _, err = fl.send("POST", "/r/x", "", "X-Wait", "soon")
	fl.expect(rs, err, 400, 0)
}

// The process is about to stop: responses must ask callers to close their connections, so that none is
// cut later.
func TestDrainingRouterClosesCallerConnections(t *testing.T) {
	fl := newFleet(t, respond(200, "ok")).configure(idempotent)
	fl.shuttingDown = true
	rs, _, err := fl.send("GET", "/r/x", "")
	fl.expect(rs, err, 200, 1)
	if !rs.Close {
		t.Error("the response does not have Connection: close")
	}
}

func TestNoEndpointIsRefusedAtOnce(t *testing.T) {
	fl := newFleet(t).configure(idempotent)
	began := time.Now()
	rs, body, err := fl.send("GET", "/r/x", "")
	fl.expect(rs, err, 503, 0)
	if time.Since(began) > time.Second || !strings.Contains(body, string(core.ReasonNoEndpoint)) {
		t.Errorf("refused after %s: %s", time.Since(began), body)
	}
}

// Nothing listens at a registered endpoint's address. Since nothing was sent, even a non-idempotent
// request must be sent to another endpoint.
func TestUnreachableEndpointIsSkipped(t *testing.T) {
	fl := newFleet(t, respond(200, "ok")).configure(onceOnly)
	fl.re.Placer.Register(time.Now(), place.Endpoint{ID: "dead", Addr: "127.0.0.1:1", Pool: "pool", Zone: "a", Slots: 8})
	for range 6 {
		if rs, _, err := fl.send("POST", "/r/x", ""); err != nil || rs.StatusCode != 200 {
			t.Fatal(rs, err)
		}
	}
}

// A response is larger than the router's buffer. The request has run, and an error instead of the
// response would lose it: the response must be forwarded as it arrives.
func TestResponseLargerThanBufferArrivesWhole(t *testing.T) {
	long := strings.Repeat("0123456789abcdef", 200_000)
	unframed := func(se *received, co net.Conn) bool {
		_, _ = io.WriteString(co, "HTTP/1.1 200 X\r\nX-Id: id-1\r\nX-Stamp: s0\r\n\r\n"+long)
		return false
	}
	for name, sc := range map[string]script{"counted": respond(200, long), "unframed": unframed, "failure": respond(500, long)} {
		t.Run(name, func(t *testing.T) {
			fl := newFleet(t, sc).configure(onceOnly)
			rs, body, err := fl.send("POST", "/r/x", "")
			if err != nil || body != long {
				t.Fatalf("%d of %d bytes: %v", len(body), len(long), err)
			}
			if want := map[bool]int{true: 500, false: 200}[name == "failure"]; rs.StatusCode != want {
				t.Errorf("status %d, want %d", rs.StatusCode, want)
			}
		})
	}
}

// The endpoint closes the connection in the middle of a long response, of which the caller already has
// a part. The caller must see that it is truncated.
func TestTruncatedLongResponseIsVisible(t *testing.T) {
	part := strings.Repeat("x", 2<<20)
	cut := func(se *received, co net.Conn) bool {
		_, _ = fmt.Fprintf(co, "HTTP/1.1 200 X\r\nX-Id: id-1\r\nX-Stamp: s0\r\nContent-Length: %d\r\n\r\n%s", 2*len(part), part)
		return false
	}
	fl := newFleet(t, cut, cut).configure(idempotent)
	_, body, err := fl.send("GET", "/r/x", "")
	if err == nil {
		t.Errorf("no error after %d bytes of a truncated response", len(body))
	}
	if got := len(fl.requests()); got != 1 {
		t.Errorf("sent %d times, although the caller had a part of the response", got)
	}
}
