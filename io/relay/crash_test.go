package relay_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/route"
)

// fakeCrashWatch keeps what a relay tells, and refuses after some asks.
type fakeCrashWatch struct {
	mu         sync.Mutex // guards all below
	allowed    int
	retryAfter time.Duration
	broken     []core.EndpointID
	refused    []core.EndpointID
	ended      []core.Fingerprint
}

func (bl *fakeCrashWatch) Allowed(context.Context, core.Fingerprint) (bool, time.Duration) {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	bl.allowed--
	return bl.allowed >= 0, bl.retryAfter
}

func (bl *fakeCrashWatch) Succeeded(fp core.Fingerprint) {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	bl.ended = append(bl.ended, fp)
}

func (bl *fakeCrashWatch) Interrupted(en core.EndpointRef, _ time.Time, _ core.Fingerprint) {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	bl.broken = append(bl.broken, en.ID)
}

func (bl *fakeCrashWatch) ConnRefused(en core.EndpointRef) {
	bl.mu.Lock()
	defer bl.mu.Unlock()
	bl.refused = append(bl.refused, en.ID)
}

func (*fakeCrashWatch) Crashed(uint64, core.Fingerprint) {}

func crashing(*received, net.Conn) bool { return false }

// A request that crashed endpoints comes again. It is answered at once, with the promise that
// it did not run and the time after which it may be tried, and no endpoint gets it. A caller
// that returned sooner would be refused for nothing.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	fl := newFleet(t, respond(200, "x")).configure(route.Route{Kind: route.OnceOnly})
	fl.re.Crashes = &fakeCrashWatch{retryAfter: 20 * time.Second}
	for range 20 {
		rs, body, err := fl.send("POST", "/r/x", "b")
		fl.expect(rs, err, http.StatusServiceUnavailable, 0)
		after, perr := strconv.ParseFloat(rs.Header.Get("Retry-After"), 64)
		if perr != nil || after < 20 || after > 28 {
			t.Errorf("Retry-After %q, want 20 to 28 s; %s", rs.Header.Get("Retry-After"), body)
		}
	}
	if got := fl.re.Stats.Refusals(core.ReasonQuarantined); got != 20 {
		t.Errorf("%d refusals are counted, want 20", got)
	}
}

// A lookup crashes its endpoint and is quarantined by that. It is not sent to the next, though
// lookups may be repeated, and the caller is not told that it did not run.
func TestQuarantineAppliesBetweenAttempts(t *testing.T) {
	fl := newFleet(t, crashing, crashing).configure(route.Route{Kind: route.Idempotent, MaxAttempts: 2})
	bl := &fakeCrashWatch{allowed: 1}
	fl.re.Crashes = bl
	rs, _, err := fl.send("GET", "/r/x", "")
	fl.expect(rs, err, http.StatusBadGateway, 1)
	if len(bl.broken) != 1 || len(bl.ended) != 0 {
		t.Errorf("%d attempts are told to have broken off, %d to have ended", len(bl.broken), len(bl.ended))
	}
}

// What a request ran to clears it, or not: a whole answer does. An endpoint's own failure tells
// nothing, as endpoints fail requests that they have hardly begun, and a refusal or a connection
// that breaks off do not either.
func TestOutcomesReportedToCrashWatch(t *testing.T) {
	for _, tc := range []struct {
		name          string
		script        script
		status        int
		ended, broken int
	}{
		{"whole", respond(200, "x"), http.StatusOK, 1, 0},
		{"failed", respond(500, "x"), http.StatusInternalServerError, 0, 0},
		{"refused", respondWith(func(se *received) string {
			return "HTTP/1.1 503 X\r\nX-Id: " + se.request.Header.Get("X-Id") + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
		}), http.StatusServiceUnavailable, 0, 0},
		{"crashed", crashing, http.StatusBadGateway, 0, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			fl := newFleet(t, tc.script).configure(route.Route{Kind: route.OnceOnly})
			bl := &fakeCrashWatch{allowed: 9}
			fl.re.Crashes = bl
			rs, _, err := fl.send("POST", "/r/x", "b")
			fl.expect(rs, err, tc.status, 1)
			bl.mu.Lock()
			defer bl.mu.Unlock()
			if len(bl.ended) != tc.ended || len(bl.broken) != tc.broken || len(bl.refused) != 0 {
				t.Errorf("%d ended, %d broke, %d refused; want %d, %d, 0", len(bl.ended), len(bl.broken), len(bl.refused), tc.ended, tc.broken)
			}
		})
	}
}

// An endpoint answers a failure that is too long to be kept, and it is passed on as it comes. The
// caller gets all of it: a fault after its end would cut the connection, so that the answer
// looks broken off.
func TestLongFailureIsForwardedWhole(t *testing.T) {
	long := strings.Repeat("x", 3<<20)
	fl := newFleet(t, respond(500, long)).configure(route.Route{Kind: route.OnceOnly})
	bl := &fakeCrashWatch{allowed: 9}
	fl.re.Crashes = bl
	rs, body, err := fl.send("POST", "/r/x", "b")
	fl.expect(rs, err, http.StatusInternalServerError, 1)
	if len(body) != len(long) {
		t.Errorf("%d bytes came, want %d", len(body), len(long))
	}
	bl.mu.Lock()
	defer bl.mu.Unlock()
	if len(bl.ended)+len(bl.broken) > 0 {
		t.Errorf("told as %d ends and %d that broke off", len(bl.ended), len(bl.broken))
	}
	if got := fl.faults.Load(); got != 0 {
		t.Errorf("%d faults while it was served", got)
	}
}
