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

// tickInterval is how often a router looks which others are alive.
const tickInterval = 100 * time.Millisecond

func (ro *router) address(t *testing.T) net.Addr {
	t.Helper()
	addr, err := net.ResolveUDPAddr("udp", ro.Addr)
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// meet starts routers that all have heard each other.
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
		eventually(t, "all routers hear each other", func() bool { return ro.Live() == count-1 })
	}
	time.Sleep(2 * tickInterval) // they count as keepers from the next tick
	return all
}

// Routers that place calls on one engine each pass on what it says and ask how many it has.
// They all have to mean the same router by its keeper, and the second that asks has to hear of
// the first one's call, or both fill the same gap.
func TestRoutersAgreeOnOwner(t *testing.T) {
	all := meet(t, 4)
	ctx := context.Background()
	for endpoint := range uint64(20) {
		eventually(t, "what an endpoint said is told", func() bool {
			all[endpoint%4].ReportInFlight(endpoint, 7)
			_, known := all[(endpoint+1)%4].InFlight(ctx, endpoint)
			return known
		})
		first, known := all[(endpoint+2)%4].InFlight(ctx, endpoint)
		second, _ := all[(endpoint+3)%4].InFlight(ctx, endpoint)
		if !known || second != first+1 {
			t.Errorf("endpoint %d: %d calls are told, then %d, known %v; want one more", endpoint, first, second, known)
		}
	}
}

// An endpoint's keeper loses power. Requests for it must not wait long for an answer that
// does not come, nor each of them: after the first, the router goes by what it believes.
func TestLostOwnerDelaysFewRequests(t *testing.T) {
	const timeout = 5 * time.Millisecond
	ro := start(t, 0)
	lost, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lost.Close()
	datagram := []byte("\xa1\x01\x01") // it knows revision 1
	eventually(t, "the keeper is heard once", func() bool {
		_, _ = lost.WriteTo(datagram, ro.address(t))
		return ro.Live() == 1
	})
	time.Sleep(2 * tickInterval) // it counts as a keeper from the next tick
	ctx := context.Background()
	waited := 0
	for endpoint := range uint64(100) {
		began := time.Now()
		if _, known := ro.InFlight(ctx, endpoint); known {
			t.Fatal("a count is known that nobody told")
		}
		if time.Since(began) >= timeout {
			waited++
		}
	}
	if waited == 0 {
		t.Error("no request asked the lost keeper: the test shows nothing")
	}
	if waited > 3 {
		t.Errorf("%d of 100 requests waited for a keeper that is lost", waited)
	}
}

// A router that has just started knows no counts, and says so rather than that there are none:
// taken for idle, a full engine would get all calls.
func TestNewOwnerReportsUnknown(t *testing.T) {
	all := meet(t, 2)
	for endpoint := range uint64(10) {
		if calls, known := all[0].InFlight(context.Background(), endpoint); known {
			t.Errorf("endpoint %d is said to have %d calls, which nobody told", endpoint, calls)
		}
	}
}

// Two routers find an engine down. The others are told, or each of them finds out by a
// request of its own.
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

// A chat moves to another engine, and one of a hundred peers gets its next turn. What a router
// sends is bounded, so that a peer has its turn every few seconds: told only of the latest
// moves, most peers never hear of this one, and have the chat read anew elsewhere.
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
		t.Errorf("%d of %d peers heard of the move", receivers, peers)
	}
}

// moveChat places a chat away from its home.
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
		t.Fatal("the chat did not leave its home: the test shows nothing")
	}
}

// receivesMove tells whether a message with a move comes in time.
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

// An endpoint crashes while a router starts. Two peers that still take the one before for the
// endpoint's keeper tell it, within the first tenth of a second, that they cannot reach it. The
// new router does not know its peers yet; it must go on, or it ends at each start for as long
// as endpoints crash: "invalid memory address", and its callers' connections are refused.
func TestLostEndpointDuringStart(t *testing.T) {
	gr := &gossip.Group{Addr: "127.0.0.1:1", Placer: &place.Placer{Rand: clock.NewRand(1), RouterCount: func() int { return 1 }}, Log: zap.NewNop()}
	gr.HandleUnreachable(7, "127.0.0.2")
	gr.HandleUnreachable(7, "127.0.0.3")
}
