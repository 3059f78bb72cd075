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

// fleets are from a pool of today to one pool of the whole target.
var fleets = []fleet{{9, 3}, {47, 25}, {180, 102}, {2100, 420}}

const (
	// callsPerPeer is how many endpoints a peer tells calls of: a router of a hundred or
	// more has some 20 calls in progress.
	callsPerPeer = 20
	// chatsPerEndpoint is how many chats return to an endpoint, and beginningsOfFleet how many
	// beginnings all share.
	chatsPerEndpoint = 20
	sharedPrefixes   = 12
)

// loadedPlacer is a router of a fleet under load: its peers have told their calls, and most chats
// have been served by it once.
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

// peerReport is what a peer tells that has calls in progress at some endpoints.
func peerReport(fl fleet, seed uint64) []byte {
	ra := newRand(seed)
	peer := newPlacer(fl.peers + 1)
	for range callsPerPeer {
		peer.Register(begin, endpoint(ra.IntN(fl.endpoints)))
	}
	for id := range uint64(callsPerPeer) {
		if _, rf := peer.Pick(begin, newRequest(chat(1, id))); rf != nil {
			break // the few endpoints that it knows are at their cap
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

// BenchmarkHear measures taking a peer's word of its calls.
func BenchmarkHear(b *testing.B) {
	for _, fl := range fleets {
		b.Run(fl.String(), func(b *testing.B) {
			pl, _ := loadedPlacer(fl)
			words := [][]byte{peerReport(fl, 1), peerReport(fl, 2)}
			b.ReportAllocs()
			turn := 0
			for b.Loop() {
				pl.ApplyLoadReport(begin, "router0", words[turn%len(words)])
				turn++
			}
		})
	}
}
