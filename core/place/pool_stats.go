package place

import (
	"fmt"
	"math"
	"time"

	"almondrill/core"
)

// poolStats is what one choice knows of a pool.
type poolStats struct {
	pool    core.PoolID
	routers int
	// openCount counts the endpoints that are open to new calls, evacuatedCount those that are
	// closed only by an evacuation.
	openCount, evacuatedCount int
	// meanCalls is the known mean of calls per live endpoint or, if all look dead, per endpoint.
	// Counting dead endpoints would lower the mean, and with it the load cap of the live ones.
	meanCalls float64
	// capMean is the mean that the load cap is based on. It includes evacuated endpoints, which are
	// part of the pool while they exist.
	capMean float64
	// usableCount counts the endpoints that may be picked, fullCount those excluded because they
	// have no capacity.
	usableCount int
	fullCount   int
	// backingOffCount counts the endpoints that accept no requests for a time. The first of them
	// accepts requests again at backoffEnds.
	backingOffCount int
	backoffEnds     time.Time
	// coldFullCount counts the full endpoints that are cold and have used up their limit.
	coldFullCount int
	// poolCalls are the calls of the pool, poolSlots the slots of its live endpoints. maxPoolCalls
	// is how many calls the pool may have including one more of this customer, 0 if unlimited.
	poolCalls, poolSlots int
	maxPoolCalls         float64
	// typicalMs is how long calls of the pool usually take.
	typicalMs float64
	// meanFailureRate is the pool's mean failure rate. failAllCount counts the endpoints that
	// failed all recent calls.
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
		re.Basis = fmt.Sprintf("%d of %d endpoints accept no requests", ch.backingOffCount, ch.openCount)
	}
	if ch.fullCount > 0 {
		re.Reason = core.ReasonLoadCap
		re.Detail = "all endpoints of the pool are at their limit"
		if ch.rq.Build != 0 {
			re.Detail = "all endpoints of the software version that began the stream are at their limit"
		}
		re.RetryAfter = ch.fullRetryAfter(pl)
		re.Basis = fmt.Sprintf("%d calls, limit %.0f for this customer, %d slots; %d of %d endpoints full",
			ch.poolCalls, ch.maxPoolCalls, ch.poolSlots, ch.fullCount, ch.openCount)
		if ch.backingOffCount > 0 {
			re.Basis += fmt.Sprintf(", %d accept no requests", ch.backingOffCount)
		}
		if ch.coldFullCount > 0 {
			re.Basis += fmt.Sprintf(", %d of them cold and at their rate limit", ch.coldFullCount)
		}
	}
	if ch.noRoomCount > 0 {
		ch.refuseForMemory(pl, re)
	}
	if ch.buildGone() {
		ch.refuseForBuild(re)
	}
	return re
}

const (
	// noEndpointRetryAfter is the retry delay for a pool without endpoints: about the time in which
	// one registers.
	noEndpointRetryAfter = time.Second
	// minFullRetryAfter is the shortest retry delay for a full pool: about the time in which a
	// stream of average length frees its slot.
	minFullRetryAfter = 400 * time.Millisecond
)

