package trial_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/decl"
	"almondrill/io/clock"
	"almondrill/io/fakes/inmem"
)

// engineProfile describes the capacity of engines and the size of their responses.
type engineProfile struct {
	name string
	// saturationRate is the rate, in requests per second, at which all slots of an engine are busy.
	saturationRate float64
	slots          int
	output         core.Tokens
	floor          core.Work
	engine         func() *inmem.Engine
}

const engineCount = 24

// smallProfile resembles today's engines with some dozen concurrent calls. largeProfile resembles
// those of the target deployment, where 25,000 requests and 7 million tokens per second on 2,100
// engines make 12 requests per second and nearly 200 concurrent calls for each engine.
var (
	smallProfile = engineProfile{
		name: "small", saturationRate: 11.9, slots: 32, output: 100, floor: 1000,
		engine: func() *inmem.Engine {
			return &inmem.Engine{
				Clock: clock.Wall{}, Step: 10 * time.Millisecond, PerCall: 500 * time.Microsecond,
				Prefill: 200 * time.Microsecond, CacheTokens: 300_000, Chunk: 10,
			}
		},
	}
	largeProfile = engineProfile{
		name: "large", saturationRate: 16.4, slots: 256, output: 280, floor: 8000,
		engine: func() *inmem.Engine {
			return &inmem.Engine{
				Clock: clock.Wall{}, Step: 30 * time.Millisecond, PerCall: 100 * time.Microsecond,
				Prefill: 100 * time.Microsecond, CacheTokens: 1_200_000, Chunk: 28,
			}
		},
	}
)

type variant struct {
	name       string
	policy     policy
	loadFactor float64
	reuseBias  float64
	// headroom is the fraction of slots reserved for customers within their share.
	headroom float64
}

// uncapped is a load factor that disables the load cap, for baselines.
const uncapped = 100

var variants = []variant{
	{name: "own", loadFactor: 1.25},
	{name: "own-even", loadFactor: 1.25, reuseBias: 1},
	{name: "own-headroom", loadFactor: 1.25, headroom: 0.5},
	{name: "hash", policy: hashPolicy, loadFactor: uncapped},
	{name: "least", policy: leastLoadedPolicy, loadFactor: uncapped},
	{name: "two", policy: twoChoicesPolicy, loadFactor: uncapped},
}

func eachVariant(b *testing.B, run func(b *testing.B, re engineProfile, va variant)) {
	for _, re := range []engineProfile{largeProfile, smallProfile} {
		for _, va := range variants {
			b.Run(re.name+"/"+va.name, func(b *testing.B) { run(b, re, va) })
		}
	}
}

func newFleet(re engineProfile, va variant, seed uint64, customers ...decl.Customer) *inmem.Fleet {
	return &inmem.Fleet{
		Seed: seed, Routers: 3, Agents: engineCount, Pool: poolID, VMListLag: 5 * time.Second,
		Document: document(decl.Limits{LoadFactor: va.loadFactor, FloorWork: re.floor, Slots: re.slots, QueueCalls: 2 * re.slots, Headroom: va.headroom}, va.reuseBias, customers...),
		Engine:   func(int) *inmem.Engine { return re.engine() },
	}
}

// BenchmarkReuse measures the reuse of cached contexts by Zipf-distributed chats at 85 % load, while
// engines join, drain and restart and half of the processes see the VM list 5 s late.
func BenchmarkReuse(b *testing.B) {
	eachVariant(b, func(b *testing.B, re engineProfile, va variant) {
		for b.Loop() {
			inBubble(b, func(t *testing.T) {
				wl := reuseRun(t, re, va)
				wl.reportReuse(b)
				b.ReportMetric(quantile(wl.loadRatios, 0.99), "p99-over-mean")
			})
		}
	})
}

func reuseRun(t *testing.T, re engineProfile, va variant) *workload {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fl := newFleet(re, va, 1)
	if err := fl.Start(ctx); err != nil {
		t.Fatal(err)
	}
	wl := newWorkload(fl, 2, va.policy)
	wl.rate = 0.85 * re.saturationRate * engineCount
	sampling, stop := context.WithCancel(ctx)
	go wl.sampleLoads(sampling, re.floor)
	go churnAgents(sampling, fl)
	var all sync.WaitGroup
	wl.run(ctx, 90*time.Second, func(wl *workload) { wl.startTurn(ctx, &all, "c", re.output) })
	stop()
	all.Wait()
	return wl
}

// churnAgents, in turn, drains one agent, adds one and restarts one.
func churnAgents(ctx context.Context, fl *inmem.Fleet) {
	for round := 0; fl.Clock.Sleep(ctx, 10*time.Second) == nil; round++ {
		live := fl.LiveAgents()
		one := live[round*7%len(live)]
		switch round % 3 {
		case 0:
			fl.SetState(one, core.VMDraining)
			one.Agent.StopAccepting()
		case 1:
			fl.AddAgent(fmt.Sprint("joiner-", round), round)
		case 2:
			one.Kill()
			fl.SetState(one, core.VMGone)
			_ = fl.Clock.Sleep(ctx, 3*time.Second)
			fl.AddAgent(string(one.ID)+"-again", round)
		}
	}
}

