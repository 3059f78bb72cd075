package gauge_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"almondrill/core/gauge"
)

// TestMain gives rapid a fixed seed, so that every run draws the same values; another one can be set
// with -rapid.seed.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	flag.Parse()
	os.Exit(m.Run())
}

var begin = time.Unix(1_700_000_000, 0)

// Guards against counting a call twice, which makes an endpoint look busy, or not at all, which lets it
// be overloaded. Reports and calls arrive in any order, some late: the count has to be the latest
// report plus the calls that began and ended after it.
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
				// Half a millisecond apart, so that no change coincides with a report.
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

// Guards against unbounded memory, and a huge count, when routers ask thousands of times for an
// endpoint that does not respond: its count has to become unknown.
func TestSilentEndpointIsUnknown(t *testing.T) {
	var ta gauge.Table
	ta.Report(begin, 1, 3)
	for ix := range 10_000 {
		ta.AddCall(begin.Add(time.Duration(ix)*time.Millisecond), 1)
	}
	if calls, known := ta.AddCall(begin.Add(10*time.Second), 1); known {
		t.Errorf("%d calls are returned for an endpoint that did not report for 10 s", calls)
	}
	ta.Report(begin.Add(10*time.Second), 1, 5)
	if calls, known := ta.AddCall(begin.Add(10*time.Second), 1); !known || calls != 5 {
		t.Errorf("%d calls are returned, known %v; want the 5 reported", calls, known)
	}
}

// Guards against two routers filling the same free slot: both ask for an endpoint before it reports
// anew, and the second has to see the first one's call.
func TestAddCallCountsTheCall(t *testing.T) {
	var ta gauge.Table
	ta.Report(begin, 1, 7)
	for want := 7; want < 10; want++ {
		if calls, known := ta.AddCall(begin.Add(time.Millisecond), 1); !known || calls != want {
			t.Errorf("%d calls are returned, known %v; want %d", calls, known, want)
		}
	}
	if _, known := ta.AddCall(begin, 2); known {
		t.Error("calls are returned for an endpoint that never reported")
	}
}

// Guards against unbounded memory as endpoints come and go for years.
func TestTableIsBounded(t *testing.T) {
	var ta gauge.Table
	for ix := range uint64(50_000) {
		ta.Report(begin.Add(time.Duration(ix)*time.Millisecond), ix, 1)
	}
	if kept := ta.Len(); kept > 4096 {
		t.Errorf("%d counts are kept, want at most 4096", kept)
	}
}

// Guards against a router that is cut off and makes all others treat every endpoint as unreachable. With
// the reports of two it is broadcast at once, and not again for each request that fails.
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
		{2000, "b", false}, // the first report is too old
		{2010, "a", true},  // two within a second
		{2020, "b", false}, // broadcast a moment ago
		{2600, "a", true},  // still unreachable
		{2610, "c", false}, // broadcast a moment ago
		{9000, "c", false}, // the earlier reports are too old
		{9001, "c", false}, // the same router again
		{9002, "bb", true}, // unreachable again
	} {
		if got := ta.ReportUnreachable(at(step.ms), 1, step.from); got != step.want {
			t.Errorf("step %d, %s after %d ms: broadcast %v, want %v", ix, step.from, step.ms, got, step.want)
		}
	}
}
