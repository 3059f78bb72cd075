package place

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Reading is how many calls, running and waiting, an endpoint reported, and how long ago. Routers
// forward the latest readings to each other, whichever router received them, so that the rate of
// readings at each router does not depend on the number of routers.
type Reading struct {
	_ struct{} `cbor:",toarray"`
	// Endpoint is the hash of the endpoint's ID and incarnation.
	Endpoint uint64
	Calls    uint32
	AgeMs    uint32
}

// maxReadings bounds the readings in a message: at 11 bytes each, it fits one frame.
const maxReadings = 100

// RecordLoad records how many calls the endpoint reported, this one included.
func (tk *Ticket) RecordLoad(now time.Time, calls int) {
	tk.ReportedCalls = calls
	tk.pl.mu.Lock()
	defer tk.pl.mu.Unlock()
	tk.st.markChanged()
	tk.st.load.Update(calls, now)
}

// Readings returns the latest readings that the router has, its own and those of peers.
func (pl *Placer) Readings(now time.Time) []Reading {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var all []Reading
	for _, st := range pl.byID {
		if calls, at := st.load.Latest(); !st.load.Expired(now) {
			all = append(all, Reading{Endpoint: st.hash, Calls: uint32(calls), AgeMs: uint32(now.Sub(at).Milliseconds())})
		}
	}
	slices.SortFunc(all, func(a, b Reading) int { return cmp.Compare(a.AgeMs, b.AgeMs) })
	return all[:min(len(all), maxReadings)]
}

// ApplyReadings records a peer's readings. transit is the minimum transit delay of the message.
func (pl *Placer) ApplyReadings(now time.Time, transit time.Duration, readings []Reading) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, re := range readings {
		if st := pl.byHash[re.Endpoint]; st != nil {
			st.markChanged()
			st.load.Update(int(re.Calls), now.Add(-transit-time.Duration(re.AgeMs)*time.Millisecond))
		}
	}
}

// freshWindow is how long a count is assumed to be current: it is not requested again, and takes
// precedence over peers' reports, which are older. Within it, a popular home gets one or two calls.
const freshWindow = 20 * time.Millisecond

// queryLoadFraction is the mean fraction of its slots in use from which on a pool's counts are
// requested. Below it, hardly any engine is full, and a current count would be compared with a mean
// that lags behind a rising load, so that chats would leave homes that have capacity.
const queryLoadFraction = 0.25

// queryCapFraction is the fraction of the load cap from which on an endpoint's count is requested,
// however many slots it has: if much of a pool is evacuated or cold, the mean and the cap are low.
const queryCapFraction = 0.5

// nearCap reports whether the endpoint, as far as is known, may be near the load cap.
func (ch *choice) nearCap(pl *Placer, st *state) bool {
	loadCap := ch.limits(pl).loadCap
	return loadCap != math.MaxInt && float64(st.ownCalls+st.scratch.peerCalls) >= queryCapFraction*float64(loadCap)
}

// NeedsCount returns the hash of the endpoint that Pick would choose, and whether its current
// number of calls should be requested first. That is so for an engine shared with other routers if
// the known count may be stale.
//
// Among a hundred routers, what is known of peers' calls is up to a second old. Within that time a
// popular home gets twice as many calls as it has slots, and its callers wait while the pool has
// free capacity.
func (pl *Placer) NeedsCount(now time.Time, rq *Request) (uint64, bool) {
	routers := max(1, pl.RouterCount())
	if !rq.Engine || routers == 1 {
		return 0, false
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	ch := pl.newChoice(now, rq, routers)
	if ch.usableCount == 0 {
		return 0, false
	}
	st, _ := pl.cheapest(ch)
	if st.load.Fresh(now, freshWindow) {
		return 0, false
	}
	return st.hash, ch.meanCalls >= queryLoadFraction*float64(st.Slots) || ch.nearCap(pl, st)
}

// ApplyCount records the current number of calls of an endpoint.
func (pl *Placer) ApplyCount(now time.Time, endpoint uint64, calls int) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if st := pl.byHash[endpoint]; st != nil {
		st.markChanged()
		st.load.Update(calls, now)
	}
}
