package rpc_test

import (
	"context"
	"net"
	"testing"

	"almondrill/io/rpc"
)

// Guards against a process that is stopped while it starts: both create the server, and one of the two
// servers would go on serving.
func TestStopDuringStart(t *testing.T) {
	for range 20 {
		li, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		se := &rpc.Server{Listener: li}
		started := make(chan struct{})
		go func() {
			defer close(started)
			_ = se.Start(context.Background())
		}()
		if err := se.Stop(context.Background()); err != nil {
			t.Fatal(err)
		}
		<-started
	}
}
