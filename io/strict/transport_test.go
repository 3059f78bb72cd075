package strict_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"almondrill/io/fakes/local"
	"almondrill/io/strict"
)

// pausing is a body that pauses before its last part.
type pausing struct{ part int }

func (pa *pausing) Read(buffer []byte) (int, error) {
	pa.part++
	switch pa.part {
	case 1:
		return copy(buffer, make([]byte, 16<<10)), nil
	case 2:
		time.Sleep(100 * time.Millisecond)
		return copy(buffer, "the end"), nil
	}
	return 0, io.EOF
}

// Guards against a whole answer that is refused because the endpoint ended it while the upload paused, and against a
// part of one that is taken for whole because the connection was reset then.
func TestAnswerThatEndsWhileItsUploadPauses(t *testing.T) {
	for _, reads := range []bool{true, false} {
		addr := local.Serve(t, func(co *net.TCPConn) {
			rq, err := http.ReadRequest(bufio.NewReader(co))
			if err != nil {
				return
			}
			_, _ = io.WriteString(co, "HTTP/1.1 200 OK\r\n\r\nhello")
			_ = co.CloseWrite()
			if reads {
				_, _ = io.Copy(io.Discard, rq.Body)
			}
		})
		client := &http.Client{Transport: &strict.Transport{Base: &http.Transport{
			DialContext: strict.WatchConns(new(net.Dialer).DialContext),
		}}}
		rs, err := client.Post("http://"+addr, "text/plain", &pausing{})
		var body []byte
		if err == nil {
			body, err = io.ReadAll(rs.Body)
			_ = rs.Body.Close()
		}
		if (err == nil) != reads || reads && string(body) != "hello" {
			t.Errorf("upload read %t: %q, error %v", reads, body, err)
		}
	}
}

// Guards against a call that outlasts its context because the endpoint has ended its answer and takes no more of the
// upload.
func TestUploadThatIsNotTakenEndsWithItsContext(t *testing.T) {
	release := make(chan struct{})
	defer close(release)
	addr := local.Serve(t, func(co *net.TCPConn) {
		if _, err := http.ReadRequest(bufio.NewReader(co)); err == nil {
			_, _ = io.WriteString(co, "HTTP/1.1 200 OK\r\n\r\nhello")
			_ = co.CloseWrite()
			<-release
		}
	})
	client := &http.Client{Transport: &strict.Transport{Base: &http.Transport{
		DialContext: strict.WatchConns(new(net.Dialer).DialContext),
	}}}
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr, bytes.NewReader(make([]byte, 32<<20)))
	if err != nil {
		t.Fatal(err)
	}
	began := time.Now()
	rs, err := client.Do(rq)
	if err == nil {
		_, err = io.ReadAll(rs.Body)
		_ = rs.Body.Close()
	}
	if err == nil || time.Since(began) > 2*time.Second {
		t.Errorf("error %v after %v", err, time.Since(began))
	}
}
