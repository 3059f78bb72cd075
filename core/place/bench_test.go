package place_test

import (
	"fmt"
	"testing"
	"time"

	"almondrill/core/place"
)

// fleet is a size at which the choice is measured.
type fleet struct{ endpoints, peers int }

func (fl fleet) String() string { return fmt.Sprintf("endpoints=%d/peers=%d", fl.endpoints, fl.peers) }

// fleets range from a pool of present size to a single pool of the full target size.
var fleets = []fleet{{9, 3}, {47, 25}, {180, 102}, {2100, 420}}

const (
	// callsPerPeer is how many endpoints a peer reports calls of: a router among a hundred or more
	// has some 20 calls in progress.
	callsPerPeer = 20
	// chatsPerEndpoint is how many chats return to each endpoint. sharedPrefixes is how many
	// distinct prefixes the chats share.
	chatsPerEndpoint = 20
	sharedPrefixes   = 12
)

// loadedPlacer returns a router of a fleet under load: its peers have reported their calls, and it
// has served most chats once.
func loadedPlacer(fl fleet) (*place.Placer, func(id uint64) *place.Request) {
	prompt := func(id uint64) *place.Request {
		id %= uint64(chatsPerEndpoint * fl.endpoints)
		return newRequest(chat(id%sharedPrefixes, id))
	}
	pl := newPlacer(fl.peers + 1)
	register(pl, fl.endpoints)
	for ix := range fl.peers {
		pl.ApplyLoadReport(begin, fmt.Sprint("router", ix), peerReport(fl, uint64(ix)))
	}
	for id := range uint64(chatsPerEndpoint * fl.endpoints) {
		if tk, rf := pl.Pick(begin, prompt(id)); rf == nil {
			tk.Done(begin, place.Served)
		}
	}
	return pl, prompt
}

// peerReport returns the load report of a peer with calls in progress at some endpoints.
func peerReport(fl fleet, seed uint64) []byte {
	ra := newRand(seed)
	peer := newPlacer(fl.peers + 1)
	for range callsPerPeer {
		peer.Register(begin, endpoint(ra.IntN(fl.endpoints)))
	}
	for id := range uint64(callsPerPeer) {
		if _, rf := peer.Pick(begin, newRequest(chat(1, id))); rf != nil {
			break // the few endpoints that it knows are at the load cap
		}
	}
	return peer.LoadReport()
}

// BenchmarkChoice measures one choice of an endpoint, by the size of the fleet.
func BenchmarkChoice(b *testing.B) {
	for _, fl := range fleets {
		b.Run(fl.String(), func(b *testing.B) {
			pl, prompt := loadedPlacer(fl)
			now := begin.Add(100 * time.Millisecond)
			ra := newRand(5)
			b.ReportAllocs()
			for b.Loop() {
				tk, rf := pl.Pick(now, prompt(ra.Uint64()))
				if rf != nil {
					b.Fatal(rf)
				}
				tk.Done(now, place.Served)
			}
		})
	}
}

// BenchmarkHear measures applying a peer's load report.
func BenchmarkHear(b *testing.B) {
	for _, fl := range fleets {
		b.Run(fl.String(), func(b *testing.B) {
			pl, _ := loadedPlacer(fl)
			reports := [][]byte{peerReport(fl, 1), peerReport(fl, 2)}
			b.ReportAllocs()
			turn := 0
			for b.Loop() {
				pl.ApplyLoadReport(begin, "router0", reports[turn%len(reports)])
				turn++
			}
		})
	}
}
