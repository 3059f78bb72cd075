package trial_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/decl"
	"almondrill/core/revlog"
	"almondrill/io/fakes/inmem"
	"almondrill/io/fakes/kvsrv"
)

var fleetSizes = []int{50, 150, 500}

// controlFleet returns a fleet with one router per five agents, the ratio of the target deployment.
func controlFleet(nodes int, customers ...decl.Customer) *inmem.Fleet {
	return &inmem.Fleet{
		Seed: 5, Routers: nodes / 6, Agents: nodes - nodes/6, Pool: poolID,
		Document: document(decl.Limits{}, 0, customers...),
		Engine:   func(int) *inmem.Engine { return largeProfile.engine() },
	}
}

// BenchmarkControl measures the control traffic that a process sends, in bytes per second, with all
// agents in one pool and without requests for 20 s. Agents send the larger share.
func BenchmarkControl(b *testing.B) {
	for _, nodes := range fleetSizes {
		b.Run(fmt.Sprint("own/nodes=", nodes), func(b *testing.B) {
			for b.Loop() {
				inBubble(b, func(t *testing.T) {
					ctx, cancel := context.WithCancel(context.Background())
					defer cancel()
					fl := controlFleet(nodes)
					if err := fl.Start(ctx); err != nil {
						t.Fatal(err)
					}
					before, start := controlBytesSent(fl), time.Now()
					time.Sleep(20 * time.Second)
					agents := controlBytesSent(fl) - before
					b.ReportMetric(float64(agents)/time.Since(start).Seconds()/float64(len(fl.Members())), "B/s/node")
				})
			}
		})
	}
}

func controlBytesSent(fl *inmem.Fleet) core.Bytes {
	var sum core.Bytes
	for _, me := range fl.Members() {
		sum += me.Bucket.Sent()
	}
	return sum
}

// BenchmarkInForce measures the seconds from the acceptance of a change until it is in force on every
// process, with the KV available and with a KV that fails right after each acceptance.
func BenchmarkInForce(b *testing.B) {
	for _, nodes := range fleetSizes {
		for _, lost := range []bool{false, true} {
			name := fmt.Sprintf("own/nodes=%d/kv-lost=%v", nodes, lost)
			b.Run(name, func(b *testing.B) {
				for b.Loop() {
					inBubble(b, func(t *testing.T) {
						times := inForceRun(t, nodes, lost)
						b.ReportMetric(quantile(times, 0.99), "p99-s")
						b.ReportMetric(quantile(times, 1), "max-s")
					})
				}
			})
		}
	}
}

func inForceRun(t *testing.T, nodes int, kvLost bool) []float64 {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fl := controlFleet(nodes)
	if err := fl.Start(ctx); err != nil {
		t.Fatal(err)
	}
	var times []float64
	for n := range max(3, 500/nodes) {
		fl.Store.SetFaults(kvsrv.Faults{})
		from := fl.RouterAt(n % fl.Routers)
		if err := from.Log.Refresh(ctx); err != nil {
			t.Fatal(err)
		}
		doc, rev := from.Log.Document()
		next := decl.Apply(doc, &decl.Delta{Set: decl.Document{
			Customers: []decl.Customer{{Name: core.CustomerID(fmt.Sprint("new-", n))}},
		}})
		rev, err := from.Log.Commit(ctx, rev, next, revlog.Meta{ID: fmt.Sprint(n)})
		if err != nil {
			t.Fatal(err)
		}
		fl.Store.SetFaults(kvsrv.Faults{Down: kvLost})
		times = append(times, awaitRevision(t, fl, rev)...)
	}
	return times
}

