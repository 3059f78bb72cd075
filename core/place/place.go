// Package place chooses the endpoint of a request where a router calls endpoints
// itself.
//
// # Concepts
//
// A Placer holds what one router believes of each endpoint: its registration,
// the router's own calls in progress (exact), those that fellow routers told (a
// few hundred milliseconds old), the prompt parts sent there, and how its last
// calls went. Pick weighs these in milliseconds and hands out a Ticket, through
// which the caller tells how the call goes.
//
// # Invariants
//
//   - An endpoint that drains, or is gone, gets no ticket.
//   - Own calls are counted from Pick to Done, so that many requests that arrive
//     between two messages of the fellows do not all see the same gap.
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
	"math"
	"slices"
	"sync"
	"time"

	"almondrill/core"
	"almondrill/core/decl"
	"almondrill/core/ring"
)

// Endpoint is an endpoint as it registered itself. A restart makes another one.
type Endpoint struct {
	ID   core.EndpointID
	Addr string
	Pool core.PoolID
	Zone core.Zone
	// Slots is how many requests it runs at a time.
	Slots    int
	Draining bool
	// ColdUntil is when it stops being slow after its start.
	ColdUntil time.Time
}

// Part is a part of a prompt that requests may share.
type Part struct {
	Hash   uint64
	Tokens core.Tokens
}

// Ask is a request to place.
type Ask struct {
	Pool  core.PoolID
	Parts []Part
	// Tried are endpoints that are not to be picked again.
	Tried []core.EndpointID
	// MaxConns is how many connections an endpoint takes from all routers.
	MaxConns int
	// Engine is set for requests to model engines, Memory to an engine's.
	Engine bool
	Memory core.Tokens
	// FetchPerMs is how many kept tokens one engine of the pool takes over from
	// another in a millisecond; 0 if they cannot.
	FetchPerMs float64
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
	Full
	// Unreached: no connection could be made.
	Unreached
	// Silent: it was given up because nothing came.
	Silent
	// Neutral: the call ended for reasons of the caller.
	Neutral
	// Replaced: another endpoint has the address now.
	Replaced
)

// Constants of the choice.
const (
	// prefillPerMs is how many prompt tokens an engine reads in a millisecond;
	// from the engines' data sheet.
	prefillPerMs = 140.0
	// runMs is what one more running call costs the first token of the next, in
	// ms: a decode step is some 2 to 8 ms and grows with what runs.
	runMs = 0.7
	// zoneMs is what leaving the zone costs, in ms: twice the way of 0.9 ms, and
	// the bytes.
	zoneMs = 3.0
	// readWeight is how much more a token to read counts than the reader's own wait:
	// the steps in which an engine reads delay every call that runs there, some six
	// as a rule.
	readWeight = 6.0
	// homeCached is the part of a context assumed to be at its home, of which this
	// router has no record of its own: fellow routers send it there too. Each further
	// home is that much less likely to have it.
	homeCached = 0.9
	nextCached = 0.6
	// homes is how many endpoints, in an order on which all routers agree, take the
	// chats whose first home is under pressure.
	homes = 3
	// pressureMs is what an endpoint costs, in ms, that has twice its pool's mean of
	// calls; it grows with the square of what is beyond the mean, so that chats that
	// are cheap to move leave first, before the cap has to move dear ones.
	// pressureFloor is added to the mean: differences of a call or two mean nothing.
	pressureMs    = 25.0
	pressureFloor = 2.0
	// coldMs is what an endpoint that has just started costs, in ms.
	coldMs = 20.0
	// failMs is what a failure rate of 1 costs, in ms: more than any context is
	// worth reading anew (30,000 tokens at prefillPerMs).
	failMs = 400.0
	// fetchMs is what a fetch costs beside its transfer, in ms; from the data sheet.
	// fetchWeight counts its transfer more than once, since it takes the links of two
	// engines; leastFetch is below what a fetch is worth.
	fetchMs     = 12.0
	fetchWeight = 2.0
	leastFetch  = 256
	// settledAfter is how long after an endpoint's coming prompts are still looked for
	// where they were before: most return within it.
	settledAfter = 10 * time.Second
	// startTime is how long after the first endpoint others still count as there from
	// the start: all register within a few heartbeats when a deployment begins.
	startTime = 4 * time.Second
	// leastHomes and homesPerRatio say among how many endpoints the homes lie of
	// prompts that begin alike: half as many as the rest is longer than the
	// beginning.
	leastHomes    = 2
	homesPerRatio = 0.5
	// capSpare is the part of the cap that is used: the rest covers what fellows
	// placed since their last message.
	capSpare = 0.9
	// capFloor is the number of calls below which the cap does not apply.
	capFloor = 3
	// fullFor is how long an endpoint that refused is passed over: about the time
	// in which one of its calls ends.
	fullFor = 150 * time.Millisecond
)

