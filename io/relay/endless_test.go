package relay_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"almondrill/core/route"
	"almondrill/io/stats"
)

// sendEndless sends the start and then the same block until the connection is closed.
func sendEndless(start, block string) script {
	return func(se *received, co net.Conn) bool {
		_, err := io.WriteString(co, strings.ReplaceAll(start, "ID", se.request.Header.Get("X-Id")))
		many := strings.Repeat(block, 1+(64<<10)/len(block))
		for err == nil {
			_, err = io.WriteString(co, many)
		}
		return false
	}
}

// Guards against endpoints that send without end, in a head or an event: the request must end at once, or go on at
// another endpoint where it may, the memory must be released, and the connection must not be used again.
func TestEndlessResponseEndsAtOnce(t *testing.T) {
	const event = "HTTP/1.1 200 OK\r\nX-Id: ID\r\nX-Stamp: s0\r\nContent-Type: text/event-stream\r\n\r\n"
	for name, ca := range map[string]struct {
		start, block string
		ro           route.Route
	}{
		"no response":            {"", "x", route.Route{Kind: route.OnceOnly}},
		"a head":                 {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n", route.Route{Kind: route.OnceOnly}},
		"a head of a stream":     {"HTTP/1.1 200 OK\r\n", "X-A: b\r\n", stream},
		"the first event":        {event, "data: x\n", stream},
		"a line of it":           {event + "data: ", "x", stream},
		"a comment":              {event + ":", "x", stream},
		"a body without a stamp": {"HTTP/1.1 200 OK\r\nX-Id: ID\r\n\r\n", "x", route.Route{Kind: route.OnceOnly}},
		"a rejection":            {"HTTP/1.1 503 X\r\nX-Id: ID\r\nX-Not-Run: 1\r\n\r\n", "x", route.Route{Kind: route.OnceOnly}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fl := newFleet(t, sendEndless(ca.start, ca.block)).configure(ca.ro)
			fl.re.Memory.SetLimit(8 << 20)
			began := time.Now()
			rs, body, err := fl.send("POST", "/r/x", "")
			if took := time.Since(began); took > time.Second {
				t.Errorf("took %s", took)
			}
			if err == nil && rs.StatusCode < http.StatusMultipleChoices {
				t.Errorf("got %d bytes of a success", len(body))
			}
			if held := fl.re.Memory.Total(); held != 0 {
				t.Errorf("%d bytes are still held", held)
			}
			if open := fl.re.Conns.OpenCount(fl.addrs[0]); open > 1 { // the idle one beside an answer without framing
				t.Errorf("%d connections are open", open)
			}
			if !strings.Contains(ca.start, "\r\n\r\n") && fl.re.Stats.Value(stats.OversizedAnswers) != 1 && name != "no response" {
				t.Errorf("the answer was not counted: %d %s, %v", rs.StatusCode, body, err)
			}
		})
	}
	fl := newFleet(t, sendEndless("HTTP/1.1 200 OK\r\n", "X-A: b\r\n"), respond(200, "whole")).configure(route.Route{Kind: route.Idempotent, MaxAttempts: 2})
	for range 4 {
		if rs, body, err := fl.send("GET", "/r/x", ""); err != nil || rs.StatusCode != http.StatusOK || body != "whole" {
			t.Errorf("got %q, error %v", body, err)
		}
	}
}

// Guards against endless events at many streams at once, which together exceed the memory for bodies although each
// stays within its own limit.
func TestEndlessEventsShareTheMemory(t *testing.T) {
	const streams, limit = 24, 2 << 20
	slow := func(se *received, co net.Conn) bool {
		_, err := io.WriteString(co, "HTTP/1.1 200 OK\r\nX-Id: "+se.request.Header.Get("X-Id")+"\r\nX-Stamp: s0\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
		for part := strings.Repeat("x", 16<<10); err == nil; time.Sleep(5 * time.Millisecond) {
			writeChunk(co, part)
			if _, err = co.Write(nil); se.isClosed() {
				break
			}
		}
		return false
	}
	fl := newFleet(t, slow).configure(stream)
	fl.re.Memory.SetLimit(limit)
	ended := make(chan bool, streams)
	for range streams {
		go func() {
			rs, _, err := fl.send("POST", "/r/x", "")
			ended <- err == nil && rs.StatusCode < http.StatusMultipleChoices
		}()
	}
	most := int64(0)
	for left := streams; left > 0; {
		select {
		case whole := <-ended:
			if left--; whole {
				t.Error("a stream with an endless event is whole")
			}
		case <-time.After(time.Millisecond):
			most = max(most, fl.re.Memory.Total())
		}
	}
	if most == 0 || most > limit || fl.re.Memory.Total() != 0 {
		t.Errorf("held %d bytes at most, %d afterwards; the limit is %d", most, fl.re.Memory.Total(), int64(limit))
	}
}

// isClosed reports whether the router has closed the request's connection.
func (se *received) isClosed() bool {
	select {
	case <-se.closed:
		return true
	default:
		return false
	}
}

// Guards against a part of a response that is taken for a whole one because its head breaks off, at any byte.
func TestCutHeadIsNoSuccess(t *testing.T) {
	for _, media := range []string{"text/plain", eventStream} {
		for _, fr := range []string{"Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", ""} {
			head := "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Stamp: s0\r\nContent-Type: " + media + "\r\n" + fr + "\r\n"
			for _, ro := range []route.Route{{Kind: route.OnceOnly}, {Kind: route.Idempotent}, stream} {
				cut := make(chan string, 1)
				fl := newFleet(t, func(_ *received, co net.Conn) bool {
					_, _ = io.WriteString(co, <-cut)
					return false
				}).configure(ro)
				for at := range head {
					cut <- head[:at]
					rs, body, err := fl.send("POST", "/r/x", "")
					if err == nil && rs.StatusCode < http.StatusMultipleChoices {
						t.Fatalf("%s, kind %v, %q: got status %d and %q", media, ro.Kind, head[:at], rs.StatusCode, body)
					}
				}
			}
		}
	}
}
