package place

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Reading is how many calls an endpoint said that it had, running and waiting, and
// how long ago. Routers pass the latest ones on to each other, whoever got them:
// what each hears in a second is then the same however many routers there are.
type Reading struct {
	_ struct{} `cbor:",toarray"`
	// Endpoint is the hash of its id.
	Endpoint uint64
	Calls    uint32
	AgeMs    uint32
}

// maxReadings bounds those in a message: with 11 bytes each it stays within one frame.
const maxReadings = 100

// RecordLoad tells how many calls the endpoint said that it has, this one included.
func (tk *Ticket) RecordLoad(now time.Time, calls int) {
	tk.ReportedCalls = calls
	tk.pl.mu.Lock()
	defer tk.pl.mu.Unlock()
	tk.st.markChanged()
	tk.st.load.Update(calls, now)
}

// Readings are the latest that the router has, its own and those it heard.
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

// ApplyReadings takes those of a peer; way is how long the message took at least.
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

// freshWindow is how long a count is taken for what the endpoint has now: it is not asked for
// again, and goes before what peers told, which is older. Within it a popular home gets one
// call or two.
const freshWindow = 20 * time.Millisecond

// askLoadFraction is the part of its places that a pool has in use, on average, from which on
// counts are asked for. Below it an engine hardly has all of them taken, and a count of now
// would be held against a mean that lags behind a rising load, so that chats would leave homes
// that have room.
const askLoadFraction = 0.25

// askCapFraction is the part of the cap from which on an endpoint's count is asked for, however many
// places it has: where much of a pool is evacuated or cold, the mean and the cap are low.
const askCapFraction = 0.5

// nearCap tells whether the endpoint may be at the cap, for all that is believed of it.
func (ch *choice) nearCap(pl *Placer, st *state) bool {
	capped := ch.limits(pl).loadCap
	return capped != math.MaxInt && float64(st.ownCalls+st.scratch.peerCalls) >= askCapFraction*float64(capped)
}

// NeedsCount is the endpoint that Pick would choose, by its hash, if how many calls it has
// should be asked first: it is an engine shared with other routers, and what is believed of
// it may be old.
//
// What is known of others' calls is up to a second old among a hundred routers. Within that time
// a popular home gets twice as many calls as it has places, and its callers wait while the pool
// has room.
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
	return st.hash, ch.meanCalls >= askLoadFraction*float64(st.Slots) || ch.nearCap(pl, st)
}

// ApplyCount takes how many calls an endpoint has now.
func (pl *Placer) ApplyCount(now time.Time, endpoint uint64, calls int) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if st := pl.byHash[endpoint]; st != nil {
		st.markChanged()
		st.load.Update(calls, now)
	}
}