// Placer chooses endpoints. Set the exported fields before use.
type Placer struct {
	Zone core.Zone
	Rand core.Rand
	// CapFactor bounds an endpoint's calls as a multiple of its pool's mean.
	CapFactor float64
	// Routers tells how many routers share the endpoints.
	Routers func() int

	mu    sync.Mutex // guards all below
	began time.Time  // when the first endpoint became known
	pools map[core.PoolID]map[core.EndpointID]*state
	byID  map[core.EndpointID]*state
	// byHash finds endpoints by the hash of their id.
	byHash map[uint64]*state
	told   map[string]*word
	// moves are own placements away from a chat's home, holders those of fellows.
	moves   []move
	holders map[uint32]uint16
}

// Register takes an endpoint's registration, or a change of it. One that was seen
// draining stays so: only a restart, under another id, brings it back.
func (pl *Placer) Register(now time.Time, ep Endpoint) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.start()
	if pl.began.IsZero() {
		pl.began = now
	}
	st := pl.byID[ep.ID]
	if st == nil {
		st = &state{hash: decl.HashName(string(ep.ID)), seen: newMemory(), since: now}
		pl.byID[ep.ID] = st
		pl.byHash[st.hash] = st
	}
	if old := pl.pools[st.Pool]; old != nil && st.Pool != ep.Pool {
		delete(old, ep.ID)
	}
	ep.Draining = ep.Draining || st.Draining
	st.Endpoint = ep
	st.missing = false
	if pl.pools[ep.Pool] == nil {
		pl.pools[ep.Pool] = map[core.EndpointID]*state{}
	}
	pl.pools[ep.Pool][ep.ID] = st
}

// Doubt tells that an endpoint's registration is missing, though it may only have
// lapsed. The endpoint gets calls only where no other of its pool can take them, so
// that one that has left gets none, and a pool whose registrations all lapsed
// stays in use. Register lifts the doubt.
func (pl *Placer) Doubt(id core.EndpointID) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if st := pl.byID[id]; st != nil {
		st.missing = true
	}
}

// Remove forgets an endpoint that is gone. Its calls in progress go on.
func (pl *Placer) Remove(id core.EndpointID) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if st := pl.byID[id]; st != nil {
		delete(pl.pools[st.Pool], id)
		delete(pl.byID, id)
		delete(pl.byHash, st.hash)
	}
}

func (pl *Placer) start() {
	if pl.byID == nil {
		pl.byID = map[core.EndpointID]*state{}
		pl.byHash = map[uint64]*state{}
		pl.pools = map[core.PoolID]map[core.EndpointID]*state{}
		pl.told = map[string]*word{}
	}
}

// Known is the number of endpoints that may get work.
func (pl *Placer) Known() int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	count := 0
	for _, st := range pl.byID {
		if !st.Draining {
			count++
		}
	}
	return count
}

// Pick chooses an endpoint. The refusal, if any, is NotRun and says when trying
// again makes sense.
func (pl *Placer) Pick(now time.Time, as *Ask) (*Ticket, *core.Refusal) {
	routers := max(1, pl.Routers()) // before the lock: whoever counts them may call the Placer
	pl.mu.Lock()
	defer pl.mu.Unlock()
	members := pl.pools[as.Pool]
	vi := pl.view(now, as, members, routers)
	if len(vi.usable) == 0 {
		return nil, vi.refusal()
	}
	chain := chainOf(as.Parts)
	ch := &choice{as: as, chain: chain, homes: homesOf(vi.usable, as.Parts, chain, homes), vi: vi}
	if as.Engine && as.FetchPerMs > 0 {
		ch.findHolder(pl, now, members)
	}
	var best *state
	bestCost := math.Inf(1)
	for _, st := range vi.usable {
		if cost := pl.cost(now, st, ch); cost < bestCost {
			best, bestCost = st, cost
		}
	}
	return pl.take(now, best, bestCost, ch), nil
}

// choice is what one Pick weighs the endpoints with.
type choice struct {
	as    *Ask
	chain []uint64
	homes []*state
	vi    *view
	// holder is the endpoint known to hold most of the prompt, held how much.
	holder *state
	held   core.Tokens
}

