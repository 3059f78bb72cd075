package deny_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/place"
	"almondrill/io/clock"
	"almondrill/io/conns"
	"almondrill/io/deny"
	"almondrill/io/fakes/local"
	"almondrill/io/stats"
)

// store is a fake of the platform's store that holds quarantines only.
type store struct {
	mu    sync.Mutex // guards all below
	rev   core.Version
	items map[core.Fingerprint]core.Quarantine
	puts  int
	fail  error
}

func (st *store) PutQuarantine(_ context.Context, qu core.Quarantine) (core.Version, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.puts++
	if st.fail != nil {
		return 0, st.fail
	}
	if st.items[qu.Request].Rev != qu.Rev {
		return 0, core.ErrConflict
	}
	if st.items == nil {
		st.items = map[core.Fingerprint]core.Quarantine{}
	}
	st.rev++
	qu.Rev = st.rev
	st.items[qu.Request] = qu
	return qu.Rev, nil
}

func (st *store) DeleteQuarantine(_ context.Context, qu core.Quarantine) error {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.items[qu.Request].Rev != qu.Rev {
		return core.ErrConflict
	}
	delete(st.items, qu.Request)
	return nil
}

func (st *store) get(fp core.Fingerprint) (core.Quarantine, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	qu, found := st.items[fp]
	return qu, found
}

// group delivers notices to other routers' detectors directly.
type group struct{ others []*deny.Detector }

func (gr *group) NotifyOwners(now time.Time, nos ...core.CrashNotice) {
	gr.NotifyAll(now, nos...)
}

func (gr *group) NotifyAll(now time.Time, nos ...core.CrashNotice) {
	for _, other := range gr.others {
		for _, no := range nos {
			other.ApplyNotice(now, "peer", no)
		}
	}
}

func newDetector() *deny.Detector { return detectorWith(&store{}) }

func detectorWith(st *store) *deny.Detector {
	one := func() int { return 1 }
	return &deny.Detector{
		Tracker: &deny.Tracker{Peers: &group{}, Store: st, Stats: stats.New(), Log: zap.NewNop()},
		Conns:   &conns.Pool{}, Placer: &place.Placer{Rand: clock.NewRand(1), RouterCount: one},
	}
}

// waitForCrashedUnder waits until the counter of requests that were running at an endpoint when it
// crashed reaches want.
func waitForCrashedUnder(t *testing.T, de *deny.Detector, want int64) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if de.Stats.Value(stats.CrashedUnder) == want {
			return
		}
	}
	t.Errorf("crashed under %d requests, want %d", de.Stats.Value(stats.CrashedUnder), want)
}

// Two attempts are interrupted. One endpoint still accepts connections, so only a response was
// lost. The other refuses them, which shows its crash although no further request is sent to it.
func TestInterruptionIsACrashOnlyIfTheEndpointIsGone(t *testing.T) {
	de := newDetector()
	alive, dead := local.Listen(t), local.Listen(t)
	_ = dead.Close()
	de.Interrupted(core.EndpointRef{ID: "alive", Addr: alive.Addr().String(), Hash: 1}, time.Now(), core.Fingerprint{1})
	de.Interrupted(core.EndpointRef{ID: "dead", Addr: dead.Addr().String(), Hash: 2}, time.Now(), core.Fingerprint{2})
	waitForCrashedUnder(t, de, 1)
	time.Sleep(300 * time.Millisecond)
	waitForCrashedUnder(t, de, 1)
}

// A draining endpoint shuts down while a request is still running there, which is not a crash.
func TestEndOfADrainingEndpointIsNoCrash(t *testing.T) {
	de := newDetector()
	dead := local.Listen(t)
	_ = dead.Close()
	ep := place.Endpoint{ID: "e", Addr: dead.Addr().String(), Pool: "pool", Slots: 1, Draining: true}
	de.Placer.Register(time.Now(), ep)
	de.Interrupted(core.EndpointRef{ID: ep.ID, Addr: ep.Addr, Hash: place.EndpointHash(ep.ID, 0)}, time.Now(), core.Fingerprint{1})
	time.Sleep(50 * time.Millisecond)
	waitForCrashedUnder(t, de, 0)
}

// crashThreeEndpoints reports three endpoints as crashed while they executed the request.
func crashThreeEndpoints(de *deny.Detector, fp core.Fingerprint) {
	for ix := range uint64(3) {
		en := core.EndpointRef{ID: "e", Addr: "127.0.0.1:1", Hash: 100 + ix}
		de.Interrupted(en, time.Now().Add(-time.Millisecond), fp)
		de.ConnRefused(en)
		time.Sleep(3 * time.Second)
	}
}

