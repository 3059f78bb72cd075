package relay_test

import (
	"fmt"
	"net/http"
	"testing"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// announcing is an answer that bears a further header.
func announcing(status int, body, name, value string) script {
	return say(func(se *seen) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nX-Id: %s\r\nX-Stamp: s%d\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
			status, se.head.Header.Get("X-Id"), se.at, name, value, len(body), body)
	})
}

// Guards against a notice that nobody finds in the logs or counters.
func TestNoticesAreLogged(t *testing.T) {
	fl := newFleet(t, announcing(200, "ok", "X-Leaving", "1")).serve(onceOnly)
	logged, lines := observer.New(zapcore.InfoLevel)
	fl.re.Log = zap.New(logged)
	rs, _, err := fl.call("POST", "/r/x", "hello")
	fl.expect(rs, err, http.StatusOK, 1)
	served := lines.FilterMessage("Served.").All()
	if len(served) != 1 || served[0].ContextMap()["EndpointLeaves"] != true {
		t.Errorf("%v", served)
	}
	if got := fl.re.Stats.Value("LeavingNotices"); got != 1 {
		t.Errorf("LeavingNotices is %d, want 1", got)
	}
}
