package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"almondrill/core/route"
)

// okHead is the head of a proper answer to the test's request, without its last line.
const okHead = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Stamp: s0\r\n"

// inner is a whole answer of its own, in the place of a body.
const inner = okHead + "Content-Length: 5\r\n\r\ninner"

// invalidAnswers are not HTTP.
var invalidAnswers = map[string]string{
	"status 000":                    "HTTP/1.1 000 X\r\nX-Id: id-1\r\nX-Stamp: s0\r\nContent-Length: 5\r\n\r\nhello",
	"status 000 around an answer":   "HTTP/1.1 000 X\r\nX-Id: id-1\r\nX-Stamp: s0\r\n\r\n" + inner,
	"status 000 without a body":     "HTTP/1.1 000 X\r\nX-Id: id-1\r\nX-Stamp: s0\r\nContent-Length: 0\r\n\r\n",
	"status 042":                    "HTTP/1.1 042 X\r\n\r\n" + inner,
	"status 099":                    "HTTP/1.1 099 X\r\n\r\n" + inner,
	"status +20":                    "HTTP/1.1 +20 X\r\n\r\n" + inner,
	"status -01":                    "HTTP/1.1 -01 X\r\n\r\n" + inner,
	"status 20":                     "HTTP/1.1 20 X\r\n\r\n" + inner,
	"status 101":                    "HTTP/1.1 101 X\r\n\r\n" + inner,
	"status 600":                    "HTTP/1.1 600 X\r\nX-Id: id-1\r\nX-Stamp: s0\r\nContent-Length: 5\r\n\r\nhello",
	"status 999":                    "HTTP/1.1 999 X\r\nX-Id: id-1\r\nX-Stamp: s0\r\nContent-Length: 5\r\n\r\nhello",
	"version 2.0":                   "HTTP/2.0 200 OK\r\nX-Id: id-1\r\nX-Stamp: s0\r\nContent-Length: 5\r\n\r\nhello",
	"control byte in the reason":    "HTTP/1.1 200 O\x01K\r\nX-Id: id-1\r\nX-Stamp: s0\r\nContent-Length: 5\r\n\r\nhello",
	"status 000 after crossed":      "HTTP/1.1 200 OK\r\nX-Id: id-0\r\nContent-Length: 1\r\n\r\nxHTTP/1.1 000 X\r\n\r\n" + inner,
	"blank in a name":               okHead + "X A: 1\r\nContent-Length: 5\r\n\r\nhello",
	"blank after a length's name":   okHead + "Content-Length : 3\r\n\r\nhello",
	"blank after an encoding":       okHead + "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"blank after a rejection":       "HTTP/1.1 503 X\r\nX-Id: id-1\r\nX-Not-Run: 1\r\nX A: 1\r\nContent-Length: 5\r\n\r\nhello",
	"blank, no body":                okHead + "X A: 1\r\nContent-Length: 0\r\n\r\n",
	"tab after a length's name":     okHead + "Content-Length\t: 3\r\n\r\nhello",
	"control byte in a name":        okHead + "X\x01A: 1\r\nContent-Length: 5\r\n\r\nhello",
	"zero byte in a name":           okHead + "X\x00A: 1\r\nContent-Length: 5\r\n\r\nhello",
	"non-ASCII name":                okHead + "X\xe9: 1\r\nContent-Length: 5\r\n\r\nhello",
	"no name":                       okHead + ": 1\r\nContent-Length: 5\r\n\r\nhello",
	"no colon":                      okHead + "X-A\r\nContent-Length: 5\r\n\r\nhello",
	"control byte in a value":       okHead + "X-A: 1\x01\r\nContent-Length: 5\r\n\r\nhello",
	"carriage return in a value":    okHead + "X-A: 1\r2\r\nContent-Length: 5\r\n\r\nhello",
	"signed length":                 okHead + "Content-Length: +5\r\n\r\nhello",
	"two lengths":                   okHead + "Content-Length: 5\r\nContent-Length: 3\r\n\r\nhello",
	"unknown encoding":              okHead + "Transfer-Encoding: secret\r\n\r\nhello",
	"chunks in HTTP/1.0":            "HTTP/1.0 200 OK\r\nX-Id: id-1\r\nX-Stamp: s0\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"interim, then such chunks":     "HTTP/1.1 103 X\r\n\r\nHTTP/1.0 200 OK\r\nX-Id: id-1\r\nX-Stamp: s0\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"signed chunk":                  okHead + "Transfer-Encoding: chunked\r\n\r\n+5\r\nhello\r\n0\r\n\r\n",
	"blank in an interim head":      "HTTP/1.1 103 X\r\nX A: 1\r\n\r\n" + inner,
	"control byte in interim head":  "HTTP/1.1 103 X\r\nX\x01A: 1\r\n\r\n" + inner,
	"length of an interim head":     "HTTP/1.1 103 X\r\nContent-Length : 1\r\n\r\n" + inner,
	"blank in a trailer":            okHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX A: 1\r\n\r\n",
	"control byte in a trailer":     okHead + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX\x01A: 1\r\n\r\n",
	"blank in a crossed answer":     "HTTP/1.1 200 OK\r\nX-Id: id-0\r\nX A: 1\r\nContent-Length: 5\r\n\r\nother" + inner,
	"blank in a crossed trailer":    "HTTP/1.1 200 OK\r\nX-Id: id-0\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX A: 1\r\n\r\n" + inner,
	"control byte in crossed reply": "HTTP/1.1 200 OK\r\nX-Id: id-0\r\nX\x01A: 1\r\nContent-Length: 1\r\n\r\nx" + inner,
}

