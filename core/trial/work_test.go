package trial_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"almondrill/core"
	"almondrill/core/decl"
	"almondrill/core/ring"
	"almondrill/core/router"
	"almondrill/io/fakes/inmem"
)

const poolID core.PoolID = "chat"

// inBubble runs f in a synctest bubble, on virtual time, within a benchmark. synctest.Test requires a
// *testing.T, which testing.RunTests provides.
func inBubble(b *testing.B, f func(t *testing.T)) {
	b.Helper()
	all := func(_, _ string) (bool, error) { return true, nil }
	ok := testing.RunTests(all, []testing.InternalTest{{Name: b.Name(), F: func(t *testing.T) { synctest.Test(t, f) }}})
	if !ok {
		b.Fail()
	}
}

func document(li decl.Limits, bias float64, customers ...decl.Customer) *decl.Document {
	return &decl.Document{Customers: customers, Pools: []decl.Pool{{Name: poolID, Model: "m", Limits: li, ReuseBias: bias}}}
}

// workload generates turns of chats at a given rate, as an open loop.
type workload struct {
	fl *inmem.Fleet
	// policy chooses the agents; nil means the product's own router.
	policy policy
	ra     *rand.Rand
	chats  int
	// rate is in requests per second.
	rate  float64
	turns map[string]int

	mu sync.Mutex // guards all below
	// returning counts the served turns of returning chats, possible those whose context was in some
	// engine's cache when they were sent, hits those whose context was found, and possibleHits the
	// hits among the possible ones.
	returning          int
	possible           int
	hits               int
	possibleHits       int
	refused            int
	reasons            map[core.Reason]int
	served             int
	latencies          map[core.CustomerID][]time.Duration
	firstPartLatencies map[core.CustomerID][]time.Duration
	loadRatios         []float64
	pending            map[string]bool // chats whose last turn is not answered yet
}

// policy chooses the VM for a call, as a baseline for the product's own routing.
type policy func(wl *workload, me *inmem.Member, key uint64) core.VMID

func newWorkload(fl *inmem.Fleet, seed uint64, po policy) *workload {
	return &workload{
		fl: fl, policy: po, ra: rand.New(rand.NewPCG(seed, 7)), chats: 20_000,
		turns: map[string]int{}, pending: map[string]bool{}, reasons: map[core.Reason]int{}, latencies: map[core.CustomerID][]time.Duration{}, firstPartLatencies: map[core.CustomerID][]time.Duration{},
	}
}

// run calls send for each request, at the workload's rate with exponentially distributed gaps, for the
// duration d.
func (wl *workload) run(ctx context.Context, d time.Duration, send func(wl *workload)) {
	end := time.Now().Add(d)
	for time.Now().Before(end) {
		gap := -math.Log(1-wl.ra.Float64()) / wl.rate
		_ = wl.fl.Clock.Sleep(ctx, time.Duration(gap*float64(time.Second)))
		send(wl)
	}
}

// zipfian draws a chat from a Zipf-like distribution, in which the most popular chat makes up about
// 1 % of the requests.
func (wl *workload) zipfian() int {
	const flat = 60
	top := math.Log(float64(wl.chats+flat) / flat)
	return int(flat*math.Exp(wl.ra.Float64()*top)) - flat
}

// startTurn sends the next turn of one of the customer's chats through a random router. It picks only
// chats whose last turn has been answered.
func (wl *workload) startTurn(ctx context.Context, all *sync.WaitGroup, cu core.CustomerID, output core.Tokens) {
	name := wl.idleChat(cu)
	wl.turns[name]++
	prompt := core.Tokens(300 + 150*min(wl.turns[name], 6))
	first := wl.turns[name] == 1
	me := wl.fl.RouterAt(int(wl.ra.Uint64() % uint64(wl.fl.Routers)))
	ca := core.Call{
		Customer: cu, Pool: poolID, Chat: core.ChatID(name), MayRepeat: true,
		Priority: core.PriorityNormal, Stream: true, Prompt: prompt, Output: output, Body: []byte("x"),
	}
	all.Go(func() { wl.send(ctx, me, ca, first) })
}

func (wl *workload) idleChat(cu core.CustomerID) string {
	wl.mu.Lock()
	defer wl.mu.Unlock()
	for {
		name := fmt.Sprint(cu, "-chat-", wl.zipfian())
		if !wl.pending[name] {
			wl.pending[name] = true
			return name
		}
	}
}

