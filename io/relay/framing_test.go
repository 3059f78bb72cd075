package relay_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"almondrill/core/place"
	"almondrill/core/route"
	"almondrill/io/fakes/local"
)

// framing is how a scripted endpoint marks the end of its response.
type framing string

const (
	byLength  framing = "length"
	byChunks  framing = "chunks"
	byClose   framing = "close"
	byHTTP1_0 framing = "HTTP/1.0"
)

var framings = []framing{byLength, byChunks, byClose, byHTTP1_0}

// marked reports whether something other than the end of the connection marks the end.
func (fr framing) marked() bool { return fr == byLength || fr == byChunks }

// write writes a response with the body. A cut one lacks what marks its end.
func (fr framing) write(se *received, co net.Conn, status int, media, body string, cut bool) {
	proto, field, length := "HTTP/1.1", "", len(body)
	if cut {
		length += 100
	}
	switch fr {
	case byLength:
		field = fmt.Sprintf("Content-Length: %d\r\n", length)
	case byChunks:
		field = "Transfer-Encoding: chunked\r\n"
	case byHTTP1_0:
		proto = "HTTP/1.0"
	}
	_, _ = fmt.Fprintf(co, "%s %d X\r\nX-Id: id-1\r\nX-Stamp: s%d\r\nContent-Type: %s\r\n%s\r\n", proto, status, se.endpoint, media, field)
	switch {
	case fr != byChunks:
		_, _ = io.WriteString(co, body)
	case body != "":
		writeChunk(co, body)
	}
	if fr == byChunks && !cut {
		endChunks(co)
	}
}

const eventStream = "text/event-stream"

// answer responds with the framing and then closes the connection, or resets it.
func (fr framing) answer(status int, media, body string, cut, reset bool) script {
	return func(se *received, co net.Conn) bool {
		fr.write(se, co, status, media, body, cut)
		if reset {
			time.Sleep(20 * time.Millisecond) // a reset discards what has not been read
			_ = co.(*net.TCPConn).SetLinger(0)
		}
		return false
	}
}

// isMarked reports whether something other than the end of the connection marks the end of a response.
func isMarked(rs *http.Response) bool { return rs.ContentLength >= 0 || len(rs.TransferEncoding) > 0 }

// sendOld sends a caller's HTTP/1.0 request.
func (fl *fleet) sendOld(path string) (*http.Response, string, error) {
	fl.t.Helper()
	co, err := net.Dial("tcp", strings.TrimPrefix(fl.front.URL, "http://"))
	if err != nil {
		fl.t.Fatal(err)
	}
	defer co.Close()
	_ = co.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(co, "GET "+path+" HTTP/1.0\r\nHost: 127.0.0.1\r\nX-Key: k\r\nX-Id: id-1\r\n\r\n")
	rs, err := http.ReadResponse(bufio.NewReader(co), nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(rs.Body)
	return rs, string(body), err
}

// An engine breaks a stream off at any byte inside an event, with or without framing, by closing or
// resetting the connection. The caller must not get it as complete, nor any part of the event.
func TestStreamCutInsideEventIsNotComplete(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		whole := strings.ReplaceAll(eventText(1, 2), "\n", lineEnd)
		event := strings.ReplaceAll("id: 3\ndata: x\n", "\n", lineEnd)
		for _, fr := range framings {
			for at := 1; at <= len(event); at++ {
				for _, reset := range []bool{false, true} {
					if reset && at%5 != 0 {
						continue
					}
					name := fmt.Sprintf("%q, %s, byte %d, reset %t", lineEnd, fr, at, reset)
					fl := newFleet(t, fr.answer(http.StatusOK, eventStream, whole+event[:at], false, reset)).configure(stream)
					rs, body, err := fl.send("POST", "/r/x", "")
					if err == nil || body != whole {
						t.Errorf("%s: got %q, error %v", name, body, err)
					}
					if rs == nil {
						t.Fatalf("%s: no response: %v", name, err)
					}
				}
			}
		}
	}
}

