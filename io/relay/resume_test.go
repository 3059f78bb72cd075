package relay_test

import (
	"net"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"almondrill/io/stats"
)

// Guards against resumptions that cannot be told from new requests in logs and counters.
func TestResumptionIsLogged(t *testing.T) {
	fl := newFleet(t, func(se *received, co net.Conn) bool {
		writeEvents(se, co, 3, 5)
		endChunks(co)
		return true
	}).configure(resumable)
	co, lines := observer.New(zap.InfoLevel)
	fl.re.Log = zap.New(co)
	rs, _, err := fl.send("POST", "/r/x", "hello", "Last-Event-Id", "2", "X-Resumes", "id-0")
	fl.expect(rs, err, 200, 1)
	for _, message := range []string{"A caller resumes a stream.", "Served."} {
		got := lines.FilterMessage(message).FilterField(zap.String("Resumes", "id-0")).FilterField(zap.String("After", "2"))
		if got.Len() != 1 {
			t.Errorf("%d lines %q name the resumed attempt, want 1", got.Len(), message)
		}
	}
	if got := fl.re.Stats.Value(stats.StreamsResumed); got != 1 {
		t.Errorf("%d resumptions counted, want 1", got)
	}
}