// BenchmarkLeave measures the reuse of cached contexts at 60 % load while every ten seconds an agent
// shuts down gracefully and one with an empty cache joins, with and without handover of contexts.
// Reuse is counted over all returning chats, also those whose contexts were lost.
func BenchmarkLeave(b *testing.B) {
	for _, re := range []engineProfile{largeProfile, smallProfile} {
		for _, handOver := range []bool{true, false} {
			b.Run(fmt.Sprintf("%s/hand-on=%v", re.name, handOver), func(b *testing.B) {
				for b.Loop() {
					inBubble(b, func(t *testing.T) { replaceRun(t, re, handOver).reportReuse(b) })
				}
			})
		}
	}
}

func replaceRun(t *testing.T, re engineProfile, handOver bool) *workload {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fl := newFleet(re, variants[0], 6)
	if err := fl.Start(ctx); err != nil {
		t.Fatal(err)
	}
	wl := newWorkload(fl, 2, nil)
	wl.rate = 0.6 * re.saturationRate * engineCount
	leaving, stop := context.WithCancel(ctx)
	go replaceAgents(leaving, fl, handOver)
	var all sync.WaitGroup
	wl.run(ctx, 90*time.Second, func(wl *workload) { wl.startTurn(ctx, &all, "c", re.output) })
	stop()
	all.Wait()
	return wl
}

// replaceAgents replaces one agent after the other by one with an empty cache.
func replaceAgents(ctx context.Context, fl *inmem.Fleet, handOver bool) {
	for round := 0; fl.Clock.Sleep(ctx, 10*time.Second) == nil; round++ {
		fl.AddAgent(fmt.Sprint("joiner-", round), round)
		maxBytes := core.Bytes(-1)
		if handOver {
			maxBytes = 1 << 40
		}
		fl.Shutdown(fl.LiveAgents()[0], maxBytes)
	}
}

// BenchmarkSkew measures the ratio of the busiest engine's load to the mean, as maximum and p99, while
// two customers surge to six times their rate.
func BenchmarkSkew(b *testing.B) {
	eachVariant(b, func(b *testing.B, re engineProfile, va variant) {
		for b.Loop() {
			inBubble(b, func(t *testing.T) {
				wl := surgeRun(t, re, va, true)
				b.ReportMetric(quantile(wl.loadRatios, 1), "max-over-mean")
				b.ReportMetric(quantile(wl.loadRatios, 0.99), "p99-over-mean")
				wl.reportReuse(b)
			})
		}
	})
}

// BenchmarkSurge measures the ratio of the other customers' p95 latency during a surge to that without.
func BenchmarkSurge(b *testing.B) {
	eachVariant(b, func(b *testing.B, re engineProfile, va variant) {
		for b.Loop() {
			var calm, surged *workload
			inBubble(b, func(t *testing.T) { calm = surgeRun(t, re, va, false) })
			inBubble(b, func(t *testing.T) { surged = surgeRun(t, re, va, true) })
			b.ReportMetric(float64(othersP95(surged.latencies))/float64(othersP95(calm.latencies)), "ratio")
			b.ReportMetric(othersP95(calm.firstPartLatencies).Seconds(), "first-s-calm")
			b.ReportMetric(othersP95(surged.firstPartLatencies).Seconds(), "first-s-surge")
			b.ReportMetric(ratio(surged.refused, surged.refused+surged.served), "refused")
		}
	})
}

const customerCount = 10

func othersP95(by map[core.CustomerID][]time.Duration) time.Duration {
	var times []time.Duration
	for cu, own := range by {
		if cu != "c0" && cu != "c1" {
			times = append(times, own...)
		}
	}
	return quantile(times, 0.95)
}

// surgeRun runs ten customers at a total of 60 % load. In a surge, two of them send six times as much
// for 20 s.
func surgeRun(t *testing.T, re engineProfile, va variant, surge bool) *workload {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var customers []decl.Customer
	for n := range customerCount {
		customers = append(customers, decl.Customer{
			Name: core.CustomerID(fmt.Sprint("c", n)), Shares: map[core.PoolID]float64{poolID: 1},
		})
	}
	fl := newFleet(re, va, 3, customers...)
	if err := fl.Start(ctx); err != nil {
		t.Fatal(err)
	}
	wl := newWorkload(fl, 4, va.policy)
	base := 0.6 * re.saturationRate * engineCount
	sampling, stop := context.WithCancel(ctx)
	go wl.sampleLoads(sampling, re.floor)
	var all sync.WaitGroup
	anyone := func(wl *workload) {
		wl.startTurn(ctx, &all, core.CustomerID(fmt.Sprint("c", wl.ra.Uint64()%customerCount)), re.output)
	}
	wl.rate = base
	wl.run(ctx, 20*time.Second, anyone)
	if surge {
		wl.rate = 2 * base
	}
	wl.run(ctx, 20*time.Second, func(wl *workload) {
		if !surge || wl.ra.Uint64()%2 == 0 {
			anyone(wl)
			return
		}
		wl.startTurn(ctx, &all, core.CustomerID(fmt.Sprint("c", wl.ra.Uint64()%2)), re.output)
	})
	wl.rate = base
	wl.run(ctx, 10*time.Second, anyone)
	stop()
	all.Wait()
	return wl
}