// A stream ends between events, after a comment, or with its last line end split. It is whole if its
// framing says so, or if it has none and its connection is closed; otherwise it was broken off.
func TestStreamThatEndsBetweenEventsIsWhole(t *testing.T) {
	for _, body := range []string{
		eventText(1, 2), strings.ReplaceAll(eventText(1, 2), "\n", "\r\n"), strings.ReplaceAll(eventText(1, 2), "\n", "\r"),
		": hello\n" + eventText(1, 2) + ": still alive\n", eventText(1, 2) + ":", eventText(1, 2) + "\n\n",
	} {
		for _, fr := range framings {
			for _, cut := range []bool{false, true} {
				for _, reset := range []bool{false, true} {
					name := fmt.Sprintf("%q, %s, cut %t, reset %t", body, fr, cut, reset)
					fl := newFleet(t, fr.answer(http.StatusOK, eventStream, body, cut, reset)).configure(stream)
					_, got, err := fl.send("POST", "/r/x", "")
					wantWhole := !cut && !reset || fr.marked() && !cut || !fr.marked() && !reset
					if wantWhole != (err == nil) || wantWhole && got != body {
						t.Errorf("%s: got %q, error %v; want whole: %t", name, got, err, wantWhole)
					}
				}
			}
		}
	}
}

// A stream without framing ends before its first event. Nothing says that it is whole: the caller must
// learn that the request may have run.
func TestUnframedStreamWithoutEventsIsNotComplete(t *testing.T) {
	for _, start := range []string{"", ": hello\n", "id: 1\nda"} {
		fl := newFleet(t, byClose.answer(http.StatusOK, eventStream, start, false, false)).configure(stream)
		rs, _, err := fl.send("POST", "/r/x", "")
		fl.expect(rs, err, http.StatusBadGateway, 1)
	}
	fl := newFleet(t, byClose.answer(http.StatusOK, eventStream, ": hello\n\n", false, false)).configure(stream)
	if _, body, err := fl.send("POST", "/r/x", ""); err == nil {
		t.Errorf("got %q as complete, after a comment", body)
	}
}

// A resumable stream breaks off inside an event. It must continue at another endpoint after the last whole
// event, whatever the framings and line ends of both.
func TestStreamCutInsideEventResumesElsewhere(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		text := func(from, to int) string { return strings.ReplaceAll(eventText(from, to), "\n", lineEnd) }
		for _, first := range framings {
			for _, second := range framings {
				script := func(se *received, co net.Conn) bool {
					if last := se.request.Header.Get("Last-Event-Id"); last == "3" {
						second.write(se, co, http.StatusOK, eventStream, text(4, 9), false)
						return false
					}
					first.write(se, co, http.StatusOK, eventStream, text(1, 3)+"id: 4"+lineEnd+"da", false)
					return false
				}
				fl := newFleet(t, script, script).configure(resumable)
				rs, body, err := fl.send("POST", "/r/x", "hello")
				fl.expect(rs, err, http.StatusOK, 2)
				if body != text(1, 9) {
					t.Errorf("%q, %s then %s: got %q", lineEnd, first, second, body)
				}
			}
		}
	}
}

// Another response follows a stream without framing, where the end of the connection is expected. Nothing of
// it may reach the caller, who must see that the stream is cut: nothing else says that it is whole.
func TestOtherResponseAfterUnframedStreamIsNotForwarded(t *testing.T) {
	other := "HTTP/1.1 200 OK\r\nX-Id: id-0\r\nX-Stamp: s0\r\nContent-Length: 7\r\n\r\nid: 9\n\n"
	fl := newFleet(t, byClose.answer(http.StatusOK, eventStream, other, false, false)).configure(stream)
	rs, _, err := fl.send("POST", "/r/x", "")
	fl.expect(rs, err, http.StatusBadGateway, 1)
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		whole := strings.ReplaceAll(eventText(1, 3), "\n", lineEnd)
		for _, fr := range []framing{byClose, byHTTP1_0} {
			fl := newFleet(t, fr.answer(http.StatusOK, eventStream, whole+other, false, false)).configure(stream)
			_, body, err := fl.send("POST", "/r/x", "")
			if err == nil || body != whole {
				t.Errorf("%q, %s: got %q, error %v", lineEnd, fr, body, err)
			}
		}
	}
}

