package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"almondrill/core/route"
)

// notRunStatuses are the statuses that tell a caller that its request has not run and never will.
var notRunStatuses = map[int]bool{408: true, 421: true, 429: true, 503: true}

// ending is a way in which an endpoint ends a request.
type ending struct {
	name string
	// runs is set if the endpoint has run the request.
	runs bool
	end  script
}

// respondWithHead responds with the given header lines, and a matching Content-Length.
func respondWithHead(status int, head, body string) script {
	return respondWith(func(se *received) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, se.request.Header.Get("X-Id"), head, len(body), body)
	})
}

// thenClose closes the connection after another script.
func thenClose(first script) script {
	return func(se *received, co net.Conn) bool {
		first(se, co)
		return false
	}
}

// delayed runs a script after a pause, which ends early if the router closes the connection.
func delayed(pause time.Duration, next script) script {
	return func(se *received, co net.Conn) bool {
		select {
		case <-se.closed:
		case <-time.After(pause):
		}
		return next(se, co)
	}
}

// resetConn closes the connection with a TCP reset, so that unread data is lost.
func resetConn(_ *received, co net.Conn) bool {
	_ = co.(*net.TCPConn).SetLinger(0)
	return false
}

const (
	stamped = "X-Stamp: s\r\n"
	notRun  = "X-Not-Run: 1\r\n"
)

// callerWait is the callers' deadline, lateDelay the delay of an endpoint that responds too late.
const (
	callerWait = 100 * time.Millisecond
	lateDelay  = 2 * callerWait
)

// endings returns the ways in which endpoints may end a request, including those of faulty ones.
func endings() []ending {
	long := strings.Repeat("x", 1<<20+1)
	text := func(status int, rest string) script {
		return respondWith(func(*received) string { return fmt.Sprintf("HTTP/1.1 %d X\r\n%s", status, rest) })
	}
	return []ending{
		{"answered", true, respond(200, "ok")},
		{"failed", true, respond(500, "no")},
		{"own 503", true, respondWithHead(503, stamped, "busy")},
		{"own 503 without a stamp", true, respondWithHead(503, "", "busy")},
		{"own 429", true, respondWithHead(429, stamped, "busy")},
		{"own 408", true, respondWithHead(408, stamped, "late")},
		{"own 503, long", true, respondWithHead(503, stamped, long)},
		{"own 429, chunked", true, respondWith(func(se *received) string {
			return "HTTP/1.1 429 X\r\nX-Id: " + se.request.Header.Get("X-Id") + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n"
		})},
		{"own 503 without a length", true, thenClose(respondWith(func(se *received) string {
			return "HTTP/1.1 503 X\r\nX-Id: " + se.request.Header.Get("X-Id") + "\r\n" + stamped + "\r\nbusy"
		}))},
		{"own 503, truncated", true, thenClose(text(503, "Content-Length: 9\r\n\r\nbusy"))},
		{"own 503 after the caller's deadline", true, delayed(lateDelay, respondWithHead(503, stamped, "late"))},
		{"not run, 503", false, respondWithHead(503, notRun, "")},
		{"not run, 429", false, respondWithHead(429, notRun, "full")},
		{"not run, truncated", false, thenClose(text(503, notRun+"Content-Length: 9\r\n\r\nfull"))},
		{"another endpoint", false, respondWithHead(421, "", "")},
		{"not run, of another request", true, text(503, "X-Id: other\r\n"+notRun+"Content-Length: 0\r\n\r\n")},
		{"closed before the response", true, closeConn},
		{"reset before the response", true, resetConn},
		{"closed within the status line", true, thenClose(respondWith(func(*received) string { return "HTTP/1.1 50" }))},
		{"closed within the head", true, thenClose(text(503, "X-Not-Run: 1\r\nX-Id"))},
		{"closed within the body", true, thenClose(text(200, stamped+"Content-Length: 9\r\n\r\nok"))},
		{"not an HTTP response", true, thenClose(respondWith(func(*received) string { return "\x00\x01\x02 nonsense\r\n\r\n" }))},
		{"silent", true, delayed(lateDelay, closeConn)},
	}
}

// refusedCase is a request to a router with two endpoints.
type refusedCase struct {
	kind          route.Route
	shuttingDown  bool
	first, second ending
}

