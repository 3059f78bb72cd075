package trial_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"almondrill/core"
	"almondrill/core/decl"
	"almondrill/core/revlog"
	"almondrill/io/clock"
	"almondrill/io/fakes/audit"
	"almondrill/io/fakes/inmem"
	"almondrill/io/fakes/kvsrv"
	"almondrill/io/fakes/wstore"
)

// rollout is a harness whose pool declares a model version, with a fake weight store.
type rollout struct {
	*harness
	store   *wstore.Store
	engines []*inmem.Engine
	minimum int
}

// runRollout runs a test in virtual time on a pool whose engines all have version v1 of the model.
func runRollout(t *testing.T, seed uint64, agents, minimum int, test func(ro *rollout)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) { startRollout(t, seed, agents, minimum, test) })
}

func startRollout(t *testing.T, seed uint64, agents, minimum int, test func(ro *rollout)) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ro := &rollout{
		harness: &harness{t: t, ctx: ctx, audit: &audit.Audit{}, counts: map[core.Outcome]int{}},
		store:   &wstore.Store{Clock: clock.Wall{}, FetchTime: 20 * time.Second, MaxFetches: 2},
		minimum: minimum,
	}
	for range agents {
		ro.engines = append(ro.engines, ro.engine())
	}
	ro.fl = &inmem.Fleet{
		Seed: seed, Routers: 3, Agents: agents, Pool: poolID, VMListLag: 5 * time.Second, Document: ro.document("v1"),
		Engine: func(ix int) *inmem.Engine { return ro.engines[ix] },
	}
	if err := ro.fl.Start(ctx); err != nil {
		t.Fatal(err)
	}
	// By then a router holds the lease.
	time.Sleep(30 * time.Second)
	test(ro)
	cancel()
	// The time limit of an order is the longest wait of any goroutine here.
	time.Sleep(30 * time.Minute)
}

func (ro *rollout) engine() *inmem.Engine {
	return &inmem.Engine{
		Clock: clock.Wall{}, Step: 10 * time.Millisecond, PerCall: time.Millisecond,
		Prefill: 100 * time.Microsecond, CacheTokens: 50_000, Chunk: 5, Audit: ro.audit,
		Orders: inmem.OrderHandling{
			Loaded:  core.EngineState{Model: modelName, Version: "v1", Role: "Both"},
			Weights: ro.store,
		},
	}
}

func (ro *rollout) document(version string) *decl.Document {
	doc := document(decl.Limits{FloorWork: 500, Slots: 8, QueueCalls: 16}, 0)
	doc.Pools[0].Model, doc.Pools[0].Version, doc.Pools[0].Minimum = modelName, version, ro.minimum
	return doc
}

const modelName = "m"

// declare commits a document with the version through a router.
func (ro *rollout) declare(from int, version string) {
	ro.t.Helper()
	me := ro.fl.RouterAt(from)
	for ; me.KVUnreachable.Load(); from++ {
		me = ro.fl.RouterAt(from % 3)
	}
	if err := me.Log.Refresh(ro.ctx); err != nil {
		ro.t.Fatal(err)
	}
	_, rev := me.Log.Document()
	if _, err := me.Log.Commit(ro.ctx, rev, ro.document(version), revlog.Meta{ID: fmt.Sprint(version, rev), Author: "operator"}); err != nil {
		ro.t.Fatal(err)
	}
}

// enginesAt returns the number of engines that have the version loaded.
func (ro *rollout) enginesAt(version string) int {
	count := 0
	for _, en := range ro.engines {
		if st, err := en.State(ro.ctx); err == nil && st.Version == version {
			count++
		}
	}
	return count
}

// serving returns the number of agents whose endpoint is not paused.
func (ro *rollout) serving() int {
	count := 0
	for _, me := range ro.fl.Members() {
		if me.Agent != nil && !me.Agent.Slots[0].Paused() {
			count++
		}
	}
	return count
}

