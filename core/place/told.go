package place

import "time"

// word is a peer's last message: its calls in progress by the short hash
// of the endpoint's id.
type word struct {
	at    time.Time
	calls map[uint16]int
}

const (
	// toldFor is how long a peer's word counts: a few of its messages. One that
	// says nothing for longer has stopped, and its calls with it.
	toldFor = 2 * time.Second
	// entrySize is the size of an entry in a message: two bytes of hash, one of
	// calls. Endpoints whose short hashes are equal, 3 pairs in 100 fleets of 60, are
	// taken to have each other's calls too.
	entrySize = 3
	// mostTold is how many calls an entry can tell, mostEntries how many entries
	// there are at most.
	mostTold    = 255
	mostEntries = 400
)

func short(hash uint64) uint16 { return uint16(hash >> 48) }

// Tell packs the router's own calls in progress for its peers.
func (pl *Placer) Tell() []byte {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var packed []byte
	for _, st := range pl.byID {
		if st.calls > 0 && len(packed) < mostEntries*entrySize {
			hash := short(st.hash)
			packed = append(packed, byte(hash>>8), byte(hash), byte(min(mostTold, st.calls)))
		}
	}
	return packed
}

// Hear takes a peer's packed calls.
func (pl *Placer) Hear(now time.Time, from string, packed []byte) {
	calls := make(map[uint16]int, len(packed)/entrySize)
	for ; len(packed) >= entrySize; packed = packed[entrySize:] {
		calls[uint16(packed[0])<<8|uint16(packed[1])] += int(packed[2])
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.start()
	pl.told[from] = &word{at: now, calls: calls}
}

// sumTold adds the peers' words up, and forgets old ones.
func (pl *Placer) sumTold(now time.Time) map[uint16]int {
	sum := map[uint16]int{}
	for from, wo := range pl.told {
		if now.Sub(wo.at) > toldFor {
			delete(pl.told, from)
			continue
		}
		for hash, calls := range wo.calls {
			sum[hash] += calls
		}
	}
	return sum
}

// callsOfOthers is how many calls of other routers the endpoint has: what peers told
// of theirs, or more if it counted more itself.
func (pl *Placer) callsOfOthers(now time.Time, st *state, told map[uint16]int) int {
	others := told[short(st.hash)]
	if all, fresh := st.reading.now(now); fresh {
		others = max(others, all-st.calls)
	}
	return others
}
