package relay_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/place"
	"almondrill/core/route"
)

// newMemoryPool returns a router with an engine that has memory for one stream. The engine ends a
// stream when it receives from release.
func newMemoryPool(t *testing.T, release <-chan struct{}) *fleet {
	fl := newFleet(t, func(se *received, co net.Conn) bool {
		_, _ = io.WriteString(co, "HTTP/1.1 200 X\r\nX-Id: "+se.request.Header.Get("X-Id")+"\r\nX-Stamp: s\r\nConnection: close\r\n\r\nid: 1\ndata: x\n\n")
		<-release
		return false
	})
	fl.re.Dialect.Prompt = func(hd http.Header) []place.Part {
		return []place.Part{{Hash: uint64(len(hd.Get("X-Id"))), Tokens: 600}}
	}
	fl.re.Dialect.OutputLimit = func(hd http.Header) core.Tokens {
		limit, _ := strconv.Atoi(hd.Get("X-Limit"))
		return core.Tokens(limit)
	}
	return fl.configurePool(
		route.Route{Kind: route.Stream, Sticky: true, FirstByteGoal: 2 * time.Second},
		route.Pool{ID: "pool", Engine: true, CacheTokens: 1000},
	)
}

// sendInBackground sends a request and returns the channel of its status.
func (fl *fleet) sendInBackground(id string) <-chan int {
	status := make(chan int, 1)
	go func() {
		rs, _, err := fl.send(http.MethodPost, "/r/x", "", "X-Id", id, "X-Limit", "100")
		if err != nil {
			status <- 0
			return
		}
		status <- rs.StatusCode
	}()
	return status
}

func (fl *fleet) await(what string, done func() bool) {
	fl.t.Helper()
	for until := time.Now().Add(3 * time.Second); !done(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			fl.t.Fatal(what)
		}
	}
}

// Guards against streams that are preempted or refused while memory is about to be free: of two
// requests that wait, the first gets the memory when a stream ends, the second is refused after a
// quarter of its goal, and no engine has received it.
func TestRequestWaitsForMemory(t *testing.T) {
	release := make(chan struct{})
	fl := newMemoryPool(t, release)
	first := fl.sendInBackground("a")
	fl.await("the first stream runs", func() bool { return len(fl.requests()) == 1 })
	second := fl.sendInBackground("bb")
	fl.await("the second request waits", func() bool { return fl.re.Placer.MemoryWaits() == 1 })
	release <- struct{}{}
	fl.await("the second stream runs", func() bool { return len(fl.requests()) == 2 })
	began := time.Now()
	rs, body, err := fl.send(http.MethodPost, "/r/x", "", "X-Id", "ccc", "X-Limit", "100")
	fl.expect(rs, err, http.StatusServiceUnavailable, 2)
	if took := time.Since(began); took < 400*time.Millisecond || took > time.Second {
		t.Errorf("the third request is refused after %v, want a quarter of its goal", took)
	}
	if !strings.Contains(body, "MemoryFull") || !strings.Contains(body, "NotRun") || rs.Header.Get("Retry-After") == "" {
		t.Errorf("the third request: %s, Retry-After %q", body, rs.Header.Get("Retry-After"))
	}
	release <- struct{}{}
	if one, other := <-first, <-second; one != http.StatusOK || other != http.StatusOK {
		t.Errorf("the streams: %d, %d", one, other)
	}
}

// Guards against memory that is given to callers who have disconnected, and against a wait of a
// request that no engine can run.
func TestWaitForMemoryEndsWithItsCaller(t *testing.T) {
	release := make(chan struct{})
	fl := newMemoryPool(t, release)
	fl.sendInBackground("a")
	fl.await("the first stream runs", func() bool { return len(fl.requests()) == 1 })
	ctx, cancel := context.WithCancel(context.Background())
	rq, _ := http.NewRequestWithContext(ctx, http.MethodPost, fl.front.URL+"/r/x", nil)
	rq.Header = http.Header{"X-Key": {"k"}, "X-Id": {"bb"}, "X-Limit": {"100"}}
	go func() {
		if rs, err := http.DefaultTransport.RoundTrip(rq); err == nil {
			rs.Body.Close()
		}
	}()
	fl.await("the second request waits", func() bool { return fl.re.Placer.MemoryWaits() == 1 })
	cancel()
	fl.await("the wait ends", func() bool { return fl.re.Placer.MemoryWaits() == 0 })
	release <- struct{}{}
	rs, body, err := fl.send(http.MethodPost, "/r/x", "", "X-Id", "ccc", "X-Limit", "900")
	fl.expect(rs, err, http.StatusRequestEntityTooLarge, 1)
	if !strings.Contains(body, "NotRun") {
		t.Errorf("the large request: %s", body)
	}
}
