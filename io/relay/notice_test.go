package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"almondrill/core"
	"almondrill/core/place"
)

// respondWithHeader responds with an additional header.
func respondWithHeader(status int, body, name, value string) script {
	return respondWith(func(se *received) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Id: %s\r\nX-Stamp: s%d\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
			status, se.request.Header.Get("X-Id"), se.endpoint, name, value, len(body), body)
	})
}

// Guards against notices that do not show in the log and the counters.
func TestNoticesAreLogged(t *testing.T) {
	fl := newFleet(t, respondWithHeader(200, "ok", "X-Leaving", "1")).configure(onceOnly)
	logged, lines := observer.New(zapcore.InfoLevel)
	fl.re.Log = zap.New(logged)
	rs, _, err := fl.send("POST", "/r/x", "hello")
	fl.expect(rs, err, http.StatusOK, 1)
	served := lines.FilterMessage("Served.").All()
	if len(served) != 1 || served[0].ContextMap()["EndpointLeaves"] != true {
		t.Errorf("%v", served)
	}
	if got := fl.re.Stats.Value("LeavingNotices"); got != 1 {
		t.Errorf("LeavingNotices is %d, want 1", got)
	}
}

// Guards against requests that are sent to an endpoint after it announced its shutdown, in any kind of
// response: whether the endpoint was chosen before or after that, and also after its registration was
// renewed, or expired and was registered again.
func TestDrainingEndpointGetsNoNewRequests(t *testing.T) {
	for name, ca := range map[string]struct {
		response string
		change   func(fl *fleet)
	}{
		"success": {drainingReply(200, ""), func(*fleet) {}},
		"failure": {drainingReply(500, ""), func(*fleet) {}},
		"refusal": {drainingReply(503, "X-Not-Run: 1\r\n"), func(*fleet) {}},
		"renewed": {drainingReply(200, ""), func(fl *fleet) { fl.register(0) }},
		"back": {drainingReply(200, ""), func(fl *fleet) {
			fl.re.Placer.Remove("e0")
			fl.register(0)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			fl := newFleet(t, respondWith(func(se *received) string { return fmt.Sprintf(ca.response, se.request.Header.Get("X-Id")) })).configure(onceOnly)
			fl.addrs = append(fl.addrs, fl.startEndpoint(1, respond(200, "other")))
			_, _, err := fl.send("POST", "/r/x", "hello")
			if err != nil {
				t.Fatal(err)
			}
			ca.change(fl)
			fl.register(1)
			for range 20 {
				if rs, body, err := fl.send("POST", "/r/x", "hello"); err != nil || rs.StatusCode != 200 || body != "other" {
					t.Fatalf("%v, %q, %v", rs, body, err)
				}
			}
		})
	}
	t.Run("chosen before", func(t *testing.T) {
		fl := newFleet(t, respondWith(func(se *received) string { return fmt.Sprintf(drainingReply(200, ""), se.request.Header.Get("X-Id")) })).configure(onceOnly)
		fl.addrs = append(fl.addrs, fl.startEndpoint(1, respond(200, "other")))
		first := true
		fl.beforeSending(func() {
			if !first {
				return
			}
			first = false
			_, _, err := fl.send("POST", "/r/x", "hello")
			if err != nil {
				t.Error(err)
			}
			fl.register(1)
		})
		rs, body, err := fl.send("POST", "/r/x", "hello")
		fl.expect(rs, err, 200, 2)
		if body != "other" {
			t.Errorf("%q", body)
		}
	})
}

// drainingReply returns a format of a response that announces a shutdown, with a verb for the
// request's id.
func drainingReply(status int, more string) string {
	return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Id: %%s\r\nX-Stamp: s\r\nX-Leaving: 1\r\n%sContent-Length: 0\r\n\r\n", status, more)
}

// register registers an endpoint that is ready.
func (fl *fleet) register(ix int) {
	fl.re.Placer.Register(time.Now(), place.Endpoint{
		ID: core.EndpointID(fmt.Sprint("e", ix)), Addr: fl.addrs[ix], Pool: "pool", Zone: "a", Slots: 8,
	})
}