// waitUntil waits for a condition, at most for limit, and returns how long it waited.
func (ro *rollout) waitUntil(limit time.Duration, done func() bool) time.Duration {
	start := time.Now()
	for !done() && time.Since(start) < limit {
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(start)
}

// checkFences checks that no engine ran an order of an earlier lease holder after one of a later
// holder, and that no order interrupted a call.
func (ro *rollout) checkFences() {
	ro.t.Helper()
	for ix, en := range ro.engines {
		fences, interrupted := en.Fences()
		if !slices.IsSorted(fences) {
			ro.t.Errorf("engine %d ran orders with fences %v, want nondecreasing ones", ix, fences)
		}
		if interrupted > 0 {
			ro.t.Errorf("engine %d: orders interrupted %d calls", ix, interrupted)
		}
	}
}

// A new version is declared for a busy pool of six engines. The weight store serves two loads at a
// time, and at least four engines must keep serving. Callers must not get errors.
func TestVersionRollsUnderLoad(t *testing.T) {
	runRollout(t, 21, 6, 4, func(ro *rollout) {
		minServing := len(ro.engines)
		ctx, cancel := context.WithCancel(ro.ctx)
		go func() {
			for ctx.Err() == nil {
				minServing = min(minServing, ro.serving())
				time.Sleep(50 * time.Millisecond)
			}
		}()
		time.Sleep(30 * time.Second)
		ro.declare(0, "v2")
		ro.runCallers(12, 3*time.Minute)
		cancel()
		synctest.Wait()
		if ro.enginesAt("v2") != len(ro.engines) {
			t.Errorf("%d of %d engines have the new version", ro.enginesAt("v2"), len(ro.engines))
		}
		if minServing < 4 || minServing == len(ro.engines) {
			t.Errorf("the minimum number of serving engines was %d, want 4 or 5", minServing)
		}
		if ro.counts[core.Failed]+ro.counts[core.Unknown] > 0 || ro.counts[core.Whole] == 0 {
			t.Errorf("outcomes of calls: %v", ro.counts)
		}
		ro.checkFences()
		ro.checkAudit("roll")
	})
}

// The lease holder decides on orders and is paused before it sends them. Its lease expires, another
// router takes over, the operator rolls the pool back, and agents are restarted without state. Then
// the old orders arrive, at engines that do not check fences: the agents must refuse them.
func TestOrdersOfPausedHolderAreRefused(t *testing.T) {
	runRollout(t, 22, 4, 1, func(ro *rollout) {
		holder := ro.leaseHolder()
		if holder == nil {
			t.Fatal("nobody holds the lease")
		}
		ro.fl.Net.DelayOrders(holder.ID, 3*time.Minute)
		ro.declare(1, "v2")
		time.Sleep(5 * time.Second)
		holder.KVUnreachable.Store(true)
		ro.waitUntil(time.Minute, func() bool { return ro.enginesAt("v2") > 0 })
		ro.declare(1, "v1")
		ro.waitUntil(2*time.Minute, func() bool { return ro.enginesAt("v2") == 0 })
		if successor := ro.leaseHolder(); successor == nil || successor == holder {
			t.Fatal("no other router acquired the lease: the test proves nothing")
		}
		for ix := range ro.engines {
			ro.restart(ix)
		}
		time.Sleep(3 * time.Minute)
		if ro.enginesAt("v1") != len(ro.engines) {
			t.Errorf("only %d engines have the declared version", ro.enginesAt("v1"))
		}
		ro.checkFences()
	})
}

// restart replaces an agent with a new process for the same engine.
func (ro *rollout) restart(ix int) {
	name := fmt.Sprintf("agent-%04d", ix)
	ro.fl.LiveAgent(core.VMID(name)).Kill()
	ro.fl.AddAgent(name, ix)
}

// Other messages nearly use up the lease holder's budget for control messages. Orders must be sent as
// the budget allows, none may be reported as refused by an agent that it never reached, and the
// rollout must complete.
func TestOrdersWaitForControlBudget(t *testing.T) {
	runRollout(t, 23, 8, 1, func(ro *rollout) {
		holder := ro.leaseHolder()
		if holder == nil {
			t.Fatal("nobody holds the lease")
		}
		spending, stop := context.WithCancel(ro.ctx)
		go func() {
			for ro.fl.Clock.Sleep(spending, 400*time.Millisecond) == nil {
				holder.Bucket.Spend(ro.fl.ControlBudget / 10)
			}
		}()
		ro.declare(1, "v2")
		ro.waitUntil(10*time.Minute, func() bool { return ro.enginesAt("v2") == len(ro.engines) })
		stop()
		if ro.enginesAt("v2") != len(ro.engines) || holder.OrdersRefused.Load() > 0 {
			t.Errorf("%d engines have the new version, %d orders were refused", ro.enginesAt("v2"), holder.OrdersRefused.Load())
		}
	})
}

// leaseHolder returns the router that holds the lease for giving orders, or nil.
func (ro *rollout) leaseHolder() *inmem.Member {
	for _, me := range ro.fl.Members() {
		if me.Controller == nil {
			continue
		}
		if _, held := me.Controller.Lease.Fence(); held {
			return me
		}
	}
	return nil
}

// A declared version crashes each engine that loads it; the engine returns half a minute later with
// the previous version. If the order were given to one engine after the other, the pool would stay
// at its Minimum for as long as the version is declared. The order must be given up after a few
// crashes, and the next version, which works, must roll out at once.
func TestCrashingVersionIsNotRolledOut(t *testing.T) {
	t.Run("while it is loaded", func(t *testing.T) { testCrashingVersion(t, 24, false) })
	t.Run("once it is loaded", func(t *testing.T) { testCrashingVersion(t, 25, true) })
}

func testCrashingVersion(t *testing.T, seed uint64, loaded bool) {
	const maxCrashes = 3
	runRollout(t, seed, 8, 2, func(ro *rollout) {
		for _, en := range ro.engines {
			en.Crashes.OnVersion, en.Crashes.AfterLoading, en.Crashes.Downtime = "bad", loaded, 30*time.Second
		}
		ro.declare(0, "bad")
		time.Sleep(5 * time.Minute)
		crashes := 0
		for _, en := range ro.engines {
			crashes += en.CrashCount()
		}
		if crashes == 0 || crashes > maxCrashes {
			t.Errorf("%d engine crashes in five minutes, want 1 to %d", crashes, maxCrashes)
		}
		ro.declare(0, "good")
		took := ro.waitUntil(20*time.Minute, func() bool { return ro.enginesAt("good") == len(ro.engines) })
		if took > 5*time.Minute {
			t.Errorf("%d of %d engines have the next version after %s", ro.enginesAt("good"), len(ro.engines), took)
		}
		ro.checkFences()
	})
}

// Operators change the version about every half minute while routers are paused in turn, the KV fails
// and loses replies, and agents are restarted. No engine may run an order after one with a higher
// fence, and after the faults have ended every engine must have the declared version.
func TestOrderHistories(t *testing.T) {
	seeds := []uint64{31, 32, 33}
	for range *explore {
		seeds = append(seeds, clock.RandomSeed())
	}
	for _, seed := range seeds {
		runRollout(t, seed, 4, 2, func(ro *rollout) {
			ro.orderHistory(clock.NewRand(seed))
			if ro.enginesAt("last") != len(ro.engines) {
				t.Errorf("seed %d: only %d engines have the last declared version", seed, ro.enginesAt("last"))
			}
			ro.checkFences()
		})
	}
}

// orderHistory runs 20 rounds of version changes and faults, which take some ten minutes.
func (ro *rollout) orderHistory(ra core.Rand) {
	kinds := []kvsrv.Faults{{}, {Down: true}, {ReplyLoss: 0.5}, {Delay: 200 * time.Millisecond}}
	for turn := range 20 {
		ro.fl.Store.SetFaults(kvsrv.Faults{})
		time.Sleep(2 * time.Second)
		if holder := ro.leaseHolder(); holder != nil && ra.Uint64()%2 == 0 {
			ro.pause(holder, randomDuration(ra, 90*time.Second), turn)
		} else {
			ro.declare(turn%3, fmt.Sprint("v", turn))
		}
		time.Sleep(randomDuration(ra, 15*time.Second))
		ro.fl.Store.SetFaults(kinds[ra.Uint64()%uint64(len(kinds))])
		if ra.Uint64()%2 == 0 {
			ro.restart(int(ra.Uint64() % uint64(len(ro.engines))))
		}
		time.Sleep(randomDuration(ra, 20*time.Second))
	}
	ro.fl.Store.SetFaults(kvsrv.Faults{})
	ro.resume()
	ro.declare(0, "last")
	ro.waitUntil(20*time.Minute, func() bool { return ro.enginesAt("last") == len(ro.engines) })
}

// pause delays the orders that the holder sends by d and cuts it off from the KV, so that its lease
// has often expired when they arrive.
func (ro *rollout) pause(holder *inmem.Member, d time.Duration, turn int) {
	ro.resume()
	ro.fl.Net.DelayOrders(holder.ID, d)
	for ix := range 3 {
		if ro.fl.RouterAt(ix) != holder {
			ro.declare(ix, fmt.Sprint("v", turn))
			break
		}
	}
	time.Sleep(3 * time.Second)
	holder.KVUnreachable.Store(true)
}

// resume ends the pauses of all routers.
func (ro *rollout) resume() {
	for ix := range 3 {
		ro.fl.Net.DelayOrders(ro.fl.RouterAt(ix).ID, 0)
		ro.fl.RouterAt(ix).KVUnreachable.Store(false)
	}
	time.Sleep(time.Second)
}

func randomDuration(ra core.Rand, limit time.Duration) time.Duration {
	return time.Duration(ra.Uint64() % uint64(limit))
}

// BenchmarkRoll rolls out a version on a pool in which nine of ten engines must keep serving, with a
// weight store that serves two loads of 20 s at a time. It reports the time relative to what the
// store needs, the loads that the store refused per completed load, and KV calls per second.
func BenchmarkRoll(b *testing.B) {
	for _, agents := range []int{20, 40, 80} {
		b.Run(fmt.Sprint("own/engines=", agents), func(b *testing.B) {
			for b.Loop() {
				inBubble(b, func(t *testing.T) {
					startRollout(t, 5, agents, agents*9/10, func(ro *rollout) { ro.roll(b) })
				})
			}
		})
	}
}

func (ro *rollout) roll(b *testing.B) {
	count := len(ro.engines)
	ro.declare(0, "v2")
	before, start := ro.fl.Store.Calls(), controlBytesSent(ro.fl)
	took := ro.waitUntil(4*time.Hour, func() bool { return ro.enginesAt("v2") == count })
	calls, counts := ro.fl.Store.Calls(), ro.store.Counts()
	needed := time.Duration((count+1)/2) * ro.store.FetchTime
	b.ReportMetric(took.Seconds(), "s")
	b.ReportMetric(float64(took)/float64(needed), "time/needed")
	b.ReportMetric(float64(counts.Refused)/float64(counts.Fetched), "refused/load")
	b.ReportMetric(float64(calls.Writes-before.Writes)/took.Seconds(), "KV-writes/s")
	b.ReportMetric(float64(calls.Reads-before.Reads)/took.Seconds(), "KV-reads/s")
	b.ReportMetric(float64(controlBytesSent(ro.fl)-start)/took.Seconds()/float64(len(ro.fl.Members())), "B/s/node")
}
