package trial_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/admit"
	"almondrill/core/board"
	"almondrill/core/claim"
	"almondrill/core/ctxdir"
	"almondrill/core/decl"
	"almondrill/core/loads"
	"almondrill/core/pick"
	"almondrill/core/ring"
	"almondrill/io/clock"
	"almondrill/io/fakes/kvsrv"
)

// bigSnapshot returns a router's snapshot of a fleet with the given number of agents in 14 pools. With
// 2,100 agents each pool has 150.
func bigSnapshot(b *testing.B, agents int) *board.Snapshot {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	b.Cleanup(cancel)
	bo := &board.Board{Clock: clock.Wall{}, Rand: clock.NewRand(1), Self: core.VM{ID: "router", Region: "north"}}
	bo.Init()
	published := make(chan *board.Snapshot, 8)
	bo.Published = func(sn *board.Snapshot) { published <- sn }
	go func() { _ = bo.Run(ctx) }()
	doc := &decl.Document{}
	for n := range 14 {
		doc.Pools = append(doc.Pools, decl.Pool{Name: core.PoolID(fmt.Sprint("pool-", n)), Model: "m"})
	}
	_ = bo.Deliver(ctx, board.ConfigAdopted{Config: decl.Compile(doc, 1)})
	<-published
	var vms []core.VM
	for n := range agents {
		vms = append(vms, core.VM{
			ID: core.VMID(fmt.Sprint("agent-", n)), Addr: "10.0.0.1:7000", Zone: "z", Region: "north", Role: core.RoleAgent,
			Pools: []core.PoolID{core.PoolID(fmt.Sprint("pool-", n%14))},
		})
	}
	_ = bo.Deliver(ctx, board.VMsChanged{VMs: vms})
	return <-published
}

// BenchmarkPick measures the choice of an agent for a chat, in a pool of 150 in a fleet of 2,100.
func BenchmarkPick(b *testing.B) {
	po := bigSnapshot(b, 2100).Pools["pool-3"]
	ra := clock.NewRand(1)
	b.Run("own", func(b *testing.B) {
		b.ReportAllocs()
		key := uint64(1)
		for b.Loop() {
			key++
			se := pick.Search{Pool: po, Key: key, Rand: ra}
			if se.First() < 0 {
				b.Fatal("nothing picked")
			}
		}
	})
	b.Run("key", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			ring.Key("customer-17", "pool-3", "chat-1234567")
		}
	})
}

// BenchmarkAdmit measures the admission and release of a call by a gate with 1,600 customers and 149
// peers.
func BenchmarkAdmit(b *testing.B) {
	b.Run("own", func(b *testing.B) {
		ta := &loads.Table{Clock: clock.Wall{}, Pool: poolID, Self: "self"}
		var peers []core.VMID
		for n := range 149 {
			peers = append(peers, core.VMID(fmt.Sprint("agent-", n)))
		}
		ta.SetPeers(peers)
		for _, vm := range peers {
			ta.Observe(core.LoadEntry{Pool: poolID, VM: vm, Load: 50_000})
		}
		ga := &admit.Gate{Clock: clock.Wall{}, Rand: clock.NewRand(1), Loads: ta, VM: "self"}
		ga.SetLimits(decl.Limits{LoadFactor: 1.25, FloorWork: 4096, Slots: 256, QueueCalls: 512, Headroom: decl.DefaultHeadroom})
		names := make([]core.CustomerID, 1600)
		for n := range names {
			names[n] = core.CustomerID(fmt.Sprint("customer-", n))
		}
		var tickets [128]admit.Ticket
		b.ReportAllocs()
		for n := 0; b.Loop(); n++ {
			ti := &tickets[n%len(tickets)]
			ga.Release(ti)
			*ti = admit.Ticket{Customer: names[n%len(names)], Weight: 1, Priority: core.PriorityNormal, Work: 300}
			if run, re := ga.Offer(ti); !run {
				b.Fatal(re)
			}
		}
	})
}

// BenchmarkClaims measures the throughput of claims with a KV that accepts 300 writes per second and
// 64 shards, each with its own owner, at offered rates of up to 5,000 claims per second.
func BenchmarkClaims(b *testing.B) {
	for _, offered := range []int{250, 1250, 5000} {
		b.Run(fmt.Sprint("own/offered=", offered), func(b *testing.B) {
			for b.Loop() {
				inBubble(b, func(*testing.T) { claimsRun(b, offered) })
			}
		})
	}
}

