package rpc_test

import (
	"context"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"almondrill/core"
	"almondrill/io/rpc"
	"almondrill/io/wire"
)

// Guards against names in messages that a process keeps however long they are, and against refusals of those that callers and
// operators may choose. A refused call has not run.
func TestNamesOfPeersAreBounded(t *testing.T) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var served, rejected atomic.Int32
	count := func() { served.Add(1) }
	se := &rpc.Server{
		Listener: li,
		Serve: func(context.Context, *core.Call, core.Sink) (*core.Report, error) {
			count()
			return &core.Report{}, nil
		},
		Exchange:         func(*core.Digest) *core.Digest { count(); return &core.Digest{} },
		Claim:            func(context.Context, *core.Claim) (*core.ClaimReply, error) { count(); return &core.ClaimReply{}, nil },
		UpdatePlacements: func([]core.Placement) { count() },
		Rejected:         func(string, error) { rejected.Add(1) },
	}
	go func() { _ = se.Start(context.Background()) }()
	defer func() { _ = se.Stop(context.Background()) }()
	co, err := grpc.NewClient(li.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer co.Close()
	peer, ctx := wire.NewNodeClient(co), context.Background()
	serve := func(ca *wire.Call) string {
		st, err := peer.Serve(ctx, ca)
		if err != nil {
			t.Fatal(err)
		}
		part, err := st.Recv()
		if err != nil || part.Told == nil {
			t.Fatalf("the stream does not end with a report: %v %v", part, err)
		}
		if part.Refused == nil {
			return ""
		}
		return core.Outcome(part.Refused.Outcome).String() + " " + part.Refused.Reason
	}
	longest, tooLong := strings.Repeat("x", 255), strings.Repeat("x", 256)
	path := "/" + strings.Repeat("x", 32<<10)
	if out := serve(&wire.Call{Customer: longest, Pool: longest, Chat: longest, Key: longest, Missed: longest, Path: path}); out != "" {
		t.Errorf("a call with the longest names: %s", out)
	}
	for _, ca := range []*wire.Call{{Customer: tooLong}, {Pool: tooLong}, {Chat: tooLong}, {Key: tooLong}, {Path: path + path}} {
		if out, want := serve(ca), core.NotRun.String()+" "+string(core.ReasonBadRequest); out != want {
			t.Errorf("a call with a name that is too long: %q, want %q", out, want)
		}
	}
	for _, name := range []string{longest, tooLong} {
		_, exchanged := peer.Exchange(ctx, &wire.Digest{From: "vm", Pools: []*wire.PoolLoads{{Pool: "chat", VMs: []string{name}}}})
		_, claimed := peer.Claim(ctx, &wire.ClaimCall{VM: name})
		_, placed := peer.Place(ctx, &wire.PlaceCall{Placements: []*wire.Placement{{Chat: name}}})
		for _, err := range []error{exchanged, claimed, placed} {
			if failed := err != nil; failed != (name == tooLong) {
				t.Errorf("a message with a name of %d bytes: %v", len(name), err)
			}
		}
	}
	if served.Load() != 4 || rejected.Load() != 8 {
		t.Errorf("%d messages were handled and %d rejected, want 4 and 8", served.Load(), rejected.Load())
	}
}
