package relay_test

import (
	"context"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/crash"
	"almondrill/core/place"
	"almondrill/core/route"
)

// fakeCrashDetector records what a relay reports, and allows a number of sends.
type fakeCrashDetector struct {
	mu          sync.Mutex // guards all below
	allowed     int
	retryAfter  time.Duration
	interrupted []core.EndpointID
	refused     []core.EndpointID
	succeeded   []core.Fingerprint
	// parts are those reported with interruptions.
	parts []core.Fingerprint
}

func (cd *fakeCrashDetector) Blocked(...core.Fingerprint) (bool, time.Duration) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	return cd.allowed <= 0, cd.retryAfter
}

func (cd *fakeCrashDetector) Allowed(context.Context, ...core.Fingerprint) (bool, time.Duration) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	cd.allowed--
	return cd.allowed >= 0, cd.retryAfter
}

func (cd *fakeCrashDetector) Sending(core.EndpointRef, core.Fingerprint) {}

func (cd *fakeCrashDetector) Settle(context.Context, core.EndpointRef) {}

func (cd *fakeCrashDetector) Succeeded(fps ...core.Fingerprint) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	cd.succeeded = append(cd.succeeded, fps...)
}

func (cd *fakeCrashDetector) Interrupted(en core.EndpointRef, _ time.Time, _ core.Fingerprint, parts ...core.Fingerprint) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	cd.interrupted = append(cd.interrupted, en.ID)
	cd.parts = append(cd.parts, parts...)
}

func (cd *fakeCrashDetector) ConnRefused(en core.EndpointRef) {
	cd.mu.Lock()
	defer cd.mu.Unlock()
	cd.refused = append(cd.refused, en.ID)
}

func (*fakeCrashDetector) Crashed(uint64, core.Fingerprint) {}

func crashing(*received, net.Conn) bool { return false }

// A request that has crashed endpoints is sent again. It must be refused at once as not run, without
// reaching an endpoint, and Retry-After must not be shorter than the quarantine: an earlier retry
// would only be refused again.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	fl := newFleet(t, respond(200, "x")).configure(route.Route{Kind: route.OnceOnly})
	fl.re.Crashes = &fakeCrashDetector{retryAfter: 20 * time.Second}
	for range 20 {
		rs, body, err := fl.send("POST", "/r/x", "b")
		fl.expect(rs, err, http.StatusServiceUnavailable, 0)
		after, perr := strconv.ParseFloat(rs.Header.Get("Retry-After"), 64)
		if perr != nil || after < 20 || after > 28 {
			t.Errorf("Retry-After %q, want 20 to 28 s; %s", rs.Header.Get("Retry-After"), body)
		}
	}
	if got := fl.re.Stats.Refusals(core.ReasonQuarantined); got != 20 {
		t.Errorf("%d refusals counted, want 20", got)
	}
}

// An idempotent request crashes its endpoint and is quarantined for that. It must not be retried at
// another endpoint, and the caller must not be told that it did not run.
func TestQuarantineAppliesBetweenAttempts(t *testing.T) {
	fl := newFleet(t, crashing, crashing).configure(route.Route{Kind: route.Idempotent, MaxAttempts: 2})
	cd := &fakeCrashDetector{allowed: 1}
	fl.re.Crashes = cd
	rs, _, err := fl.send("GET", "/r/x", "")
	fl.expect(rs, err, http.StatusBadGateway, 1)
	if len(cd.interrupted) != 1 || len(cd.succeeded) != 0 {
		t.Errorf("%d attempts reported as interrupted, %d as succeeded; want 1, 0", len(cd.interrupted), len(cd.succeeded))
	}
}

// Only a complete success clears a request of suspicion. A failure response does not, since endpoints
// also fail requests that they have barely started, and neither does a refusal or a closed connection.
func TestOutcomesReportedToCrashDetector(t *testing.T) {
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
			cd := &fakeCrashDetector{allowed: 9}
			fl.re.Crashes = cd
			rs, _, err := fl.send("POST", "/r/x", "b")
			fl.expect(rs, err, tc.status, 1)
			cd.mu.Lock()
			defer cd.mu.Unlock()
			if len(cd.succeeded) != tc.ended || len(cd.interrupted) != tc.broken || len(cd.refused) != 0 {
				t.Errorf("%d succeeded, %d interrupted, %d refused; want %d, %d, 0", len(cd.succeeded), len(cd.interrupted), len(cd.refused), tc.ended, tc.broken)
			}
		})
	}
}

