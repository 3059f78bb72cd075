package demo_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/io/client"
	"almondrill/io/demo"
	"almondrill/io/load"
	"almondrill/io/logs"
	"almondrill/io/rpc"
)

// cost is the processor time and the number of allocations that a function takes.
type cost struct {
	cpu    time.Duration
	allocs uint64
}

func measure(work func()) cost {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	start := cpuTime()
	work()
	took := cpuTime() - start
	runtime.ReadMemStats(&after)
	return cost{took, after.Mallocs - before.Mallocs}
}

func cpuTime() time.Duration {
	var ru syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &ru) != nil {
		return 0
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}

func startHopFleet(b *testing.B, every time.Duration) *demo.Fleet {
	b.Helper()
	fl := &demo.Fleet{Logs: logs.Discard(), Routers: 1, Engines: 1, Services: 1, TokenEvery: every, Slots: 512}
	if err := fl.Start(context.Background()); err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = fl.Stop() })
	return fl
}

// runStreams runs count streamed chats concurrently and returns the total number of tokens.
func runStreams(b *testing.B, addr string, count, tokens int) int {
	cl := &client.Client{Key: demo.Key, HTTP: demo.NewHTTP()}
	var all sync.WaitGroup
	for n := range count {
		all.Go(func() {
			rs := cl.Chat(context.Background(), addr, &client.Chat{
				Model: demo.Model, Stream: true, MaxTokens: tokens,
				Messages: []client.Message{{Role: "user", Content: fmt.Sprint("stream ", n)}},
			})
			if rs.Outcome != core.Whole {
				b.Errorf("%s %s %v", rs.Outcome, rs.Reason, rs.Err)
			}
		})
	}
	all.Wait()
	return count * tokens
}

// BenchmarkTokenHop measures processor time and allocations per streamed token and hop, over a
// router and an agent. The cost of the caller and the engine is subtracted by running the same
// streams directly against the engine. Each stream gets a token every 20 ms, so hardly any tokens
// share a message.
func BenchmarkTokenHop(b *testing.B) {
	for _, count := range []int{50, 100, 200} {
		b.Run(fmt.Sprint("streams=", count), func(b *testing.B) {
			const tokens, hops = 200, 2
			fl := startHopFleet(b, 20*time.Millisecond)
			runStreams(b, fl.RouterAddrs()[0], count, 10)
			for b.Loop() {
				direct := measure(func() { runStreams(b, fl.EngineAddrs()[0], count, tokens) })
				through := measure(func() { runStreams(b, fl.RouterAddrs()[0], count, tokens) })
				all := float64(count * tokens * hops)
				b.ReportMetric(float64((through.cpu-direct.cpu).Nanoseconds())/all, "ns/token")
				b.ReportMetric(float64(int64(through.allocs)-int64(direct.allocs))/all, "allocs/token")
			}
		})
	}
}

// BenchmarkRequestHop measures the same as BenchmarkTokenHop for chats of one token, per request
// and hop.
func BenchmarkRequestHop(b *testing.B) {
	for _, count := range []int{500, 1000, 2000} {
		b.Run(fmt.Sprint("requests=", count), func(b *testing.B) {
			const hops, parallel = 2, 50
			fl := startHopFleet(b, 200*time.Microsecond)
			run := func(addr string) func() {
				return func() {
					for range count / parallel {
						runStreams(b, addr, parallel, 1)
					}
				}
			}
			run(fl.RouterAddrs()[0])()
			for b.Loop() {
				direct := measure(run(fl.EngineAddrs()[0]))
				through := measure(run(fl.RouterAddrs()[0]))
				all := float64(count * hops)
				b.ReportMetric(float64((through.cpu-direct.cpu).Nanoseconds())/all, "ns/request")
				b.ReportMetric(float64(int64(through.allocs)-int64(direct.allocs))/all, "allocs/request")
			}
		})
	}
}

// BenchmarkConnection measures the memory of an open connection between two processes, both ends
// together, when it is idle after one exchange.
func BenchmarkConnection(b *testing.B) {
	for _, count := range []int{50, 100, 200} {
		b.Run(fmt.Sprint("count=", count), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(connectionMemory(b, count)/float64(count), "B/conn")
			}
		})
	}
}

func connectionMemory(b *testing.B, count int) float64 {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := &rpc.Server{Listener: li, Exchange: func(di *core.Digest) *core.Digest { return di }}
	server.Init()
	go func() { _ = server.Start(context.Background()) }()
	clients := make([]*rpc.Client, count)
	before := memoryInUse()
	for ix := range clients {
		clients[ix] = &rpc.Client{Addr: func(core.VMID) string { return li.Addr().String() }, MaxConns: 1}
		if _, err := clients[ix].Exchange(context.Background(), "peer", &core.Digest{}); err != nil {
			b.Fatal(err)
		}
	}
	used := memoryInUse() - before
	for _, cl := range clients {
		cl.Close()
	}
	_ = server.Stop(context.Background())
	return used
}

// memoryInUse returns the memory of heap and stacks.
func memoryInUse() float64 {
	var ms runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&ms)
	return float64(ms.HeapInuse) + float64(ms.StackInuse)
}

// BenchmarkAdded measures the latency in milliseconds that router and agent add to a chat of one
// token at 250, 500 and 1,000 requests per second, compared with the same load sent directly to the
// engine.
func BenchmarkAdded(b *testing.B) {
	for _, rate := range []float64{250, 500, 1000} {
		b.Run(fmt.Sprint("rate=", rate), func(b *testing.B) {
			fl := &demo.Fleet{Logs: logs.Discard(), Routers: 1, Engines: 1, Services: 1, TokenEvery: 2 * time.Millisecond, Slots: 512}
			if err := fl.Start(context.Background()); err != nil {
				b.Fatal(err)
			}
			defer func() { _ = fl.Stop() }()
			plan := load.Plan{
				Key: demo.Key, Model: demo.Model, Rate: rate, Duration: 4 * time.Second, Chats: 200, MaxTokens: 1, Seed: 1,
			}
			for b.Loop() {
				plan.Addr = fl.EngineAddrs()[0]
				direct := load.Run(context.Background(), plan)
				plan.Addr = fl.RouterAddrs()[0]
				through := load.Run(context.Background(), plan)
				if through.Outcomes["Whole"] != through.Sent {
					b.Errorf("%v %v", through.Outcomes, through.Reasons)
				}
				b.ReportMetric(through.WholeAnswer.P50-direct.WholeAnswer.P50, "added-p50-ms")
				b.ReportMetric(through.WholeAnswer.P99-direct.WholeAnswer.P99, "added-p99-ms")
			}
		})
	}
}

// BenchmarkIdle measures processor time and memory of a process that has only control messages to
// handle, over real sockets. All processes of the fleet run in one program.
func BenchmarkIdle(b *testing.B) {
	for _, agents := range []int{8, 16, 32} {
		b.Run(fmt.Sprint("processes=", agents+agents/4+1), func(b *testing.B) {
			before := memoryInUse()
			fl := &demo.Fleet{Logs: logs.Discard(), Routers: agents / 4, Engines: agents, Services: 1}
			if err := fl.Start(context.Background()); err != nil {
				b.Fatal(err)
			}
			defer func() { _ = fl.Stop() }()
			time.Sleep(2 * time.Second)
			for b.Loop() {
				const seconds = 5
				took := measure(func() { time.Sleep(seconds * time.Second) })
				processes := float64(len(fl.Processes))
				b.ReportMetric(100*took.cpu.Seconds()/seconds/processes, "core-%")
				b.ReportMetric((memoryInUse()-before)/processes, "B/process")
			}
		})
	}
}