// A stream breaks off and what should continue it is no event stream. The caller must see that the stream is
// cut, and must get nothing else.
func TestStreamIsNotContinuedByAnotherAnswer(t *testing.T) {
	script := func(se *received, co net.Conn) bool {
		if se.request.Header.Get("Last-Event-Id") == "" {
			byChunks.write(se, co, http.StatusOK, eventStream, eventText(1, 3), true)
		} else {
			byLength.write(se, co, http.StatusOK, "application/json", `{"Done":true}`, false)
		}
		return false
	}
	fl := newFleet(t, script, script).configure(resumable)
	_, body, err := fl.send("POST", "/r/x", "hello")
	if err == nil || body != eventText(1, 3) || fl.panics.Load() > 0 {
		t.Errorf("got %q, error %v, %d panics", body, err, fl.panics.Load())
	}
}

// Guards against answers that look whole because their router was killed: where only the end of the connection
// ends an endpoint's response, the caller's has a length or chunks all the same, which are missing then. It
// counts as a success for the crash detection, as the endpoint goes on: otherwise a request that all callers send
// would be taken for the cause of each crash beside it.
func TestUnframedAnswersHaveAMarkedEnd(t *testing.T) {
	long := strings.Repeat("x", 3<<20)
	for _, tc := range []struct {
		name        string
		ro          route.Route
		status      int
		media, body string
	}{
		{"buffered", route.Route{Kind: route.OnceOnly}, http.StatusOK, "text/plain", "short"},
		{"empty", route.Route{Kind: route.OnceOnly}, http.StatusOK, "text/plain", ""},
		{"long", route.Route{Kind: route.OnceOnly}, http.StatusOK, "text/plain", long},
		{"failure", route.Route{Kind: route.OnceOnly}, http.StatusInternalServerError, "text/plain", "failed"},
		{"long failure", route.Route{Kind: route.OnceOnly}, http.StatusInternalServerError, "text/plain", long},
		{"failure of a stream", stream, http.StatusInternalServerError, "text/plain", "failed"},
		{"plain on a stream route", stream, http.StatusOK, "application/json", `{"Done":true}`},
	} {
		for _, fr := range framings {
			fl := newFleet(t, fr.answer(tc.status, tc.media, tc.body, false, false)).configure(tc.ro)
			cd := &fakeCrashDetector{allowed: 9}
			fl.re.Crashes = cd
			rs, body, err := fl.send("GET", "/r/x", "")
			if err != nil || rs.StatusCode != tc.status || body != tc.body {
				t.Errorf("%s, %s: got %d bytes, want %d; error %v", tc.name, fr, len(body), len(tc.body), err)
				continue
			}
			if !isMarked(rs) {
				t.Errorf("%s, %s: nothing marks the end of the caller's response", tc.name, fr)
			}
			cd.mu.Lock()
			if succeeded := len(cd.succeeded) > 0; succeeded != (tc.status == http.StatusOK) {
				t.Errorf("%s, %s: reported as a success: %t", tc.name, fr, succeeded)
			}
			cd.mu.Unlock()
		}
	}
}

// crashingServer serves one response without framing, and does not listen any more when it ends. With draining,
// it has announced its shutdown.
func crashingServer(t *testing.T, draining bool, media, body string, ro route.Route) *fleet {
	fl := newFleet(t).configure(ro)
	li := local.Listen(t)
	ep := place.Endpoint{ID: "e0", Addr: li.Addr().String(), Pool: "pool", Zone: "a", Slots: 8}
	fl.re.Placer.Register(time.Now(), ep)
	go func() {
		co, err := li.Accept()
		if err != nil {
			return
		}
		defer co.Close()
		se := <-fl.readRequests(0, co)
		if draining {
			ep.Draining = true
			fl.re.Placer.Register(time.Now(), ep)
		}
		_ = li.Close()
		byClose.write(se, co, http.StatusOK, media, body, false)
	}()
	return fl
}

// Guards against a part of an answer that is taken for the whole because its endpoint's system closes the listener a
// moment after the connections: a connection that is made in between does not show that the endpoint goes on.
func TestListenerMayCloseAfterTheAnswer(t *testing.T) {
	for _, ca := range []struct {
		media, body string
		ro          route.Route
	}{{"text/plain", "half", route.Route{Kind: route.OnceOnly}}, {eventStream, eventText(1, 3), stream}} {
		fl := newFleet(t).configure(ca.ro)
		li := local.Listen(t)
		fl.re.Placer.Register(time.Now(), place.Endpoint{ID: "e0", Addr: li.Addr().String(), Pool: "pool", Zone: "a", Slots: 8})
		go func() {
			co, err := li.Accept()
			if err != nil {
				return
			}
			byClose.write(<-fl.readRequests(0, co), co, http.StatusOK, ca.media, ca.body, false)
			_ = co.Close()
			time.Sleep(10 * time.Millisecond)
			_ = li.Close()
		}()
		rs, body, err := fl.send("POST", "/r/x", "")
		if err == nil && rs.StatusCode < http.StatusMultipleChoices {
			t.Errorf("%s: got %q as a whole answer", ca.media, body)
		}
	}
}

