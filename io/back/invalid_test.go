package back_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/io/back"
	"almondrill/io/fakes/local"
)

// invalidAnswers are not HTTP.
var invalidAnswers = map[string]string{
	"status 000":                "HTTP/1.1 000 X\r\nContent-Length: 5\r\n\r\nhello",
	"status 000 without a body": "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
	"status 042":                "HTTP/1.1 042 X\r\nContent-Length: 5\r\n\r\nhello",
	"status 101":                "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\nhello",
	"status 600":                "HTTP/1.1 600 X\r\nContent-Length: 5\r\n\r\nhello",
	"version 2.0":               "HTTP/2.0 200 OK\r\nContent-Length: 5\r\n\r\nhello",
	"control byte, reason":      "HTTP/1.1 200 O\x01K\r\nContent-Length: 5\r\n\r\nhello",
	"blank in a name":           "HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 5\r\n\r\nhello",
	"blank, no body":            "HTTP/1.1 200 OK\r\nX A: 1\r\nContent-Length: 0\r\n\r\n",
	"blank after a length":      "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nhello",
	"blank after an encoding":   "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"control byte in a name":    "HTTP/1.1 200 OK\r\nX\x01A: 1\r\nContent-Length: 5\r\n\r\nhello",
	"no name":                   "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 5\r\n\r\nhello",
	"control byte in a value":   "HTTP/1.1 200 OK\r\nX-A: \x01\r\nContent-Length: 5\r\n\r\nhello",
	"blank in an interim head":  "HTTP/1.1 103 X\r\nX A: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
	"blank in a trailer":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX A: 1\r\n\r\n",
	"chunks in HTTP/1.0":        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"interim, then such chunks": "HTTP/1.1 103 X\r\n\r\nHTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
	"blank in a failure":        "HTTP/1.1 429 X\r\nX A: 1\r\nContent-Length: 5\r\n\r\nhello",
}

// Guards against answers that are not HTTP and that agents pass on as answers, or as a statement that the request did
// not run, and against connections that are used again after them.
func TestInvalidAnswersAreRefused(t *testing.T) {
	for name, text := range invalidAnswers {
		for _, mayRepeat := range []bool{false, true} {
			closed := make(chan bool, 10)
			url := "http://" + local.Serve(t, func(co *net.TCPConn) {
				rd := bufio.NewReader(co)
				rq, err := http.ReadRequest(rd)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, rq.Body)
				_, _ = io.WriteString(co, text)
				_ = co.SetReadDeadline(time.Now().Add(3 * time.Second))
				_, err = rd.ReadByte()
				closed <- err == io.EOF
			})
			ep := &back.Endpoint{ID: "service", URL: url}
			ca := &core.Call{Method: http.MethodPost, Path: "/", Body: []byte("0123456789"), MayRepeat: mayRepeat}
			pa := &parts{}
			_, err := ep.Do(context.Background(), ca, pa)
			if err == nil || core.AsRefusal(err, "", "").Outcome == core.NotRun || pa.end {
				t.Errorf("%s, may repeat %t: %q, end %t, error %v", name, mayRepeat, pa.text, pa.end, err)
			}
			if !<-closed {
				t.Errorf("%s, may repeat %t: the connection is used again or stays open", name, mayRepeat)
			}
		}
	}
}

// Guards against proper answers that are refused because they are unusual.
func TestUnusualAnswersAreForwarded(t *testing.T) {
	for name, tc := range map[string]struct {
		method, text, body string
		status             int
	}{
		"204":                      {"POST", "HTTP/1.1 204 No Content\r\n\r\n", "", 204},
		"304":                      {"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", "", 304},
		"HEAD":                     {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", "", 200},
		"interim":                  {"POST", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "hello", 200},
		"folded":                   {"POST", "HTTP/1.1 200 OK\r\nX-A: a\r\n b: c\r\nContent-Length: 5\r\n\r\nhello", "hello", 200},
		"HTTP/1.0 with a length":   {"POST", "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello", "hello", 200},
		"HTTP/1.0 without framing": {"POST", "HTTP/1.0 200 OK\r\n\r\nhello", "hello", 200},
		"no framing":               {"POST", "HTTP/1.1 200 OK\r\n\r\nhello", "hello", 200},
		"trailer":                  {"POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X-A\r\n\r\n5\r\nhello\r\n0\r\nX-A: 1\r\n\r\n", "hello", 200},
	} {
		url := "http://" + local.Respond(t, tc.text)
		pa := &parts{}
		_, err := (&back.Endpoint{ID: "service", URL: url}).Do(context.Background(), &core.Call{Method: tc.method, Path: "/"}, pa)
		if got := fmt.Sprint(pa.status, pa.text, pa.end, err); got != fmt.Sprint(tc.status, tc.body, true, nil) {
			t.Errorf("%s: %s", name, got)
		}
	}
}

// Guards against an endpoint that holds a call, and memory for it, by interim responses without end.
func TestEndlessInterimResponsesEnd(t *testing.T) {
	url := "http://" + local.Serve(t, func(co *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(co)); err != nil {
			return
		}
		for err := error(nil); err == nil; {
			_, err = io.WriteString(co, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := (&back.Endpoint{ID: "service", URL: url}).Do(ctx, &core.Call{Method: http.MethodGet, Path: "/"}, &parts{})
	if re := core.AsRefusal(err, "", ""); re.Outcome != core.Unknown || ctx.Err() != nil {
		t.Errorf("%v", err)
	}
}
