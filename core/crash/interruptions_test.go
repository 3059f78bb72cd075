package crash_test

import (
	"fmt"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/crash"
)

const endpoint uint64 = 7

var (
	start  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	first  = core.Fingerprint{1}
	second = core.Fingerprint{2}
)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func newAttempt(fp core.Fingerprint, startedMs int) crash.Attempt {
	return crash.Attempt{Endpoint: endpoint, Request: fp, StartedAt: after(startedMs)}
}

// Guards against requests that are missed, or wrongly suspected, at a crash: those interrupted before
// the first refused connection were running, and so was one whose interruption is read a moment
// later. A request sent afterwards to the restarted endpoint was not.
func TestAttemptsRunningAtACrash(t *testing.T) {
	in := &crash.Interruptions{}
	if in.Add(after(100), newAttempt(first, 0)) || in.Add(after(101), newAttempt(second, 50)) {
		t.Error("a crash was reported before there was evidence of it")
	}
	if !in.Pending(endpoint) {
		t.Error("no interrupted attempts are pending for the endpoint")
	}
	if got := in.EndpointGone(after(103), endpoint, crash.Refused); len(got) != 2 || got[0] != first || got[1] != second {
		t.Errorf("crashed: %v, want both", got)
	}
	if !in.Add(after(105), newAttempt(core.Fingerprint{3}, 90)) {
		t.Error("an attempt that ended with the endpoint is not reported as running at the crash")
	}
	if in.Add(after(900), newAttempt(first, 500)) {
		t.Error("an attempt at the restarted endpoint is attributed to the earlier crash")
	}
	if got := in.EndpointGone(after(905), endpoint, crash.Refused); len(got) != 1 || got[0] != first {
		t.Errorf("crashed again: %v, want the first", got)
	}
}

// Guards against suspecting a request whose response was lost 5 s before the endpoint crashed for
// another reason. Only an endpoint that stopped responding is replaced after such a time.
func TestInterruptionLongBeforeACrash(t *testing.T) {
	in := &crash.Interruptions{}
	in.Add(after(0), newAttempt(first, -50))
	if got := in.EndpointGone(after(5000), endpoint, crash.Refused); len(got) != 0 {
		t.Errorf("crashed: %v, want none", got)
	}
	in.Add(after(20000), newAttempt(first, 19000))
	if got := in.EndpointGone(after(25000), endpoint, crash.Replaced); len(got) != 1 {
		t.Errorf("crashed without refusing connections: %v, want the one", got)
	}
	in.Add(after(60000), newAttempt(first, 59000))
	if got := in.EndpointGone(after(71000), endpoint, crash.Replaced); len(got) != 0 {
		t.Errorf("crashed: %v, want none after so long", got)
	}
}

// Guards against suspecting a request that came after the crash: half of a pool crashes at once, and a
// request that was interrupted elsewhere is sent over a kept-alive connection to an endpoint that
// has just crashed too.
func TestRequestSentAfterTheCrashIsNotSuspected(t *testing.T) {
	in := &crash.Interruptions{}
	in.Add(after(100), newAttempt(first, 0))
	in.Add(after(102), newAttempt(second, 101))
	if got := in.EndpointGone(after(103), endpoint, crash.Refused); len(got) != 1 || got[0] != first {
		t.Errorf("crashed: %v, want the first", got)
	}
}

// Guards against attributing a crash to a response lost shortly before it: only the later request was
// running. When many responses are lost, every crash is preceded by such an interruption, which
// would be suspected while the cause goes on.
func TestInterruptionJustBeforeACrashIsUnrelated(t *testing.T) {
	in := &crash.Interruptions{}
	in.Add(after(0), newAttempt(first, -100))
	in.Add(after(600), newAttempt(second, 300))
	if got := in.EndpointGone(after(605), endpoint, crash.Refused); len(got) != 1 || got[0] != second {
		t.Errorf("crashed: %v, want the second", got)
	}
}

// The fingerprint depends on each field, not on the concatenation of the fields.
func TestFingerprintDistinguishesRequests(t *testing.T) {
	one := crash.Fingerprint("herb", "POST", "site.example", "/a/b?c", []byte("body"))
	if one != crash.Fingerprint("herb", "POST", "site.example", "/a/b?c", []byte("body")) {
		t.Error("the same request has two fingerprints")
	}
	for _, other := range []core.Fingerprint{
		crash.Fingerprint("her", "bPOST", "site.example", "/a/b?c", []byte("body")),
		crash.Fingerprint("herb", "GET", "site.example", "/a/b?c", []byte("body")),
		crash.Fingerprint("herb", "POST", "other.example", "/a/b?c", []byte("body")),
		crash.Fingerprint("herb", "POST", "site.example", "/a/b?", []byte("cbody")),
		crash.Fingerprint("herb", "POST", "site.example", "/a/b?c", []byte("body2")),
		crash.Fingerprint("", "POST", "site.example", "/a/b?c", []byte("body")),
	} {
		if other == one {
			t.Error("another request has the same fingerprint")
		}
	}
}

// BenchmarkFingerprint measures the cost for each request, by the length of its body.
func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 64 << 10, 1 << 20} {
		b.Run(fmt.Sprint("bytes=", size), func(b *testing.B) {
			body := make([]byte, size)
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				crash.Fingerprint("herb", "POST", "site.example", "/a/b", body)
			}
		})
	}
}
