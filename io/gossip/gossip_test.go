package gossip_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/builds"
	"almondrill/core/mirror"
	"almondrill/core/place"
	"almondrill/io/clock"
	"almondrill/io/fakes/local"
	"almondrill/io/gossip"
)

// fakeFeed is a gossip.Feed that the test controls.
type fakeFeed struct {
	confirmed atomic.Int64
	failing   atomic.Bool
}

func (fe *fakeFeed) Age() time.Duration {
	return time.Since(time.Unix(0, fe.confirmed.Load()))
}

// Confirm keeps the latest confirmation, as watch.Reader does.
func (fe *fakeFeed) Confirm(age time.Duration) {
	if at := time.Now().Add(-age).UnixNano(); at > fe.confirmed.Load() {
		fe.confirmed.Store(at)
	}
}
func (fe *fakeFeed) Failing() bool      { return fe.failing.Load() }
func (fe *fakeFeed) Unresponsive() bool { return fe.failing.Load() }

func (fe *fakeFeed) OwnAge() time.Duration { return time.Hour }

// router is a router on loopback, with its UDP and TCP sockets on one port.
type router struct {
	*gossip.Group
	feed *fakeFeed
	srv  *httptest.Server
	// cancel ends Run.
	cancel  context.CancelFunc
	done    chan struct{}
	stopped bool
}

// stop ends Run and waits for it.
func (ro *router) stop() {
	ro.cancel()
	<-ro.done
	ro.stopped = true
}

func start(t *testing.T, ix int) *router {
	t.Helper()
	return startWith(t, ix, func(*gossip.Group) {})
}

// startWith lets the caller set fields before the router runs.
func startWith(t *testing.T, ix int, set func(gr *gossip.Group)) *router {
	t.Helper()
	return startAt(t, ix, local.Listen(t), set)
}

// restart stops the router and starts another process at its address, which knows one peer.
func (ro *router) restart(t *testing.T, ix int, peer *router) *router {
	t.Helper()
	return ro.restartWith(t, ix, peer, func(*gossip.Group) {})
}

// restartWith lets the caller set fields of the new process before it runs.
func (ro *router) restartWith(t *testing.T, ix int, peer *router, set func(gr *gossip.Group)) *router {
	t.Helper()
	ro.stop()
	ro.srv.Close()
	li, err := net.Listen("tcp", ro.Addr)
	if err != nil {
		t.Fatal(err)
	}
	again := startAt(t, ix, li, set)
	again.Add(peer.Addr)
	return again
}

// startAt starts a router at the listener's address.
func startAt(t *testing.T, ix int, li net.Listener, set func(gr *gossip.Group)) *router {
	t.Helper()
	fe := &fakeFeed{}
	fe.Confirm(0)
	hi := &builds.History{}
	hi.MarkListed()
	gr := &gossip.Group{
		Builds: hi,
		Self:   core.VMID(fmt.Sprint("r", ix)), Mirror: &mirror.Mirror{}, Feed: fe, Rand: clock.NewRand(uint64(ix)), Log: zap.NewNop(),
		Placer:     &place.Placer{Zone: "a", Rand: clock.NewRand(1), RouterCount: func() int { return 1 }},
		AskTimeout: time.Second, // on a busy machine, a reply may take long
	}
	gr.Placer.Register(time.Now(), place.Endpoint{ID: "e", Addr: "127.0.0.1:1", Pool: "pool", Slots: 8})
	srv := httptest.NewUnstartedServer(gr.Handler())
	_ = srv.Listener.Close()
	srv.Listener = li
	gr.Addr = srv.Listener.Addr().String()
	mux := http.NewServeMux()
	mux.Handle(gossip.ItemsPath, gr.Handler())
	srv.Config.Handler = mux
	set(gr)
	srv.Start()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := gr.Run(ctx); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		srv.Close()
	})
	return &router{Group: gr, feed: fe, srv: srv, cancel: cancel, done: done}
}

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for range 300 {
		if is() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("not within 3 s:", what)
}

// Routers that know one seed find each other; then each learns of the others' calls.
func TestRoutersFindEachOther(t *testing.T) {
	routers := []*router{start(t, 0), start(t, 1), start(t, 2)}
	for _, ro := range routers[1:] {
		ro.Add(routers[0].Addr)
	}
	for _, ro := range routers {
		eventually(t, "all routers are alive to each other", func() bool { return ro.Live() == 2 })
	}
	if _, re := routers[0].Placer.Pick(time.Now(), &place.Request{Pool: "pool"}); re != nil {
		t.Fatal(re)
	}
	eventually(t, "a peer learns of the call", func() bool {
		tk, re := routers[2].Placer.Pick(time.Now(), &place.Request{Pool: "pool"})
		if re != nil {
			return false
		}
		defer tk.Done(time.Now(), place.Neutral)
		return tk.PeerCalls == 1
	})
}

// Guards against a router that the store rejects while keys are revoked, and that goes on serving
// callers whose key was revoked. It has to learn of the change from its peer.
func TestUpdatesComeFromPeers(t *testing.T) {
	one, two := start(t, 0), start(t, 1)
	two.Add(one.Addr)
	two.feed.failing.Store(true)
	one.Mirror.Replace([]core.Item{{Key: "a", Rev: 3, Value: []byte("x")}}, 4)
	eventually(t, "the change arrived", func() bool { return two.Mirror.AsOf() == 4 })
	one.Mirror.Apply([]core.Item{{Key: "a", Rev: 5, Deleted: true}}, 5)
	eventually(t, "the deletion arrived", func() bool { return two.Mirror.AsOf() == 5 })
	changes, _, _ := two.Mirror.Since(4)
	if len(changes) != 1 || !changes[0].Deleted {
		t.Errorf("changes %+v", changes)
	}
	two.feed.confirmed.Store(0)
	one.feed.Confirm(0)
	eventually(t, "a confirmation arrived", func() bool { return two.feed.Age() < time.Second })
}

