package gossip_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"almondrill/core"
)

// probeReply is a reply to a probe.
var probeReply = encode(map[int]any{15: []any{2, nil, nil}})

func encode(fields map[int]any) []byte {
	data, _ := cbor.Marshal(fields) // these types always marshal
	return data
}

// introduce sends a router a message of a peer, and a reply to the probe that the router answers it with.
func introduce(t *testing.T, pc net.PacketConn, ro *router, data []byte) {
	t.Helper()
	for _, datagram := range [][]byte{data, probeReply} {
		if _, err := pc.WriteTo(datagram, ro.address(t)); err != nil {
			t.Fatal(err)
		}
	}
}

// strangerDatagrams are the ways in which a sender that is no peer names peers that do not exist.
var strangerDatagrams = map[string]func(ra *rand.Rand) []byte{
	"peer exchange": func(ra *rand.Rand) []byte {
		var peers [][]byte
		for range 100 {
			peers = append(peers, madeUpAddr(ra))
		}
		return encode(map[int]any{4: "vm", 12: 1, 14: peers})
	},
	"rumors": func(ra *rand.Rand) []byte {
		var rumors []any
		for range 100 {
			rumors = append(rumors, []any{madeUpAddr(ra), 1, 0})
		}
		return encode(map[int]any{15: []any{1, nil, nil}, 16: rumors})
	},
	"reply for another": func(ra *rand.Rand) []byte {
		return encode(map[int]any{15: []any{2, madeUpAddr(ra), nil}})
	},
}

func madeUpAddr(ra *rand.Rand) []byte {
	ap := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(ra.Uint32()), byte(ra.Uint32()), 9}), uint16(1+ra.IntN(1<<16-1)))
	data, _ := ap.MarshalBinary() // never fails
	return data
}

// Guards against senders that are no peers and make routers count what they name, or their own addresses, as routers: these
// would own records of streams, and take shares of budgets, until each is found dead.
func TestStrangersAreNoPeers(t *testing.T) {
	const strangers, datagrams = 20, 10
	for name, datagram := range strangerDatagrams {
		t.Run(name, func(t *testing.T) {
			all := meet(t, 3)
			ra := rand.New(rand.NewPCG(1, 1))
			for range strangers {
				pc, err := net.ListenPacket("udp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				defer pc.Close()
				for range datagrams {
					if _, err = pc.WriteTo(datagram(ra), all[0].address(t)); err != nil {
						t.Fatal(err)
					}
				}
			}
			time.Sleep(4 * tickInterval)
			for ix, ro := range all {
				if live, routers := ro.Live(), ro.Routers(); live != 2 || routers != 3 {
					t.Errorf("router %d: %d peers are alive, of %d routers; want 2 and 3", ix, live, routers)
				}
			}
			for stream := range core.StreamKey(100) {
				if owners, _ := all[0].LastingOwners(time.Now(), stream); len(owners) != 3 {
					t.Fatalf("stream %d: owners %s, want the 3 routers", stream, fmt.Sprint(owners))
				}
			}
		})
	}
}
