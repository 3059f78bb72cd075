package relay_test

import (
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// A router loses power while it forwards streams, so that the log lines of their ends are never
// written. An on-call engineer who searches for a request by its id must still find the router, the
// endpoint and the time. Short requests must be logged only once, when they end.
func TestLongRunningRequestIsLogged(t *testing.T) {
	core, lines := observer.New(zapcore.InfoLevel)
	isRunning := func() []observer.LoggedEntry { return lines.FilterMessage("A request is still running.").All() }
	holdUntilLogged := func(*received, net.Conn) bool {
		for deadline := time.Now().Add(2 * time.Second); len(isRunning()) == 0 && time.Now().Before(deadline); {
			time.Sleep(10 * time.Millisecond)
		}
		return false
	}
	fl := newFleet(t, respond(http.StatusOK, "soon"), holdUntilLogged)
	fl.re.Log = zap.New(core)
	fl.configure(onceOnly)
	for len(isRunning()) == 0 && len(fl.requests()) < 20 { // until the second endpoint gets a request
		_, _, _ = fl.send("POST", "/r/x", "")
	}
	running := isRunning()
	if len(running) != 1 {
		t.Fatalf("%d lines of running requests, want 1", len(running))
	}
	fields := running[0].ContextMap()
	if fields["Endpoint"] != "e1" || fields["Request"] != "id-1" || fields["Route"] != "r" || !strings.Contains(fields["Addr"].(string), ":") {
		t.Errorf("%v", fields)
	}
}
