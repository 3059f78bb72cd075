// Package place chooses the endpoint of a request where a router calls endpoints
// itself.
//
// # Concepts
//
// A Placer holds what one router believes of each endpoint: its registration,
// the router's own calls in progress (exact), those that peers told (a
// few hundred milliseconds old), the prompt parts sent there, and how its last
// calls went. Pick weighs these in milliseconds and hands out a Ticket, through
// which the caller tells how the call goes.
//
// # Invariants
//
//   - An endpoint that drains, has announced that it leaves, is gone, or whose zone is evacuated,
//     gets no ticket, and Ticket.Send tells of one that became such after the choice.
//   - An endpoint that starts again under its id is another one: nothing that was
//     believed of its earlier start holds for it.
//   - Own calls are counted from Pick to Done, so that many requests that arrive
//     between two messages of the peers do not all see the same gap.
//   - An endpoint that asked for no requests gets none for as long.
//   - An endpoint that failed is avoided only while others of its pool do better:
//     if all look bad, the view is doubted and all stay in use.
//
// # Usage
//
//	pl := &place.Placer{Zone: zone, Rand: rand}
//	pl.Register(now, place.Endpoint{...})
//	tk, re := pl.Pick(now, &place.Ask{Pool: pool, Parts: parts})
//	tk.Heard(now)
//	tk.Done(now, place.Served)
package place

import (
	"cmp"
	"container/list"
	"slices"
	"sync"
	"time"

	"almondrill/core"
)

// Endpoint is an endpoint as it registered itself.
type Endpoint struct {
	ID core.EndpointID
	// Incarnation tells one run of its process from the next, which may have the same ID; a
	// later one is higher, 0 is unknown.
	Incarnation core.Incarnation
	Addr        string
	Pool        core.PoolID
	Zone        core.Zone
	// Slots is how many requests it runs at a time.
	Slots    int
	Draining bool
	// ColdUntil is when it stops being cold after its start.
	ColdUntil time.Time
}

// Part is a part of a prompt that requests may share.
type Part struct {
	Hash   uint64
	Tokens core.Tokens
}

// Request is a request to place.
type Request struct {
	Pool     core.PoolID
	Customer core.CustomerID
	Parts    []Part
	// Tried are endpoints that are not to be picked again.
	Tried []core.EndpointID
	// HomeRegions are the regions whose endpoints may be picked, where Bound is set.
	HomeRegions []core.Region
	RegionBound bool
	// HealthyOnly leaves out endpoints that may be gone or look dead, also where there are no
	// others.
	HealthyOnly bool
	// MaxConns is how many connections an endpoint takes from all routers.
	MaxConns int
	// Engine is set for requests to model engines, Memory to an engine's.
	Engine       bool
	EngineMemory core.Tokens
	// FetchTokensPerMs is how many kept tokens one engine of the pool takes over from
	// another in a millisecond; 0 if they cannot.
	FetchTokensPerMs float64
	// ColdDuration is how long an endpoint of the pool is cold after its start, and ColdRate how
	// many requests a second it tolerates then; 0 if none is declared.
	ColdDuration time.Duration
	ColdRate     float64
	// WarmOnly leaves out endpoints whose requests are limited as they are cold.
	WarmOnly bool
}

// Result is how a placed call ended, as far as it tells of the endpoint.
type Result uint8

// Results of calls.
const (
	// Served: the endpoint answered.
	Served Result = iota
	// Failed: it broke off, answered nonsense or said that it failed.
	Failed
	// Full: it refused the request without running it.
	Rejected
	// Unreached: no connection could be made.
	Unreachable
	// Silent: it was given up because nothing came.
	TimedOut
	// Neutral: the call ended for reasons of the caller.
	Neutral
	// Replaced: another endpoint has the address now.
	Replaced
)

// Placer chooses endpoints. Set the exported fields before use.
type Placer struct {
	Zone core.Zone
	// Regions are those of the zones. A zone without one is in no home region.
	Regions map[core.Zone]core.Region
	Rand    core.Rand
	// CapFactor bounds an endpoint's calls as a multiple of its pool's mean.
	CapFactor float64
	// RouterCount tells how many routers share the endpoints.
	RouterCount func() int
	// ColdLimits bounds what cold endpoints get.
	ColdLimits ColdLimits

	mu              sync.Mutex // guards all below
	firstRegistered time.Time  // when the first endpoint became known
	// pools are in the order of the endpoints' ids, so that a run repeats from its seed.
	pools map[core.PoolID][]*state
	byID  map[core.EndpointID]*state
	// byHash finds endpoints by the hash of their id and start.
	byHash map[uint64]*state
	// byShortHash finds endpoints by the short hash by which peers tell of them.
	byShortHash map[uint16][]*state
	// evacuations are the zones under evacuation, whether or not they have endpoints.
	evacuations map[core.Zone]*evacuation
	// partIndex are the endpoints that were sent the parts of prompts.
	partIndex *partIndex
	// incarnations are the latest known of all endpoints, also of those that are gone.
	incarnations incarnations
	// backoffs are until when endpoints want no requests.
	backoffs map[core.EndpointID]time.Time
	reports  loadReports
	// moves are own placements away from a chat's home, holders those of peers.
	moves      []move
	movedChats map[uint32]uint16
	// surges are the latest of each pool, uses what customers have in progress there.
	surges       map[core.PoolID]*surge
	customerUses map[core.PoolID]*customerUse
	// callDurations are how long calls of each pool take.
	callDurations map[core.PoolID]*callDuration
}

