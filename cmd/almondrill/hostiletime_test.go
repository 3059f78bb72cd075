package main_test

import (
	"context"
	"fmt"
	"math"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"almondrill/io/fakes/crowd"
	"almondrill/io/wire"
)

const (
	// longDeadline is the deadline that clients name, endlessChat what they ask for.
	longDeadline = "1000h"
	endlessChat  = `{"model":"demo-model","stream":true,"max_tokens":1000000000,"messages":[{"role":"user","content":"hi"}]}`
	// deadlineCrowd is the number of clients that ask for responses without end: more than run at a time.
	deadlineCrowd = 100
	// maxDeadline is MaxDeadline of both processes.
	maxDeadline = "3s"
)

// Guards against callers whose calls occupy the endpoints and the router's memory for as long as they say: they name deadlines of
// weeks, ask for responses without end, and stay.
func TestHostileLongDeadlines(t *testing.T) {
	hf := startHostileFleet(t, manyDescriptors, "MaxDeadline: "+maxDeadline)
	text := fmt.Sprintf("%sX-Request-Timeout: %s\r\nContent-Length: %d\r\n\r\n%s", chatHead, longDeadline, len(endlessChat), endlessChat)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for range deadlineCrowd {
		co, err := net.Dial("tcp", hf.callers)
		if err != nil {
			t.Fatal(err)
		}
		defer co.Close()
		go crowd.Once(text)(ctx, co)
	}
	time.Sleep(hostileTime)
	hf.check(hf.router, 1, hf.callers, crowd.Silent, manyDescriptors) // the callers are still there
}

// Guards against calls of peers without a deadline, for responses without end, that occupy an agent's endpoints for good.
func TestHostileCallsWithoutDeadline(t *testing.T) {
	hf := startHostileFleet(t, manyDescriptors, "MaxDeadline: "+maxDeadline)
	ctx, cancel := context.WithCancel(context.Background())
	var peers sync.WaitGroup
	for range deadlineCrowd {
		co, err := grpc.NewClient(hf.agentPeers, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			t.Fatal(err)
		}
		defer co.Close()
		peers.Go(func() {
			call, err := wire.NewNodeClient(co).Serve(ctx, &wire.Call{
				Customer: "press", Pool: "chat", BudgetMicros: math.MaxInt64, Stream: true, Method: "POST", Path: "/v1/chat/completions",
				ContentType: "application/json", Body: []byte(endlessChat),
			})
			for err == nil {
				_, err = call.Recv()
			}
			<-ctx.Done()
		})
	}
	time.Sleep(hostileTime)
	hf.check(hf.agent, 1, hf.agentPeers, crowd.Silent, manyDescriptors) // the peers are still there
	cancel()
	peers.Wait()
}
