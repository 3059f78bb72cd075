package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"almondrill/core/route"
)

var (
	stream    = route.Route{Kind: route.Stream, MaxAttempts: 2, GapGoal: 100 * time.Millisecond}
	resumable = route.Route{Kind: route.Stream, MaxAttempts: 2, GapGoal: 100 * time.Millisecond, Resumable: true}
)

// writeEvents writes a stream's head and the events with these ids, in one chunk each.
func writeEvents(se *received, co net.Conn, from, to int) {
	_, _ = fmt.Fprintf(co, "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Stamp: s%d\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", se.endpoint)
	for id := from; id <= to; id++ {
		writeChunk(co, fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id))
	}
}

func writeChunk(co net.Conn, text string) { _, _ = fmt.Fprintf(co, "%x\r\n%s\r\n", len(text), text) }

func endChunks(co net.Conn) { _, _ = io.WriteString(co, "0\r\n\r\n") }

// silentAfterTwo sends two events and then nothing. If resumed after these, it sends the other three.
func silentAfterTwo(se *received, co net.Conn) bool {
	if se.request.Header.Get("Last-Event-Id") == "2" {
		writeEvents(se, co, 3, 5)
		endChunks(co)
		return true
	}
	writeEvents(se, co, 1, 2)
	<-se.closed
	return false
}

func eventText(from, to int) string {
	var out strings.Builder
	for id := from; id <= to; id++ {
		fmt.Fprintf(&out, "id: %d\ndata: token %d\n\n", id, id)
	}
	return out.String()
}

func TestStreamArrivesWhole(t *testing.T) {
	fl := newFleet(t, func(se *received, co net.Conn) bool {
		writeEvents(se, co, 1, 50)
		endChunks(co)
		return true
	}).configure(stream)
	for range 3 {
		_, body, err := fl.send("POST", "/r/x", "hello")
		if err != nil || body != eventText(1, 50) {
			t.Fatalf("%q %v", body, err)
		}
	}
}

// Events must reach the caller when they are produced, not at the end of the response.
func TestEventsAreFlushedImmediately(t *testing.T) {
	next := make(chan struct{})
	fl := newFleet(t, func(se *received, co net.Conn) bool {
		writeEvents(se, co, 1, 1)
		<-next
		writeChunk(co, "id: 2\ndata: token 2\n\n")
		endChunks(co)
		return true
	}).configure(stream)
	rq, _ := http.NewRequest("POST", fl.front.URL+"/r/x", nil)
	rq.Header.Set("X-Key", "k")
	rq.Header.Set("X-Id", "id-1")
	rs, err := http.DefaultTransport.RoundTrip(rq)
	if err != nil {
		t.Fatal(err)
	}
	defer rs.Body.Close()
	rd := bufio.NewReader(rs.Body)
	if line, err := rd.ReadString('\n'); err != nil || line != "id: 1\n" {
		t.Fatalf("%q %v before the second event was produced", line, err)
	}
	close(next)
	rest, err := io.ReadAll(rd)
	if err != nil || !strings.HasSuffix(string(rest), "token 2\n\n") {
		t.Errorf("%q %v", rest, err)
	}
}

// An endpoint fails in the middle of a stream that is not resumable. The caller must see that the
// stream is truncated, and must not get a partial event.
func TestTruncatedStreamIsVisible(t *testing.T) {
	for name, cut := range map[string]func(co net.Conn){
		"between events":        func(net.Conn) {},
		"within an event":       func(co net.Conn) { writeChunk(co, "id: 4\nda") },
		"within a chunk":        func(co net.Conn) { _, _ = io.WriteString(co, "ff\r\nid: 4\n") },
		"before the end":        func(co net.Conn) { _, _ = io.WriteString(co, "0\r\n") },
		"with nonsense":         func(co net.Conn) { _, _ = io.WriteString(co, "what?\r\n") },
		"reset by the endpoint": func(co net.Conn) { _ = co.(*net.TCPConn).SetLinger(0) },
	} {
		fl := newFleet(t, func(se *received, co net.Conn) bool {
			writeEvents(se, co, 1, 3)
			time.Sleep(20 * time.Millisecond)
			cut(co)
			return false
		}).configure(stream)
		_, body, err := fl.send("POST", "/r/x", "hello")
		if err == nil {
			t.Errorf("%s: no error after a truncated stream: %q", name, body)
		}
		if strings.Contains(body, "da\n") || len(fl.requests()) != 1 {
			t.Errorf("%s: %q after %d requests", name, body, len(fl.requests()))
		}
	}
}