func (wl *workload) send(ctx context.Context, me *inmem.Member, ca core.Call, first bool) {
	key := ring.Key(ca.Customer, ca.Pool, ca.Chat)
	possible := !first && wl.cachedAnywhere(key)
	start := time.Now()
	fi := &firstPart{}
	rep, err := wl.route(ctx, me, ca, key, fi)
	took := time.Since(start)
	wl.mu.Lock()
	defer wl.mu.Unlock()
	delete(wl.pending, string(ca.Chat))
	if err != nil {
		wl.refused++
		wl.reasons[core.AsRefusal(err, "", "").Reason]++
		return
	}
	wl.served++
	wl.latencies[ca.Customer] = append(wl.latencies[ca.Customer], took)
	wl.firstPartLatencies[ca.Customer] = append(wl.firstPartLatencies[ca.Customer], fi.at.Sub(start))
	if first {
		return
	}
	wl.returning++
	found := rep.Cached*4 >= ca.Prompt*3
	if found {
		wl.hits++
	}
	if !possible {
		return
	}
	wl.possible++
	if found {
		wl.possibleHits++
	}
}

func (wl *workload) route(ctx context.Context, me *inmem.Member, ca core.Call, key uint64, si core.Sink) (*core.Report, error) {
	if wl.policy == nil {
		gr := me.Board.Snapshot().Config.Group(poolID)
		return me.Router.Route(ctx, &router.Request{Call: ca, Group: gr}, si)
	}
	ca.NoRedirect = true
	var rep *core.Report
	err := error(&core.Refusal{Outcome: core.NotRun})
	for try := 0; try < 3 && err != nil; try++ {
		vm := wl.policy(wl, me, key+uint64(try))
		rep, err = wl.fl.PeersOf(me).Serve(ctx, vm, &ca, si)
	}
	return rep, err
}

func (wl *workload) cachedAnywhere(key uint64) bool {
	for _, me := range wl.fl.LiveAgents() {
		if me.Engines[0].HasContext(key) {
			return true
		}
	}
	return false
}

// sampleLoads records the ratio of the busiest engine's load to the mean while the mean is at least
// floor, below which the cap does not apply.
func (wl *workload) sampleLoads(ctx context.Context, floor core.Work) {
	for wl.fl.Clock.Sleep(ctx, 20*time.Millisecond) == nil {
		var sum, highest core.Work
		live := wl.fl.LiveAgents()
		for _, me := range live {
			load := me.Agent.Slots[0].Gate().Load()
			sum += load
			highest = max(highest, load)
		}
		mean := float64(sum) / float64(len(live))
		if mean < float64(floor) {
			continue
		}
		wl.mu.Lock()
		wl.loadRatios = append(wl.loadRatios, float64(highest)/mean)
		wl.mu.Unlock()
	}
}

func quantile[T ~float64 | ~int64](values []T, at float64) T {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(at*float64(len(sorted))))]
}

func (wl *workload) reportReuse(b *testing.B) {
	b.Log(wl.reasons)
	b.ReportMetric(ratio(wl.possibleHits, wl.possible), "reuse-of-possible")
	b.ReportMetric(ratio(wl.hits, wl.returning), "reuse")
	b.ReportMetric(ratio(wl.refused, wl.refused+wl.served), "refused")
}

func ratio(part, whole int) float64 { return float64(part) / math.Max(1, float64(whole)) }

// firstPart is a sink that records when the first part of a response arrived.
type firstPart struct{ at time.Time }

// Send records the time of the first part.
func (fi *firstPart) Send(*core.Part) error {
	if fi.at.IsZero() {
		fi.at = time.Now()
	}
	return nil
}

// The functions below are the baseline policies.

func hashPolicy(_ *workload, me *inmem.Member, key uint64) core.VMID {
	po := me.Board.Snapshot().Pools[poolID]
	return po.Members[ring.Best(po.Ring, key, po.EqualWeights)].VM
}

// leastLoadedPolicy chooses the agent with the lowest current load.
func leastLoadedPolicy(wl *workload, me *inmem.Member, _ uint64) core.VMID {
	po := me.Board.Snapshot().Pools[poolID]
	best := po.Members[0]
	for _, one := range po.Members {
		if wl.currentLoad(one.VM) < wl.currentLoad(best.VM) {
			best = one
		}
	}
	return best.VM
}

func twoChoicesPolicy(wl *workload, me *inmem.Member, key uint64) core.VMID {
	po := me.Board.Snapshot().Pools[poolID]
	one := po.Members[ring.Mix(key, uint64(time.Now().UnixNano()))%uint64(len(po.Members))].VM
	two := po.Members[ring.Mix(key+1, uint64(time.Now().UnixNano()))%uint64(len(po.Members))].VM
	if wl.currentLoad(two) < wl.currentLoad(one) {
		return two
	}
	return one
}

// currentLoad returns an agent's exact load. Baselines would have only older reports in production, so
// this favors them.
func (wl *workload) currentLoad(vm core.VMID) core.Work {
	if me := wl.fl.LiveAgent(vm); me != nil {
		return me.Agent.Slots[0].Gate().Load()
	}
	return math.MaxInt64
}
