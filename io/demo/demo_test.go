package demo_test

import (
	"context"
	"testing"

	"almondrill/core"
	"almondrill/io/client"
	"almondrill/io/demo"
	"almondrill/io/logs"
)

func startFleet(t *testing.T) *demo.Fleet {
	t.Helper()
	fl := &demo.Fleet{Logs: logs.Discard(), Routers: 2, Engines: 3, Services: 2}
	if err := fl.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := fl.Stop(); err != nil {
			t.Error(err)
		}
	})
	return fl
}

func chat(stream bool) *client.Chat {
	return &client.Chat{
		Model: demo.Model, Stream: stream, MaxTokens: 5,
		Messages: []client.Message{{Role: "user", Content: "hello there"}},
	}
}

// A chat, streamed or not, must be answered completely through a router and an agent.
func TestChatThroughRouterAndAgent(t *testing.T) {
	fl := startFleet(t)
	cl := &client.Client{Key: demo.Key}
	for _, stream := range []bool{false, true} {
		rs := cl.Chat(context.Background(), fl.RouterAddrs()[0], chat(stream))
		if rs.Outcome != core.Whole || rs.Answer != "hello there w1 w2 w3 w4" {
			t.Errorf("stream %v: %s %q %v %s", stream, rs.Outcome, rs.Answer, rs.Err, rs.Reason)
		}
	}
}