func awaitRevision(t *testing.T, fl *inmem.Fleet, rev core.Revision) []float64 {
	start := time.Now()
	var times []float64
	done := map[core.VMID]bool{}
	for len(done) < len(fl.Members()) {
		for _, me := range fl.Members() {
			if !done[me.ID] && me.Log.Revision() >= rev {
				done[me.ID] = true
				times = append(times, time.Since(start).Seconds())
			}
		}
		if time.Since(start) > time.Minute {
			t.Fatalf("%d of %d processes have revision %d after a minute", len(done), len(fl.Members()), rev)
		}
		time.Sleep(5 * time.Millisecond)
	}
	return times
}

// BenchmarkConfig measures the cost of distributing the configuration, with 1,600 customers and 3,800
// changes a day: bytes per second and process, and KV calls per second.
func BenchmarkConfig(b *testing.B) {
	for _, nodes := range fleetSizes {
		b.Run(fmt.Sprint("own/nodes=", nodes), func(b *testing.B) {
			for b.Loop() {
				inBubble(b, func(t *testing.T) { configRun(t, b, nodes) })
			}
		})
	}
}

func manyCustomers(count int) []decl.Customer {
	var customers []decl.Customer
	for n := range count {
		customers = append(customers, decl.Customer{
			Name: core.CustomerID(fmt.Sprint("customer-", n)), KeyHashes: []string{fmt.Sprintf("%x", sha256.Sum256([]byte(fmt.Sprint(n))))},
			Shares: map[core.PoolID]float64{poolID: 1},
		})
	}
	return customers
}

func configRun(t *testing.T, b *testing.B, nodes int) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fl := controlFleet(nodes, manyCustomers(1600)...)
	if err := fl.Start(ctx); err != nil {
		t.Fatal(err)
	}
	const changes, perDay = 3, 3800
	every := 24 * time.Hour / perDay
	fetched, calls, start := fl.Net.FetchedBytes(), fl.Store.Calls(), time.Now()
	for n := range changes {
		from := fl.RouterAt(n % fl.Routers)
		doc, rev := from.Log.Document()
		next := decl.Apply(doc, &decl.Delta{Set: decl.Document{Customers: manyCustomers(n + 1)[n:]}})
		next.Customers[n].MaxPriority = core.PriorityHigh
		if _, err := from.Log.Commit(ctx, rev, next, revlog.Meta{ID: fmt.Sprint(n), Author: "operator"}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(every)
	}
	took := time.Since(start).Seconds()
	after := fl.Store.Calls()
	b.ReportMetric(float64(fl.Net.FetchedBytes()-fetched)/took/float64(nodes), "config-B/s/node")
	b.ReportMetric(float64(after.Reads+after.Writes-calls.Reads-calls.Writes)/took, "kv-calls/s")
}

// BenchmarkSnapshotStart measures how a process loads a snapshot with 1,600 customers from a peer.
func BenchmarkSnapshotStart(b *testing.B) {
	doc := document(decl.Limits{}, 0, manyCustomers(1600)...)
	ctx := context.Background()
	store := &kvsrv.Store{Clock: largeProfile.engine().Clock}
	peer := &revlog.Log{KV: store, Clock: store.Clock}
	if _, err := peer.Commit(ctx, 0, doc, revlog.Meta{ID: "x"}); err != nil {
		b.Fatal(err)
	}
	for n := range 201 {
		cur, rev := peer.Document()
		next := decl.Apply(cur, &decl.Delta{Set: decl.Document{Customers: manyCustomers(1)}})
		next.Customers[0].Shares = map[core.PoolID]float64{poolID: float64(n + 2)}
		if _, err := peer.Commit(ctx, rev, next, revlog.Meta{ID: fmt.Sprint(n)}); err != nil {
			b.Fatal(err)
		}
	}
	ch, err := peer.ChangesSince(0)
	if err != nil || len(ch.Snapshot) == 0 {
		b.Fatalf("no snapshot: %v", err)
	}
	b.ReportAllocs()
	for b.Loop() {
		fresh := &revlog.Log{Adopt: func(cfg *decl.Config) {}}
		if err := fresh.Apply(ch); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(ch.Snapshot)), "snapshot-B")
}
