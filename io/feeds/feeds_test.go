package feeds_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/mirror"
	"almondrill/io/clock"
	"almondrill/io/feeds"
)

// store is a store on virtual time.
type store struct {
	mu        sync.Mutex // guards all below
	items     map[string]core.Item
	changes   []core.Item
	rev       core.Version
	compacted core.Version
	// down makes calls fail, silent makes them hang.
	down, silent bool
	lists, waits int
	woken        chan struct{}
}

func newStore() *store { return &store{items: map[string]core.Item{}} }

func (st *store) set(key string, deleted bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.rev++
	it := core.Item{Key: key, Rev: st.rev, Deleted: deleted}
	st.changes = append(st.changes, it)
	if deleted {
		delete(st.items, key)
	} else {
		st.items[key] = it
	}
	if st.woken != nil {
		close(st.woken)
		st.woken = make(chan struct{})
	}
}

func (st *store) change(fn func()) {
	st.mu.Lock()
	defer st.mu.Unlock()
	fn()
}

var errDown = errors.New("store is down")

// trouble fails or hangs as it is told to.
func (st *store) trouble(ctx context.Context) error {
	st.mu.Lock()
	down, silent := st.down, st.silent
	st.mu.Unlock()
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	if down {
		return errDown
	}
	return nil
}

func (st *store) All(ctx context.Context) ([]core.Item, core.Version, error) {
	if err := st.trouble(ctx); err != nil {
		return nil, 0, err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lists++
	var all []core.Item
	for _, it := range st.items {
		all = append(all, it)
	}
	return all, st.rev, nil
}

func (st *store) Changes(ctx context.Context, after core.Version, wait time.Duration) ([]core.Item, core.Version, error) {
	if err := st.trouble(ctx); err != nil {
		return nil, 0, err
	}
	st.mu.Lock()
	st.waits++
	woken := st.woken
	st.mu.Unlock()
	if news, rev, err := st.since(after); len(news) > 0 || err != nil {
		return news, rev, err
	}
	select {
	case <-woken:
	case <-time.After(wait):
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	}
	return st.since(after)
}

func (st *store) since(after core.Version) ([]core.Item, core.Version, error) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if after < st.compacted {
		return nil, 0, core.ErrCompacted
	}
	var news []core.Item
	for _, it := range st.changes {
		if it.Rev > after {
			news = append(news, it)
		}
	}
	return news, st.rev, nil
}

// follow runs a Reader on virtual time.
func follow(t *testing.T, st *store, leads func() bool, test func(rd *feeds.Reader, mi *mirror.Mirror)) {
	synctest.Test(t, func(t *testing.T) {
		st.woken = make(chan struct{}) // made here, to be of the test's virtual time
		mi := &mirror.Mirror{}
		rd := &feeds.Reader{
			Feed: st, Mirror: mi, Rand: clock.NewRand(1), Log: zap.NewNop(), Leads: leads, DoubtFor: 2 * time.Second,
		}
		rd.Init()
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			if err := rd.Run(ctx); err != nil {
				t.Error(err)
			}
		}()
		time.Sleep(50 * time.Millisecond)
		test(rd, mi)
		cancel()
		<-done
	})
}

func always() bool { return true }

func TestChangesArriveAtOnce(t *testing.T) {
	st := newStore()
	follow(t, st, always, func(rd *feeds.Reader, mi *mirror.Mirror) {
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

// The store drops its history while a change was made that the watch did not hear.
func TestHistoryIsLost(t *testing.T) {
	st := newStore()
	st.set("a", false)
	st.set("b", false)
	follow(t, st, always, func(_ *feeds.Reader, mi *mirror.Mirror) {
		st.change(func() { st.down = true })
		time.Sleep(time.Second)
		st.set("a", true)
		st.change(func() { st.compacted, st.down = st.rev, false })
		time.Sleep(time.Second)
		// The mirror has listed anew, so it tells all that it has: b, without a.
		news, asOf, whole := mi.Since(2)
		if len(news) != 1 || news[0].Key != "b" || !whole || asOf != 3 {
			t.Errorf("news %+v as of %d, whole %v; want b alone, whole, as of 3", news, asOf, whole)
		}
	})
}

// A connection to the store goes silent without a reset. What is believed would grow
// old without anybody noticing.
func TestSilentStoreIsNoticed(t *testing.T) {
	st := newStore()
	follow(t, st, always, func(rd *feeds.Reader, _ *mirror.Mirror) {
		st.change(func() { st.silent = true })
		time.Sleep(2500 * time.Millisecond)
		if !rd.Failing() || !rd.Doubtful() {
			t.Error("a store that is silent for 2.5 s counts as well")
		}
		st.change(func() { st.silent = false })
		time.Sleep(2 * time.Second)
		if rd.Failing() || rd.Age() > time.Second {
			t.Errorf("failing %v, age %s, 2 s after its return", rd.Failing(), rd.Age())
		}
		if !rd.Doubtful() {
			t.Error("registrations that lapsed may still be missing")
		}
		time.Sleep(3 * time.Second)
		if rd.Doubtful() {
			t.Error("still in doubt 5 s after the store's return")
		}
	})
}

// A router that does not lead costs the store nothing while peers confirm what it
// knows, and asks for itself soon after they stop.
func TestOthersAskOnlyWithoutConfirmation(t *testing.T) {
	st := newStore()
	follow(t, st, func() bool { return false }, func(rd *feeds.Reader, mi *mirror.Mirror) {
		for range 50 {
			rd.Confirm(100 * time.Millisecond)
			time.Sleep(200 * time.Millisecond)
		}
		st.mu.Lock()
		waits := st.waits
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
func TestNoDoubtWhilePeersConfirm(t *testing.T) {
	st := newStore()
	follow(t, st, always, func(rd *feeds.Reader, _ *mirror.Mirror) {
		st.change(func() { st.down = true })
		for range 20 {
			rd.Confirm(300 * time.Millisecond)
			time.Sleep(200 * time.Millisecond)
		}
		if !rd.Failing() {
			t.Error("its own calls do not count as failing")
		}
		if rd.Doubtful() {
			t.Error("in doubt, though peers reach the store")
		}
	})
}

// A router that does not lead hears nothing of an outage but that its peers'
// confirmations stop. What is missing after it may have lapsed.
func TestDoubtWithoutOwnCalls(t *testing.T) {
	st := newStore()
	follow(t, st, func() bool { return false }, func(rd *feeds.Reader, _ *mirror.Mirror) {
		rd.Confirm(0)
		time.Sleep(1250 * time.Millisecond)
		if !rd.Doubtful() {
			t.Error("no doubt after 1.25 s without a word")
		}
		rd.Confirm(0)
		if !rd.Doubtful() {
			t.Error("no doubt right after the store's return")
		}
		for range 15 {
			rd.Confirm(0)
			time.Sleep(200 * time.Millisecond)
		}
		if rd.Doubtful() {
			t.Error("still in doubt 3 s after the store's return")
		}
	})
}
