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

// pagedStore is a store whose listing arrives in two pages, the second one second after the first.
type pagedStore struct{ *store }

func (pa *pagedStore) List(ctx context.Context, stale bool, received func([]core.Item), next func() error) ([]core.Item, core.Version, error) {
	all, rev, err := pa.store.List(ctx, stale, received, next)
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

// Guards against routers that refuse callers until the last page of a listing has arrived. With
// thousands of registrations and all routers starting at once, a listing takes seconds, but its
// first page has the configuration and some endpoints. Until the listing is complete, peers must
// not receive a revision.
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

// Guards against a call for each change when hundreds of routers start and each writes its address,
// which wakes every watcher. Thousands of calls would be billed, and bring changes no sooner, as
// updates are sent to peers ten times a second.
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
			t.Errorf("%d calls for changes within a second, want one each 100 ms", calls)
		}
		if mi.AsOf() != burst {
			t.Errorf("as of %d, want %d", mi.AsOf(), burst)
		}
	})
}

// The store compacts its history, with a change that was not received yet.
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
		// After a listing the mirror returns everything it has: b, without a.
		changes, asOf, whole := mi.Since(2)
		if len(changes) != 1 || changes[0].Key != "b" || !whole || asOf != 3 {
			t.Errorf("changes %+v as of %d, whole %v; want b alone, whole, as of 3", changes, asOf, whole)
		}
	})
}

// Guards against a connection to the store that hangs without a reset: the mirror would grow old
// unnoticed.
func TestHangingStoreIsDetected(t *testing.T) {
	st := newStore()
	runReader(t, st, always, func(rd *watch.Reader, _ *mirror.Mirror) {
		st.withLock(func() { st.hanging = true })
		time.Sleep(2500 * time.Millisecond)
		if !rd.Failing() || !rd.Uncertain() {
			t.Error("a store that hangs for 2.5 s is not reported as failing and uncertain")
		}
		st.withLock(func() { st.hanging = false })
		time.Sleep(2 * time.Second)
		if rd.Failing() || rd.Age() > time.Second {
			t.Errorf("failing %v, age %s, 2 s after its return", rd.Failing(), rd.Age())
		}
		if !rd.Uncertain() {
			t.Error("not uncertain right after the outage, though expired registrations may still be missing")
		}
		time.Sleep(3 * time.Second)
		if rd.Uncertain() {
			t.Error("still uncertain 5 s after the store's return")
		}
	})
}

// A router that is no elected watcher does not call the store while peers confirm its mirror, and
// calls it soon after they stop.
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

// The store rejects the calls of one router and serves the others, whose confirmations it receives.
// Registrations do not expire then, so one that is missing was deleted.
func TestNotUncertainWhilePeersConfirm(t *testing.T) {
	st := newStore()
	runReader(t, st, always, func(rd *watch.Reader, _ *mirror.Mirror) {
		st.withLock(func() { st.down = true })
		for range 20 {
			rd.Confirm(300 * time.Millisecond)
			time.Sleep(200 * time.Millisecond)
		}
		if !rd.Failing() {
			t.Error("its own calls are not reported as failing")
		}
		if rd.Uncertain() {
			t.Error("uncertain, though peers reach the store")
		}
	})
}

// A router that is no elected watcher notices an outage only by the missing confirmations of its
// peers. Registrations that are missing after it may have expired.
func TestUncertainWithoutOwnCalls(t *testing.T) {
	st := newStore()
	runReader(t, st, func() bool { return false }, func(rd *watch.Reader, _ *mirror.Mirror) {
		rd.Confirm(0)
		time.Sleep(1250 * time.Millisecond)
		if !rd.Uncertain() {
			t.Error("not uncertain after 1.25 s without a confirmation")
		}
		rd.Confirm(0)
		if !rd.Uncertain() {
			t.Error("not uncertain right after the store's return")
		}
		for range 15 {
			rd.Confirm(0)
			time.Sleep(200 * time.Millisecond)
		}
		if rd.Uncertain() {
			t.Error("still uncertain 3 s after the store's return")
		}
	})
}

// Guards against a router that waits for a listing sent to a hanging store until its timeout. Here
// the store hangs for another 350 ms after the start, and never answers what it was sent before.
// Without further attempts the router refused all callers for 1.65 s after the store was back.
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

