package order_test

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"almondrill/core"
	"almondrill/core/decl"
	"almondrill/core/order"
	"almondrill/io/clock"
	"almondrill/io/fakes/inmem"
	"almondrill/io/fakes/kvsrv"
)

func newStore() *kvsrv.Store {
	return &kvsrv.Store{Clock: clock.Wall{}, Rand: clock.NewRand(1), Latency: 2 * time.Millisecond}
}

func newLease(kv core.KV, name string) *order.Lease {
	return &order.Lease{
		KV: kv, Clock: clock.Wall{}, TTL: order.DefaultTTL,
		Self: core.Claimant{VM: core.VMID(name), Incarnation: 1},
	}
}

// Routers compete for the lease while the KV fails, slows down and loses responses. Two must never
// hold it at once, however late responses arrive, and fencing numbers must rise from one holder to
// the next.
func TestLeaseHasOneHolder(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) { compete(t, seed) })
	}
}

func compete(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	store, ra := newStore(), clock.NewRand(seed)
	var leases []*order.Lease
	for ix := range 4 {
		le := newLease(store, fmt.Sprint("router-", ix))
		leases = append(leases, le)
		own := clock.NewRand(seed*10 + uint64(ix))
		go func() {
			for (clock.Wall{}).Sleep(ctx, time.Duration(own.Uint64()%uint64(8*time.Second))) == nil {
				_ = le.RenewOrAcquire(ctx)
			}
		}()
	}
	kinds := []kvsrv.Faults{{}, {ReplyLoss: 0.5}, {Down: true}, {}, {Delay: 5 * time.Second}}
	last, holders := core.Fence(0), map[core.Fence]bool{}
	for tick := range 12000 {
		if tick%150 == 0 {
			store.SetFaults(kinds[ra.Uint64()%uint64(len(kinds))])
		}
		time.Sleep(100 * time.Millisecond)
		held := 0
		for _, le := range leases {
			if fence, ok := le.Fence(); ok {
				held++
				last = max(last, fence)
				holders[fence] = true
				if fence < last {
					t.Errorf("seed %d: fencing number %d is held after %d", seed, fence, last)
				}
			}
		}
		if held > 1 {
			t.Fatalf("seed %d: %d processes hold the lease at once", seed, held)
		}
	}
	if len(holders) < 3 {
		t.Errorf("seed %d: only %d holders in turn, too few for the history to test anything", seed, len(holders))
	}
}

// The KV creates the holder's entry, but the response is lost. The process must read its own entry
// back and hold the lease, rather than wait until it expires.
func TestLostReplyToAcquire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := &lossyStore{Store: newStore(), key: "orders/holder"}
		le := newLease(kv, "router")
		if err := le.RenewOrAcquire(t.Context()); err != nil {
			t.Fatal(err)
		}
		if _, held := le.Fence(); !held || !kv.lost {
			t.Errorf("held %v, lost %v", held, kv.lost)
		}
	})
}

// lossyStore loses the response to the first write of a key.
type lossyStore struct {
	*kvsrv.Store
	key  string
	lost bool
}

// Put applies the write, and reports the first write of the key as lost.
func (lo *lossyStore) Put(ctx context.Context, key string, value []byte, expect core.Version, le core.LeaseID) (core.Version, error) {
	version, err := lo.Store.Put(ctx, key, value, expect, le)
	if key == lo.key && !lo.lost {
		lo.lost = true
		return 0, kvsrv.ErrReplyLost
	}
	return version, err
}

// An order waits for the engine's calls to end, which takes minutes. Meanwhile another process
// acquires the lease. The order must then not be executed.
func TestFenceIsCheckedAgainAfterDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		writeFence(t, store, 0, 5)
		en := &inmem.Engine{Clock: clock.Wall{}}
		free := make(chan struct{})
		ex := &order.Executor{KV: store, Clock: clock.Wall{}, Self: "agent", Endpoints: []*order.Endpoint{{
			ID: "engine", Engine: en, Resume: func() {},
			Drain: func(context.Context) error {
				<-free
				return nil
			},
		}}}
		or := core.Order{Fence: 5, Endpoint: "engine", Kind: core.OrderLoadModel, Name: "m", Version: "v2"}
		if err := ex.Order(t.Context(), &or); err != nil {
			t.Fatal(err)
		}
		writeFence(t, store, 1, 9)
		close(free)
		time.Sleep(time.Second)
		if fences, _ := en.Fences(); len(fences) > 0 {
			t.Errorf("executed orders with fencing numbers %v", fences)
		}
		if problem := ex.States(t.Context())[0].Problem; problem == nil || problem.Reason != core.ReasonOldFence {
			t.Errorf("the agent reports %v, want a refusal for an old fencing number", problem)
		}
	})
}

