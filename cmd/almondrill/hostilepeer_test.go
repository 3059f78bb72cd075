package main_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"almondrill/io/fakes/crowd"
	"almondrill/io/wire"
)

// The tests of this file send an agent whole messages, as its peers do, that name what does not exist.

const (
	// peerCrowd is the number of clients that send messages, claimsPerPeer how many claims each sends at a time.
	peerCrowd     = 20
	claimsPerPeer = 10
	// longName is the size of a made-up name, claimantName that of a claimant: the store takes no larger batches.
	longName     = 200_000
	claimantName = 30_000
	// callTime bounds one message.
	callTime = 3 * time.Second
)

// playPeers lets a crowd call an agent, each client as often at a time, and checks what that holds.
func playPeers(t *testing.T, atATime int, call func(ctx context.Context, peer wire.NodeClient, ra *rand.Rand)) {
	t.Helper()
	hf := startHostileFleet(t, manyDescriptors)
	ctx, cancel := context.WithTimeout(context.Background(), hostileTime)
	defer cancel()
	var peers sync.WaitGroup
	for ix := range peerCrowd {
		co, err := grpc.NewClient(hf.agentPeers, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			t.Fatal(err)
		}
		defer co.Close()
		for nr := range atATime {
			ra := rand.New(rand.NewPCG(uint64(nr), uint64(ix)))
			peers.Go(func() {
				for ctx.Err() == nil {
					one, cancel := context.WithTimeout(ctx, callTime)
					call(one, wire.NewNodeClient(co), ra)
					cancel()
				}
			})
		}
	}
	hf.check(hf.agent, 1, hf.agentPeers, crowd.Silent, manyDescriptors)
	cancel()
	peers.Wait()
}

// madeUpName returns a name of that size that nothing has.
func madeUpName(ra *rand.Rand, size int) string {
	name := fmt.Sprintf("%016x", ra.Uint64())
	return strings.Repeat(name, size/len(name))
}

func madeUpHash(ra *rand.Rand) []byte {
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, ra.Uint64()), ra.Uint64())
}

// Guards against placements of chats with long names, of which an agent keeps thousands.
func TestHostilePlacements(t *testing.T) {
	playPeers(t, 1, func(ctx context.Context, peer wire.NodeClient, ra *rand.Rand) {
		_, _ = peer.Place(ctx, &wire.PlaceCall{Placements: []*wire.Placement{
			{Customer: "customer", Pool: "chat", Chat: madeUpName(ra, longName), VM: "vm"},
			{Customer: "customer", Pool: "chat", Chat: "c", VM: madeUpName(ra, longName)},
		}})
	})
}

// Guards against claims of claimants with long names, each of which the owner of a shard keeps.
func TestHostileClaims(t *testing.T) {
	playPeers(t, claimsPerPeer, func(ctx context.Context, peer wire.NodeClient, ra *rand.Rand) {
		_, _ = peer.Claim(ctx, &wire.ClaimCall{Hash: madeUpHash(ra), VM: madeUpName(ra, claimantName), Incarnation: ra.Uint64()})
	})
}

// Guards against calls of customers that do not exist, with long names.
func TestHostileCustomers(t *testing.T) {
	playPeers(t, 1, func(ctx context.Context, peer wire.NodeClient, ra *rand.Rand) {
		call, err := peer.Serve(ctx, &wire.Call{
			Attempt: ra.Uint64(), Customer: madeUpName(ra, longName), Pool: "chat", Chat: madeUpName(ra, longName), Key: madeUpName(ra, longName),
			BudgetMicros: callTime.Microseconds(), Method: "POST", Path: "/v1/chat/completions", ContentType: "application/json",
			Body: []byte(`{"model":"demo-model","max_tokens":2,"messages":[{"role":"user","content":"hi"}]}`),
		})
		for err == nil {
			_, err = call.Recv()
		}
	})
}

// Guards against digests of loads in pools and of VMs that do not exist.
func TestHostileDigests(t *testing.T) {
	playPeers(t, 1, func(ctx context.Context, peer wire.NodeClient, ra *rand.Rand) {
		_, _ = peer.Exchange(ctx, &wire.Digest{From: madeUpName(ra, longName), Incarnation: ra.Uint64(), Pools: []*wire.PoolLoads{{
			Pool: madeUpName(ra, longName), VMs: []string{madeUpName(ra, longName)}, Loads: []int64{1}, Drains: []int64{1}, AgeMillis: []int64{1}, Drainings: []bool{false},
		}}})
	})
}