// findHolder finds the endpoint that probably holds most: by the own record, by
// what fellows told, or where the home was. A record of no more than the beginning,
// which many prompts have, does not hide the others.
func (ch *choice) findHolder(pl *Placer, now time.Time, members map[core.EndpointID]*state) {
	ch.holder, ch.held = holderOf(now, members, ch.as.Parts, ch.chain)
	if st, held := pl.toldHolder(members, ch.as.Parts, ch.chain); held > ch.held {
		ch.holder, ch.held = st, held
	}
	if st, held := pl.formerHome(now, members, ch.as.Parts, ch.chain); held > ch.held {
		ch.holder, ch.held = st, held
	}
}

// assumed is the part of the prompt that fellows have probably sent there.
func (ch *choice) assumed(st *state) float64 {
	part := homeCached
	for _, home := range ch.homes {
		if home == st {
			return part
		}
		part *= nextCached
	}
	return 0
}

// reads tells how many of the prompt's tokens the endpoint would have to read, and
// how many it would fetch from the holder.
func (ch *choice) reads(st *state) (read, fetched core.Tokens) {
	uncached := st.uncached(ch.as.Parts, ch.chain, ch.assumed(st))
	if ch.holder == nil || ch.holder == st {
		return uncached, 0
	}
	known := promptTokens(ch.as.Parts) - uncached
	fetched = ch.held - known
	if fetched < leastFetch {
		return uncached, 0
	}
	return uncached - fetched, fetched
}

// view is what one choice sees of a pool.
type view struct {
	pool    core.PoolID
	routers int
	all     int
	mean    float64
	usable  []*state
	// members are all that are not leaving.
	members []*state
	// full counts the members left out because they have no room.
	full int
	// failing is the pool's mean failure rate.
	failing float64
}

func (vi *view) refusal() *core.Refusal {
	re := &core.Refusal{
		Outcome: core.NotRun, Reason: core.ReasonNoEndpoint, Step: "pick", Peer: string(vi.pool),
		Detail: "no endpoint of the pool can take the request", RetryAfter: noEndpointAfter,
	}
	if vi.full > 0 {
		re.Reason = core.ReasonLoadCap
		re.Detail = "all endpoints of the pool are at their limit"
		re.RetryAfter = fullAfter
	}
	return re
}

const (
	// noEndpointAfter is when callers are told to return to a pool without
	// endpoints: about the time in which one registers.
	noEndpointAfter = time.Second
	// fullAfter is when they are told to return to one that is full: about the
	// time in which a stream of average length frees its place.
	fullAfter = 400 * time.Millisecond
)

