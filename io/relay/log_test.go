package relay_test

import (
	"net/http"
	"strings"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"almondrill/core/place"
)

// An on-call engineer searches the log for the other turns of a chat whose request failed. A chat id
// that is logged as a JSON number loses its last digits in most readers, so that nothing is found.
func TestLoggedChatIDIsExact(t *testing.T) {
	fl := newFleet(t, respond(200, "ok"))
	fl.re.Dialect.Prompt = func(http.Header) []place.Part {
		return []place.Part{{Hash: 1, Tokens: 500}, {Hash: 2, Tokens: 9000}, {Hash: 3, Tokens: 100}}
	}
	ro := onceOnly
	ro.Sticky = true
	fl.configure(ro)
	logged, lines := observer.New(zapcore.InfoLevel)
	fl.re.Log = zap.New(logged)
	rs, _, err := fl.send("POST", "/r/x", "hello")
	fl.expect(rs, err, 200, 1)
	served := lines.FilterMessage("Served.").All()
	if len(served) != 1 {
		t.Fatalf("%d lines of served requests, want 1", len(served))
	}
	if chat, ok := served[0].ContextMap()["Chat"].(string); !ok || len(chat) < 10 {
		t.Errorf("chat id logged as %v, want a string of hexadecimal digits", served[0].ContextMap()["Chat"])
	}
}

// Guards against log lines as long as what callers make up: many of them wait for a slow reader of the output.
func TestLogLinesDoNotGrowWithWhatCallersSend(t *testing.T) {
	fl := newFleet(t, respond(200, "ok")).configure(onceOnly)
	logged, lines := observer.New(zapcore.DebugLevel)
	fl.re.Log = zap.New(logged)
	long := strings.Repeat("x", 9000)
	for _, path := range []string{"/r/x", "/" + long} {
		_, _, _ = fl.send("POST", path, "hello", "X-Id", long, "Last-Event-Id", "1", "X-Resumes", long)
		_, _, _ = fl.send("POST", path, "hello", "X-Id", long, "X-Wait", long)
		_, _, _ = fl.send("POST", path, "hello", "X-Id", long, "X-Key", long)
	}
	if lines.Len() == 0 {
		t.Fatal("nothing was logged")
	}
	encoder := zapcore.NewJSONEncoder(zapcore.EncoderConfig{MessageKey: "Message"})
	for _, line := range lines.All() {
		text, err := encoder.EncodeEntry(line.Entry, line.Context)
		if err != nil {
			t.Fatal(err)
		}
		if text.Len() > 2<<10 {
			t.Errorf("a line of %d bytes: %.300s", text.Len(), text)
		}
	}
}