// Two routers refuse a request that crashed three endpoints, while its callers keep retrying
// through both. Once the time until the first trial is over, exactly one of many concurrent
// attempts is allowed as the trial. Unless that succeeds, the next trial is due two minutes later.
func TestOneRouterWinsTheTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &store{}
		one, two := detectorWith(st), detectorWith(st)
		one.Peers, two.Peers = &group{others: []*deny.Detector{two}}, &group{others: []*deny.Detector{one}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = one.Run(ctx) }()
		go func() { _ = two.Run(ctx) }()
		fp := core.Fingerprint{1}
		crashThreeEndpoints(one, fp)
		time.Sleep(time.Second)
		en, found := st.get(fp)
		if !found || en.Crashes != 3 {
			t.Fatalf("the store holds %+v, want an entry with 3 crashes", en)
		}
		two.EntryStored(en)
		var allowedCount atomic.Int64
		sendAll := func() {
			for _, de := range []*deny.Detector{one, two, one, two} {
				go func() {
					if allowed, after := de.Allowed(ctx, fp); allowed {
						allowedCount.Add(1)
					} else if after < 0 || after > 2*time.Minute {
						t.Errorf("told to retry after %s, want 0 to 2 min", after)
					}
				}()
			}
			synctest.Wait()
		}
		for range 10 {
			sendAll()
			time.Sleep(time.Second)
		}
		if allowedCount.Load() != 0 {
			t.Errorf("%d attempts allowed before the first trial is due", allowedCount.Load())
		}
		for range 30 {
			sendAll()
			en, _ = st.get(fp)
			one.EntryStored(en)
			two.EntryStored(en)
			time.Sleep(time.Second)
		}
		if allowedCount.Load() != 1 {
			t.Errorf("%d attempts allowed as the trial, want 1", allowedCount.Load())
		}
	})
}

// The store fails while a request crashes three endpoints. The request is refused all the same, and
// its entry is written once the store works again. Until then there is no trial, since no router
// can claim it.
func TestQuarantineIsWrittenOnceTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &store{fail: errors.New("away")}
		de := detectorWith(st)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = de.Run(ctx) }()
		fp := core.Fingerprint{1}
		crashThreeEndpoints(de, fp)
		for range 60 {
			if allowed, after := de.Allowed(ctx, fp); allowed || after < time.Second {
				t.Errorf("allowed: %v, retry after %s, while the store fails; want refused, retry after 1 s or more", allowed, after)
			}
			time.Sleep(time.Second)
		}
		st.mu.Lock()
		if st.puts < 50 || st.puts > 80 {
			t.Errorf("%d writes in a minute, want about one a second", st.puts)
		}
		st.fail = nil
		st.mu.Unlock()
		time.Sleep(2 * time.Second)
		if _, found := st.get(fp); !found {
			t.Error("the store has no entry 2 s after it works again")
		}
		de.Succeeded(fp) // an attempt that was already running
		synctest.Wait()
		if _, found := st.get(fp); found {
			t.Error("the entry stays after an attempt succeeded")
		}
		if allowed, _ := de.Allowed(ctx, fp); !allowed {
			t.Error("the request is refused after an attempt succeeded")
		}
	})
}

// silentStore is a store that never answers: each write blocks until its context ends.
type silentStore struct{ store }

func (*silentStore) PutQuarantine(ctx context.Context, _ core.Quarantine) (core.Version, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

// noOwners is a group in which the router that reports a crash is the only one that counts it.
type noOwners struct{ group }

func (*noOwners) NotifyOwners(time.Time, ...core.CrashNotice) {}

// The store does not answer while forty requests are quarantined. The router that decided this must
// keep sending notices of each to its peers: a peer that receives none for 30 s forgets the
// quarantine, and would send the request to endpoints again.
func TestAllQuarantinesAreSentWhileTheStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := newDetector(), newDetector()
		one.Store = &silentStore{}
		one.Peers = &noOwners{group{others: []*deny.Detector{two}}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = one.Run(ctx) }()
		go func() { _ = two.Run(ctx) }()
		const requests = 40
		for request := range byte(requests) {
			for ix := range uint64(3) {
				one.Crashed(uint64(request)<<8|ix, core.Fingerprint{1, request})
				time.Sleep(10 * time.Millisecond)
			}
		}
		for range 5 {
			time.Sleep(20 * time.Second)
			if got := two.Stats.Value(stats.RequestsQuarantined); got != requests {
				t.Errorf("the peer knows %d quarantines, want %d", got, requests)
			}
		}
	})
}
