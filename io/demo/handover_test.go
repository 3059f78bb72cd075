package demo_test

import (
	"context"
	"fmt"
	"testing"

	"almondrill/core"
	"almondrill/io/client"
	"almondrill/io/demo"
	"almondrill/io/fakes/engine"
)

// stopFirstAgent sends chats, stops the agent of the first engine, and returns how many contexts
// that engine had cached and how many the other engines imported.
func stopFirstAgent(t *testing.T, fl *demo.Fleet, fa engine.Faults) (cached int64, imported int) {
	t.Helper()
	cl := &client.Client{Key: demo.Key}
	for n := range 30 {
		ch := chat(true)
		ch.ID = core.ChatID(fmt.Sprint("chat-", n))
		if rs := cl.Chat(context.Background(), router(fl).CallersAddr(), ch); rs.Outcome != core.Whole {
			t.Fatal(rs.Outcome, rs.Reason, rs.Err)
		}
	}
	stopping := fl.Process("engine-00")
	contexts := stopping.Agent().Book.Cached(100)
	fl.FakeEngines[0].SetFaults(fa)
	if err := stopping.Stop(); err != nil {
		t.Fatal(err)
	}
	for _, en := range fl.FakeEngines {
		imported += en.Stats().Imports
	}
	return int64(len(contexts)), imported
}

// An agent is stopped, as by SIGTERM. The contexts of its engine must be streamed through both
// agents to the engines that will serve the chats next.
func TestContextsAreHandedOverWhenAnAgentStops(t *testing.T) {
	fl := startFleet(t)
	if cached, imported := stopFirstAgent(t, fl, engine.Faults{}); cached == 0 || int64(imported) != cached {
		t.Errorf("%d of %d contexts were imported", imported, cached)
	}
}

// An engine aborts its exports halfway. No other engine may keep a truncated context.
func TestTruncatedContextIsNotKept(t *testing.T) {
	fl := startFleet(t)
	if cached, imported := stopFirstAgent(t, fl, engine.Faults{CutAfter: 1}); cached == 0 || imported != 0 {
		t.Errorf("%d of %d contexts were imported", imported, cached)
	}
}
