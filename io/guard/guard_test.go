package guard_test

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
	"almondrill/io/guard"
	"almondrill/io/stand/local"
	"almondrill/io/stats"
)

// store is the platform's, as far as quarantines go.
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

// group passes notes on to other routers' controllers.
type group struct{ others []*guard.Controller }

func (gr *group) TellKeepers(now time.Time, no core.CrashNotice) { gr.TellAll(now, no) }

func (gr *group) TellAll(now time.Time, no core.CrashNotice) {
	for _, other := range gr.others {
		other.Hear(now, "peer", no)
	}
}

func newController() *guard.Controller { return controllerWith(&store{}) }

func controllerWith(st *store) *guard.Controller {
	one := func() int { return 1 }
	return &guard.Controller{
		Ledger: &guard.Ledger{Peers: &group{}, Store: st, Stats: stats.New(), Log: zap.NewNop()},
		Conns:  &conns.Pool{}, Placer: &place.Placer{Rand: clock.NewRand(1), RouterCount: one},
	}
}

// crashedUnder waits until that many requests are known to have run when endpoints crashed.
func crashedUnder(t *testing.T, ct *guard.Controller, want int64) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ct.Stats.Value(stats.CrashedUnder) == want {
			return
		}
	}
	t.Errorf("crashed under %d requests, want %d", ct.Stats.Value(stats.CrashedUnder), want)
}

// Two answers break off. One endpoint takes connections as before: an answer was lost. The
// other refuses them, and is known to have crashed although no request is sent to it.
func TestBrokenAnswerIsACrashOnlyIfTheEndpointIsGone(t *testing.T) {
	ct := newController()
	alive, dead := local.Listen(t), local.Listen(t)
	_ = dead.Close()
	ct.Interrupted(core.EndpointRef{ID: "alive", Addr: alive.Addr().String(), Hash: 1}, time.Now(), core.Fingerprint{1})
	ct.Interrupted(core.EndpointRef{ID: "dead", Addr: dead.Addr().String(), Hash: 2}, time.Now(), core.Fingerprint{2})
	crashedUnder(t, ct, 1)
	time.Sleep(300 * time.Millisecond)
	crashedUnder(t, ct, 1)
}

// An endpoint drains and ends with a request that takes too long: that is no crash.
func TestEndOfADrainingEndpointIsNoCrash(t *testing.T) {
	ct := newController()
	dead := local.Listen(t)
	_ = dead.Close()
	ep := place.Endpoint{ID: "e", Addr: dead.Addr().String(), Pool: "pool", Slots: 1, Draining: true}
	ct.Placer.Register(time.Now(), ep)
	ct.Interrupted(core.EndpointRef{ID: ep.ID, Addr: ep.Addr, Hash: place.EndpointHash(ep.ID, 0)}, time.Now(), core.Fingerprint{1})
	time.Sleep(50 * time.Millisecond)
	crashedUnder(t, ct, 0)
}

// crashThree has a request run at three endpoints when they crash.
func crashThree(ct *guard.Controller, fp core.Fingerprint) {
	for ix := range uint64(3) {
		en := core.EndpointRef{ID: "e", Addr: "127.0.0.1:1", Hash: 100 + ix}
		ct.Interrupted(en, time.Now().Add(-time.Millisecond), fp)
		ct.ConnRefused(en)
		time.Sleep(3 * time.Second)
	}
}

// Two routers refuse a request that crashed three endpoints. Its callers come back all the
// time, through both, and once the pause is over one of them is let through, once, whichever
// of many it is. When it crashes an endpoint again, the next waits two minutes.
func TestOneRouterWinsTheTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &store{}
		one, two := controllerWith(st), controllerWith(st)
		one.Peers, two.Peers = &group{others: []*guard.Controller{two}}, &group{others: []*guard.Controller{one}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = one.Run(ctx) }()
		go func() { _ = two.Run(ctx) }()
		fp := core.Fingerprint{1}
		crashThree(one, fp)
		time.Sleep(time.Second)
		en, found := st.get(fp)
		if !found || en.Crashes != 3 {
			t.Fatalf("the store has %+v", en)
		}
		two.Stored(en)
		var passed atomic.Int64
		ask := func() {
			for _, ct := range []*guard.Controller{one, two, one, two} {
				go func() {
					if allowed, after := ct.Allowed(ctx, fp); allowed {
						passed.Add(1)
					} else if after < 0 || after > 2*time.Minute {
						t.Errorf("may return after %s", after)
					}
				}()
			}
			synctest.Wait()
		}
		for range 10 {
			ask()
			time.Sleep(time.Second)
		}
		if passed.Load() != 0 {
			t.Errorf("%d let through before the pause is over", passed.Load())
		}
		for range 30 {
			ask()
			en, _ = st.get(fp)
			one.Stored(en)
			two.Stored(en)
			time.Sleep(time.Second)
		}
		if passed.Load() != 1 {
			t.Errorf("%d let through as a trial, want one", passed.Load())
		}
	})
}

// The store fails while a request crashes three endpoints: it is refused all the same, and
// written once the store is back. It is not tried meanwhile, as nobody could win the trial.
func TestQuarantineIsWrittenOnceTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := &store{fail: errors.New("away")}
		ct := controllerWith(st)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = ct.Run(ctx) }()
		fp := core.Fingerprint{1}
		crashThree(ct, fp)
		for range 60 {
			if allowed, after := ct.Allowed(ctx, fp); allowed || after < time.Second {
				t.Errorf("let through: %v, or told to return after %s, while the store is away", allowed, after)
			}
			time.Sleep(time.Second)
		}
		st.mu.Lock()
		if st.puts < 50 || st.puts > 80 {
			t.Errorf("written %d times in a minute, want once a second", st.puts)
		}
		st.fail = nil
		st.mu.Unlock()
		time.Sleep(2 * time.Second)
		if _, found := st.get(fp); !found {
			t.Error("the store does not have it once it is back")
		}
		ct.Succeeded(fp) // an attempt that was under way ends well
		synctest.Wait()
		if _, found := st.get(fp); found {
			t.Error("the entry of a request that ended well stays")
		}
		if allowed, _ := ct.Allowed(ctx, fp); !allowed {
			t.Error("a request that ended well is refused")
		}
	})
}

// slowStore takes a call's whole time and fails, as one that is silent.
type slowStore struct{ store }

func (*slowStore) PutQuarantine(ctx context.Context, _ core.Quarantine) (core.Version, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

// noKeepers is a group in which the teller counts by itself.
type noKeepers struct{ group }

func (*noKeepers) TellKeepers(time.Time, core.CrashNotice) {}

// The store is silent while forty requests are quarantined, one after the other. The router that
// decided it goes on telling its peers of each: one that hears nothing of a quarantine for 30 s
// forgets it, and would send the request on.
func TestAllQuarantinesAreToldWhileTheStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := newController(), newController()
		one.Store = &slowStore{}
		one.Peers = &noKeepers{group{others: []*guard.Controller{two}}}
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
				t.Errorf("the peer knows of %d quarantines, want %d", got, requests)
			}
		}
	})
}
