package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/place"
	"almondrill/core/route"
	"almondrill/io/fakes/local"
)

// longUpload does not fit into the buffers of a connection whose receiver reads nothing.
const longUpload = 1 << 20

// earlyEndpoint is an endpoint that has read only the head of a request when it answers.
type earlyEndpoint struct {
	id    core.EndpointID
	heads atomic.Int32 // requests received
}

// registerEarly adds an endpoint to the fleet that runs answer for each request. The connection is closed after it.
func (fl *fleet) registerEarly(answer func(se *received, co *net.TCPConn, rest io.Reader)) *earlyEndpoint {
	fl.t.Helper()
	ea := &earlyEndpoint{id: core.EndpointID(fmt.Sprint("early", len(fl.addrs)))}
	addr := local.Serve(fl.t, func(co *net.TCPConn) {
		if rq, err := http.ReadRequest(bufio.NewReader(co)); err == nil {
			ea.heads.Add(1)
			answer(&received{request: rq}, co, rq.Body)
		}
	})
	fl.addrs = append(fl.addrs, addr)
	fl.re.Placer.Register(time.Now(), place.Endpoint{ID: ea.id, Addr: addr, Pool: "pool", Zone: "a", Slots: 8})
	return ea
}

// wantBroken checks that a caller cannot take a response for a complete success, nor for a request that did not run.
func wantBroken(t *testing.T, name string, rs *http.Response, body string, err error) {
	t.Helper()
	switch {
	case rs == nil:
		t.Errorf("%s: no response: %v", name, err)
	case rs.StatusCode < http.StatusMultipleChoices && err == nil:
		t.Errorf("%s: status %d and %d bytes, as a complete response", name, rs.StatusCode, len(body))
	case rs.StatusCode >= http.StatusMultipleChoices && (err != nil || rs.StatusCode != http.StatusBadGateway || !strings.Contains(body, `"Outcome":"Unknown"`)):
		t.Errorf("%s: status %d, %.100q, error %v; want 502 with an unknown outcome", name, rs.StatusCode, body, err)
	}
}

// partOfAnswer is how an answer without framing begins that is broken off.
type partOfAnswer struct {
	name, media, body string
	status            int
	route             route.Route
}

var partsOfAnswers = []partOfAnswer{
	{"plain", "text/plain", strings.Repeat("x", 5000), http.StatusOK, route.Route{Kind: route.OnceOnly}},
	{"empty", "text/plain", "", http.StatusOK, route.Route{Kind: route.OnceOnly}},
	{"large", "text/plain", strings.Repeat("x", 1<<20+5000), http.StatusOK, route.Route{Kind: route.OnceOnly}},
	{"failure", "text/plain", strings.Repeat("x", 5000), http.StatusInternalServerError, route.Route{Kind: route.OnceOnly}},
	{"stream", eventStream, eventText(1, 9), http.StatusOK, route.Route{Kind: route.Stream, GapGoal: 100 * time.Millisecond}},
	{"resumable stream", eventStream, eventText(1, 9), http.StatusOK, route.Route{Kind: route.Stream, GapGoal: 100 * time.Millisecond, Resumable: true}},
}

// breakOffs are ways in which an endpoint ends a connection on which it has not read the request's body. A short pause
// lets the router read the answer first, and block in writing.
var breakOffs = []struct {
	name string
	end  func(co *net.TCPConn)
	// longOnly is set if the system of the endpoint takes a short body nevertheless.
	longOnly bool
}{
	{"reset at once", func(co *net.TCPConn) { _ = co.SetLinger(0) }, false},
	{"reset", func(co *net.TCPConn) {
		time.Sleep(10 * time.Millisecond)
		_ = co.SetLinger(0)
	}, false},
	{"closed at once", func(*net.TCPConn) {}, false},
	{"closed", func(*net.TCPConn) { time.Sleep(10 * time.Millisecond) }, false},
	{"half-closed, then closed", func(co *net.TCPConn) {
		_ = co.CloseWrite()
		time.Sleep(10 * time.Millisecond)
	}, true},
}

// Guards against a part of an answer that callers get as a whole one because its upload was reset while it was written.
func TestUnframedAnswerThatEndsInsideItsUploadIsNotComplete(t *testing.T) {
	for _, part := range partsOfAnswers {
		for _, end := range breakOffs {
			for _, upload := range []int{longUpload, 100 << 10, 30 << 10, 8 << 10} {
				if end.longOnly && upload < longUpload {
					continue
				}
				for range 3 {
					name := fmt.Sprintf("%s, %s, upload of %d", part.name, end.name, upload)
					fl := newFleet(t)
					ea := fl.registerEarly(func(se *received, co *net.TCPConn, _ io.Reader) {
						byClose.write(se, co, part.status, part.media, part.body, false)
						end.end(co)
					})
					rs, body, err := fl.configure(part.route).send("POST", "/r/x", strings.Repeat("u", upload))
					wantBroken(t, name, rs, body, err)
					if got := ea.heads.Load(); got != 1 {
						t.Errorf("%s: %d requests reached the endpoint, want 1", name, got)
					}
				}
			}
		}
	}
}