// Register takes an endpoint's registration, or a change of it. A start that was seen
// draining stays so: only a later start brings the endpoint back. It returns false, and
// changes nothing, for a registration of an earlier start than the latest known.
func (pl *Placer) Register(now time.Time, ep Endpoint) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.initMaps()
	if pl.firstRegistered.IsZero() {
		pl.firstRegistered = now
	}
	drained, current := pl.incarnations.record(&ep)
	if !current {
		return false
	}
	if ep.Draining {
		pl.incarnations.markDraining(&ep)
	}
	st := pl.byID[ep.ID]
	if st != nil && st.Incarnation != ep.Incarnation {
		pl.remove(st)
		st = nil
	}
	if st == nil {
		st = pl.newState(now, &ep)
		pl.byID[ep.ID] = st
		pl.byHash[st.hash] = st
		pl.byShortHash[shortHash(st.hash)] = append(pl.byShortHash[shortHash(st.hash)], st)
	}
	pl.removeFromPool(st)
	st.markChanged()
	st.sameZone, st.evacuated = ep.Zone == pl.Zone, pl.evacuations[ep.Zone]
	ep.Draining = ep.Draining || st.Draining || drained
	st.Endpoint = ep
	st.missing = false
	pl.addToPool(st)
	return true
}

func compareID(st *state, id core.EndpointID) int { return cmp.Compare(st.ID, id) }

func (pl *Placer) addToPool(st *state) {
	list := pl.pools[st.Pool]
	at, _ := slices.BinarySearchFunc(list, st.ID, compareID)
	pl.pools[st.Pool] = slices.Insert(list, at, st)
}

// removeFromPool takes an endpoint out of its pool, if it is in one.
func (pl *Placer) removeFromPool(st *state) {
	list := pl.pools[st.Pool]
	if at, found := slices.BinarySearchFunc(list, st.ID, compareID); found {
		pl.pools[st.Pool] = slices.Delete(list, at, at+1)
	}
}

// MarkMissing tells that an endpoint's registration is missing, though it may only have
// lapsed. The endpoint gets calls only where no other of its pool can take them, so
// that one that has left gets none, and a pool whose registrations all lapsed
// stays in use. Register lifts the doubt.
func (pl *Placer) MarkMissing(id core.EndpointID) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if st := pl.byID[id]; st != nil {
		st.markChanged()
		st.missing = true
	}
}

// Remove forgets an endpoint that is gone. Its calls in progress go on.
func (pl *Placer) Remove(id core.EndpointID) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if st := pl.byID[id]; st != nil {
		pl.remove(st)
	}
}

func (pl *Placer) remove(st *state) {
	pl.removeFromPool(st)
	delete(pl.byID, st.ID)
	delete(pl.byHash, st.hash)
	pl.byShortHash[shortHash(st.hash)] = slices.DeleteFunc(pl.byShortHash[shortHash(st.hash)], func(other *state) bool { return other == st })
	st.cache.clear()
	st.removed = true
}

func (pl *Placer) initMaps() {
	if pl.byID == nil {
		pl.byID = map[core.EndpointID]*state{}
		pl.byHash = map[uint64]*state{}
		pl.pools = map[core.PoolID][]*state{}
		pl.byShortHash = map[uint16][]*state{}
		pl.evacuations = map[core.Zone]*evacuation{}
		pl.backoffs = map[core.EndpointID]time.Time{}
		pl.partIndex = newPartIndex()
		pl.reports = loadReports{byPeer: map[string]*list.Element{}, byExpiry: list.New(), sums: map[uint16]int{}, onChange: pl.addPeerCalls}
		pl.surges = map[core.PoolID]*surge{}
		pl.customerUses = map[core.PoolID]*customerUse{}
		pl.callDurations = map[core.PoolID]*callDuration{}
	}
}

func (pl *Placer) callDurationOf(pool core.PoolID) *callDuration {
	at := pl.callDurations[pool]
	if at == nil {
		at = &callDuration{}
		pl.callDurations[pool] = at
	}
	return at
}

// addPeerCalls counts what peers told of an endpoint.
func (pl *Placer) addPeerCalls(endpoint uint16, by int) {
	for _, st := range pl.byShortHash[endpoint] {
		st.peerCalls += by
	}
}

// Serving is the number of endpoints, of the pools that are in use, that may get work.
func (pl *Placer) Serving(inUse func(core.PoolID) bool) int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	count := 0
	for _, st := range pl.byID {
		if !st.Draining && inUse(st.Pool) {
			count++
		}
	}
	return count
}

// Draining tells whether the endpoint of that hash is known to drain.
func (pl *Placer) Draining(endpoint uint64) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	st := pl.byHash[endpoint]
	return st != nil && st.Draining
}

// Pick chooses an endpoint. The refusal, if any, is NotRun and says when trying
// again makes sense.
func (pl *Placer) Pick(now time.Time, rq *Request) (*Ticket, *core.Refusal) {
	routers := max(1, pl.RouterCount()) // before the lock: whoever counts them may call the Placer
	pl.mu.Lock()
	defer pl.mu.Unlock()
	ch := pl.newChoice(now, rq, routers)
	if ch.usableCount == 0 {
		return nil, pl.refusal(ch)
	}
	best, cost := pl.cheapest(ch)
	return pl.issueTicket(best, cost, ch), nil
}

// oneIn draws, with a chance of one in count. Among equals each router draws its own:
// routers that all took the first would bury it.
func (pl *Placer) oneIn(count int) bool { return pl.Rand.Uint64()%uint64(count) == 0 }

// SetBounds changes the cap and the limits of cold endpoints while in use.
func (pl *Placer) SetBounds(capFactor float64, limits ColdLimits) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.CapFactor, pl.ColdLimits = capFactor, limits
}
