package back_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/io/back"
	"almondrill/io/fakes/local"
)

// Guards against a part of an answer that agents pass on as whole because its upload was reset while it was written,
// and against whole ones that they refuse because the endpoint has taken the upload only afterwards.
func TestUnframedAnswerIsWholeOnlyAfterItsUpload(t *testing.T) {
	const head, body = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", 5000
	for _, end := range []struct {
		name  string
		whole bool
		serve func(co *net.TCPConn, upload io.Reader)
	}{
		{"reset at once", false, func(co *net.TCPConn, _ io.Reader) { _ = co.SetLinger(0) }},
		{"reset", false, func(co *net.TCPConn, _ io.Reader) {
			time.Sleep(5 * time.Millisecond)
			_ = co.SetLinger(0)
		}},
		{"reset inside the upload", false, func(co *net.TCPConn, upload io.Reader) {
			_, _ = io.CopyN(io.Discard, upload, 500<<10)
			_ = co.SetLinger(0)
		}},
		{"closed at once", false, func(*net.TCPConn, io.Reader) {}},
		{"half-closed, then closed", false, func(co *net.TCPConn, _ io.Reader) {
			_ = co.CloseWrite()
			time.Sleep(5 * time.Millisecond)
		}},
		{"half-closed, upload read on", true, func(co *net.TCPConn, upload io.Reader) {
			_ = co.CloseWrite()
			time.Sleep(5 * time.Millisecond)
			_, _ = io.Copy(io.Discard, upload)
		}},
		{"upload read", true, func(_ *net.TCPConn, upload io.Reader) { _, _ = io.Copy(io.Discard, upload) }},
	} {
		for _, mayRepeat := range []bool{false, true} {
			url := "http://" + local.Serve(t, func(co *net.TCPConn) {
				rq, err := http.ReadRequest(bufio.NewReader(co))
				if err != nil {
					return
				}
				_, _ = io.WriteString(co, head+strings.Repeat("x", body))
				end.serve(co, rq.Body)
			})
			for run := range 20 {
				ca := &core.Call{Method: http.MethodPost, Path: "/", Body: make([]byte, 1<<20), MayRepeat: mayRepeat}
				pa := &parts{}
				_, err := (&back.Endpoint{ID: "service", URL: url}).Do(context.Background(), ca, pa)
				name := fmt.Sprintf("%s, may repeat %t, run %d", end.name, mayRepeat, run)
				switch {
				case end.whole && (err != nil || !pa.end || len(pa.text) != body):
					t.Errorf("%s: %d bytes, end %t, error %v", name, len(pa.text), pa.end, err)
				case !end.whole && (err == nil || pa.end || core.AsRefusal(err, "", "").Outcome == core.NotRun):
					t.Errorf("%s: %d bytes as whole, end %t, error %v", name, len(pa.text), pa.end, err)
				}
			}
		}
	}
}

// Guards against an order that counts as not carried out because of a rejection that was broken off.
func TestRejectedOrderThatBreaksOffSaysNothing(t *testing.T) {
	for length, want := range map[int]core.Outcome{4: core.NotRun, 9: core.Unknown} {
		url := "http://" + local.Respond(t, fmt.Sprintf("HTTP/1.1 409 Conflict\r\nContent-Length: %d\r\n\r\nlate", length))
		err := (&back.Endpoint{ID: "engine", URL: url, Engine: true}).Order(context.Background(), &core.Order{})
		if re := core.AsRefusal(err, "", ""); re.Outcome != want {
			t.Errorf("length %d: %v, want %s", length, err, want)
		}
	}
}