// survey scans the endpoints of the pool and computes the figures that the choice compares them
// with. It and collectUsable are the only scans of the pool in each choice, so they do nothing per
// endpoint that needs a search.
func (ch *choice) survey(pl *Placer) {
	var calls, liveCalls, live, slots, evacuatedCalls, learnedSlow int
	var failureRates, slotsLost float64
	slotsKnown := true
	settledBefore, startedBefore := ch.now.Add(-settleTime), pl.firstRegistered.Add(startupWindow)
	for _, st := range ch.members {
		sc := &st.scratch
		if !st.fastPath {
			settled := st.addedAt.Before(settledBefore) || st.addedAt.Before(startedBefore)
			st.updateFastPath(ch.now, settled, ch.rq.ColdDuration)
			sc.looksDead = st.missing || st.health.looksDead(ch.now, st.ownCalls)
			sc.settled = settled && st.canTransfer(ch.now)
			sc.slowness, sc.slownessAhead = st.speed.current(ch.now), st.speed.ahead(ch.now)
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
			slotsLost += st.slotsLost()
		}
		if st.speed.learned && (sc.slowness > 1 || sc.slownessAhead > 1) {
			learnedSlow++
		}
		slotsKnown = slotsKnown && st.Slots > 0 // without slots the endpoint's capacity is unknown
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
	if 2*learnedSlow > ch.openCount {
		slotsLost = ch.relateSpeeds()
	}
	if ch.hasGapGoals(pl) {
		slots -= int(slotsLost)
	}
	if slotsKnown {
		ch.limitPoolCalls(slots, pl.customerUses[ch.rq.Pool])
	}
}

// scoreHome computes the endpoint's score as a home. A closed endpoint was a home before, and still
// transfers its contexts.
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

// failAllRatio is the least ratio of open endpoints to endpoints that fail all calls at which the
// latter are skipped.
const failAllRatio = 2.0

// collectUsable finds the endpoints that may be picked: those with capacity or, if none of these
// looks alive, those with capacity that look dead.
func (ch *choice) collectUsable(pl *Placer) {
	// A run that migrates is one of the calls already.
	if ch.poolSlots > 0 && float64(ch.poolCalls) >= ch.maxPoolCalls && ch.rq.MigrateFrom == "" {
		ch.fullCount = ch.openCount
		return
	}
	for calls := range ch.loadMsByCalls {
		ch.loadMsByCalls[calls] = ch.loadMs(float64(calls))
	}
	deadCount := 0
	skipFailing := ch.skipsFailing()
	li := ch.limits(pl)
	retried := len(ch.rq.Tried) > 0 || ch.rq.MigrateFrom != ""
	for _, st := range ch.members {
		st.scratch.usable, st.scratch.weighed = false, false
		if ch.closedTo(st) || !ch.continuesAt(st) || retried && tried(ch.rq, st.ID) {
			continue
		}
		if ch.backsOff(st) {
			continue
		}
		if !li.hasCapacity(ch.now, st) || !ch.takesMigration(st) {
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
		if skipFailing && !st.fastPath && st.health.failsAll(ch.now) {
			ch.fullCount++ // healthy endpoints have capacity in a moment
			continue
		}
		ch.addIfRoom(pl, st)
	}
	if ch.usableCount > 0 || deadCount == 0 || ch.noRoomCount > 0 || ch.rq.HealthyOnly || ch.rq.MigrateFrom != "" {
		return
	}
	for _, st := range ch.members {
		if !ch.closedTo(st) && ch.continuesAt(st) && !ch.now.Before(st.backoffUntil) && st.scratch.looksDead && !tried(ch.rq, st.ID) && li.hasCapacity(ch.now, st) && ch.withinColdLimit(pl, st) {
			ch.addIfRoom(pl, st)
		}
	}
}

// skipsFailing reports whether endpoints that fail all calls are skipped. If most endpoints fail, the
// cause is probably not in the endpoints.
func (ch *choice) skipsFailing() bool {
	if ch.failAllCount == 0 {
		return false
	}
	open, failAll := ch.openCount, ch.failAllCount
	if ch.rq.Build != 0 {
		open, failAll = ch.countOfBuild()
	}
	return failAll > 0 && failAllRatio*float64(failAll) <= float64(open)
}

// withinColdLimit reports whether the endpoint is warm, or may get one more request although it is
// cold.
func (ch *choice) withinColdLimit(pl *Placer, st *state) bool {
	if st.fastPath || ch.rq.ColdRate <= 0 || !st.isCold(ch.now, ch.rq.ColdDuration) {
		return true
	}
	return !ch.rq.WarmOnly && pl.withinColdLimit(ch.now, st, ch.rq.ColdRate)
}

// addUsable marks an endpoint as usable.
func (ch *choice) addUsable(pl *Placer, st *state) {
	ch.usableCount++
	st.scratch.usable = true
	if len(ch.prefixes) > 0 {
		ch.homes.insert(st)
	}
	ch.noteSpeed(st)
	st.scratch.minBaseMs = ch.minBaseMs(st)
	if ch.cheapestBase.st == nil || st.scratch.minBaseMs <= ch.cheapestBase.cost {
		ch.cheapestBase.consider(pl, st, pl.baseMs(st, ch))
	}
}

func tried(rq *Request, id core.EndpointID) bool {
	if rq.MigrateFrom == id {
		return true
	}
	for _, other := range rq.Tried {
		if other == id {
			return true
		}
	}
	return false
}

// sharedConnsFraction is the fraction of an endpoint's connections that must be in use before a router is held
// to its even share of them: a load balancer may send most callers to one router. The rest covers idle
// connections and calls that are not known yet.
const sharedConnsFraction = 0.5

// limits holds the numbers of calls at which an endpoint gets no more.
type limits struct {
	// ownCalls limits this router's calls once the endpoint has sharedConns calls in total. slotFactor
	// limits all calls to a multiple of the endpoint's slots, loadCap limits all calls.
	ownCalls, sharedConns, slotFactor, loadCap int
	// exactCap replaces loadCap for endpoints whose current number of calls is known.
	exactCap int
}

func (ch *choice) limits(pl *Placer) *limits {
	li := &limits{ownCalls: math.MaxInt, slotFactor: plainSlotFactor, loadCap: math.MaxInt, exactCap: math.MaxInt}
	if ch.rq.MaxConns > 0 {
		li.ownCalls = max(1, ch.rq.MaxConns/ch.routers)
		li.sharedConns = int(sharedConnsFraction * float64(ch.rq.MaxConns))
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

// hasCapacity reports whether the endpoint may get one more call: within its connections, its slots
// and the load cap.
func (li *limits) hasCapacity(now time.Time, st *state) bool {
	calls := st.ownCalls + st.scratch.peerCalls
	loadCap := li.loadCap
	if !st.fastPath && st.load.Fresh(now, freshWindow) {
		loadCap = li.exactCap
	}
	if st.ownCalls >= li.ownCalls && calls >= li.sharedConns || calls >= loadCap || st.Slots > 0 && calls >= li.slotFactor*st.Slots {
		return false
	}
	return st.fastPath || !now.Before(st.fullUntil)
}

// PlainCapacity returns the slots of a pool's endpoints that are open to new calls, and the calls
// there of all routers, as far as this one knows. The slots are 0 if an endpoint states none.
func (pl *Placer) PlainCapacity(now time.Time, pool core.PoolID) (slots, calls int) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	ch := &choice{now: now, rq: &Request{Pool: pool}}
	for _, st := range pl.pools[pool] {
		switch {
		case ch.closedTo(st):
			continue
		case st.Slots == 0:
			return 0, 0
		}
		calls += st.ownCalls + st.estimatePeerCalls(now)
		if !st.missing && !st.health.looksDead(now, st.ownCalls) {
			slots += st.Slots
		}
	}
	return slots, calls
}
