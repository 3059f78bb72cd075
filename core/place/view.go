package place

import (
	"fmt"
	"math"
	"time"

	"almondrill/core"
)

// poolStats is what one choice sees of a pool.
type poolStats struct {
	pool    core.PoolID
	routers int
	// openCount counts the endpoints that are not closed, evacuated those closed by an evacuation
	// alone.
	openCount, evacuatedCount int
	// meanCalls is the calls of an endpoint that is alive, as far as is known; where all look
	// dead, of any.
	// Counting dead endpoints would lower the mean, and with it the cap of the live ones.
	meanCalls float64
	// capMean is what the load cap goes by: the mean over evacuated endpoints too, which are part
	// of the pool while they are there.
	capMean float64
	// usableCount counts the endpoints that may be picked, full those left out because they have
	// no room.
	usableCount int
	fullCount   int
	// backingOffCount counts those that want no requests for a time, the first of them until backoffEnds.
	backingOffCount int
	backoffEnds     time.Time
	// coldFullCount counts those of the full ones that are cold and whose limit is used up.
	coldFullCount int
	// poolCalls are those of the pool, places what its live endpoints run, and most what a
	// call of this customer may bring the pool to; 0 if nothing bounds it.
	poolCalls, poolSlots int
	maxPoolCalls         float64
	// typicalMs is how long calls of the pool take.
	typicalMs float64
	// meanFailureRate is the pool's mean failure rate, and failAll counts the endpoints that have failed
	// all of late.
	meanFailureRate float64
	failAllCount    int
}

func (pl *Placer) refusal(ch *choice) *core.Refusal {
	re := &core.Refusal{
		Outcome: core.NotRun, Reason: core.ReasonNoEndpoint, Step: "pick", Peer: string(ch.pool),
		Detail: "no endpoint of the pool can take the request", RetryAfter: noEndpointRetryAfter,
	}
	if ch.lacksHomeRegion(pl) {
		re.Reason = core.ReasonNoHome
		re.Detail = "the pool has no endpoint in the request's home regions"
		re.Basis = fmt.Sprintf("home regions %v", ch.rq.HomeRegions)
	}
	if ch.openCount == 0 && ch.evacuatedCount > 0 {
		re.Reason = core.ReasonEvacuated
		re.Detail = "all endpoints of the pool are in evacuated zones"
		re.Basis = fmt.Sprintf("%d endpoints in evacuated zones", ch.evacuatedCount)
	}
	if ch.backingOffCount > 0 {
		re.Reason = core.ReasonBackoff
		re.Detail = "the endpoints of the pool asked for no requests for a time"
		re.RetryAfter = ch.backoffEnds.Sub(ch.now)
		re.Basis = fmt.Sprintf("%d of %d endpoints want no requests", ch.backingOffCount, ch.openCount)
	}
	if ch.fullCount > 0 {
		re.Reason = core.ReasonLoadCap
		re.Detail = "all endpoints of the pool are at their limit"
		re.RetryAfter = pl.surgeRetryAfter(ch.now, ch.pool)
		re.Basis = fmt.Sprintf("%d calls, most %.0f for this customer, %d places; %d of %d endpoints full",
			ch.poolCalls, ch.maxPoolCalls, ch.poolSlots, ch.fullCount, ch.openCount)
		if ch.backingOffCount > 0 {
			re.Basis += fmt.Sprintf(", %d want no requests", ch.backingOffCount)
		}
		if ch.coldFullCount > 0 {
			re.Basis += fmt.Sprintf(", %d of them cold with their limit used up", ch.coldFullCount)
		}
	}
	return re
}

const (
	// noEndpointRetryAfter is when callers are told to return to a pool without
	// endpoints: about the time in which one registers.
	noEndpointRetryAfter = time.Second
	// minFullRetryAfter is when they are told to return, at the soonest, to one that is full:
	// about the time in which a stream of average length frees its place.
	minFullRetryAfter = 400 * time.Millisecond
)

