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
)

// slowCaller opens a connection to the router and sends this.
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

// waitFor waits for what other goroutines bring about.
func waitFor(t *testing.T, what string, is func() bool) {
	t.Helper()
	for range 300 {
		if is() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("not within 3 s: %s", what)
}

// Guards against a router that is ended for its memory by many callers who send long bodies slowly:
// what they send is held within a bound, those beyond it are refused at once and as not run, and who
// announces a long body and sends nothing takes next to nothing.
func TestSlowSendersStayWithinMemoryLimit(t *testing.T) {
	const most, sent, callers = 1 << 20, 200 << 10, 30
	fl := newFleet(t, respond(200, "ok")).configure(onceOnly)
	fl.re.Memory.Limit = most
	head := "POST /r/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Key: k\r\nX-Wait: 60000\r\nContent-Length: %d\r\n\r\n"
	for range callers {
		fl.slowCaller(fmt.Sprintf(head, 1<<20))
	}
	waitFor(t, "all bodies have begun", func() bool { return fl.re.Stats.Value("InProgress") == callers })
	if held := fl.re.Memory.Held(); held > callers*4<<10 {
		t.Errorf("%d bytes are held of %d bodies of which nothing came", held, callers)
	}
	var slow []net.Conn
	for range callers {
		slow = append(slow, fl.slowCaller(fmt.Sprintf(head, 1<<20)+strings.Repeat("x", sent)))
	}
	waitFor(t, "some are refused", func() bool { return fl.re.Stats.Refusals(core.ReasonMemory) > callers/2 })
	if held := fl.re.Memory.Held(); held > most {
		t.Errorf("%d bytes are held, at most %d may be", held, most)
	}
	for _, co := range slow {
		_ = co.Close()
	}
	waitFor(t, "what was held is free again", func() bool { return fl.re.Memory.Held() <= callers*4<<10 })
	rs, _, err := fl.send("POST", "/r/x", strings.Repeat("x", 100<<10))
	fl.expect(rs, err, http.StatusOK, 1)
}

// Guards against callers who are refused though their bodies are short, and against a refusal for
// want of memory that promises nothing, or does not tell when to return.
func TestRefusalOnMemoryLimit(t *testing.T) {
	fl := newFleet(t, respond(200, "ok")).configure(onceOnly)
	fl.re.Memory.Limit = 64 << 10
	rs, _, err := fl.send("POST", "/r/x", strings.Repeat("x", 100<<10))
	fl.expect(rs, err, http.StatusServiceUnavailable, 0)
	if rs.Header.Get("Retry-After") == "" {
		t.Error("the caller is not told when to return")
	}
	if held := fl.re.Memory.Held(); held != 0 {
		t.Errorf("%d bytes are held after the request", held)
	}
	rs, _, err = fl.send("POST", "/r/x", "short")
	fl.expect(rs, err, http.StatusOK, 1)
}

// Guards against a router that is ended for its memory by callers who read long answers slowly, and
// against answers that are cut for it: what there is no memory for is passed on as it comes.
func TestSlowReadersStayWithinMemoryLimit(t *testing.T) {
	const most, long, callers = 256 << 10, 900 << 10, 12
	fl := newFleet(t, respond(200, strings.Repeat("y", long))).configure(onceOnly)
	fl.re.Memory.Limit = most
	var slow []net.Conn
	for range callers {
		slow = append(slow, fl.slowCaller("GET /r/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Key: k\r\nConnection: close\r\n\r\n"))
	}
	waitFor(t, "all are being answered", func() bool { return len(fl.requests()) == callers })
	if held := fl.re.Memory.Held(); held > most {
		t.Errorf("%d bytes are held, at most %d may be", held, most)
	}
	for ix, co := range slow {
		data, err := io.ReadAll(co)
		if err != nil || !strings.HasSuffix(string(data), strings.Repeat("y", long)) {
			t.Errorf("answer %d: %d bytes, %v", ix, len(data), err)
		}
	}
	waitFor(t, "what was held is free again", func() bool { return fl.re.Memory.Held() == 0 })
}
