package stats_test

import (
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/io/stats"
)

// servedText returns the values that a Set's TextHandler serves, by name and label.
func servedText(st *stats.Set) map[string]string {
	rec := httptest.NewRecorder()
	st.TextHandler().ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	lines := map[string]string{}
	for _, line := range strings.Split(strings.TrimSpace(rec.Body.String()), "\n") {
		name, value, _ := strings.Cut(line, " ")
		lines[name] = value
	}
	return lines
}

func TestTextHasCountersAndReasons(t *testing.T) {
	st, la := stats.New(), &stats.Latencies{}
	la.Publish(st)
	st.Add(stats.Requests, 3)
	st.CountRefusal(core.ReasonLoadCap)
	st.CountRetry(core.ReasonCutShort)
	st.SetFunc(stats.PeersLive, func() int64 { return 5 })
	lines := servedText(st)
	for name, want := range map[string]string{
		"Requests": "3", "PeersLive": "5", `Refusals{Reason="LoadCap"}`: "1", `Refusals{Reason="Deadline"}`: "0",
		`Retries{Reason="CutShort"}`: "1", "FirstMsP95": "0",
	} {
		if lines[name] != want {
			t.Errorf("%s is %q, want %s", name, lines[name], want)
		}
	}
}

// Buckets are cumulative: each counts all latencies up to its bound.
func TestTextHasLatencyBuckets(t *testing.T) {
	st, la := stats.New(), &stats.Latencies{}
	la.Publish(st)
	for _, ms := range []int{5, 90, 120, 120, 450, 30_000} {
		la.Record(stats.FirstMs, time.Duration(ms)*time.Millisecond)
	}
	lines := servedText(st)
	for bound, want := range map[string]string{"10": "1", "50": "1", "100": "2", "150": "4", "400": "4", "600": "5", "10000": "5", "+Inf": "6"} {
		if got := lines[`FirstMs_bucket{le="`+bound+`"}`]; got != want {
			t.Errorf("bucket up to %s ms: %q, want %s", bound, got, want)
		}
	}
	if lines["FirstMs_count"] != "6" || lines[`GapMs_bucket{le="10"}`] != "" {
		t.Errorf("FirstMs_count %q, want 6; bucket of a latency never recorded: %q, want none", lines["FirstMs_count"], lines[`GapMs_bucket{le="10"}`])
	}
}
