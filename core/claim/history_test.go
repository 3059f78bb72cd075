package claim_test

import (
	"context"
	"flag"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"almondrill/core"
	"almondrill/core/claim"
	"almondrill/io/clock"
	"almondrill/io/fakes/kvsrv"
)

// explore adds that many histories with random seeds, such as -explore 1000.
var explore = flag.Int("explore", 0, "check this many more histories, with random seeds")

const window = 15 * time.Minute

// claimInput and claimOutput are one claim in a recorded history.
type claimInput struct {
	key string
	by  core.Claimant
}

type claimOutput struct {
	settled bool
	holder  core.Claimant
}

// claimModel is the sequential specification: the first claimant of a key holds it for ever.
var claimModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(claimInput).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return core.Claimant{} },
	Step: func(state, input, output any) (bool, any) {
		holder, in, out := state.(core.Claimant), input.(claimInput), output.(claimOutput)
		if holder == (core.Claimant{}) {
			holder = in.by
		}
		return !out.settled || out.holder == holder, holder
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%v -> %v", input, output) },
}

// history runs claimants against several writers, as when the lists of agents differ, over a KV that
// fails, slows down and loses responses, and returns their operations.
func history(seed uint64) []porcupine.Operation {
	wall := clock.Wall{}
	// Each part has its own source of randomness. From a shared one, the order in which goroutines
	// draw would decide which faults a history meets.
	source := func(part int) *clock.Rand { return clock.NewRand(seed*100 + uint64(part)) }
	store := &kvsrv.Store{Clock: wall, Rand: source(0), Latency: 2 * time.Millisecond}
	var writers []*claim.Writer
	for ix := range 3 {
		writers = append(writers, newWriter(store, source(10+ix), 2))
	}
	ctx, cancel := context.WithCancel(context.Background())
	go injectFaults(ctx, store, source(1))
	var mu sync.Mutex
	var ops []porcupine.Operation
	var claimants sync.WaitGroup
	for client := range 6 {
		claimants.Go(func() {
			ra := source(20 + client)
			by := core.Claimant{VM: core.VMID(fmt.Sprint("agent-", client)), Incarnation: 1}
			for range 25 {
				_ = wall.Sleep(ctx, time.Duration(ra.Uint64()%uint64(80*time.Millisecond)))
				op := claimOnce(ctx, writers[ra.Uint64()%3], ra, by, client)
				mu.Lock()
				ops = append(ops, op)
				mu.Unlock()
			}
		})
	}
	claimants.Wait()
	cancel()
	return ops
}

func newWriter(kv core.KV, ra core.Rand, shards int) *claim.Writer {
	return &claim.Writer{KV: kv, Clock: clock.Wall{}, Rand: ra, Shards: shards, Window: window, WriteInterval: 20 * time.Millisecond}
}

func injectFaults(ctx context.Context, store *kvsrv.Store, ra core.Rand) {
	kinds := []kvsrv.Faults{{}, {Down: true}, {ReplyLoss: 0.4}, {Delay: 50 * time.Millisecond}, {ReplyLoss: 0.9}}
	for (clock.Wall{}).Sleep(ctx, time.Duration(ra.Uint64()%uint64(300*time.Millisecond))) == nil {
		store.SetFaults(kinds[ra.Uint64()%uint64(len(kinds))])
	}
}

func claimOnce(ctx context.Context, wr *claim.Writer, ra core.Rand, by core.Claimant, client int) porcupine.Operation {
	key := fmt.Sprint("key-", ra.Uint64()%20)
	op := porcupine.Operation{ClientId: client, Input: claimInput{key, by}, Call: time.Now().UnixNano()}
	rp, err := wr.Claim(ctx, &core.Claim{Hash: claim.Hash("customer", core.IdemKey(key)), By: by})
	op.Return = time.Now().UnixNano()
	if err != nil {
		// The claim may take effect at any later time.
		op.Return = time.Now().Add(time.Hour).UnixNano()
		op.Output = claimOutput{}
		return op
	}
	op.Output = claimOutput{settled: true, holder: rp.Holder}
	return op
}

// A request is sent through two routers at once. Their lists of agents differ, so several writers
// write the claim of its key while the KV fails and loses responses. Only one claimant may ever be
// granted the key.
func TestClaimHistoriesAreLinearizable(t *testing.T) {
	seeds := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	for range *explore {
		seeds = append(seeds, clock.RandomSeed())
	}
	for _, seed := range seeds {
		synctest.Test(t, func(t *testing.T) {
			ops := history(seed)
			settled := 0
			for _, op := range ops {
				if op.Output.(claimOutput).settled {
					settled++
				}
			}
			if settled < len(ops)/4 {
				t.Errorf("seed %d: only %d of %d claims were settled", seed, settled, len(ops))
			}
			if porcupine.CheckOperations(claimModel, ops) != true {
				t.Errorf("seed %d: the history is not linearizable", seed)
			}
		})
	}
}
