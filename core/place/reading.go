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

// mostReadings bounds those in a message: with 11 bytes each it stays within one frame.
const mostReadings = 100

// Counted tells how many calls the endpoint said that it has, this one included.
func (tk *Ticket) Counted(now time.Time, calls int) {
	tk.Said = calls
	tk.pl.mu.Lock()
	defer tk.pl.mu.Unlock()
	tk.st.stir()
	tk.st.reading.Update(calls, now)
}

// Readings are the latest that the router has, its own and those it heard.
func (pl *Placer) Readings(now time.Time) []Reading {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var all []Reading
	for _, st := range pl.byID {
		if calls, at := st.reading.Latest(); !st.reading.Expired(now) {
			all = append(all, Reading{Endpoint: st.hash, Calls: uint32(calls), AgeMs: uint32(now.Sub(at).Milliseconds())})
		}
	}
	slices.SortFunc(all, func(a, b Reading) int { return cmp.Compare(a.AgeMs, b.AgeMs) })
	return all[:min(len(all), mostReadings)]
}

// HearReadings takes those of a peer; way is how long the message took at least.
func (pl *Placer) HearReadings(now time.Time, way time.Duration, heard []Reading) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, re := range heard {
		if st := pl.byHash[re.Endpoint]; st != nil {
			st.stir()
			st.reading.Update(int(re.Calls), now.Add(-way-time.Duration(re.AgeMs)*time.Millisecond))
		}
	}
}

// freshFor is how long a count is taken for what the endpoint has now: it is not asked for
// again, and goes before what peers told, which is older. Within it a popular home gets one
// call or two.
const freshFor = 20 * time.Millisecond

// loadedPart is the part of its places that a pool has in use, on average, from which on
// counts are asked for. Below it an engine hardly has all of them taken, and a count of now
// would be held against a mean that lags behind a rising load, so that chats would leave homes
// that have room.
const loadedPart = 0.25

// cappedPart is the part of the cap from which on an endpoint's count is asked for, however many
// places it has: where much of a pool is evacuated or cold, the mean and the cap are low.
const cappedPart = 0.5

// nearCap tells whether the endpoint may be at the cap, for all that is believed of it.
func (ch *choice) nearCap(pl *Placer, st *state) bool {
	capped := ch.limits(pl).capped
	return capped != math.MaxInt && float64(st.calls+st.scratch.others) >= cappedPart*float64(capped)
}

// Uncertain is the endpoint that Pick would choose, by its hash, if how many calls it has
// should be asked first: it is an engine shared with other routers, and what is believed of
// it may be old.
//
// What is known of others' calls is up to a second old among a hundred routers. Within that time
// a popular home gets twice as many calls as it has places, and its callers wait while the pool
// has room.
func (pl *Placer) Uncertain(now time.Time, as *Ask) (uint64, bool) {
	routers := max(1, pl.Routers())
	if !as.Engine || routers == 1 {
		return 0, false
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	ch := pl.look(now, as, routers)
	if ch.usable == 0 {
		return 0, false
	}
	st, _ := pl.cheapest(ch)
	if st.reading.Fresh(now, freshFor) {
		return 0, false
	}
	return st.hash, ch.mean >= loadedPart*float64(st.Slots) || ch.nearCap(pl, st)
}

// HearCount takes how many calls an endpoint has now.
func (pl *Placer) HearCount(now time.Time, endpoint uint64, calls int) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if st := pl.byHash[endpoint]; st != nil {
		st.stir()
		st.reading.Update(calls, now)
	}
}
