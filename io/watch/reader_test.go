package watch_test

import (
	"context"
	"math"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/mirror"
	"almondrill/io/clock"
	"almondrill/io/watch"
)

func TestChangesArriveImmediately(t *testing.T) {
	st := newStore()
	runReader(t, st, always, func(rd *watch.Reader, mi *mirror.Mirror) {
		st.set("a", false)
		time.Sleep(10 * time.Millisecond)
		if mi.AsOf() != 1 || rd.Age() > 20*time.Millisecond {
			t.Errorf("as of %d, age %s", mi.AsOf(), rd.Age())
		}
		time.Sleep(5 * time.Second)
		if rd.Age() > time.Second {
			t.Errorf("age %s on a quiet store", rd.Age())
		}
	})
}

// pagedStore is a store whose listing comes in two pages, the second a second after the first.
type pagedStore struct{ *store }

func (pa *pagedStore) List(ctx context.Context, stale bool, received func([]core.Item)) ([]core.Item, core.Version, error) {
	all, rev, err := pa.store.List(ctx, stale, received)
	if err != nil {
		return nil, 0, err
	}
	slices.SortFunc(all, func(a, b core.Item) int { return strings.Compare(a.Key, b.Key) })
	received(all[:1])
	select {
	case <-time.After(time.Second):
		return all, rev, nil
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
}

// All routers start at once before thousands of registrations, and the listing takes seconds
// for each. The first page holds the configuration and some endpoints: callers would be
// refused until the last one came. Nothing may be told to peers before that.
func TestFirstPageIsAppliedImmediately(t *testing.T) {
	st := newStore()
	st.set("a", false)
	st.set("b", false)
	mi := &mirror.Mirror{}
	var known sync.Map
	mi.Changed = func(it core.Item) { known.Store(it.Key, true) }
	runReaderOn(t, &pagedStore{st}, st, mi, always, func(*watch.Reader) {
		_, first := known.Load("a")
		_, second := known.Load("b")
		if !first || second || mi.AsOf() != 0 {
			t.Errorf("after the first page: a known %v, b known %v, as of %d; want a alone, as of 0", first, second, mi.AsOf())
		}
		time.Sleep(time.Second)
		if _, second = known.Load("b"); !second || mi.AsOf() != 2 {
			t.Errorf("after the listing: b known %v, as of %d; want both, as of 2", second, mi.AsOf())
		}
	})
}

// A hundred routers start, and each writes its address. The routers that follow the store
// are woken by each of these changes: a question for each would make thousands of calls,
// which are paid for, and news would come no sooner, as peers are told ten times a second.
func TestBurstOfChangesNeedsFewCalls(t *testing.T) {
	st := newStore()
	runReader(t, st, always, func(_ *watch.Reader, mi *mirror.Mirror) {
		time.Sleep(time.Second)
		before := 0
		st.withLock(func() { before = st.watchCalls })
		const burst = 200
		for ix := range burst {
			st.set(strconv.Itoa(ix), false)
			time.Sleep(5 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		after := 0
		st.withLock(func() { after = st.watchCalls })
		if calls := after - before; calls > 14 {
			t.Errorf("%d calls were made for changes within a second, want one each 100 ms", calls)
		}
		if mi.AsOf() != burst {
			t.Errorf("as of %d, want %d", mi.AsOf(), burst)
		}
	})
}

// The store drops its history while a change was made that the watch did not hear.
func TestRelistsAfterCompaction(t *testing.T) {
	st := newStore()
	st.set("a", false)
	st.set("b", false)
	runReader(t, st, always, func(_ *watch.Reader, mi *mirror.Mirror) {
		st.withLock(func() { st.down = true })
		time.Sleep(time.Second)
		st.set("a", true)
		st.withLock(func() { st.compactedRev, st.down = st.rev, false })
		time.Sleep(time.Second)
		// The mirror has listed anew, so it tells all that it has: b, without a.
		changes, asOf, whole := mi.Since(2)
		if len(changes) != 1 || changes[0].Key != "b" || !whole || asOf != 3 {
			t.Errorf("news %+v as of %d, whole %v; want b alone, whole, as of 3", changes, asOf, whole)
		}
	})
}

// A connection to the store goes silent without a reset. What is believed would grow
// old without anybody noticing.
func TestHangingStoreIsDetected(t *testing.T) {
	st := newStore()
	runReader(t, st, always, func(rd *watch.Reader, _ *mirror.Mirror) {
		st.withLock(func() { st.hanging = true })
		time.Sleep(2500 * time.Millisecond)
		if !rd.Failing() || !rd.Uncertain() {
			t.Error("a store that is silent for 2.5 s counts as well")
		}
		st.withLock(func() { st.hanging = false })
		time.Sleep(2 * time.Second)
		if rd.Failing() || rd.Age() > time.Second {
			t.Errorf("failing %v, age %s, 2 s after its return", rd.Failing(), rd.Age())
		}
		if !rd.Uncertain() {
			t.Error("registrations that lapsed may still be missing")
		}
		time.Sleep(3 * time.Second)
		if rd.Uncertain() {
			t.Error("still in doubt 5 s after the store's return")
		}
	})
}

// A router that does not lead costs the store nothing while peers confirm what it
// knows, and asks for itself soon after they stop.
func TestStandbyReadsOnlyWithoutConfirmation(t *testing.T) {
	st := newStore()
	runReader(t, st, func() bool { return false }, func(rd *watch.Reader, mi *mirror.Mirror) {
		for range 50 {
			rd.Confirm(100 * time.Millisecond)
			time.Sleep(200 * time.Millisecond)
		}
		st.mu.Lock()
		waits := st.watchCalls
		st.mu.Unlock()
		if waits > 2 {
			t.Errorf("%d calls in 10 s though peers confirm", waits)
		}
		st.set("a", false)
		time.Sleep(1800 * time.Millisecond)
		if mi.AsOf() != 1 {
			t.Error("a change was not seen 1.8 s after the last confirmation")
		}
	})
}

// The store turns one router away and serves the others, whose confirmations it hears.
// Registrations do not lapse then: one that is deleted is gone.
func TestNotUncertainWhilePeersConfirm(t *testing.T) {
	st := newStore()
	runReader(t, st, always, func(rd *watch.Reader, _ *mirror.Mirror) {
		st.withLock(func() { st.down = true })
		for range 20 {
			rd.Confirm(300 * time.Millisecond)
			time.Sleep(200 * time.Millisecond)
		}
		if !rd.Failing() {
			t.Error("its own calls do not count as failing")
		}
		if rd.Uncertain() {
			t.Error("in doubt, though peers reach the store")
		}
	})
}

// A router that does not lead hears nothing of an outage but that its peers'
// confirmations stop. What is missing after it may have lapsed.
func TestUncertainWithoutOwnCalls(t *testing.T) {
	st := newStore()
	runReader(t, st, func() bool { return false }, func(rd *watch.Reader, _ *mirror.Mirror) {
		rd.Confirm(0)
		time.Sleep(1250 * time.Millisecond)
		if !rd.Uncertain() {
			t.Error("no doubt after 1.25 s without a word")
		}
		rd.Confirm(0)
		if !rd.Uncertain() {
			t.Error("no doubt right after the store's return")
		}
		for range 15 {
			rd.Confirm(0)
			time.Sleep(200 * time.Millisecond)
		}
		if rd.Uncertain() {
			t.Error("still in doubt 3 s after the store's return")
		}
	})
}

// A router starts while the store is silent, for another 350 ms. What it sent into the
// silence is never answered; waited for until its timeout, it kept the router refusing all
// callers for 1.65 s after the store was back.
func TestListingIsHedgedWhenStoreHangs(t *testing.T) {
	st := newStore()
	st.set("a", false)
	st.hanging = true
	runReader(t, st, always, func(_ *watch.Reader, mi *mirror.Mirror) {
		time.Sleep(300 * time.Millisecond)
		st.withLock(func() { st.hanging = false })
		time.Sleep(500 * time.Millisecond)
		if mi.AsOf() == 0 {
			t.Error("nothing is known 0.5 s after the store's return")
		}
	})
}

// The same at any moment of the silence's end, and for a store that refuses or is slow
// rather than silent.
func TestListsSoonAfterStoreRecovers(t *testing.T) {
	for outage := 100 * time.Millisecond; outage <= 6*time.Second; outage += 170 * time.Millisecond {
		for _, hanging := range []bool{true, false} {
			st := newStore()
			st.set("a", false)
			st.hanging, st.down = hanging, !hanging
			runReader(t, st, always, func(_ *watch.Reader, mi *mirror.Mirror) {
				time.Sleep(outage)
				st.withLock(func() { st.hanging, st.down = false, false })
				time.Sleep(1100 * time.Millisecond)
				if mi.AsOf() == 0 {
					t.Errorf("away for %s, silent %v: nothing is known 1.1 s after its return", outage, hanging)
				}
			})
		}
	}
}

// A peer tells what there is while the store is silent. The router follows from there, and
// does not list the store once it is back.
func TestNoListingAfterUpdateFromPeer(t *testing.T) {
	st := newStore()
	for range 3 {
		st.set("a", false)
	}
	st.hanging = true
	runReader(t, st, always, func(rd *watch.Reader, mi *mirror.Mirror) {
		mi.Replace([]core.Item{{Key: "a", Rev: 3}}, 3)
		rd.Confirm(0)
		time.Sleep(3 * time.Second)
		st.withLock(func() { st.hanging = false })
		st.set("b", false)
		time.Sleep(1500 * time.Millisecond)
		st.mu.Lock()
		defer st.mu.Unlock()
		if mi.AsOf() != 4 || st.listCalls > 0 {
			t.Errorf("as of %d after %d listings; want 4 after none", mi.AsOf(), st.listCalls)
		}
	})
}

// Hundreds of routers start at once beside a store that is silent for five seconds. Their
// attempts must leave it the rate that it has, and none may wait for long after.
func TestThunderingHerdOfListingsIsBounded(t *testing.T) {
	const routers, rate = 420, 2000
	synctest.Test(t, func(t *testing.T) {
		st := newStore()
		st.woken = make(chan struct{})
		st.set("a", false)
		st.hanging = true
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		var mirrors []*mirror.Mirror
		for ix := range routers {
			mi := &mirror.Mirror{}
			mirrors = append(mirrors, mi)
			rd := &watch.Reader{
				Feed: st, Mirror: mi, Rand: clock.NewRand(uint64(ix) + 1), Log: zap.NewNop(), IsWatcher: func() bool { return false },
			}
			rd.Init()
			group.Go(func() { _ = rd.Run(ctx) })
		}
		maxCalls, before := 0, 0
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			st.mu.Lock()
			maxCalls, before = max(maxCalls, st.calls-before), st.calls
			st.mu.Unlock()
		}
		// All begin within a tenth of a second here; on a fleet they are spread by 0.3 s.
		if maxCalls > rate*3/10 {
			t.Errorf("%d calls within 0.1 s", maxCalls)
		}
		if perSecond := before / 5; perSecond > rate/2 {
			t.Errorf("%d calls a second", perSecond)
		}
		st.withLock(func() { st.hanging = false })
		time.Sleep(1100 * time.Millisecond)
		for ix, mi := range mirrors {
			if mi.AsOf() == 0 {
				t.Fatalf("router %d knows nothing 1.1 s after the store's return", ix)
			}
		}
		cancel()
		group.Wait()
	})
}

// A router starts behind a thin link, and what the store lists takes 1.5 or 4 s on it.
// Further attempts beside the first would share the link, and one that is given up after a
// fixed time begins anew: none ends, and the router refuses its callers for good.
func TestListingInProgressIsNotHedged(t *testing.T) {
	for _, pages := range []int{15, 40} {
		st := newStore()
		st.set("a", false)
		st.pages = pages
		runReader(t, st, always, func(_ *watch.Reader, mi *mirror.Mirror) {
			time.Sleep(time.Duration(pages)*100*time.Millisecond + 100*time.Millisecond)
			st.mu.Lock()
			defer st.mu.Unlock()
			if mi.AsOf() == 0 || st.listCalls != 1 || st.calls > 2 {
				t.Errorf("%d parts: as of %d after %d listings, %d calls", pages, mi.AsOf(), st.listCalls, st.calls)
			}
		})
	}
}

// Guards against a store that is listed without a pause while it goes on losing its history.
func TestRelistingIsRateLimited(t *testing.T) {
	st := newStore()
	st.set("a", false)
	st.compactedRev = math.MaxUint64
	runReader(t, st, always, func(*watch.Reader, *mirror.Mirror) {
		time.Sleep(5 * time.Second)
		st.withLock(func() {
			if st.listCalls > 12 {
				t.Errorf("%d listings in 5 s", st.listCalls)
			}
		})
	})
}

// staleStore is a store whose stale listings lack the last change.
type staleStore struct {
	*store
	exactListings atomic.Int64
}

func (sf *staleStore) List(ctx context.Context, stale bool, received func([]core.Item)) ([]core.Item, core.Version, error) {
	all, rev, err := sf.store.List(ctx, stale, received)
	if err != nil || !stale {
		sf.exactListings.Add(1)
		return all, rev, err
	}
	return slices.DeleteFunc(all, func(it core.Item) bool { return it.Rev == rev }), rev - 1, nil
}

// Guards against a stale listing that is taken for what the store has now: a change that it lacks
// would never arrive, and peers would be told that the store has just confirmed what is old. What
// was lost with the store's history is not in a stale listing either.
func TestStaleListingConfirmsNothing(t *testing.T) {
	st := newStore()
	st.set("a", false)
	st.set("b", false)
	st.pages = 5
	sf := &staleStore{store: st}
	mi := &mirror.Mirror{}
	var isWatcher atomic.Bool
	runReaderOn(t, sf, st, mi, isWatcher.Load, func(rd *watch.Reader) {
		time.Sleep(600 * time.Millisecond)
		if mi.AsOf() != 1 || rd.Age() < 600*time.Millisecond {
			t.Errorf("as of %s, confirmed %s ago; want 1, and nothing confirmed", mi.AsOf(), rd.Age())
		}
		isWatcher.Store(true)
		time.Sleep(200 * time.Millisecond)
		if mi.AsOf() != 2 || rd.Age() > 200*time.Millisecond {
			t.Errorf("as of %s, confirmed %s ago; want 2, confirmed by the changes", mi.AsOf(), rd.Age())
		}
		st.withLock(func() { st.compactedRev = 3 })
		st.set("c", false)
		st.set("d", false)
		st.withLock(func() { st.compactedRev = st.rev })
		time.Sleep(2 * time.Second)
		if mi.AsOf() != 4 || sf.exactListings.Load() == 0 {
			t.Errorf("as of %s after %d listings that were not stale; want 4", mi.AsOf(), sf.exactListings.Load())
		}
	})
}

// Guards against a router that tells its peers that the silent store has just confirmed what one of
// them told it: each start during an outage would end the doubt about registrations that lapse in it.
func TestUpdateFromPeerConfirmsNothing(t *testing.T) {
	st := newStore()
	st.hanging = true
	runReader(t, st, always, func(rd *watch.Reader, mi *mirror.Mirror) {
		mi.Replace([]core.Item{{Key: "a", Rev: 3}}, 3)
		time.Sleep(2 * time.Second)
		if rd.Age() < 2*time.Second {
			t.Errorf("confirmed %s ago, though the store never answered", rd.Age())
		}
	})
}
