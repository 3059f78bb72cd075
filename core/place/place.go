// Package place chooses the endpoint of a request where a router calls endpoints itself.
//
// # Concepts
//
// A Placer holds one router's view of the endpoints: their registrations, the router's own calls in
// progress (exact), the in-flight calls that peers report (a few hundred milliseconds old), the
// prompt parts sent to each endpoint, and how its latest calls ended. Pick predicts the cost of
// each endpoint in milliseconds and returns a Ticket for the cheapest one, through which the caller
// reports the progress of the call.
//
// A prompt consists of parts. Requests that share leading parts, such as the turns of a chat, are
// cheapest where these are cached already. The home endpoint of a chat is the one that rendezvous
// hashing prefers for it, so that all routers choose the same one without exchanging messages. A
// call elsewhere is a move; the endpoint may fetch the cached context from a holder instead of
// prefilling it again.
//
// An endpoint that reports that it works slower than usual costs more by its load and by the calls
// that would be late there, as learned from the router's own calls. If engines do not report their
// speed, it is learned from the pauses between the events of streams.
//
// # Invariants
//
//   - An endpoint that is draining, has announced its shutdown, was removed, or whose zone is
//     evacuated gets no ticket, and Ticket.BeforeSend reports one that became so after the choice.
//   - An endpoint that restarts under its ID is a different one: nothing known of its earlier
//     incarnation applies to it.
//   - Own calls are counted from Pick to Done, so that many requests that arrive between two
//     messages of the peers do not all see the same free slots.
//   - A stream continues only at an endpoint of the build at which it began, and a call is not sent to
//     an endpoint whose build changed after the choice.
//   - An endpoint that asked for no requests gets none for the time that it named.
//   - An endpoint that failed is avoided only while others of its pool do better: if all look bad,
//     the view itself is suspect and all stay in use.
//
// # Usage
//
//	pl := &place.Placer{Zone: zone, Rand: rand, RouterCount: count}
//	pl.Register(now, place.Endpoint{...})
//	tk, rf := pl.Pick(now, &place.Request{Pool: pool, Parts: parts})
//	tk.RecordActivity(now)
//	tk.RecordEvents(waitingSince, now, events)
//	tk.Done(now, place.Served)
package place

import (
	"cmp"
	"container/list"
	"slices"
	"sync"
	"time"

	"almondrill/core"
	"almondrill/core/builds"
)

// Endpoint is an endpoint as registered.
type Endpoint struct {
	ID core.EndpointID
	// Incarnation distinguishes successive runs of the endpoint's process under the same ID: a
	// later one is higher, 0 is unknown.
	Incarnation core.Incarnation
	Addr        string
	Pool        core.PoolID
	Zone        core.Zone
	Software    core.SoftwareVersion
	// Slots is how many requests the endpoint runs concurrently.
	Slots    int
	Draining bool
	// ColdUntil is when the endpoint stops being cold after its start.
	ColdUntil time.Time
}

// Part is a part of a prompt. Requests may share leading parts.
type Part struct {
	// Hash identifies the part as engines cache it, for one model. Content identifies its content for all
	// models; 0 if there is no other identity than Hash.
	Hash    uint64
	Content uint64
	Tokens  core.Tokens
}

