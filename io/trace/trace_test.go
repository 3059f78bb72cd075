package trace_test

import (
	"strings"
	"testing"
	"time"

	"almondrill/io/trace"
)

// logs are those of two routers, as merged by a collector: prefixed, out of order, and with a line
// that is no log line.
const logs = `
x {"Level":"INFO","Time":"2026-01-31T15:04:06.000Z","Part":"view","Message":"Adopted a configuration.","VM":"one","Version":9}
x {"Level":"INFO","Time":"2026-01-31T15:04:05.000Z","Part":"view","Message":"Adopted a configuration.","VM":"one","Version":7}
panic: something else
x {"Level":"INFO","Time":"2026-01-31T15:04:05.100Z","Part":"view","Message":"Endpoint.","VM":"one","Endpoint":"e1","Draining":false}
x {"Level":"INFO","Time":"2026-01-31T15:04:05.150Z","Part":"view","Message":"Endpoint.","VM":"two","Endpoint":"e1","Draining":true}
x {"Level":"INFO","Time":"2026-01-31T15:04:05.200Z","Part":"feeds","Message":"Lost the store.","VM":"one","Age":1500}
x {"Level":"WARN","Time":"2026-01-31T15:04:05.500Z","Part":"relay","Message":"Refused.","VM":"one","Request":"abc","Endpoint":"e1","Peer":"e1","Reason":"CutShort","Age":1800}
x {"Level":"INFO","Time":"2026-01-31T15:04:05.600Z","Part":"relay","Message":"Served.","VM":"one","Request":"def","Endpoint":"e1"}
`

func readLogs(t *testing.T) []trace.Line {
	t.Helper()
	lines, skipped, err := trace.Read(strings.NewReader(logs))
	if err != nil {
		t.Fatal(err)
	}
	if len(lines) != 7 || skipped.NoLog != 2 {
		t.Fatalf("%d lines, %d skipped; want 7 and 2", len(lines), skipped.NoLog)
	}
	return lines
}

func messages(lines []trace.Line) string {
	var out []string
	for _, li := range lines {
		out = append(out, li.VM+" "+li.Message)
	}
	return strings.Join(out, "; ")
}

// The trace of a request shows the state that its router knew at the time, and neither what this
// router learned later nor the state of another one.
func TestTraceOfARequest(t *testing.T) {
	found := trace.ForRequest(readLogs(t), "abc")
	want := "one Adopted a configuration.; one Endpoint.; one Lost the store.; one Refused."
	if got := messages(found); got != want {
		t.Fatalf("got  %s\nwant %s", got, want)
	}
	if version := found[0].Fields["Version"]; version != 7.0 {
		t.Errorf("version %v, want the one in force at the time, 7", version)
	}
	if text := found[3].String(); !strings.Contains(text, "Reason=CutShort") || !strings.Contains(text, "Peer=e1") {
		t.Errorf("the formatted line lacks reason or peer: %s", text)
	}
	if trace.ForRequest(readLogs(t), "unknown") != nil {
		t.Error("got a trace of a request that is not in the logs")
	}
}

func TestTraceOfAnEndpointAndOfAnInterval(t *testing.T) {
	lines := readLogs(t)
	if got := messages(trace.ForEndpoint(lines, "e1")); got != "one Endpoint.; two Endpoint.; one Refused." {
		t.Errorf("endpoint: %s", got)
	}
	from := time.Date(2026, 1, 31, 15, 4, 5, 140e6, time.UTC)
	if got := messages(trace.Between(lines, from, from.Add(100*time.Millisecond))); got != "two Endpoint.; one Lost the store." {
		t.Errorf("interval: %s", got)
	}
}

func FuzzRead(f *testing.F) {
	f.Add(logs)
	f.Fuzz(func(t *testing.T, text string) {
		lines, _, _ := trace.Read(strings.NewReader(text))
		for _, li := range trace.ForRequest(lines, "abc") {
			_ = li.String()
		}
	})
}
