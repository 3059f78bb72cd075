package place

import (
	"container/list"
	"time"
)

// word is a peer's last message: its calls in progress by the short hashes of the
// endpoints.
type word struct {
	from string
	at   time.Time
	// gap is how far words of this peer were apart of late, and until when this one counts.
	gap   time.Duration
	until time.Time
	calls []callsAt
}

// callsAt is an entry of a word.
type callsAt struct {
	endpoint uint16
	calls    int
}

// words are the peers' last messages, and their sums. The sums are kept, as a choice among
// thousands of endpoints cannot add up hundreds of words.
type words struct {
	byPeer map[string]*list.Element // of *word
	// order has the word first that lapses first.
	order *list.List
	sums  map[uint16]int
	// added tells of each change of a sum.
	added func(endpoint uint16, by int)
}

const (
	// toldFor is how long a peer's word counts at least: a few of its messages. One that
	// says nothing for longer has stopped, and its calls with it.
	toldFor = 2 * time.Second
	// toldGaps is how many gaps between a peer's words the last one counts, and mostToldFor
	// how long at most.
	//
	// What a router sends is bounded, so that among hundreds each peer hears it every few
	// seconds. An older report still tells the usual load; without it full endpoints look idle.
	toldGaps    = 3
	mostToldFor = 20 * time.Second
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
	calls := make([]callsAt, 0, len(packed)/entrySize)
	for ; len(packed) >= entrySize; packed = packed[entrySize:] {
		calls = append(calls, callsAt{uint16(packed[0])<<8 | uint16(packed[1]), int(packed[2])})
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.start()
	pl.words.take(now, from, calls)
}

// take replaces a peer's word.
func (wo *words) take(now time.Time, from string, calls []callsAt) {
	wd := &word{from: from, at: now, until: now.Add(toldFor), calls: calls}
	if el := wo.byPeer[from]; el != nil {
		old := wo.drop(el)
		// News is told at once: a short gap is followed by longer ones.
		wd.gap = max(now.Sub(old.at), old.gap/2)
		wd.until = now.Add(min(mostToldFor, max(toldFor, toldGaps*wd.gap)))
	}
	wo.add(wd, 1)
	wo.insert(wd)
}

// insert puts a word where it belongs in the order, which is near the end as a rule.
func (wo *words) insert(wd *word) {
	at := wo.order.Back()
	for at != nil && at.Value.(*word).until.After(wd.until) {
		at = at.Prev()
	}
	if at == nil {
		wo.byPeer[wd.from] = wo.order.PushFront(wd)
		return
	}
	wo.byPeer[wd.from] = wo.order.InsertAfter(wd, at)
}

func (wo *words) drop(el *list.Element) *word {
	wd := wo.order.Remove(el).(*word)
	delete(wo.byPeer, wd.from)
	wo.add(wd, -1)
	return wd
}

// add counts a word in, or out with a sign of -1.
func (wo *words) add(wd *word, sign int) {
	for _, ca := range wd.calls {
		wo.sums[ca.endpoint] += sign * ca.calls
		if wo.sums[ca.endpoint] == 0 {
			delete(wo.sums, ca.endpoint)
		}
		wo.added(ca.endpoint, sign*ca.calls)
	}
}

// lapse stops counting the words of peers that have stopped. When they were heard is kept
// for longer, so that the gap of a peer that is heard rarely becomes known.
func (wo *words) lapse(now time.Time) {
	for el := wo.order.Front(); el != nil && now.After(el.Value.(*word).until); el = wo.order.Front() {
		wd := wo.drop(el)
		if end := wd.at.Add(mostToldFor); now.Before(end) {
			wd.until, wd.calls = end, nil
			wo.insert(wd)
		}
	}
}

// callsOfOthers is how many calls of other routers the endpoint has: what it counted itself
// a moment ago, or else what peers told of theirs, or more if it counted more.
func (st *state) callsOfOthers(now time.Time) int {
	others := st.told
	if st.quiet {
		return others
	}
	all, known := st.reading.Estimate(now)
	if !known {
		return others
	}
	if st.reading.Fresh(now, freshFor) {
		return max(0, all-st.calls)
	}
	return max(others, all-st.calls)
}
