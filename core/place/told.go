package place

import (
	"container/list"
	"time"
)

// loadReport is a peer's last message: its calls in progress by the short hashes of the
// endpoints.
type loadReport struct {
	from       string
	receivedAt time.Time
	// interval is how far words of this peer were apart of late, and until when this one counts.
	interval time.Duration
	expires  time.Time
	calls    []endpointCalls
}

// endpointCalls is an entry of a word.
type endpointCalls struct {
	endpoint uint16
	calls    int
}

// loadReports are the peers' last messages, and their sums. The sums are kept, as a choice among
// thousands of endpoints cannot add up hundreds of words.
type loadReports struct {
	byPeer map[string]*list.Element // of *word
	// byExpiry has the word first that lapses first.
	byExpiry *list.List
	sums     map[uint16]int
	// onChange tells of each change of a sum.
	onChange func(endpoint uint16, by int)
}

const (
	// minReportTTL is how long a peer's word counts at least: a few of its messages. One that
	// says nothing for longer has stopped, and its calls with it.
	minReportTTL = 2 * time.Second
	// reportTTLIntervals is how many gaps between a peer's words the last one counts, and mostToldFor
	// how long at most.
	//
	// What a router sends is bounded, so that among hundreds each peer hears it every few
	// seconds. An older report still tells the usual load; without it full endpoints look idle.
	reportTTLIntervals = 3
	maxReportTTL       = 20 * time.Second
	// reportEntrySize is the size of an entry in a message: two bytes of hash, one of
	// calls. Endpoints whose short hashes are equal, 3 pairs in 100 fleets of 60, are
	// taken to have each other's calls too.
	reportEntrySize = 3
	// maxEntryCalls is how many calls an entry can tell, mostEntries how many entries
	// there are at most.
	maxEntryCalls    = 255
	maxReportEntries = 400
)

func shortHash(hash uint64) uint16 { return uint16(hash >> 48) }

// LoadReport packs the router's own calls in progress for its peers.
func (pl *Placer) LoadReport() []byte {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var packed []byte
	for _, st := range pl.byID {
		if st.ownCalls > 0 && len(packed) < maxReportEntries*reportEntrySize {
			hash := shortHash(st.hash)
			packed = append(packed, byte(hash>>8), byte(hash), byte(min(maxEntryCalls, st.ownCalls)))
		}
	}
	return packed
}

// ApplyLoadReport takes a peer's packed calls.
func (pl *Placer) ApplyLoadReport(now time.Time, from string, packed []byte) {
	calls := make([]endpointCalls, 0, len(packed)/reportEntrySize)
	for ; len(packed) >= reportEntrySize; packed = packed[reportEntrySize:] {
		calls = append(calls, endpointCalls{uint16(packed[0])<<8 | uint16(packed[1]), int(packed[2])})
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.initMaps()
	pl.reports.apply(now, from, calls)
}

// apply replaces a peer's word.
func (lr *loadReports) apply(now time.Time, from string, calls []endpointCalls) {
	rp := &loadReport{from: from, receivedAt: now, expires: now.Add(minReportTTL), calls: calls}
	if el := lr.byPeer[from]; el != nil {
		old := lr.remove(el)
		// News is told at once: a short gap is followed by longer ones.
		rp.interval = max(now.Sub(old.receivedAt), old.interval/2)
		rp.expires = now.Add(min(maxReportTTL, max(minReportTTL, reportTTLIntervals*rp.interval)))
	}
	lr.addSums(rp, 1)
	lr.insert(rp)
}

// insert puts a word where it belongs in the order, which is near the end as a rule.
func (lr *loadReports) insert(rp *loadReport) {
	at := lr.byExpiry.Back()
	for at != nil && at.Value.(*loadReport).expires.After(rp.expires) {
		at = at.Prev()
	}
	if at == nil {
		lr.byPeer[rp.from] = lr.byExpiry.PushFront(rp)
		return
	}
	lr.byPeer[rp.from] = lr.byExpiry.InsertAfter(rp, at)
}

func (lr *loadReports) remove(el *list.Element) *loadReport {
	rp := lr.byExpiry.Remove(el).(*loadReport)
	delete(lr.byPeer, rp.from)
	lr.addSums(rp, -1)
	return rp
}

// addSums counts a word in, or out with a sign of -1.
func (lr *loadReports) addSums(rp *loadReport, sign int) {
	for _, ec := range rp.calls {
		lr.sums[ec.endpoint] += sign * ec.calls
		if lr.sums[ec.endpoint] == 0 {
			delete(lr.sums, ec.endpoint)
		}
		lr.onChange(ec.endpoint, sign*ec.calls)
	}
}

// expire stops counting the words of peers that have stopped. When they were heard is kept
// for longer, so that the gap of a peer that is heard rarely becomes known.
func (lr *loadReports) expire(now time.Time) {
	for el := lr.byExpiry.Front(); el != nil && now.After(el.Value.(*loadReport).expires); el = lr.byExpiry.Front() {
		rp := lr.remove(el)
		if end := rp.receivedAt.Add(maxReportTTL); now.Before(end) {
			rp.expires, rp.calls = end, nil
			lr.insert(rp)
		}
	}
}

// estimatePeerCalls is how many calls of other routers the endpoint has: what it counted itself
// a moment ago, or else what peers told of theirs, or more if it counted more.
func (st *state) estimatePeerCalls(now time.Time) int {
	others := st.peerCalls
	if st.fastPath {
		return others
	}
	all, known := st.load.Estimate(now)
	if !known {
		return others
	}
	if st.load.Fresh(now, freshWindow) {
		return max(0, all-st.ownCalls)
	}
	return max(others, all-st.ownCalls)
}
