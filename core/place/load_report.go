package place

import (
	"container/list"
	"time"

	"almondrill/core"
)

// loadReport is a peer's latest report: its calls in progress by the short hashes of the endpoints.
type loadReport struct {
	from       string
	receivedAt time.Time
	// interval is the recent interval between reports of this peer; expires is when this one
	// expires.
	interval time.Duration
	expires  time.Time
	calls    []endpointCalls
}

// endpointCalls is an entry of a report.
type endpointCalls struct {
	endpoint uint16
	calls    int
	// tokens is the memory of the calls, if tokensKnown is set.
	tokens      core.Tokens
	tokensKnown bool
}

// loadReports holds the peers' latest reports and their sums. The sums are maintained, because a
// choice among thousands of endpoints cannot add up hundreds of reports.
type loadReports struct {
	byPeer map[string]*list.Element // of *loadReport
	// byExpiry lists the reports, the next to expire first.
	byExpiry *list.List
	sums     map[uint16]int
	// memory holds the sums of the memory of the calls whose memory is reported.
	memory map[uint16]peerMemory
	// onChange is called for each change of a sum, onMemoryChange for each of a sum of memory.
	onChange       func(endpoint uint16, by int)
	onMemoryChange func(endpoint uint16, by peerMemory)
}

const (
	// minReportTTL is how long a peer's report is valid at least: a few intervals between its
	// messages. A peer that sends nothing for longer has stopped, and its calls with it.
	minReportTTL = 2 * time.Second
	// reportTTLIntervals is how many intervals between a peer's reports the latest one is valid,
	// and maxReportTTL how long at most.
	//
	// The messages that a router sends are bounded, so that among hundreds of routers each peer
	// receives a report only every few seconds. An older report still gives the usual load; without
	// it, full endpoints look idle.
	reportTTLIntervals = 3
	maxReportTTL       = 20 * time.Second
	// reportEntrySize is the size of an entry in a message: two bytes of hash, one byte of calls.
	// Endpoints whose short hashes are equal (3 pairs in 100 fleets of 60 endpoints) are assumed to
	// have each other's calls too.
	reportEntrySize = 3
	// maxEntryCalls is the largest number of calls in an entry, maxReportEntries the largest number
	// of entries.
	maxEntryCalls    = 255
	maxReportEntries = 400
)

func shortHash(hash uint64) uint16 { return uint16(hash >> 48) }

// LoadReport encodes this router's calls in progress for its peers.
func (pl *Placer) LoadReport() []byte {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var packed []byte
	for _, st := range pl.byID {
		if st.ownCalls > 0 && len(packed) < maxReportEntries*reportEntrySize {
			packed = appendCalls(packed, st)
		}
	}
	return packed
}

// appendCalls adds an entry to a report.
func appendCalls(packed []byte, st *state) []byte {
	hash := shortHash(st.hash)
	return append(packed, byte(hash>>8), byte(hash), byte(min(maxEntryCalls, st.ownCalls)))
}

// ApplyLoadReport replaces the calls reported by a peer.
func (pl *Placer) ApplyLoadReport(now time.Time, from string, packed []byte) {
	pl.ApplyLoadReportWithMemory(now, from, packed, nil)
}

func decodeCalls(packed []byte) []endpointCalls {
	calls := make([]endpointCalls, 0, len(packed)/reportEntrySize)
	for ; len(packed) >= reportEntrySize; packed = packed[reportEntrySize:] {
		calls = append(calls, endpointCalls{endpoint: uint16(packed[0])<<8 | uint16(packed[1]), calls: int(packed[2])})
	}
	return calls
}

// apply replaces a peer's report.
func (lr *loadReports) apply(now time.Time, from string, calls []endpointCalls) {
	rp := &loadReport{from: from, receivedAt: now, expires: now.Add(minReportTTL), calls: calls}
	if el := lr.byPeer[from]; el != nil {
		old := lr.remove(el)
		// Changes are sent at once, so that a short interval is followed by longer ones.
		rp.interval = max(now.Sub(old.receivedAt), old.interval/2)
		rp.expires = now.Add(min(maxReportTTL, max(minReportTTL, reportTTLIntervals*rp.interval)))
	}
	lr.addSums(rp, 1)
	lr.insert(rp)
}

// insert adds a report in order of expiry, which is usually near the end.
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

// addSums adds a report to the sums, or subtracts it if sign is -1.
func (lr *loadReports) addSums(rp *loadReport, sign int) {
	for _, ec := range rp.calls {
		lr.sums[ec.endpoint] += sign * ec.calls
		if lr.sums[ec.endpoint] == 0 {
			delete(lr.sums, ec.endpoint)
		}
		lr.onChange(ec.endpoint, sign*ec.calls)
		if ec.tokensKnown && ec.tokens > 0 { // calls that state no length hold memory too
			lr.addMemory(ec.endpoint, peerMemory{core.Tokens(sign) * ec.tokens, sign * ec.calls})
		}
	}
}

func (lr *loadReports) addMemory(endpoint uint16, by peerMemory) {
	sum := lr.memory[endpoint]
	sum.tokens, sum.calls = sum.tokens+by.tokens, sum.calls+by.calls
	if lr.memory[endpoint] = sum; sum == (peerMemory{}) {
		delete(lr.memory, endpoint)
	}
	lr.onMemoryChange(endpoint, by)
}

// expire removes the expired reports from the sums. Their time of receipt is kept for longer, so
// that the interval of a peer with infrequent reports becomes known.
func (lr *loadReports) expire(now time.Time) {
	for el := lr.byExpiry.Front(); el != nil && now.After(el.Value.(*loadReport).expires); el = lr.byExpiry.Front() {
		rp := lr.remove(el)
		if end := rp.receivedAt.Add(maxReportTTL); now.Before(end) {
			rp.expires, rp.calls = end, nil
			lr.insert(rp)
		}
	}
}

// estimatePeerCalls returns how many calls of other routers the endpoint has: from its own count if
// that is fresh, else the calls that peers reported, or more if the endpoint's count is higher.
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