// An engine's process ends between two events of a stream without framing, which its system closes like a
// whole one. The engine takes no connection any more: the caller must not get the stream as complete, also where
// the engine has announced its shutdown, which does not say that it waits for its streams.
func TestUnframedStreamOfACrashedEngineIsNotComplete(t *testing.T) {
	for _, draining := range []bool{false, true} {
		fl := crashingServer(t, draining, eventStream, eventText(1, 3), stream)
		_, body, err := fl.send("POST", "/r/x", "")
		if body != eventText(1, 3) || err == nil {
			t.Errorf("draining %t: got %q, error %v", draining, body, err)
		}
	}
}

// Guards against a part of a plain answer that is taken for the whole: its endpoint's process ends inside the
// answer, which has no framing, and its system closes the connection as after a whole one.
func TestUnframedAnswerOfACrashedEndpointIsNotComplete(t *testing.T) {
	for name, body := range map[string]string{"short": "half", "empty": "", "long": strings.Repeat("x", 3<<20)} {
		for _, draining := range []bool{false, true} {
			fl := crashingServer(t, draining, "text/plain", body, route.Route{Kind: route.OnceOnly})
			cd := &fakeCrashDetector{allowed: 9}
			fl.re.Crashes = cd
			rs, got, err := fl.send("GET", "/r/x", "")
			cd.mu.Lock()
			if len(cd.succeeded) > 0 || len(cd.interrupted) != 1 {
				t.Errorf("%s, draining %t: %d successes and %d interruptions reported, want one interruption", name, draining, len(cd.succeeded), len(cd.interrupted))
			}
			cd.mu.Unlock()
			if err == nil && rs.StatusCode < http.StatusMultipleChoices {
				t.Errorf("%s, draining %t: %d bytes of a success, of %d", name, draining, len(got), len(body))
			}
		}
	}
}

// Guards against a part of a failure response that looks whole because its endpoint's process ended in it.
func TestUnframedFailureOfACrashedEndpointIsNotForwarded(t *testing.T) {
	fl := newFleet(t).configure(route.Route{Kind: route.OnceOnly})
	li := local.Listen(t)
	fl.re.Placer.Register(time.Now(), place.Endpoint{ID: "e0", Addr: li.Addr().String(), Pool: "pool", Zone: "a", Slots: 8})
	go func() {
		co, err := li.Accept()
		if err != nil {
			return
		}
		defer co.Close()
		se := <-fl.readRequests(0, co)
		_ = li.Close()
		byClose.write(se, co, http.StatusInternalServerError, "text/plain", "half of", false)
	}()
	rs, body, err := fl.send("POST", "/r/x", "")
	if err != nil || rs.StatusCode != http.StatusBadGateway || strings.Contains(body, "half of") {
		t.Errorf("got %v, %q, error %v, want the router's own 502", rs, body, err)
	}
}

// An answer without framing whose endpoint has crashed in it is tried again where the request may be.
func TestUnframedAnswerOfACrashedEndpointIsTriedAgain(t *testing.T) {
	fl := crashingServer(t, false, "text/plain", "half", route.Route{Kind: route.Idempotent, MaxAttempts: 2})
	li := local.Listen(t)
	go func() {
		for {
			co, err := li.Accept()
			if err != nil {
				return
			}
			go func() {
				defer co.Close()
				if se, sent := <-fl.readRequests(1, co); sent {
					byClose.write(se, co, http.StatusOK, "text/plain", "whole", false)
				}
			}()
		}
	}()
	fl.re.Placer.Register(time.Now(), place.Endpoint{ID: "e1", Addr: li.Addr().String(), Pool: "pool", Zone: "a", Slots: 8})
	for range 2 {
		rs, body, err := fl.send("GET", "/r/x", "")
		if err != nil || rs.StatusCode != http.StatusOK || body != "whole" {
			t.Errorf("got %q, error %v", body, err)
		}
	}
}