// Guards against reporting a draining endpoint to the other routers with each of its responses,
// instead of once.
func TestDrainingEndpointIsReportedOnce(t *testing.T) {
	const calls = 4
	fc := &fakeCounts{}
	var fl *fleet
	fl = newFleet(t, func(se *received, co net.Conn) bool {
		for len(fl.requests()) < calls {
			time.Sleep(time.Millisecond)
		}
		return respondWithHeader(200, "ok", "X-Leaving", "1")(se, co)
	}).configure(onceOnly)
	fl.re.Counts = fc
	var all sync.WaitGroup
	for range calls {
		all.Go(func() {
			if rs, _, err := fl.send("POST", "/r/x", "hello"); err != nil || rs.StatusCode != http.StatusOK {
				t.Errorf("%v, %v", rs, err)
			}
		})
	}
	all.Wait()
	if got := fc.drainingReports(); got != 1 {
		t.Errorf("the endpoint was reported %d times, want once", got)
	}
}

func (fc *fakeCounts) drainingReports() int {
	fc.mu.Lock()
	defer fc.mu.Unlock()
	return len(fc.draining)
}

// refuseWithBackoff refuses requests as not run, and asks for a backoff.
func refuseWithBackoff(backoff time.Duration) script {
	return respondWith(func(se *received) string {
		return fmt.Sprintf("HTTP/1.1 503 X\r\nX-Id: %s\r\nX-Not-Run: 1\r\nX-Backoff: %s\r\nContent-Length: 0\r\n\r\n",
			se.request.Header.Get("X-Id"), backoff)
	})
}

// Guards against requests to an endpoint within the backoff that it asked for: as the one with the
// fewest calls, it would get most requests, and refuse them all.
func TestBackoffIsRespected(t *testing.T) {
	const backoff = 600 * time.Millisecond
	fl := newFleet(t, refuseWithBackoff(backoff)).configure(onceOnly)
	fl.addrs = append(fl.addrs, fl.startEndpoint(1, respond(200, "other")))
	rs, _, err := fl.send("POST", "/r/x", "hello")
	fl.expect(rs, err, http.StatusServiceUnavailable, 1)
	asked := time.Now()
	fl.register(1)
	for time.Since(asked) < backoff-100*time.Millisecond {
		if rs, body, err := fl.send("POST", "/r/x", "hello"); err != nil || rs.StatusCode != 200 || body != "other" {
			t.Fatalf("after %s: %v, %q, %v", time.Since(asked), rs, body, err)
		}
		time.Sleep(10 * time.Millisecond)
	}
	if got := fl.requestsTo(0); got != 1 {
		t.Errorf("%d requests reached the endpoint, want only the first", got)
	}
	time.Sleep(backoff - time.Since(asked) + 50*time.Millisecond)
	for range 40 {
		_, _, _ = fl.send("POST", "/r/x", "hello")
	}
	if fl.requestsTo(0) == 1 {
		t.Error("the endpoint gets no requests after its backoff")
	}
}

// Guards against a request that is sent to an endpoint that asked for a backoff after it was chosen.
func TestRequestIsNotSentToEndpointInBackoff(t *testing.T) {
	fl := newFleet(t, refuseWithBackoff(10*time.Second)).configure(onceOnly)
	fl.addrs = append(fl.addrs, fl.startEndpoint(1, respond(200, "other")))
	first := true
	fl.beforeSending(func() {
		if !first {
			return
		}
		first = false
		if _, _, err := fl.send("POST", "/r/x", "hello"); err != nil {
			t.Error(err)
		}
		fl.register(1)
	})
	rs, body, err := fl.send("POST", "/r/x", "hello")
	fl.expect(rs, err, http.StatusOK, 2)
	if body != "other" {
		t.Errorf("%q", body)
	}
}

// Guards against callers that wait, or get too short a Retry-After, when all endpoints of a pool are
// in backoff: they must be refused at once until the first backoff ends.
func TestAllEndpointsInBackoff(t *testing.T) {
	fl := newFleet(t, refuseWithBackoff(3*time.Second), refuseWithBackoff(5*time.Second)).configure(onceOnly)
	for fl.requestsTo(0) == 0 || fl.requestsTo(1) == 0 {
		_, _, _ = fl.send("POST", "/r/x", "hello")
	}
	before := len(fl.requests())
	for range 20 {
		began := time.Now()
		rs, body, err := fl.send("POST", "/r/x", "hello")
		fl.expect(rs, err, http.StatusServiceUnavailable, before)
		after, _ := strconv.ParseFloat(rs.Header.Get("Retry-After"), 64)
		if after < 2 || after > 5 || time.Since(began) > time.Second {
			t.Errorf("refused after %s with Retry-After %g s: %s", time.Since(began), after, body)
		}
	}
}

// requestsTo returns the number of requests that reached an endpoint.
func (fl *fleet) requestsTo(ix int) int {
	count := 0
	for _, se := range fl.requests() {
		if se.endpoint == ix {
			count++
		}
	}
	return count
}