// Guards against a request that may be repeated but fails because its first answer was reset inside the upload, and
// against a stream that is not resumed then.
func TestUnframedAnswerThatEndsInsideItsUploadIsTriedAgain(t *testing.T) {
	for _, part := range partsOfAnswers {
		if part.status != http.StatusOK || len(part.body) > 1<<20 {
			continue
		}
		ro := part.route
		ro.MaxAttempts = 2
		want := part.body + "the rest"
		switch {
		case ro.Resumable:
			want = eventText(1, 12)
		case ro.Kind == route.Stream:
			continue
		default:
			ro.Kind = route.Idempotent
		}
		fl := newFleet(t)
		var sends atomic.Int32
		answer := func(se *received, co *net.TCPConn, rest io.Reader) {
			if sends.Add(1) == 1 {
				byClose.write(se, co, http.StatusOK, part.media, part.body, false)
				_ = co.SetLinger(0)
				return
			}
			_, _ = io.Copy(io.Discard, rest)
			text := want
			if se.request.Header.Get("Last-Event-Id") == "9" {
				text = eventText(10, 12)
			}
			byChunks.write(se, co, http.StatusOK, part.media, text, false)
		}
		fl.registerEarly(answer)
		fl.registerEarly(answer)
		rs, body, err := fl.configure(ro).send("POST", "/r/x", strings.Repeat("u", longUpload))
		if err != nil || rs.StatusCode != http.StatusOK || body != want || sends.Load() != 2 {
			t.Errorf("%s: got %d bytes, error %v, after %d sends", part.name, len(body), err, sends.Load())
		}
	}
}

// Guards against proper answers that are refused because the endpoint had not read the upload when it sent them.
func TestEarlyAnswersAreForwarded(t *testing.T) {
	text := strings.Repeat("y", 5000)
	linger := func(co *net.TCPConn, rest io.Reader) {
		_ = co.CloseWrite()
		time.Sleep(20 * time.Millisecond)
		_, _ = io.Copy(io.Discard, rest)
	}
	for name, answer := range map[string]func(se *received, co *net.TCPConn, rest io.Reader){
		"length, reset": func(se *received, co *net.TCPConn, _ io.Reader) {
			byLength.write(se, co, http.StatusOK, "text/plain", text, false)
			time.Sleep(50 * time.Millisecond)
			_ = co.SetLinger(0)
		},
		"chunks, reset": func(se *received, co *net.TCPConn, _ io.Reader) {
			byChunks.write(se, co, http.StatusOK, "text/plain", text, false)
			time.Sleep(50 * time.Millisecond)
			_ = co.SetLinger(0)
		},
		"unframed, upload read on": func(se *received, co *net.TCPConn, rest io.Reader) {
			byClose.write(se, co, http.StatusOK, "text/plain", text, false)
			linger(co, rest)
		},
		"HTTP/1.0, upload read on": func(se *received, co *net.TCPConn, rest io.Reader) {
			byHTTP1_0.write(se, co, http.StatusOK, "text/plain", text, false)
			linger(co, rest)
		},
		"unframed after the upload": func(se *received, co *net.TCPConn, rest io.Reader) {
			_, _ = io.Copy(io.Discard, rest)
			byClose.write(se, co, http.StatusOK, "text/plain", text, false)
		},
	} {
		for _, upload := range []int{longUpload, 8 << 10} {
			fl := newFleet(t)
			fl.registerEarly(answer)
			rs, body, err := fl.configure(route.Route{Kind: route.OnceOnly}).send("POST", "/r/x", strings.Repeat("u", upload))
			if err != nil || rs.StatusCode != http.StatusOK || body != text {
				t.Errorf("%s, upload of %d: got %d bytes, error %v", name, upload, len(body), err)
			}
		}
	}
}

// Guards against a request that counts as not run, and is sent again, because of a rejection that was broken off.
func TestRejectionThatBreaksOffSaysNothing(t *testing.T) {
	for _, status := range []string{"503 X", "421 X"} {
		head := "HTTP/1.1 " + status + "\r\nX-Id: id-1\r\nX-Not-Run: 1\r\n"
		for name, tc := range map[string]struct {
			text  string
			reset bool
		}{
			"length": {head + "Content-Length: 9\r\n\r\nfull", false},
			"chunks": {head + "Transfer-Encoding: chunked\r\n\r\n9\r\nfull", false},
			"no end": {head + "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n", false},
			"reset":  {head + "\r\nfull", true},
		} {
			for _, ro := range []route.Route{{Kind: route.OnceOnly, MaxAttempts: 2}, idempotent} {
				fl := newFleet(t)
				var sends atomic.Int32
				answer := func(_ *received, co *net.TCPConn, rest io.Reader) {
					if sends.Add(1) > 1 {
						_, _ = io.Copy(io.Discard, rest)
						byLength.write(&received{}, co, http.StatusOK, "text/plain", "whole", false)
						return
					}
					if !tc.reset {
						_, _ = io.Copy(io.Discard, rest)
					}
					_, _ = io.WriteString(co, tc.text)
				}
				fl.registerEarly(answer)
				fl.registerEarly(answer)
				rs, body, err := fl.configure(ro).send("POST", "/r/x", strings.Repeat("u", longUpload))
				name := fmt.Sprint(status, ", ", name, ", ", ro.Kind)
				if ro.MayRepeat() {
					if err != nil || rs.StatusCode != http.StatusOK || body != "whole" {
						t.Errorf("%s: %q, error %v", name, body, err)
					}
					continue
				}
				wantBroken(t, name, rs, body, err)
				if got := sends.Load(); got != 1 {
					t.Errorf("%s: sent %d times, want once", name, got)
				}
			}
		}
	}
}