// Guards against hundreds of routers that have just started and all fetch from the one peer with
// the latest revision: its link is full, most time out and ask it again. A peer that is behind is
// never asked.
func TestFetchesAreSpreadOverPeers(t *testing.T) {
	ro := start(t, 0)
	ro.feed.failing.Store(false)
	ahead, behind := map[string]bool{}, ""
	for ix := range byte(5) {
		pc, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer pc.Close()
		datagram := []byte{0xa1, 0x01, 3 + ix} // AsOf: revisions 3 to 7
		eventually(t, "the peer is alive", func() bool {
			introduce(t, pc, ro, datagram)
			return ro.Live() == int(ix)+1
		})
		if ix == 0 {
			behind = pc.LocalAddr().String()
		} else {
			ahead[pc.LocalAddr().String()] = true
		}
	}
	asked := map[string]int{}
	const asks = 200
	for range asks {
		asked[ro.PickAhead(3)]++
	}
	if asked[behind] > 0 || asked[""] > 0 {
		t.Errorf("asked %v; %s has no new changes", asked, behind)
	}
	for addr := range ahead {
		if asked[addr] > asks/2 {
			t.Errorf("%d of %d fetches went to one of %d peers", asked[addr], asks, len(ahead))
		}
	}
}

// Of five routers two watch the store, and if their calls fail, two others do.
func TestTwoWatchers(t *testing.T) {
	var routers []*router
	for ix := range 5 {
		routers = append(routers, start(t, ix))
		routers[ix].Add(routers[0].Addr)
	}
	watching := func() (watchers []*router) {
		for _, ro := range routers {
			if ro.IsWatcher() {
				watchers = append(watchers, ro)
			}
		}
		return watchers
	}
	eventually(t, "two of five watch the store", func() bool { return len(watching()) == 2 })
	first := watching()
	for _, ro := range first {
		ro.feed.failing.Store(true)
	}
	eventually(t, "two others watch the store", func() bool {
		healthy := 0
		for _, ro := range watching() {
			if !ro.feed.failing.Load() {
				healthy++
			}
		}
		return healthy == 2
	})
}

// Guards against two routers that, during an outage of the store, keep renewing each other's
// confirmation: each would treat registrations that are missing after the outage as deleted.
func TestPeersDoNotRefreshStaleConfirmations(t *testing.T) {
	one, two := start(t, 0), start(t, 1)
	two.Add(one.Addr)
	eventually(t, "both are alive to each other", func() bool { return one.Live() == 1 && two.Live() == 1 })
	time.Sleep(1500 * time.Millisecond)
	for ix, ro := range []*router{one, two} {
		if age := ro.feed.Age(); age < 1300*time.Millisecond {
			t.Errorf("router %d reports a confirmation by the store %s ago", ix, age)
		}
	}
}

// Invalid datagrams, from whatever sender, are dropped.
func TestInvalidMessagesAreDropped(t *testing.T) {
	one, two := start(t, 0), start(t, 1)
	co, err := net.Dial("udp", one.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer co.Close()
	for _, text := range []string{"", "x", "\xa1\x01", "\xbf\xff\xff"} {
		_, _ = co.Write([]byte(text))
	}
	two.Add(one.Addr)
	eventually(t, "the router still handles messages", func() bool { return one.Live() >= 1 })
	rs, err := http.Get("http://" + one.Addr + gossip.ItemsPath + "?After=x")
	if err != nil || rs.StatusCode != http.StatusBadRequest {
		t.Errorf("%v %v", rs, err)
	}
	_ = rs.Body.Close()
}

// Guards against a deadlock between handling messages, placing calls and applying updates, which
// call each other: a placement asks how many routers there are, and an update adds peers.
func TestNoDeadlock(t *testing.T) {
	one, two := start(t, 0), start(t, 1)
	two.Add(one.Addr)
	one.Placer.RouterCount = one.Routers
	one.Mirror.Changed = func(it core.Item) { one.Add(fmt.Sprint("127.0.0.1:", it.Rev)) }
	co, err := net.Dial("udp", one.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer co.Close()
	ended := make(chan struct{}, 3)
	until := time.Now().Add(1500 * time.Millisecond)
	repeat := func(what func(number int)) {
		for number := 1; time.Now().Before(until); number++ {
			what(number)
		}
		ended <- struct{}{}
	}
	go repeat(func(int) {
		if tk, re := one.Placer.Pick(time.Now(), &place.Request{Pool: "pool", MaxConns: 1000}); re == nil {
			tk.Done(time.Now(), place.Served)
		}
	})
	go repeat(func(number int) {
		rev := core.Version(number % 60000)
		one.Mirror.Apply([]core.Item{{Key: fmt.Sprint(number), Rev: rev}}, rev)
	})
	go repeat(func(int) { _, _ = co.Write([]byte("\xa1\x01\x01")) })
	for range 3 {
		select {
		case <-ended:
		case <-time.After(5 * time.Second):
			t.Fatal("a goroutine is blocked for ever")
		}
	}
}