// The same for outages of many lengths, and for a store that refuses calls instead of hanging.
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
					t.Errorf("down for %s, hanging %v: nothing is known 1.1 s after its return", outage, hanging)
				}
			})
		}
	}
}

// A peer sends the contents while the store hangs. The router watches for changes from there on,
// and does not list the store once it is back.
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

// Hundreds of routers start at once while the store hangs for five seconds. Their attempts must
// stay within the rate that the store takes, and all must have a listing soon after it is back.
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
		// All begin within 0.1 s here; in a fleet they are spread over 0.3 s.
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

// Guards against a listing that never ends on a slow link, where it takes 1.5 or 4 s. Further
// attempts would share the link with the first, and an attempt cancelled after a fixed time would
// begin anew: none would end, and the router would refuse its callers for ever.
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
				t.Errorf("%d pages: as of %d after %d listings, %d calls", pages, mi.AsOf(), st.listCalls, st.calls)
			}
		})
	}
}

// Guards against hundreds of routers that start at once and list thousands of registrations over the
// store's link, 2 ms for each of seven pages: those of 420 routers take 5.9 s, and until then routers
// lack endpoints. Routers without their second page must accept the contents from a peer, and
// complete within a second of the last first page. Each knows ten others by then, so that one of ten
// takes itself for a watcher.
func TestFleetCompletesFromPeers(t *testing.T) {
	for _, routers := range []int{300, 420} {
		synctest.Test(t, func(t *testing.T) {
			st := newStore()
			st.woken, st.link.busy = make(chan struct{}), make(chan struct{}, 1)
			st.set("a", false)
			st.pages, st.pageTime = 7, 2*time.Millisecond
			ctx, cancel := context.WithCancel(t.Context())
			var group sync.WaitGroup
			mirrors := make([]*mirror.Mirror, routers)
			for ix := range mirrors {
				mirrors[ix] = &mirror.Mirror{}
			}
			began := time.Now()
			for ix, mi := range mirrors {
				ra := clock.NewRand(uint64(ix) + 1)
				rd := &watch.Reader{
					Feed: st, Mirror: mi, Rand: ra, Log: zap.NewNop(), IsWatcher: func() bool { return ix%10 == 0 }, Routers: func() int { return routers },
				}
				rd.Init()
				group.Go(func() { _ = rd.Run(ctx) })
				group.Go(func() { fetchFromPeers(rd, mi, mirrors, ra) })
			}
			for slices.ContainsFunc(mirrors, func(mi *mirror.Mirror) bool { return mi.AsOf() == 0 }) {
				time.Sleep(10 * time.Millisecond)
			}
			if took, most := time.Since(began), time.Duration(routers)*st.pageTime+time.Second; took > most {
				t.Errorf("%d routers complete after %s, want %s at most", routers, took, most)
			}
			cancel()
			group.Wait()
		})
	}
}

// fetchFromPeers applies the contents of one of ten random peers that has them, as soon as the router
// may. It looks for one every 0.1 s, as often as routers exchange messages.
func fetchFromPeers(rd *watch.Reader, mi *mirror.Mirror, peers []*mirror.Mirror, ra core.Rand) {
	for mi.AsOf() == 0 {
		time.Sleep(100 * time.Millisecond)
		for range 10 {
			if all, asOf, _ := peers[ra.Uint64()%uint64(len(peers))].Since(0); asOf > 0 && rd.Unresponsive() {
				mi.Apply(all, asOf)
			}
		}
	}
}

// Guards against listing a store without a pause while it keeps losing its history.
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

func (sf *staleStore) List(ctx context.Context, stale bool, received func([]core.Item), next func() error) ([]core.Item, core.Version, error) {
	all, rev, err := sf.store.List(ctx, stale, received, next)
	if err != nil || !stale {
		sf.exactListings.Add(1)
		return all, rev, err
	}
	return slices.DeleteFunc(all, func(it core.Item) bool { return it.Rev == rev }), rev - 1, nil
}

// Guards against a stale listing that is taken for current: a change that it lacks would never
// arrive, and peers would receive a fresh confirmation of old state. Changes lost with the history
// of the store are not in a stale listing either.
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

// Guards against taking an update from a peer for a confirmation by the store, which hangs here:
// each start during an outage would end its peers' uncertainty about registrations that expire in
// it.
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
