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

// An agent's VM takes connections but its program is gone, or another program has its
// port: every connection ends at once. A router that connects again without a pause
// spends its processor on it, and floods whoever has the port.
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
			t.Fatal("a call was answered by nobody")
		}
		time.Sleep(10 * time.Millisecond)
	}
	const maxConnections = 12
	if got := accepted.Load(); got < 1 || got > maxConnections {
		t.Errorf("%d connections within a second, want 1 to %d", got, maxConnections)
	}
}
