package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/route"
)

// slowCaller opens a connection to the router and sends the text, without reading the response.
func (fl *fleet) slowCaller(text string) net.Conn {
	fl.t.Helper()
	co, err := net.Dial("tcp", fl.front.Listener.Addr().String())
	if err != nil {
		fl.t.Fatal(err)
	}
	fl.t.Cleanup(func() { _ = co.Close() })
	if _, err = io.WriteString(co, text); err != nil {
		fl.t.Fatal(err)
	}
	return co
}

// waitFor polls until the condition holds, for up to 3 s.
func waitFor(t *testing.T, what string, is func() bool) {
	t.Helper()
	for range 300 {
		if is() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("timed out after 3 s, waiting until %s", what)
}

// Guards against a router that is killed for its memory use when many callers send long bodies
// slowly: bodies are buffered up to a limit, and callers beyond it are refused at once, as not run. A
// caller that announces a long body and sends nothing must take almost no memory.
func TestSlowSendersStayWithinMemoryLimit(t *testing.T) {
	const most, sent, callers = 1 << 20, 200 << 10, 30
	fl := newFleet(t, respond(200, "ok")).configure(onceOnly)
	fl.re.Memory.SetLimit(most)
	head := "POST /r/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Key: k\r\nX-Wait: 60000\r\nContent-Length: %d\r\n\r\n"
	for range callers {
		fl.slowCaller(fmt.Sprintf(head, 1<<20))
	}
	waitFor(t, "all requests are in progress", func() bool { return fl.re.Stats.Value("InProgress") == callers })
	if held := fl.re.Memory.Total(); held > callers*4<<10 {
		t.Errorf("%d bytes in use for %d bodies that have not arrived", held, callers)
	}
	var slow []net.Conn
	for range callers {
		slow = append(slow, fl.slowCaller(fmt.Sprintf(head, 1<<20)+strings.Repeat("x", sent)))
	}
	waitFor(t, "half of the callers are refused", func() bool { return fl.re.Stats.Refusals(core.ReasonMemory) > callers/2 })
	if held := fl.re.Memory.Total(); held > most {
		t.Errorf("%d bytes in use, want at most %d", held, most)
	}
	for _, co := range slow {
		_ = co.Close()
	}
	waitFor(t, "the memory is released", func() bool { return fl.re.Memory.Total() <= callers*4<<10 })
	rs, _, err := fl.send("POST", "/r/x", strings.Repeat("x", 100<<10))
	fl.expect(rs, err, http.StatusOK, 1)
}

// Guards against refusals of short bodies, and against a refusal for lack of memory that does not
// guarantee that the request has not run, or that has no Retry-After.
func TestRefusalOnMemoryLimit(t *testing.T) {
	fl := newFleet(t, respond(200, "ok")).configure(onceOnly)
	fl.re.Memory.SetLimit(64 << 10)
	rs, _, err := fl.send("POST", "/r/x", strings.Repeat("x", 100<<10))
	fl.expect(rs, err, http.StatusServiceUnavailable, 0)
	if rs.Header.Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
	if held := fl.re.Memory.Total(); held != 0 {
		t.Errorf("%d bytes in use after the request", held)
	}
	rs, _, err = fl.send("POST", "/r/x", "short")
	fl.expect(rs, err, http.StatusOK, 1)
}

// Guards against a router that is killed for its memory use when callers read long responses slowly,
// and against responses that are cut for lack of memory: these are forwarded as they arrive.
func TestSlowReadersStayWithinMemoryLimit(t *testing.T) {
	const most, long, callers = 256 << 10, 900 << 10, 12
	fl := newFleet(t, respond(200, strings.Repeat("y", long))).configure(onceOnly)
	fl.re.Memory.SetLimit(most)
	var slow []net.Conn
	for range callers {
		slow = append(slow, fl.slowCaller("GET /r/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Key: k\r\nConnection: close\r\n\r\n"))
	}
	waitFor(t, "all requests have reached the endpoint", func() bool { return len(fl.requests()) == callers })
	if held := fl.re.Memory.Total(); held > most {
		t.Errorf("%d bytes in use, want at most %d", held, most)
	}
	for ix, co := range slow {
		data, err := io.ReadAll(co)
		if err != nil || !strings.HasSuffix(string(data), strings.Repeat("y", long)) {
			t.Errorf("response %d: %d bytes, %v", ix, len(data), err)
		}
	}
	waitFor(t, "the memory is released", func() bool { return fl.re.Memory.Total() == 0 })
}

// Guards against streams that hold their requests' bodies for seconds although these cannot be sent
// again, and against the loss of a body that another endpoint needs.
func TestBodyIsReleasedOnceItCannotBeSentAgain(t *testing.T) {
	for name, want := range map[string]struct {
		ro   route.Route
		held int64
	}{"cannot be repeated": {stream, 0}, "can be resumed": {resumable, 10001}} {
		goOn := make(chan struct{})
		fl := newFleet(t, func(se *received, co net.Conn) bool {
			writeEvents(se, co, 1, 2)
			<-goOn
			endChunks(co)
			return true
		}).configure(want.ro)
		done := make(chan struct{})
		go func() {
			defer close(done)
			if _, body, err := fl.send("POST", "/r/x", strings.Repeat("b", 10000)); err != nil || body != eventText(1, 2) {
				t.Errorf("%s: %q %v", name, body, err)
			}
		}()
		waitFor(t, "the endpoint has the request", func() bool { return len(fl.requests()) == 1 })
		waitFor(t, name, func() bool { return fl.re.Memory.Total() == want.held })
		close(goOn)
		<-done
		waitFor(t, "the memory is released", func() bool { return fl.re.Memory.Total() == 0 })
		if got := fl.requests()[0].body; got != strings.Repeat("b", 10000) {
			t.Errorf("%s: the endpoint received %d bytes", name, len(got))
		}
	}
}