// Guards against answers that are not HTTP and that callers get as answers, or as a statement that their request did
// not run.
func TestInvalidAnswersAreNotForwarded(t *testing.T) {
	for name, text := range invalidAnswers {
		for _, ro := range []route.Route{{Kind: route.OnceOnly, MaxAttempts: 2}, {Kind: route.Stream, GapGoal: 100 * time.Millisecond}} {
			fl := newFleet(t, respondWith(func(*received) string { return text }))
			rs, body, err := fl.configure(ro).send("POST", "/r/x", "0123456789")
			wantBroken(t, fmt.Sprint(name, ", ", ro.Kind), rs, body, err)
			got := fl.requests()
			if len(got) != 1 {
				t.Errorf("%s: %d requests reached the endpoint, want 1", name, len(got))
				continue
			}
			select {
			case <-got[0].closed:
			case <-time.After(3 * time.Second):
				t.Errorf("%s: the connection stays open", name)
			}
		}
	}
}

// Guards against a request that may be repeated but fails because its first answer was not HTTP.
func TestInvalidAnswersAreTriedAgain(t *testing.T) {
	for name, text := range invalidAnswers {
		var sends atomic.Int32
		script := func(se *received, co net.Conn) bool {
			if sends.Add(1) == 1 {
				_, _ = io.WriteString(co, text)
				return true
			}
			_, _ = io.WriteString(co, formatResponse(se, http.StatusOK, "whole"))
			return true
		}
		rs, body, err := newFleet(t, script, script).configure(idempotent).send("POST", "/r/x", "0123456789")
		if err != nil || rs.StatusCode != http.StatusOK || body != "whole" {
			t.Errorf("%s: %q, error %v", name, body, err)
		}
	}
}

// Guards against proper answers that are refused because they are unusual.
func TestUnusualAnswersAreForwarded(t *testing.T) {
	for name, tc := range map[string]struct {
		method, text, body string
		status             int
		closes             bool
	}{
		"204":                      {"POST", "HTTP/1.1 204 No Content\r\nX-Id: id-1\r\nX-Stamp: s0\r\n\r\n", "", 204, false},
		"304":                      {"GET", "HTTP/1.1 304 Not Modified\r\nX-Id: id-1\r\nX-Stamp: s0\r\nContent-Length: 5\r\n\r\n", "", 304, false},
		"HEAD":                     {"HEAD", okHead + "Content-Length: 5\r\n\r\n", "", 200, false},
		"interim":                  {"POST", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + inner, "inner", 200, false},
		"folded":                   {"POST", okHead + "X-A: a\r\n b: c\r\nContent-Length: 5\r\n\r\nhello", "hello", 200, false},
		"HTTP/1.0 with a length":   {"POST", "HTTP/1.0 200 OK\r\nX-Id: id-1\r\nX-Stamp: s0\r\nContent-Length: 5\r\n\r\nhello", "hello", 200, true},
		"HTTP/1.0 without framing": {"POST", "HTTP/1.0 200 OK\r\nX-Id: id-1\r\nX-Stamp: s0\r\n\r\nhello", "hello", 200, true},
		"no framing":               {"POST", okHead + "\r\nhello", "hello", 200, true},
		"no reason":                {"POST", "HTTP/1.1 200 \r\nX-Id: id-1\r\nX-Stamp: s0\r\nContent-Length: 5\r\n\r\nhello", "hello", 200, false},
		"non-ASCII reason, value":  {"POST", "HTTP/1.1 200 D\xe9j\xe0\r\nX-Id: id-1\r\nX-Stamp: s0\r\nX-A: \xe9\r\nContent-Length: 5\r\n\r\nhello", "hello", 200, false},
		"empty value":              {"POST", okHead + "X-A:\r\nContent-Length: 5\r\n\r\nhello", "hello", 200, false},
		"unusual names":            {"POST", okHead + "x!#$%&'*+-.^_`|~9: 1\r\nContent-Length: 5\r\n\r\nhello", "hello", 200, false},
		"trailer":                  {"POST", okHead + "Transfer-Encoding: chunked\r\nTrailer: X-A\r\n\r\n5\r\nhello\r\n0\r\nX-A: 1\r\n\r\n", "hello", 200, false},
		"length and chunks":        {"POST", okHead + "Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "hello", 200, false},
		"599":                      {"POST", "HTTP/1.1 599 X\r\nX-Id: id-1\r\nX-Stamp: s0\r\nContent-Length: 5\r\n\r\nhello", "hello", 599, false},
	} {
		fl := newFleet(t, func(_ *received, co net.Conn) bool {
			_, _ = io.WriteString(co, tc.text)
			return !tc.closes
		}).configure(route.Route{Kind: route.OnceOnly})
		rs, body, err := fl.send(tc.method, "/r/x", "")
		if err != nil || rs.StatusCode != tc.status || body != tc.body {
			t.Errorf("%s: %q, error %v", name, body, err)
		}
	}
}

// Guards against streams that end as complete, or with bytes that are no events of theirs, because the answer by which
// they continue is not HTTP.
func TestInvalidAnswersDoNotContinueStreams(t *testing.T) {
	for name, text := range invalidAnswers {
		script := func(se *received, co net.Conn) bool {
			if se.request.Header.Get("Last-Event-Id") == "3" {
				_, _ = io.WriteString(co, text)
			} else {
				byChunks.write(se, co, http.StatusOK, eventStream, eventText(1, 3), true)
			}
			return false
		}
		fl := newFleet(t, script, script).configure(resumable)
		rs, body, err := fl.send("POST", "/r/x", "0123456789")
		if rs == nil || err == nil || body != eventText(1, 3) {
			t.Errorf("%s: got %q, error %v", name, body, err)
		}
		if got := len(fl.requests()); got != 2 {
			t.Errorf("%s: %d requests reached endpoints, want 2", name, got)
		}
	}
}