func (pl *Placer) view(now time.Time, as *Ask, members map[core.EndpointID]*state, routers int) *view {
	vi := &view{pool: as.Pool, routers: routers}
	told := pl.sumTold(now)
	var calls int
	var failing float64
	for _, st := range members {
		if st.Draining {
			continue
		}
		vi.all++
		vi.members = append(vi.members, st)
		st.fellows = pl.othersCalls(now, st, told)
		calls += st.calls + st.fellows
		failing += st.health.rate(now)
	}
	if vi.all == 0 {
		return vi
	}
	vi.mean = float64(calls) / float64(vi.all)
	vi.failing = failing / float64(vi.all)
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
	if len(vi.usable) == 0 {
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
	calls := st.calls + st.fellows
	if as.MaxConns > 0 && st.calls >= max(1, as.MaxConns/vi.routers) {
		return false
	}
	if st.Slots > 0 && calls >= 2*st.Slots {
		return false
	}
	if pl.CapFactor <= 0 || !as.Engine {
		return true
	}
	return float64(calls+1) <= max(capFloor, capSpare*pl.CapFactor*vi.mean+capFloor)
}

// homesOf are the endpoints on which all routers agree for a prompt, without a word.
// Prompts that return together are named by all parts but the last, which is the
// request's own. Those that begin alike have their homes among a few endpoints, so
// that the beginning is not read on all: the fewer, the more of the prompt it is.
func homesOf(members []*state, parts []Part, chain []uint64, most int) []*state {
	if len(chain) == 0 || len(members) == 0 {
		return nil
	}
	last := max(0, len(chain)-2)
	among := members
	if last > 0 {
		rest := 0.0
		for _, pa := range parts[1 : last+1] {
			rest += float64(pa.Tokens)
		}
		count := max(leastHomes, int(homesPerRatio*rest/float64(max(1, parts[0].Tokens))))
		among = highest(members, chain[0], count)
	}
	return highest(among, chain[last], most)
}

// highest are the count members that score highest for the key.
func highest(members []*state, key uint64, count int) []*state {
	best := make([]*state, 0, count+1)
	for _, st := range members {
		score := ring.Mix(st.hash, key)
		at := len(best)
		for at > 0 && ring.Mix(best[at-1].hash, key) < score {
			at--
		}
		if at < count {
			best = slices.Insert(best, at, st)
			best = best[:min(count, len(best))]
		}
	}
	return best
}

// cost predicts, in ms, the wait for the first token there and what the call
// costs others.
func (pl *Placer) cost(now time.Time, st *state, ch *choice) float64 {
	calls := float64(st.calls + st.fellows)
	cost := failMs * max(0, st.health.rate(now)-ch.vi.failing)
	if st.Zone != pl.Zone {
		cost += zoneMs
	}
	if now.Before(st.ColdUntil) {
		cost += coldMs
	}
	if !ch.as.Engine {
		slots := float64(max(1, st.Slots))
		return cost + st.health.typicalMs()*max(0, calls+1-slots)/slots + 10*calls/slots + pl.Rand.Float64()
	}
	read, fetched := ch.reads(st)
	cost += (readWeight*float64(read)+float64(st.toRead))/prefillPerMs + runMs*calls
	beyond := max(0, (calls+1)/(ch.vi.mean+pressureFloor)-1)
	cost += pressureMs * beyond * beyond
	if fetched > 0 {
		cost += fetchMs + fetchWeight*float64(fetched)/ch.as.FetchPerMs
	}
	return cost
}

// take counts the call at the endpoint and makes its ticket.
func (pl *Placer) take(now time.Time, st *state, cost float64, ch *choice) *Ticket {
	as, vi := ch.as, ch.vi
	read, fetched := ch.reads(st)
	tk := &Ticket{
		pl: pl, st: st, Endpoint: st.Endpoint, Started: now, CostMs: cost,
		Calls: st.calls, Fellows: st.fellows, Mean: vi.mean, Usable: len(vi.usable), Full: vi.full, Of: vi.all,
		Prompt: promptTokens(as.Parts), Uncached: read, Home: len(ch.homes) > 0 && st == ch.homes[0], toRead: read,
	}
	if ch.holder != nil && ch.holder != st && ch.held >= leastFetch {
		// Named also where the endpoint is thought to hold all: it fetches only what
		// it lacks.
		tk.FetchFrom = ch.holder.Addr
		tk.Fetched = fetched
	}
	if len(ch.chain) > 0 {
		tk.Chat = ch.chain[max(0, len(ch.chain)-2)]
	}
	if len(ch.chain) > 1 && !st.seen.has(tk.Chat) && st != homesOf(vi.members, as.Parts, ch.chain, 1)[0] {
		pl.noteMove(now, tk.Chat, st.hash)
	}
	st.calls++
	st.reading.note(now, 1)
	st.toRead += tk.toRead
	st.seen.note(as.Parts, ch.chain, as.Memory)
	st.health.begun(now)
	return tk
}

// holderOf is the endpoint, of those that can be reached, that is known to hold
// most of the prompt; one that is draining or full still hands its memory on.
func holderOf(now time.Time, members map[core.EndpointID]*state, parts []Part, chain []uint64) (*state, core.Tokens) {
	var best *state
	var most core.Tokens
	all := promptTokens(parts)
	for _, st := range members {
		if st.missing || st.health.avoid(now, st.calls) {
			continue
		}
		if held := all - st.uncached(parts, chain, 0); held > most {
			best, most = st, held
		}
	}
	return best, most
}

// formerHome is where a prompt's home was before endpoints joined and left of late.
// A router that has no record of the prompt finds it there, as its fellows sent it.
func (pl *Placer) formerHome(now time.Time, members map[core.EndpointID]*state, parts []Part, chain []uint64) (*state, core.Tokens) {
	if len(parts) < 2 {
		return nil, 0
	}
	var before []*state
	for _, st := range members {
		settled := now.Sub(st.since) > settledAfter || st.since.Sub(pl.began) < startTime
		if settled && !st.missing && !st.health.avoid(now, st.calls) {
			before = append(before, st)
		}
	}
	if len(before) == 0 {
		return nil, 0
	}
	shared := promptTokens(parts[:len(parts)-1])
	return homesOf(before, parts, chain, 1)[0], core.Tokens(homeCached * float64(shared))
}

func promptTokens(parts []Part) core.Tokens {
	var sum core.Tokens
	for _, pa := range parts {
		sum += pa.Tokens
	}
	return sum
}

// chainOf hashes each part with all before it: a part is of use to an engine
// only behind the same beginning.
func chainOf(parts []Part) []uint64 {
	chain := make([]uint64, len(parts))
	var key uint64
	for ix, pa := range parts {
		key = ring.Mix(key, pa.Hash)
		chain[ix] = key
	}
	return chain
}

// SetCapFactor changes the cap while in use.
func (pl *Placer) SetCapFactor(factor float64) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.CapFactor = factor
}
