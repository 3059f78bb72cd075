package blame_test

import (
	"fmt"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/blame"
)

const endpoint uint64 = 7

var (
	start  = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	first  = core.Fingerprint{1}
	second = core.Fingerprint{2}
)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func run(fp core.Fingerprint, beganMs int) blame.Run {
	return blame.Run{Endpoint: endpoint, Request: fp, Began: after(beganMs)}
}

// Two requests break off at an endpoint, and the next connection is refused: both were
// running there when it crashed, and so was a third whose end is read a moment later. One
// that is sent afterwards, to the endpoint that is back, was not.
func TestWhatRanWhenTheEndpointCrashed(t *testing.T) {
	br := &blame.Breaks{}
	if br.Broke(after(100), run(first, 0)) || br.Broke(after(101), run(second, 50)) {
		t.Error("a crash was known before anything told of it")
	}
	if !br.Waiting(endpoint) {
		t.Error("nothing waits to be told of the endpoint")
	}
	if got := br.Gone(after(103), endpoint, blame.Refused); len(got) != 2 || got[0] != first || got[1] != second {
		t.Errorf("crashed: %v, want both", got)
	}
	if !br.Broke(after(105), run(core.Fingerprint{3}, 90)) {
		t.Error("an attempt that ended with the endpoint is not known to have run")
	}
	if br.Broke(after(900), run(first, 500)) {
		t.Error("an attempt at the endpoint that is back counts for its end before")
	}
	if got := br.Gone(after(905), endpoint, blame.Refused); len(got) != 1 || got[0] != first {
		t.Errorf("crashed again: %v, want the first", got)
	}
}

// An answer is lost, and five seconds later the endpoint crashes for another reason: what
// broke off then was not running. If the endpoint had gone silent, it would be replaced
// after such a time.
func TestBreakLongBeforeACrash(t *testing.T) {
	br := &blame.Breaks{}
	br.Broke(after(0), run(first, -50))
	if got := br.Gone(after(5000), endpoint, blame.Refused); len(got) != 0 {
		t.Errorf("crashed: %v, want none", got)
	}
	br.Broke(after(20000), run(first, 19000))
	if got := br.Gone(after(25000), endpoint, blame.Replaced); len(got) != 1 {
		t.Errorf("crashed in silence: %v, want the one", got)
	}
	br.Broke(after(60000), run(first, 59000))
	if got := br.Gone(after(71000), endpoint, blame.Replaced); len(got) != 0 {
		t.Errorf("crashed: %v, want none after so long", got)
	}
}

// Half of a pool crashes in one moment. A request that broke off elsewhere is sent, on a kept
// connection, to an endpoint that has just crashed too: it was not running there.
func TestRequestThatCameAfterTheCrashDidNotRun(t *testing.T) {
	br := &blame.Breaks{}
	br.Broke(after(100), run(first, 0))
	br.Broke(after(102), run(second, 101))
	if got := br.Gone(after(103), endpoint, blame.Refused); len(got) != 1 || got[0] != first {
		t.Errorf("crashed: %v, want the first", got)
	}
}

// An answer is lost at an endpoint that lives on, and a moment later a request crashes it: only
// that one was running. On a day of lost answers every crash has such a break before it, and
// would be laid to it while the cause goes on.
func TestBreakJustBeforeACrashIsApart(t *testing.T) {
	br := &blame.Breaks{}
	br.Broke(after(0), run(first, -100))
	br.Broke(after(600), run(second, 300))
	if got := br.Gone(after(605), endpoint, blame.Refused); len(got) != 1 || got[0] != second {
		t.Errorf("crashed: %v, want the second", got)
	}
}

// The fingerprint of a request is that of what it asks, not of how its fields run together.
func TestFingerprintTellsRequestsApart(t *testing.T) {
	one := blame.Fingerprint("herb", "POST", "site.example", "/a/b?c", []byte("body"))
	if one != blame.Fingerprint("herb", "POST", "site.example", "/a/b?c", []byte("body")) {
		t.Error("the same request has two fingerprints")
	}
	for _, other := range []core.Fingerprint{
		blame.Fingerprint("her", "bPOST", "site.example", "/a/b?c", []byte("body")),
		blame.Fingerprint("herb", "GET", "site.example", "/a/b?c", []byte("body")),
		blame.Fingerprint("herb", "POST", "other.example", "/a/b?c", []byte("body")),
		blame.Fingerprint("herb", "POST", "site.example", "/a/b?", []byte("cbody")),
		blame.Fingerprint("herb", "POST", "site.example", "/a/b?c", []byte("body2")),
		blame.Fingerprint("", "POST", "site.example", "/a/b?c", []byte("body")),
	} {
		if other == one {
			t.Error("another request has the same fingerprint")
		}
	}
}

// BenchmarkFingerprint is what each request pays, by the length of its body.
func BenchmarkFingerprint(b *testing.B) {
	for _, size := range []int{0, 1 << 10, 64 << 10, 1 << 20} {
		b.Run(fmt.Sprint("bytes=", size), func(b *testing.B) {
			body := make([]byte, size)
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				blame.Fingerprint("herb", "POST", "site.example", "/a/b", body)
			}
		})
	}
}