// A router ends in the middle of a stream, by a kill. Its caller must see that, also where the endpoint's stream
// ends with its connection: the caller's must have chunks, of which the last one is missing then.
func TestStreamsHaveChunksForTheirCallers(t *testing.T) {
	for _, fr := range framings {
		fl := newFleet(t, fr.answer(http.StatusOK, eventStream, eventText(1, 3), false, false)).configure(stream)
		rs, body, err := fl.send("POST", "/r/x", "")
		if err != nil || body != eventText(1, 3) || len(rs.TransferEncoding) == 0 {
			t.Errorf("%s: got %q, error %v", fr, body, err)
		}
	}
}

// A response that was begun is broken off. Where the caller's ends with its connection, the caller can
// notice that only by a reset.
func TestCutAnswerIsResetWhereNothingMarksItsEnd(t *testing.T) {
	cutStream := eventText(1, 3) + "id: 4\nda"
	long := strings.Repeat("x", 3<<20)
	for _, tc := range []struct {
		name string
		sc   script
		ro   route.Route
	}{
		{"unframed stream", byClose.answer(http.StatusOK, eventStream, cutStream, false, false), stream},
		{"unframed stream, reset", byClose.answer(http.StatusOK, eventStream, cutStream, false, true), stream},
		{"chunked stream", byChunks.answer(http.StatusOK, eventStream, cutStream, true, false), stream},
		{"long plain answer, reset", byClose.answer(http.StatusOK, "text/plain", long, false, true), route.Route{Kind: route.OnceOnly}},
		{"long plain answer in chunks", byChunks.answer(http.StatusOK, "text/plain", long, true, false), route.Route{Kind: route.OnceOnly}},
	} {
		for _, old := range []bool{false, true} {
			fl := newFleet(t, tc.sc).configure(tc.ro)
			rs, body, err := fl.send("GET", "/r/x", "")
			if old {
				rs, body, err = fl.sendOld("/r/x")
			}
			if err == nil || rs != nil && !isMarked(rs) && !errors.Is(err, syscall.ECONNRESET) {
				t.Errorf("%s, HTTP/1.0 caller %t: %d bytes, error %v", tc.name, old, len(body), err)
			}
		}
	}
}

// A stream breaks off inside an event because its engine crashes. The crash detection must learn of the
// interruption, and must not clear the request.
func TestStreamCutInsideEventIsEvidence(t *testing.T) {
	for _, fr := range framings {
		fl := newFleet(t, fr.answer(http.StatusOK, eventStream, eventText(1, 3)+"id", false, false)).configure(stream)
		cd := &fakeCrashDetector{allowed: 9}
		fl.re.Crashes = cd
		_, _, _ = fl.send("POST", "/r/x", "")
		cd.mu.Lock()
		if len(cd.succeeded) != 0 || len(cd.interrupted) != 1 {
			t.Errorf("%s: %d succeeded, %d interrupted; want 0, 1", fr, len(cd.succeeded), len(cd.interrupted))
		}
		cd.mu.Unlock()
	}
}

// Engines end lines by CR LF or CR. Events must reach the caller when they are produced, as with LF.
func TestEventsOfAnyLineEndAreFlushedImmediately(t *testing.T) {
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		next := make(chan struct{})
		fl := newFleet(t, func(se *received, co net.Conn) bool {
			byChunks.write(se, co, http.StatusOK, eventStream, strings.ReplaceAll(eventText(1, 1), "\n", lineEnd), true)
			<-next
			writeChunk(co, strings.ReplaceAll(eventText(2, 2), "\n", lineEnd))
			endChunks(co)
			return true
		}).configure(stream)
		rq, _ := http.NewRequest("POST", fl.front.URL+"/r/x", nil)
		rq.Header.Set("X-Key", "k")
		rq.Header.Set("X-Id", "id-1")
		time.AfterFunc(time.Second, func() { close(next) })
		began := time.Now()
		rs, err := http.DefaultTransport.RoundTrip(rq)
		if err != nil {
			t.Fatal(err)
		}
		defer rs.Body.Close()
		if _, err = rs.Body.Read(make([]byte, 5)); err != nil || time.Since(began) > 800*time.Millisecond {
			t.Errorf("%q: first event after %s, error %v", lineEnd, time.Since(began), err)
		}
	}
}
