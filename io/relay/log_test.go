package relay_test

import (
	"net/http"
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
