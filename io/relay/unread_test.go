package relay_test

import (
	"bufio"
	"net/http"
	"testing"
	"time"
)

// Guards against refused requests that are never answered, and hold their connections for good, because the server waits
// for bodies that do not come: unknown routes, and bodies that stop before the deadline.
func TestRefusalDoesNotWaitForTheBody(t *testing.T) {
	fl := newFleet(t, respond(200, "ok")).configure(onceOnly)
	for text, want := range map[string]int{
		"POST /unknown HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Key: k\r\nContent-Length: 1000\r\n\r\npart":                                http.StatusNotFound,
		"POST /unknown HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Key: k\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n":                 http.StatusNotFound,
		"POST /r/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Key: k\r\nX-Wait: 100\r\nContent-Length: 1000\r\n\r\npart":                     http.StatusRequestTimeout,
		"POST /r/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Key: k\r\nX-Wait: 100\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n4\r\n": http.StatusRequestTimeout,
	} {
		co := fl.slowCaller(text)
		_ = co.SetReadDeadline(time.Now().Add(5 * time.Second))
		rs, err := http.ReadResponse(bufio.NewReader(co), nil)
		if err != nil || rs.StatusCode != want {
			t.Errorf("%q: %v, want status %d", text, err, want)
			continue
		}
		if !rs.Close {
			t.Errorf("%q: the connection stays open, and the rest of the body would be read as a request", text)
		}
		_ = co.Close()
	}
	if got := len(fl.requests()); got != 0 {
		t.Errorf("%d requests were executed", got)
	}
}