// writeFence writes the current fencing number as a holder does.
func writeFence(t *testing.T, store *kvsrv.Store, expect core.Version, to core.Fence) {
	t.Helper()
	if _, err := store.Put(t.Context(), "orders/fence", strconv.AppendUint(nil, uint64(to), 10), expect, 0); err != nil {
		t.Fatal(err)
	}
}

// An agent that has just started gets an order from a past holder of the lease, or one while the KV
// cannot be read or returns content older than the issuer's own write. It must refuse each with the
// matching reason.
func TestNoOrderWithoutTheCurrentFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newStore()
		writeFence(t, store, 0, 5)
		en := &inmem.Engine{Clock: clock.Wall{}}
		ex := &order.Executor{KV: store, Clock: clock.Wall{}, Self: "agent", Endpoints: []*order.Endpoint{{ID: "engine", Engine: en}}}
		for _, one := range []struct {
			fence  core.Fence
			down   bool
			reason core.Reason
		}{{5, true, core.ReasonKVDown}, {9, false, core.ReasonKVDown}, {3, false, core.ReasonOldFence}} {
			store.SetFaults(kvsrv.Faults{Down: one.down})
			err := ex.Order(t.Context(), &core.Order{Fence: one.fence, Endpoint: "engine", Kind: core.OrderChangeRole, Name: "Decode"})
			var re *core.Refusal
			if !errors.As(err, &re) || re.Reason != one.reason || re.Outcome != core.NotRun {
				t.Errorf("%+v: %v", one, err)
			}
		}
		if fences, _ := en.Fences(); len(fences) > 0 {
			t.Errorf("executed orders with fencing numbers %v", fences)
		}
	})
}

// Whatever the engines' states, the orders of one plan must leave Minimum engines serving and start
// no more loads than allowed.
func TestNextKeepsTheMinimum(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		po := &decl.Pool{Name: "p", Model: "m", Version: "v2", Minimum: rapid.IntRange(0, 6).Draw(rt, "minimum"), Adapters: []string{"a"}}
		loads := rapid.IntRange(0, 5).Draw(rt, "loads")
		var views []order.View
		serving := map[core.VMID]bool{}
		for ix := range rapid.IntRange(0, 10).Draw(rt, "engines") {
			vi := drawView(rt, core.VMID(fmt.Sprint("vm-", ix)))
			serving[vi.VM] = vi.Known && vi.Usable && (vi.Phase == core.PhaseUnmanaged ||
				(vi.Phase == core.PhaseReady && vi.Engine.Model == "m"))
			views = append(views, vi)
		}
		before := count(serving)
		begun := 0
		for _, as := range order.Next(po, views, loads, nil) {
			if as.Kind == core.OrderLoadModel {
				delete(serving, as.VM)
			}
			if as.Kind != core.OrderChangeRole && as.Kind != core.OrderUnloadAdapter {
				begun++
			}
		}
		if after := count(serving); after < before && after < max(1, po.Minimum) {
			rt.Errorf("%d of %d engines keep serving, want at least %d", after, before, po.Minimum)
		}
		if begun > loads {
			rt.Errorf("%d loads started, %d allowed", begun, loads)
		}
	})
}

func drawView(rt *rapid.T, vm core.VMID) order.View {
	phases := []core.Phase{core.PhaseReady, core.PhaseReady, core.PhaseOrdered, core.PhaseUnmanaged, core.PhaseUnreachable}
	return order.View{
		VM: vm, Known: rapid.Bool().Draw(rt, "known"), Usable: rapid.Bool().Draw(rt, "usable"),
		EndpointState: core.EndpointState{
			Endpoint: core.EndpointID(vm), Pool: "p", Phase: rapid.SampledFrom(phases).Draw(rt, "phase"),
			Engine: core.EngineState{
				Model:   rapid.SampledFrom([]string{"m", "other", ""}).Draw(rt, "model"),
				Version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(rt, "version"), Role: "Both",
			},
		},
	}
}

func count(set map[core.VMID]bool) int {
	sum := 0
	for _, in := range set {
		if in {
			sum++
		}
	}
	return sum
}

// The weight store rejects loads beyond its capacity. The window must grow with successful loads, be
// halved by a rejection, and never fall below one.
func TestLoadWindowAdaptsToTheStore(t *testing.T) {
	var lw order.LoadWindow
	for range 40 {
		lw.OrderSucceeded()
	}
	grown := lw.Size()
	lw.Rejected()
	if shrunk := lw.Size(); grown < 6 || shrunk != grown/2 {
		t.Errorf("window is %d after 40 loads, %d after a rejection", grown, shrunk)
	}
	for range 20 {
		lw.Rejected()
	}
	if lw.Size() != 1 {
		t.Errorf("window is %d after many rejections, want 1", lw.Size())
	}
}