// Request is a request to place.
type Request struct {
	Pool     core.PoolID
	Customer core.CustomerID
	Parts    []Part
	// Tried lists endpoints that must not be picked again.
	Tried []core.EndpointID
	// HomeRegions are the regions whose endpoints may be picked, if RegionBound is set.
	HomeRegions []core.Region
	RegionBound bool
	// HealthyOnly excludes endpoints that may be gone or look dead even if there are no others.
	HealthyOnly bool
	// MaxConns is how many connections an endpoint accepts from all routers together.
	MaxConns int
	// Engine is set for requests to model engines. EngineMemory is the memory of one engine, in
	// tokens.
	Engine       bool
	EngineMemory core.Tokens
	// FetchTokensPerMs is how many cached tokens one engine of the pool fetches from another per
	// millisecond, or 0 if engines cannot fetch.
	FetchTokensPerMs float64
	// ExpectedOutput is how many tokens the response is expected to have. If it and EngineMemory are
	// set, an engine without memory for the call is not picked.
	ExpectedOutput core.Tokens
	// ColdDuration is how long an endpoint of the pool is cold after its start, and ColdRate how
	// many requests per second it tolerates meanwhile. Both are 0 if the pool declares none.
	ColdDuration time.Duration
	ColdRate     float64
	// WarmOnly excludes endpoints that are cold and rate-limited.
	WarmOnly bool
	// Route names the route. Answers of a route are expected to be of similar length.
	Route string
	// GoalAt is when the answer should begin, GapGoal the target for the longest pause between its
	// events, and Deadline when the whole answer has to be there. MaxOutput is the largest number of
	// tokens that it may have. Each is zero if unknown.
	GoalAt, Deadline time.Time
	GapGoal          time.Duration
	MaxOutput        core.Tokens
	// OwnCallsOnly weighs plain endpoints by this router's own calls alone.
	OwnCallsOnly bool
	// MigrateFrom is the engine on which the request runs already, if its stream is to continue on
	// another one. An engine that is slow, cold or lacks a free slot is then not picked, and memory is
	// required for the prompt and the larger of Produced and ExpectedOutput. Produced is how many tokens
	// of the response engines have produced before this call.
	MigrateFrom core.EndpointID
	Produced    core.Tokens
	// Build is the build at which the request's stream began, if endpoints have produced events of it
	// already. Only endpoints of the same build are picked then.
	Build core.Build
	// PreferredBuild restricts the choice of endpoints for a new stream as Build does, unless none of the build is usable.
	PreferredBuild core.Build
}

// Result is the outcome of a placed call, as far as it concerns the endpoint.
type Result uint8

// Results of calls.
const (
	// Served: the endpoint responded.
	Served Result = iota
	// Failed: the response ended early or was invalid, or the endpoint reported a failure.
	Failed
	// Rejected: the endpoint refused the request without executing it.
	Rejected
	// Unreachable: no connection could be made.
	Unreachable
	// TimedOut: the call was abandoned because nothing arrived.
	TimedOut
	// Neutral: the call ended for a reason on the caller's side.
	Neutral
	// Replaced: another endpoint uses the address now.
	Replaced
)

// Placer chooses endpoints. Set the exported fields before use.
type Placer struct {
	Zone core.Zone
	// Regions maps zones to their regions. A zone without a region is in no home region.
	Regions map[core.Zone]core.Region
	Rand    core.Rand
	// CapFactor limits an endpoint's calls to a multiple of its pool's mean.
	CapFactor float64
	// RouterCount returns how many routers share the endpoints.
	RouterCount func() int
	// ColdLimits limits the requests to cold endpoints.
	ColdLimits ColdLimits

	mu              sync.Mutex // guards the fields below
	firstRegistered time.Time  // when the first endpoint registered
	// pools lists endpoints in the order of their IDs, so that a simulation repeats from its seed.
	pools map[core.PoolID][]*state
	byID  map[core.EndpointID]*state
	// byHash finds endpoints by the hash of their ID and incarnation.
	byHash map[uint64]*state
	// byShortHash finds endpoints by the short hash that load reports and moves contain.
	byShortHash map[uint16][]*state
	// evacuations holds the zones under evacuation, whether or not they have endpoints.
	evacuations map[core.Zone]*evacuation
	// partIndex finds the endpoints to which a prompt part was sent.
	partIndex *partIndex
	// incarnations holds the latest known incarnation of each endpoint, including removed ones.
	incarnations incarnations
	// backoffs maps endpoints to the time until which they accept no requests.
	backoffs map[core.EndpointID]time.Time
	// departed holds the removed endpoints that still run calls of this router.
	departed map[core.EndpointID]*state
	reports  loadReports
	// moves are this router's placements away from a chat's home; movedChats are those of peers.
	moves      []move
	movedChats map[uint32]uint16
	// surges holds the latest surge of each pool, customerUses the calls in progress of its
	// customers.
	surges       map[core.PoolID]*surge
	customerUses map[core.PoolID]*customerUse
	// callDurations holds how long calls of each pool take.
	callDurations map[core.PoolID]*callDuration
	// paces holds how fast calls of each pool run at the usual speed.
	paces map[core.PoolID]*pace
	// memories holds the memory of this router's calls in progress.
	memories map[core.PoolID]*memoryUse
	// memoryWaits holds the requests that wait for memory, memoryRouters is the number of routers
	// when the last of them came.
	memoryWaits   map[core.PoolID]*memoryWaits
	memoryRouters int
}

