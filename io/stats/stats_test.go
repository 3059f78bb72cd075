package stats_test

import (
	"encoding/json"
	"flag"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/io/stats"
)

var update = flag.Bool("update", false, "write docs/operate/COUNTERS.md anew")

const page = "../../docs/operate/COUNTERS.md"

// The page of counters is up to date with the definitions, and explains every reason.
func TestCountersPageIsFresh(t *testing.T) {
	if *update {
		if err := os.WriteFile(page, []byte(stats.Markdown()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(page)
	if err != nil || string(text) != stats.Markdown() {
		t.Errorf("%s is stale; run: go test ./io/stats -update (%v)", page, err)
	}
	for _, re := range core.Reasons {
		if !strings.Contains(string(text), "| "+string(re)+" |") {
			t.Errorf("reason %s is not explained", re)
		}
	}
}

// servedVars returns the counters that a Set's Handler serves.
func servedVars(t *testing.T, st *stats.Set) map[string]any {
	t.Helper()
	rec := httptest.NewRecorder()
	st.Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/debug/vars", nil))
	var out struct{ Almondrill map[string]any }
	if err := json.Unmarshal(rec.Body.Bytes(), &out); err != nil {
		t.Fatal(err)
	}
	return out.Almondrill
}

// Every counter on the page is served from the start, so that a graph shows 0 instead of no data.
func TestEveryExplainedCounterIsServed(t *testing.T) {
	st, la := stats.New(), &stats.Latencies{}
	la.Publish(st)
	vars := servedVars(t, st)
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	_, others, _ := strings.Cut(string(text), "## Other counters")
	counted := 0
	for _, line := range strings.Split(others, "\n") {
		name, _, ok := strings.Cut(strings.TrimPrefix(line, "| "), " |")
		if !ok || name == "counter" || name == "latency" || strings.HasPrefix(line, "|-") {
			continue
		}
		counted++
		if strings.HasSuffix(name, "Ms") && vars[name] == nil {
			name += "P95"
		}
		if vars[name] == nil {
			t.Errorf("%s is explained on the page, but not served", name)
		}
	}
	if counted < 30 {
		t.Errorf("only %d counters were found on the page", counted)
	}
}

func TestLatencyQuantiles(t *testing.T) {
	st, la := stats.New(), &stats.Latencies{}
	la.Publish(st)
	for ms := range 100 {
		la.Record(stats.GapMs, time.Duration(ms+1)*time.Millisecond)
	}
	la.Record(stats.FirstMs, 2*time.Hour)
	if p50 := st.Value("GapMsP50"); p50 < 49 || p50 > 52 {
		t.Errorf("median %d, want 50", p50)
	}
	if longest := st.Value("FirstMsMax"); longest < 59_000 || longest > 61_000 {
		t.Errorf("maximum %d ms after recording two hours, want the largest recorded latency, 60,000 ms", longest)
	}
	if none := st.Value("FailedMsP99"); none != 0 {
		t.Errorf("%d ms, want 0, since no failure was recorded", none)
	}
}
