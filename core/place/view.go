package place

import (
	"fmt"
	"time"

	"almondrill/core"
)

// view is what one choice sees of a pool.
type view struct {
	pool    core.PoolID
	routers int
	all     int
	// mean is the calls of an endpoint that is alive, as far as is known; where all look
	// dead, of any.
	//
	// Failure: two thirds of a pool crash. Counted among those that are left, their empty
	// places halve the mean, and with it the cap: the live ones refuse callers with two
	// thirds of their own places free.
	mean   float64
	usable []*state
	// members are all that are not leaving.
	members []*state
	// full counts the members left out because they have no room.
	full int
	// calls are those of the pool, places what its live endpoints run, and most what a
	// call of this customer may bring the pool to; 0 if nothing bounds it.
	calls, places int
	most          float64
	// failing is the pool's mean failure rate.
	failing float64
}

func (pl *Placer) refusal(now time.Time, vi *view) *core.Refusal {
	re := &core.Refusal{
		Outcome: core.NotRun, Reason: core.ReasonNoEndpoint, Step: "pick", Peer: string(vi.pool),
		Detail: "no endpoint of the pool can take the request", RetryAfter: noEndpointAfter,
	}
	if vi.full > 0 {
		re.Reason = core.ReasonLoadCap
		re.Detail = "all endpoints of the pool are at their limit"
		re.RetryAfter = pl.surgeAfter(now, vi.pool)
		re.Basis = fmt.Sprintf("%d calls, most %.0f for this customer, %d places; %d of %d endpoints full",
			vi.calls, vi.most, vi.places, vi.full, vi.all)
	}
	return re
}

const (
	// noEndpointAfter is when callers are told to return to a pool without
	// endpoints: about the time in which one registers.
	noEndpointAfter = time.Second
	// fullAfter is when they are told to return, at the soonest, to one that is full:
	// about the time in which a stream of average length frees its place.
	fullAfter = 400 * time.Millisecond
)

func (pl *Placer) view(now time.Time, as *Ask, members []*state, routers int) *view {
	vi := &view{pool: as.Pool, routers: routers}
	told := pl.sumTold(now)
	var calls, liveCalls, live int
	var failing float64
	for _, st := range members {
		if st.Draining {
			continue
		}
		vi.all++
		vi.members = append(vi.members, st)
		st.others = pl.callsOfOthers(now, st, told)
		calls += st.calls + st.others
		failing += st.health.rate(now)
		if !st.missing && !st.health.avoid(now, st.calls) {
			live++
			liveCalls += st.calls + st.others
		}
	}
	if vi.all == 0 {
		return vi
	}
	vi.calls = calls
	vi.mean = float64(calls) / float64(vi.all)
	if live > 0 {
		vi.mean = float64(liveCalls) / float64(live)
	}
	vi.failing = failing / float64(vi.all)
	vi.bound(now, as, pl.uses[as.Pool])
	if vi.places > 0 && float64(calls) >= vi.most {
		vi.full = vi.all
		return vi
	}
	var doubtful []*state
	for _, st := range members {
		if st.Draining || tried(as, st.ID) {
			continue
		}
		if !pl.hasRoom(now, st, as, vi) {
			vi.full++
			continue
		}
		if st.missing || st.health.avoid(now, st.calls) {
			doubtful = append(doubtful, st)
			continue
		}
		vi.usable = append(vi.usable, st)
	}
	if len(vi.usable) == 0 && !as.Healthy {
		vi.usable = doubtful
	}
	return vi
}

func tried(as *Ask, id core.EndpointID) bool {
	for _, other := range as.Tried {
		if other == id {
			return true
		}
	}
	return false
}

// hasRoom tells whether the endpoint may be given one more call: within its
// connections, its places and the cap over the pool's mean.
func (pl *Placer) hasRoom(now time.Time, st *state, as *Ask, vi *view) bool {
	if now.Before(st.fullUntil) {
		return false
	}
	calls := st.calls + st.others
	if as.MaxConns > 0 && st.calls >= max(1, as.MaxConns/vi.routers) {
		return false
	}
	most := engineRoom
	if !as.Engine {
		most = plainRoom
	}
	if st.Slots > 0 && calls >= most*st.Slots {
		return false
	}
	if pl.CapFactor <= 0 || !as.Engine {
		return true
	}
	return float64(calls+1) <= max(capFloor, capSpare*pl.CapFactor*vi.mean+capFloor)
}
