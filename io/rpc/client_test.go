package rpc_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/io/rpc"
)

// An agent's VM accepts connections but the agent is gone, or another program uses its port: every
// connection is closed at once. A router that reconnects without backoff wastes CPU time and floods
// whichever program has the port.
func TestClientBacksOffBetweenConnections(t *testing.T) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer li.Close()
	var accepted atomic.Int32
	go func() {
		for {
			co, err := li.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			_ = co.Close()
		}
	}()
	cl := &rpc.Client{Addr: func(core.VMID) string { return li.Addr().String() }, MaxConns: 4}
	defer cl.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	for ctx.Err() == nil {
		if _, err := cl.Fetch(ctx, "vm", 0); err == nil {
			t.Fatal("a call succeeded without a server")
		}
		time.Sleep(10 * time.Millisecond)
	}
	const maxConnections = 12
	if got := accepted.Load(); got < 1 || got > maxConnections {
		t.Errorf("%d connections within a second, want 1 to %d", got, maxConnections)
	}
}
