package gossip_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/place"
	"almondrill/io/clock"
	"almondrill/io/gossip"
)

// tickInterval is how often a router updates which others are alive.
const tickInterval = 100 * time.Millisecond

func (ro *router) address(t *testing.T) net.Addr {
	t.Helper()
	addr, err := net.ResolveUDPAddr("udp", ro.Addr)
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// meet starts routers and waits until all are alive to each other.
func meet(t *testing.T, count int) []*router {
	t.Helper()
	return meetWith(t, count, func(*gossip.Group) {})
}

func meetWith(t *testing.T, count int, set func(gr *gossip.Group)) []*router {
	t.Helper()
	var all []*router
	for ix := range count {
		all = append(all, startWith(t, ix, set))
	}
	for _, ro := range all {
		for _, other := range all {
			ro.Add(other.Addr)
		}
	}
	for _, ro := range all {
		eventually(t, "all routers are alive to each other", func() bool { return ro.Live() == count-1 })
	}
	time.Sleep(2 * tickInterval) // they are candidates for owners from the next tick
	return all
}

// Guards against routers that disagree on the owner of an engine's count, and against an owner that
// does not count the call of the first router that queries it: two routers would fill the same free
// slot.
func TestRoutersAgreeOnOwner(t *testing.T) {
	all := meet(t, 4)
	ctx := context.Background()
	for endpoint := range uint64(20) {
		eventually(t, "an endpoint's count is known to another router", func() bool {
			all[endpoint%4].ReportInFlight(endpoint, 7)
			_, known := all[(endpoint+1)%4].InFlight(ctx, endpoint)
			return known
		})
		first, known := all[(endpoint+2)%4].InFlight(ctx, endpoint)
		second, _ := all[(endpoint+3)%4].InFlight(ctx, endpoint)
		if !known || second != first+1 {
			t.Errorf("endpoint %d: %d calls, then %d, known %v; want one more", endpoint, first, second, known)
		}
	}
}

// Guards against requests that wait long for the reply of an owner that has lost power. Only the
// first waits; after that the router goes by its own estimate.
func TestLostOwnerDelaysFewRequests(t *testing.T) {
	const timeout = 5 * time.Millisecond
	ro := start(t, 0)
	lost, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lost.Close()
	datagram := []byte("\xa1\x01\x01") // AsOf: revision 1
	eventually(t, "the owner is alive", func() bool {
		introduce(t, lost, ro, datagram)
		return ro.Live() == 1
	})
	time.Sleep(2 * tickInterval) // it is a candidate for owner from the next tick
	ctx := context.Background()
	waited := 0
	for endpoint := range uint64(100) {
		began := time.Now()
		if _, known := ro.InFlight(ctx, endpoint); known {
			t.Fatal("a count is known that nobody reported")
		}
		if time.Since(began) >= timeout {
			waited++
		}
	}
	if waited == 0 {
		t.Error("no request queried the lost owner: the test shows nothing")
	}
	if waited > 3 {
		t.Errorf("%d of 100 requests waited for a lost owner", waited)
	}
}

// Guards against a router that has just started and reports 0 for counts that it does not know: a
// full engine would be taken for idle and get all calls.
func TestNewOwnerReportsUnknown(t *testing.T) {
	all := meet(t, 2)
	for endpoint := range uint64(10) {
		if calls, known := all[0].InFlight(context.Background(), endpoint); known {
			t.Errorf("endpoint %d has %d calls, which nobody reported", endpoint, calls)
		}
	}
}

// Two routers find an engine down. The others are notified, and need not find it out by requests of
// their own.
func TestLostEngineIsBroadcast(t *testing.T) {
	all := meet(t, 4)
	for _, ro := range all {
		ro.Placer.Register(time.Now(), place.Endpoint{ID: "e2", Addr: "127.0.0.1:2", Pool: "pool", Slots: 8})
	}
	tk, re := all[0].Placer.Pick(time.Now(), &place.Request{Pool: "pool", Engine: true})
	if re != nil {
		t.Fatal(re)
	}
	lost := tk.Endpoint.ID
	tk.Done(time.Now(), place.Neutral)
	eventually(t, "no router chooses the lost engine", func() bool {
		all[0].ReportDown(tk.Hash)
		all[1].ReportDown(tk.Hash)
		for _, ro := range all {
			for range 5 {
				other, re := ro.Placer.Pick(time.Now(), &place.Request{Pool: "pool", Engine: true})
				if re != nil || other.Endpoint.ID == lost {
					return false
				}
				other.Done(time.Now(), place.Neutral)
			}
		}
		return true
	})
}

// Guards against a move of a chat that most peers never learn of, so that they have its context
// prefilled again elsewhere. What a router sends is bounded, so each peer gets a report every few
// seconds, which must hold all moves since the last one to it, not just the latest.
func TestMoveReachesEveryPeer(t *testing.T) {
	const peers = 150
	ro := start(t, 0)
	var all []net.PacketConn
	for range peers {
		pc, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer pc.Close()
		all = append(all, pc)
		ro.Add(pc.LocalAddr().String())
	}
	moveChat(t, ro)
	received := make(chan bool, peers)
	for _, pc := range all {
		go func() { received <- receivesMove(pc, time.Now().Add(8*time.Second)) }()
	}
	receivers := 0
	for range all {
		if <-received {
			receivers++
		}
	}
	if receivers < peers {
		t.Errorf("%d of %d peers received the move", receivers, peers)
	}
}

// moveChat places a chat away from its home endpoint.
func moveChat(t *testing.T, ro *router) {
	t.Helper()
	parts := []place.Part{{Hash: 1, Tokens: 500}, {Hash: 2, Tokens: 500}, {Hash: 3, Tokens: 100}}
	now := time.Now()
	ro.Placer.Register(now, place.Endpoint{ID: "e2", Addr: "127.0.0.1:2", Pool: "pool", Slots: 8})
	first, re := ro.Placer.Pick(now, &place.Request{Pool: "pool", Parts: parts, Engine: true})
	if re != nil {
		t.Fatal(re)
	}
	tried := []core.EndpointID{first.Endpoint.ID}
	if _, re = ro.Placer.Pick(now, &place.Request{Pool: "pool", Parts: parts, Engine: true, Tried: tried}); re != nil {
		t.Fatal(re)
	}
	if len(ro.Placer.Moves(now, time.Time{})) == 0 {
		t.Fatal("the chat did not leave its home endpoint: the test shows nothing")
	}
}

// receivesMove reports whether a message with a move arrives in time.
func receivesMove(pc net.PacketConn, until time.Time) bool {
	_ = pc.SetReadDeadline(until)
	buffer := make([]byte, 1500)
	for {
		count, _, err := pc.ReadFrom(buffer)
		if err != nil {
			return false
		}
		var ms struct {
			Moves []byte `cbor:"7,keyasint"`
		}
		if cbor.Unmarshal(buffer[:count], &ms) == nil && len(ms.Moves) > 0 {
			return true
		}
	}
}

// Guards against a panic (nil pointer) in a router that is notified of an unreachable endpoint
// before it knows any peer. An endpoint crashes while the router starts, and two peers, which still
// take the previous process at its address for the owner, notify it within the first 0.1 s. It
// would crash at each start for as long as endpoints crash, and refuse its callers' connections.
func TestLostEndpointDuringStart(t *testing.T) {
	gr := &gossip.Group{Addr: "127.0.0.1:1", Placer: &place.Placer{Rand: clock.NewRand(1), RouterCount: func() int { return 1 }}, Log: zap.NewNop()}
	gr.HandleUnreachable(7, "127.0.0.2")
	gr.HandleUnreachable(7, "127.0.0.3")
}
