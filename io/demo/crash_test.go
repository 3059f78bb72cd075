package demo_test

import (
	"context"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/io/client"
	"almondrill/io/demo"
	"almondrill/io/fakes/engine"
)

// A chat's turn crashes the engine that runs it, at its second token. The caller sends it 15 times,
// alternating between two routers. The agents report each crash to their router and the routers
// notify each other, so from the third crash on every router must refuse the turn. Other turns must
// still be served.
func TestTurnThatCrashesItsEnginesIsRefused(t *testing.T) {
	const attempts, maxExecutions = 15, 6
	fl := startFleet(t)
	for _, en := range fl.FakeEngines {
		en.SetFaults(engine.Faults{CrashOn: "crash", CrashAt: 1})
	}
	turn := chat(true)
	turn.Messages[0].Content = "crash"
	cl := &client.Client{Key: demo.Key}
	refused := 0
	for ix := range attempts {
		rs := cl.Chat(context.Background(), fl.RouterAddrs()[ix%2], turn)
		if rs.Reason == core.ReasonQuarantined {
			refused++
		}
		time.Sleep(200 * time.Millisecond)
	}
	executions := 0
	for _, en := range fl.FakeEngines {
		executions += en.Stats().Requests
	}
	if executions > maxExecutions || refused < attempts-2*maxExecutions {
		t.Errorf("engines executed the turn %d times, at most %d allowed; it was refused %d of %d times", executions, maxExecutions, refused, attempts)
	}
	time.Sleep(time.Second)
	for _, addr := range fl.RouterAddrs() {
		if rs := cl.Chat(context.Background(), addr, chat(true)); rs.Outcome != core.Whole {
			t.Errorf("another turn: %v", rs)
		}
	}
}
