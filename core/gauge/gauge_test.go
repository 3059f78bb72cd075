package gauge_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"almondrill/core/gauge"
)

// TestMain gives rapid a fixed seed, so that every run draws the same; another is
// tried with -rapid.seed.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

var begin = time.Unix(1_700_000_000, 0)

// Figures and calls arrive in any order, late ones too. The count has to be the newest
// figure and what began and ended after it: a call counted twice makes an endpoint look
// busy, one left out lets it be overrun.
func TestCountIsTheLatestReportAndLaterChanges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type change struct {
			at time.Time
			by int
		}
		var co gauge.Count
		var changes []change
		var reported int
		var reportedAt time.Time
		now := begin
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(rt, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "said") {
				// Half a millisecond apart, so that no change is at the figure's own instant.
				late := time.Duration(rapid.IntRange(0, 300).Draw(rt, "late")) * time.Millisecond
				at := now.Add(-late - time.Millisecond/2)
				calls := rapid.IntRange(0, 50).Draw(rt, "calls")
				co.Update(calls, at)
				if at.After(reportedAt) {
					reported, reportedAt = calls, at
				}
			} else {
				by := rapid.SampledFrom([]int{-1, 1}).Draw(rt, "by")
				co.Add(now, by)
				changes = append(changes, change{now, by})
			}
			want := reported
			for _, ch := range changes {
				if ch.at.After(reportedAt) {
					want += ch.by
				}
			}
			got, known := co.Estimate(now)
			if wantKnown := !reportedAt.IsZero() && now.Sub(reportedAt) <= gauge.ReportTTL; known != wantKnown {
				rt.Fatalf("known is %v, want %v", known, wantKnown)
			}
			if known && got != max(0, want) {
				rt.Fatalf("the count is %d, want %d", got, max(0, want))
			}
		}
	})
}

// An endpoint is asked about thousands of times and says nothing, as it is silent. Its calls
// are kept within bounds, and the count is unknown rather than huge.
func TestSilentEndpointIsUnknown(t *testing.T) {
	var ta gauge.Table
	ta.Report(begin, 1, 3)
	for ix := range 10_000 {
		ta.AddCall(begin.Add(time.Duration(ix)*time.Millisecond), 1)
	}
	if calls, known := ta.AddCall(begin.Add(10*time.Second), 1); known {
		t.Errorf("%d calls are told of an endpoint that was silent for 10 s", calls)
	}
	ta.Report(begin.Add(10*time.Second), 1, 5)
	if calls, known := ta.AddCall(begin.Add(10*time.Second), 1); !known || calls != 5 {
		t.Errorf("%d calls are told, known %v; want the 5 that it said", calls, known)
	}
}

// Two routers ask about one endpoint before it says anything new. The second hears of the
// first one's call: both would fill the same gap else.
func TestAddCallCountsTheCall(t *testing.T) {
	var ta gauge.Table
	ta.Report(begin, 1, 7)
	for want := 7; want < 10; want++ {
		if calls, known := ta.AddCall(begin.Add(time.Millisecond), 1); !known || calls != want {
			t.Errorf("%d calls are told, known %v; want %d", calls, known, want)
		}
	}
	if _, known := ta.AddCall(begin, 2); known {
		t.Error("calls are told of an endpoint that never said anything")
	}
}

// A router keeps counts for years, of endpoints that come and go. What it keeps stays bounded.
func TestTableIsBounded(t *testing.T) {
	var ta gauge.Table
	for ix := range uint64(50_000) {
		ta.Report(begin.Add(time.Duration(ix)*time.Millisecond), ix, 1)
	}
	if kept := ta.Len(); kept > 4096 {
		t.Errorf("%d counts are kept, want at most 4096", kept)
	}
}

// One router is cut off and finds every endpoint down. All would go by it, if one were enough.
// Found down by two, it is told at once, and not for each request that fails.
func TestTwoReportsMakeAnEndpointUnreachable(t *testing.T) {
	var ta gauge.Table
	at := func(ms int) time.Time { return begin.Add(time.Duration(ms) * time.Millisecond) }
	for ix, step := range []struct {
		ms   int
		from string
		want bool
	}{
		{0, "a", false},
		{10, "a", false},   // the same router again
		{2000, "b", false}, // the first one's word is old
		{2010, "a", true},  // two within a second
		{2020, "b", false}, // told a moment ago
		{2600, "a", true},  // still down
		{2610, "c", false}, // told a moment ago
		{9000, "c", false}, // the words before are old
		{9001, "c", false}, // and this is the same router
		{9002, "bb", true}, // found anew
	} {
		if got := ta.ReportUnreachable(at(step.ms), 1, step.from); got != step.want {
			t.Errorf("step %d, %s after %d ms: told %v, want %v", ix, step.from, step.ms, got, step.want)
		}
	}
}