// Guards against a status that tells a caller that its request has not run although an endpoint has
// run it: the caller would send it again. Covers every pair of endings at two endpoints, each kind
// of route, and a router that is shutting down.
func TestNotRunStatusIsTruthful(t *testing.T) {
	kinds := map[string]route.Route{
		"once only": {Kind: route.OnceOnly, MaxAttempts: 2}, "idempotent": {Kind: route.Idempotent, MaxAttempts: 2},
		"stream": {Kind: route.Stream, MaxAttempts: 2}, "resumable": {Kind: route.Stream, Resumable: true, MaxAttempts: 2},
	}
	for name, kind := range kinds {
		t.Run(name, func(t *testing.T) { everyPair(t, &refusedCase{kind: kind}) })
	}
	t.Run("once only, leaving", func(t *testing.T) { everyPair(t, &refusedCase{kind: kinds["once only"], shuttingDown: true}) })
}

// everyPair checks the case with each pair of endings.
func everyPair(t *testing.T, ca *refusedCase) {
	all := endings()
	for ix, first := range all {
		for _, second := range all[ix:] { // either of two endpoints may come first
			t.Run(first.name+", "+second.name, func(t *testing.T) {
				t.Parallel()
				(&refusedCase{ca.kind, ca.shuttingDown, first, second}).check(t)
			})
		}
	}
}

func (ca *refusedCase) check(t *testing.T) {
	var runs atomic.Int64
	var fl *fleet
	counted := func(en ending) script {
		return func(se *received, co net.Conn) bool {
			if en.runs {
				runs.Add(1)
			}
			return en.end(se, co)
		}
	}
	fl = newFleet(t, counted(ca.first), counted(ca.second)).configure(ca.kind)
	fl.shuttingDown = ca.shuttingDown
	rs, _, _ := fl.send("POST", "/r/x", "draft", "X-Wait", fmt.Sprint(callerWait.Milliseconds()))
	ran := runs.Load()
	if ca.kind.Kind == route.OnceOnly && ran > 1 {
		t.Errorf("non-idempotent request ran %d times", ran)
	}
	if rs != nil && notRunStatuses[rs.StatusCode] && ran > 0 {
		t.Errorf("status %d, although the request ran %d times", rs.StatusCode, ran)
	}
	if rs != nil && notRunStatuses[rs.StatusCode] && rs.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503 for a request that has not run", rs.StatusCode)
	}
}

// Guards against requests that run and are reported as not run: bytes that follow a complete response, and look like
// a rejection without an id, arrive where the response to the connection's next request is due.
func TestRejectionThatNamesNoRequestIsSkipped(t *testing.T) {
	for _, rejection := range []string{
		"HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 429 X\r\nX-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy",
		"HTTP/1.1 200 X\r\nX-Stamp: s0\r\nContent-Length: 4\r\n\r\nelse",
	} {
		fl := newFleet(t, func(se *received, co net.Conn) bool {
			text := formatResponse(se, http.StatusOK, "own")
			if se.request.Header.Get("X-Again") != "" {
				text = rejection + text
			}
			_, _ = io.WriteString(co, text)
			return true
		}).configure(route.Route{Kind: route.OnceOnly, MaxAttempts: 2})
		for _, again := range []string{"", "1", "1"} {
			rs, body, err := fl.send("POST", "/r/x", "", "X-Again", again)
			if err != nil || rs.StatusCode != http.StatusOK || body != "own" {
				t.Errorf("%q: got status %d, %q, error %v", rejection, rs.StatusCode, body, err)
			}
		}
		if got := len(fl.requests()); got != 3 {
			t.Errorf("%q: %d requests reached the endpoint, want 3", rejection, got)
		}
	}
	// An endpoint that names no requests is understood.
	fl := newFleet(t, func(se *received, co net.Conn) bool {
		_, _ = io.WriteString(co, "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}).configure(route.Route{Kind: route.OnceOnly})
	for range 2 {
		if rs, _, err := fl.send("POST", "/r/x", ""); err != nil || rs.StatusCode != http.StatusServiceUnavailable {
			t.Errorf("got status %d, error %v", rs.StatusCode, err)
		}
	}
}