// survey looks at all endpoints of the pool that are not leaving, and works out what the
// choice compares them with. It and allow are the only walks over a pool that each choice
// makes, so they ask nothing of an endpoint that needs a search.
func (ch *choice) survey(pl *Placer) {
	var calls, liveCalls, live, slots, evacuatedCalls int
	var failureRates float64
	bounded := true
	settledBefore, startedBefore := ch.now.Add(-settleTime), pl.firstRegistered.Add(startupWindow)
	for _, st := range ch.members {
		sc := &st.scratch
		if !st.fastPath {
			settled := st.addedAt.Before(settledBefore) || st.addedAt.Before(startedBefore)
			st.updateFastPath(ch.now, settled, ch.rq.ColdDuration)
			sc.looksDead = st.missing || st.health.looksDead(ch.now, st.ownCalls)
			sc.settled = settled && st.canTransfer(ch.now)
			failureRates += st.failureRate(ch.now)
		}
		ch.scoreHome(st)
		if st.Draining {
			continue
		}
		sc.peerCalls = st.estimatePeerCalls(ch.now)
		if ch.closedTo(st) {
			ch.evacuatedCount++
			evacuatedCalls += st.ownCalls + sc.peerCalls
			continue
		}
		ch.openCount++
		if !st.fastPath && st.health.failsAll(ch.now) {
			ch.failAllCount++
		}
		calls += st.ownCalls + sc.peerCalls
		if !sc.looksDead {
			live++
			liveCalls += st.ownCalls + sc.peerCalls
			slots += st.Slots
		}
		bounded = bounded && st.Slots > 0 // others do not tell how many they run
	}
	if ch.openCount == 0 {
		return
	}
	ch.poolCalls = calls
	ch.meanCalls = float64(calls) / float64(ch.openCount)
	if live > 0 {
		ch.meanCalls = float64(liveCalls) / float64(live)
	}
	meanWithEvacuated := (ch.meanCalls*float64(ch.openCount) + float64(evacuatedCalls)) / float64(ch.openCount+ch.evacuatedCount)
	ch.capMean = max(meanWithEvacuated, minCapMeanFraction*ch.meanCalls)
	ch.meanFailureRate = failureRates / float64(ch.openCount)
	if bounded {
		ch.limitPoolCalls(slots, pl.customerUses[ch.rq.Pool])
	}
}

// scoreHome scores the endpoint as a home. One that is closed was a home before, and hands its
// memory on.
func (ch *choice) scoreHome(st *state) {
	if len(ch.prefixes) == 0 {
		return
	}
	sc := &st.scratch
	sc.homeScore = st.homeScore(ch.chatKey)
	if !ch.closedTo(st) && (ch.firstHome == nil || sc.homeScore > ch.firstHome.scratch.homeScore) {
		ch.firstHome = st
	}
	if sc.settled && (ch.formerHome == nil || sc.homeScore > ch.formerHome.scratch.homeScore) {
		ch.formerHome = st
	}
}

// failAllRatio is how many times as many endpoints a pool has to have as fail all, for those to
// be passed over.
const failAllRatio = 2.0

// collectUsable finds the endpoints that may be picked: those with room, or, where none of them
// looks alive, those with room that may be dead.
func (ch *choice) collectUsable(pl *Placer) {
	if ch.poolSlots > 0 && float64(ch.poolCalls) >= ch.maxPoolCalls {
		ch.fullCount = ch.openCount
		return
	}
	for calls := range ch.loadMsByCalls {
		ch.loadMsByCalls[calls] = ch.loadMs(float64(calls))
	}
	deadCount := 0
	// Where most fail it is not the endpoints' fault alone.
	passOver := ch.failAllCount > 0 && failAllRatio*float64(ch.failAllCount) <= float64(ch.openCount)
	li := ch.limits(pl)
	retried := len(ch.rq.Tried) > 0
	for _, st := range ch.members {
		st.scratch.usable, st.scratch.weighed = false, false
		if ch.closedTo(st) || retried && tried(ch.rq, st.ID) {
			continue
		}
		if ch.backsOff(st) {
			continue
		}
		if !li.hasCapacity(ch.now, st) {
			ch.fullCount++
			continue
		}
		if !ch.withinColdLimit(pl, st) {
			ch.fullCount++
			ch.coldFullCount++
			continue
		}
		if st.scratch.looksDead {
			deadCount++
			continue
		}
		if passOver && !st.fastPath && st.health.failsAll(ch.now) {
			ch.fullCount++ // those that answer have room in a moment
			continue
		}
		ch.addUsable(pl, st)
	}
	if ch.usableCount > 0 || deadCount == 0 || ch.rq.HealthyOnly {
		return
	}
	for _, st := range ch.members {
		if !ch.closedTo(st) && !ch.now.Before(st.backoffUntil) && st.scratch.looksDead && !tried(ch.rq, st.ID) && li.hasCapacity(ch.now, st) && ch.withinColdLimit(pl, st) {
			ch.addUsable(pl, st)
		}
	}
}