// An endpoint's failure response is too large to be buffered and is forwarded as it arrives. The
// caller must get all of it. A panic after its end would close the connection, so that the response
// would look truncated.
func TestLongFailureIsForwardedWhole(t *testing.T) {
	long := strings.Repeat("x", 3<<20)
	fl := newFleet(t, respond(500, long)).configure(route.Route{Kind: route.OnceOnly})
	cd := &fakeCrashDetector{allowed: 9}
	fl.re.Crashes = cd
	rs, body, err := fl.send("POST", "/r/x", "b")
	fl.expect(rs, err, http.StatusInternalServerError, 1)
	if len(body) != len(long) {
		t.Errorf("got %d bytes, want %d", len(body), len(long))
	}
	cd.mu.Lock()
	defer cd.mu.Unlock()
	if len(cd.succeeded)+len(cd.interrupted) > 0 {
		t.Errorf("%d attempts reported as succeeded, %d as interrupted; want none", len(cd.succeeded), len(cd.interrupted))
	}
	if got := fl.panics.Load(); got != 0 {
		t.Errorf("%d panics while it was served", got)
	}
}

// An engine breaks off an answer. The parts of its prompt must be suspected of a crash unless the answer had
// gone on, which clears them at once and not only at its end; the last part belongs to the request alone.
func TestPartsAreSuspectedUntilTheAnswerGoesOn(t *testing.T) {
	for events, wantSuspected := range map[int]int{0: 2, 1: 2, 2: 0, 5: 0} {
		fl := newFleet(t, func(se *received, co net.Conn) bool {
			writeEvents(se, co, 1, events)
			return false
		}).configure(route.Route{Kind: route.Stream, Sticky: true})
		fl.re.Dialect.Prompt = func(http.Header) []place.Part { return []place.Part{{Hash: 1}, {Hash: 2}, {Hash: 3}} }
		cd := &fakeCrashDetector{allowed: 9}
		fl.re.Crashes = cd
		_, _, _ = fl.send("POST", "/r/x", "b")
		cd.mu.Lock()
		if len(cd.interrupted) != 1 || len(cd.parts) != wantSuspected || len(cd.succeeded) != 2-wantSuspected {
			t.Errorf("%d events: %d interruptions with %d parts, %d cleared; want 1, %d, %d", events, len(cd.interrupted), len(cd.parts), len(cd.succeeded), wantSuspected, 2-wantSuspected)
		}
		cd.mu.Unlock()
	}
}

// Guards against a part that crashes engines and is never suspected because of where it stands in the prompt:
// each part but the last is, in prompts of any length.
func TestEachSharedPartIsSuspected(t *testing.T) {
	for _, count := range []int{2, 16, 17, 20, 100} {
		fl := newFleet(t, func(*received, net.Conn) bool { return false }).configure(route.Route{Kind: route.Stream, Sticky: true})
		fl.re.Dialect.Prompt = func(http.Header) []place.Part {
			parts := make([]place.Part, count)
			for ix := range parts {
				parts[ix] = place.Part{Hash: uint64(100 + ix), Content: uint64(1000 + ix)}
			}
			return parts
		}
		cd := &fakeCrashDetector{allowed: 9}
		fl.re.Crashes = cd
		_, _, _ = fl.send("POST", "/r/x", "b")
		cd.mu.Lock()
		for ix := range count - 1 {
			if !slices.Contains(cd.parts, crash.PartFingerprint(uint64(1000+ix))) {
				t.Errorf("part %d of %d is not suspected", ix+1, count)
			}
		}
		if len(cd.parts) != count-1 {
			t.Errorf("%d of %d parts are suspected", len(cd.parts), count)
		}
		cd.mu.Unlock()
	}
}

// The trial of a quarantined request is refused by an endpoint that is full. It must go on to another one: the
// next trial would come many seconds later, and until then a wrong quarantine would last.
func TestTrialThatDidNotRunIsSentOn(t *testing.T) {
	full := respondWith(func(se *received) string {
		return "HTTP/1.1 503 X\r\nX-Id: " + se.request.Header.Get("X-Id") + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	})
	fl := newFleet(t, full, full)
	fl.re.Crashes = &fakeCrashDetector{allowed: 1}
	fl.configure(route.Route{Kind: route.OnceOnly, MaxAttempts: 2})
	rs, _, err := fl.send("POST", "/r/x", "b")
	fl.expect(rs, err, http.StatusServiceUnavailable, 2)
	if refusals := fl.re.Stats.Refusals(core.ReasonQuarantined); refusals > 0 {
		t.Errorf("%d refusals as quarantined, want none", refusals)
	}
}