func claimsRun(b *testing.B, offered int) {
	const shards, seconds = 64, 20
	ra := clock.NewRand(1)
	store := &kvsrv.Store{
		Clock: clock.Wall{}, Rand: ra, Latency: 3 * time.Millisecond, WritesPerSecond: 300, ReadsPerSecond: 2000,
	}
	writers := make([]*claim.Writer, shards)
	for n := range writers {
		writers[n] = &claim.Writer{
			KV: store, Clock: clock.Wall{}, Rand: ra, Shards: shards, Window: 15 * time.Minute,
			WriteInterval: time.Second * shards / 270,
		}
	}
	var mu sync.Mutex
	var added []time.Duration
	failed := 0
	var all sync.WaitGroup
	start := time.Now()
	for n := range offered * seconds {
		time.Sleep(time.Second / time.Duration(offered))
		all.Go(func() {
			hash := claim.Hash("c", core.IdemKey(fmt.Sprint(n)))
			by := core.Claimant{VM: core.VMID(fmt.Sprint("agent-", n%2100)), Incarnation: 1}
			began := time.Now()
			_, err := writers[claim.ShardOf(hash, shards)].Claim(context.Background(), &core.Claim{Hash: hash, By: by})
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				failed++
				return
			}
			added = append(added, time.Since(began))
		})
	}
	all.Wait()
	took := time.Since(start).Seconds()
	b.ReportMetric(float64(len(added))/took, "claims/s")
	b.ReportMetric(float64(store.Calls().Writes)/float64(len(added)), "writes/claim")
	b.ReportMetric(float64(store.Calls().Writes)/took, "writes/s")
	b.ReportMetric(quantile(added, 0.5).Seconds()*1000, "p50-added-ms")
	b.ReportMetric(quantile(added, 0.99).Seconds()*1000, "p99-added-ms")
	b.ReportMetric(float64(store.Bytes())/float64(len(added)), "kv-B/claim")
	b.ReportMetric(float64(failed), "failed")
}

// measureHeap returns the value that build returns and the growth of the heap in bytes.
func measureHeap(build func() any) (any, float64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	kept := build()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return kept, float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkMemory measures the heap size of the data structures that grow with the fleet.
func BenchmarkMemory(b *testing.B) {
	measure := func(name string, count int, build func(count int) any) {
		b.Run(fmt.Sprintf("%s/count=%d", name, count), func(b *testing.B) {
			for b.Loop() {
				kept, bytes := measureHeap(func() any { return build(count) })
				b.ReportMetric(bytes, "heap-B")
				b.ReportMetric(bytes/float64(count), "B/each")
				runtime.KeepAlive(kept)
			}
		})
	}
	for _, count := range []int{500, 1000, 2100} {
		measure("agents", count, func(count int) any { return bigSnapshot(b, count) })
	}
	for _, count := range []int{1000, 5000, 20000} {
		measure("chats", count, buildDirectory)
		measure("keys", count, buildClaims)
	}
	for _, count := range []int{400, 800, 1600} {
		measure("customers", count, func(count int) any {
			return decl.Compile(document(decl.Limits{}, 0, manyCustomers(count)...), 1)
		})
	}
}

func buildDirectory(count int) any {
	bo := &ctxdir.Directory{Clock: clock.Wall{}, MaxCached: count, MaxPointers: 1, TTL: time.Hour}
	for n := range count {
		pl := core.Placement{Customer: "customer-17", Pool: poolID, Chat: core.ChatID(fmt.Sprint("chat-", n)), VM: "agent-17"}
		bo.Add(ring.Key(pl.Customer, pl.Pool, pl.Chat), ctxdir.CachedContext{Endpoint: "engine", Tokens: 1000, Placement: pl})
	}
	return bo
}

func buildClaims(count int) any {
	store := &kvsrv.Store{Clock: clock.Wall{}}
	ke := &claim.Writer{KV: discard{store}, Clock: clock.Wall{}, Rand: clock.NewRand(1), Shards: 1, Window: time.Hour}
	var all sync.WaitGroup
	for n := range count {
		all.Go(func() {
			hash := claim.Hash("c", core.IdemKey(fmt.Sprint(n)))
			_, _ = ke.Claim(context.Background(), &core.Claim{Hash: hash, By: core.Claimant{VM: "agent-17", Incarnation: 1}})
		})
	}
	all.Wait()
	return ke
}

// discard is a KV whose Put stores nothing, so that only the memory of the claim shard's owner counts.
type discard struct{ core.KV }

func (discard) Put(context.Context, string, []byte, core.Version, core.LeaseID) (core.Version, error) {
	return 1, nil
}