// An endpoint fails in the middle of a resumable stream. Another endpoint must continue after the last
// complete event, so that the caller gets one stream without gaps or duplicates.
func TestBrokenStreamResumesElsewhere(t *testing.T) {
	script := func(se *received, co net.Conn) bool {
		if last := se.request.Header.Get("Last-Event-Id"); last == "3" {
			writeEvents(se, co, 4, 9)
			endChunks(co)
			return true
		} else if last != "" {
			t.Errorf("resumed after event %s, want 3", last)
		}
		writeEvents(se, co, 1, 3)
		writeChunk(co, "id: 4\nda")
		time.Sleep(20 * time.Millisecond)
		return false
	}
	fl := newFleet(t, script, script).configure(resumable)
	rs, body, err := fl.send("POST", "/r/x", "hello")
	fl.expect(rs, err, 200, 2)
	if body != eventText(1, 9) {
		t.Errorf("got %q, want all events", body)
	}
	if first := fl.requests()[0].endpoint; rs.Header.Get("X-Stamp") != fmt.Sprint("s", first) {
		t.Errorf("stamp %s, want that of the first endpoint, %d", rs.Header.Get("X-Stamp"), first)
	}
}

// An endpoint stops sending within a stream, without closing the connection. The stream must be
// resumed elsewhere before the caller gives up, and the first endpoint's connection must be closed.
func TestStalledStreamResumesElsewhere(t *testing.T) {
	fl := newFleet(t, silentAfterTwo, silentAfterTwo).configure(resumable)
	began := time.Now()
	rs, body, err := fl.send("POST", "/r/x", "hello")
	fl.expect(rs, err, 200, 2)
	if body != eventText(1, 5) || time.Since(began) > 2*time.Second {
		t.Errorf("%q after %s", body, time.Since(began))
	}
	waitClosed(t, fl.requests()[0])
}

// A caller resumes a stream after its own connection failed: its last event id must be forwarded.
func TestCallerResumptionIsForwarded(t *testing.T) {
	fl := newFleet(t, func(se *received, co net.Conn) bool {
		writeEvents(se, co, 8, 9)
		endChunks(co)
		return true
	}).configure(resumable)
	_, body, err := fl.send("POST", "/r/x", "", "Last-Event-Id", "7")
	if err != nil || body != eventText(8, 9) || fl.requests()[0].request.Header.Get("Last-Event-Id") != "7" {
		t.Errorf("%q %v", body, err)
	}
}

// A response without a length ends with its connection. It is complete if the connection is closed
// normally.
func TestUnframedStreamEndsWithItsConnection(t *testing.T) {
	fl := newFleet(t, func(se *received, co net.Conn) bool {
		_, _ = fmt.Fprintf(co, "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Stamp: s0\r\nContent-Type: text/event-stream\r\n\r\n%s", eventText(1, 3))
		return false
	}).configure(stream)
	_, body, err := fl.send("POST", "/r/x", "")
	if err != nil || body != eventText(1, 3) {
		t.Errorf("%q %v", body, err)
	}
}

// The route's timeout expires in the middle of a stream.
func TestRouteTimeoutDuringStream(t *testing.T) {
	ro := stream
	ro.Timeout = 300 * time.Millisecond
	fl := newFleet(t, func(se *received, co net.Conn) bool {
		writeEvents(se, co, 1, 2)
		<-se.closed
		return false
	}).configure(ro)
	began := time.Now()
	_, body, err := fl.send("POST", "/r/x", "")
	if err == nil || body != eventText(1, 2) || time.Since(began) > time.Second {
		t.Errorf("%q, %v after %s; want two events and a closed connection", body, err, time.Since(began))
	}
	waitClosed(t, fl.requests()[0])
}