// withinColdLimit tells whether the endpoint is warm, or may get one more request all the same.
func (ch *choice) withinColdLimit(pl *Placer, st *state) bool {
	if st.fastPath || ch.rq.ColdRate <= 0 || !st.isCold(ch.now, ch.rq.ColdDuration) {
		return true
	}
	return !ch.rq.WarmOnly && pl.withinColdLimit(ch.now, st, ch.rq.ColdRate)
}

// addUsable makes an endpoint one that may be picked.
func (ch *choice) addUsable(pl *Placer, st *state) {
	ch.usableCount++
	st.scratch.usable = true
	if len(ch.prefixes) > 0 {
		ch.homes.insert(st)
	}
	st.scratch.minBaseMs = ch.minBaseMs(st)
	if ch.cheapestBase.st == nil || st.scratch.minBaseMs <= ch.cheapestBase.cost {
		ch.cheapestBase.consider(pl, st, pl.baseMs(st, ch))
	}
}

func tried(rq *Request, id core.EndpointID) bool {
	for _, other := range rq.Tried {
		if other == id {
			return true
		}
	}
	return false
}

const (
	// minShare is an even share of an endpoint's connections, in calls, below which it says
	// nothing: a router then goes by all calls that the endpoint is believed to have.
	minShare = 2
	// sharedConnsFraction is the part of the connections that is in use then before a router is held to
	// its share: the rest is for idle ones, and for calls that are not known of yet.
	sharedConnsFraction = 0.5
)

// limits are the calls from which on an endpoint gets no more.
type limits struct {
	// ownCalls are the router's, where all have conns or more, placed a multiple of an endpoint's places,
	// capped all.
	ownCalls, conns, slotFactor, loadCap int
	// exactCap is capped for endpoints whose calls are known as of now.
	exactCap int
}

func (ch *choice) limits(pl *Placer) *limits {
	li := &limits{ownCalls: math.MaxInt, slotFactor: plainSlotFactor, loadCap: math.MaxInt, exactCap: math.MaxInt}
	if ch.rq.MaxConns > 0 {
		li.ownCalls = max(1, ch.rq.MaxConns/ch.routers)
		if li.ownCalls < minShare {
			li.conns = int(sharedConnsFraction * float64(ch.rq.MaxConns))
		}
	}
	if !ch.rq.Engine {
		return li
	}
	li.slotFactor = engineSlotFactor
	if pl.CapFactor > 0 {
		spare := (1 - staleCapFraction) * pl.CapFactor * ch.meanCalls // calls placed meanwhile go to open endpoints
		li.loadCap = int(pl.CapFactor*ch.capMean - spare + capFloor)
		li.exactCap = int(pl.CapFactor*ch.capMean + capFloor)
	}
	return li
}

// hasCapacity tells whether the endpoint may be given one more call: within its connections, its
// places and the cap over the pool's mean.
func (li *limits) hasCapacity(now time.Time, st *state) bool {
	calls := st.ownCalls + st.scratch.peerCalls
	capped := li.loadCap
	if !st.fastPath && st.load.Fresh(now, freshWindow) {
		capped = li.exactCap
	}
	if st.ownCalls >= li.ownCalls && calls >= li.conns || calls >= capped || st.Slots > 0 && calls >= li.slotFactor*st.Slots {
		return false
	}
	return st.fastPath || !now.Before(st.fullUntil)
}