// Register adds or updates an endpoint. An incarnation that was seen draining stays so: only a
// later one makes the endpoint available again. Register returns false, and changes nothing, if a
// later incarnation is known.
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
	st.Endpoint, st.build, st.endedAt = ep, builds.Of(ep.Pool, ep.Software), time.Time{}
	st.noteDraining(now)
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

// removeFromPool removes an endpoint from its pool, if it is in one.
func (pl *Placer) removeFromPool(st *state) {
	list := pl.pools[st.Pool]
	if at, found := slices.BinarySearchFunc(list, st.ID, compareID); found {
		pl.pools[st.Pool] = slices.Delete(list, at, at+1)
	}
}

// MarkMissing records that an endpoint's registration is missing, though it may only have expired.
// The endpoint gets calls only where no other of its pool can take them, so that an endpoint that
// is really gone gets none, while a pool whose registrations all expired stays in use. Register
// clears the mark.
func (pl *Placer) MarkMissing(id core.EndpointID) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if st := pl.byID[id]; st != nil {
		st.markChanged()
		st.missing = true
	}
}

// Remove forgets an endpoint that is gone. Its calls in progress continue.
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
	if st.ownCalls > 0 {
		pl.departed[st.ID] = st
	}
}

func (pl *Placer) initMaps() {
	if pl.byID == nil {
		pl.byID = map[core.EndpointID]*state{}
		pl.byHash = map[uint64]*state{}
		pl.pools = map[core.PoolID][]*state{}
		pl.byShortHash = map[uint16][]*state{}
		pl.evacuations = map[core.Zone]*evacuation{}
		pl.backoffs = map[core.EndpointID]time.Time{}
		pl.departed = map[core.EndpointID]*state{}
		pl.partIndex = newPartIndex()
		pl.reports = loadReports{byPeer: map[string]*list.Element{}, byExpiry: list.New(), sums: map[uint16]int{}, memory: map[uint16]peerMemory{}, onChange: pl.addPeerCalls, onMemoryChange: pl.addPeerMemory}
		pl.surges = map[core.PoolID]*surge{}
		pl.customerUses = map[core.PoolID]*customerUse{}
		pl.callDurations = map[core.PoolID]*callDuration{}
		pl.paces = map[core.PoolID]*pace{}
		pl.memories = map[core.PoolID]*memoryUse{}
		pl.memoryWaits = map[core.PoolID]*memoryWaits{}
	}
}

func (pl *Placer) callDurationOf(pool core.PoolID) *callDuration {
	cd := pl.callDurations[pool]
	if cd == nil {
		cd = &callDuration{}
		pl.callDurations[pool] = cd
	}
	return cd
}

// addPeerCalls changes the count of peers' calls at the endpoints with the short hash.
func (pl *Placer) addPeerCalls(endpoint uint16, by int) {
	for _, st := range pl.byShortHash[endpoint] {
		st.peerCalls += by
	}
}

// Serving returns how many endpoints of the pools in use are not draining.
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

// Draining reports whether the endpoint with the hash is known to be draining.
func (pl *Placer) Draining(endpoint uint64) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	st := pl.byHash[endpoint]
	return st != nil && st.Draining
}

// Pick chooses an endpoint. The refusal, if any, has the outcome NotRun and says when to retry.
func (pl *Placer) Pick(now time.Time, rq *Request) (*Ticket, *core.Refusal) {
	routers := max(1, pl.RouterCount()) // before locking: the function may call the Placer
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.serveWaits(now, rq.Pool)
	ch := pl.newChoice(now, rq, routers)
	if ch.usableCount == 0 {
		return nil, pl.refusal(ch)
	}
	best, cost := pl.cheapest(ch)
	return pl.issueTicket(best, cost, ch), nil
}

// oneIn returns true with a probability of 1/count. Each router breaks ties at random: if all
// routers took the first of several equals, they would overload it.
func (pl *Placer) oneIn(count int) bool { return pl.Rand.Uint64()%uint64(count) == 0 }

// SetBounds changes the load cap and the limits of cold endpoints at run time.
func (pl *Placer) SetBounds(capFactor float64, limits ColdLimits) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.CapFactor, pl.ColdLimits = capFactor, limits
}
