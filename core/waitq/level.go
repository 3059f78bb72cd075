package waitq

import (
	"math"
	"time"

	"almondrill/core/demand"
)

const (
	// burst is how many calls a router with less than one place may start at once, if it started
	// none for long enough. Callers' requests arrive in bursts of about half this size; with one at
	// a time most of each burst would be refused while slots are free.
	burst = 8
	// overdraftFactor is by how much customers within their share may exceed the router's places,
	// beside one call, within the router's part of the cap and at least up to burst. Customers over
	// their share then start less.
	overdraftFactor = 1.5
	// maxOverCap bounds what a router admits beyond its places in any case.
	maxOverCap = 2
	// minPartOfEqual is the least part of an equal division of the places that a router has, so that
	// one that was idle can start.
	minPartOfEqual = 0.1
	// fallbackFactor is by how much a router without a current level may exceed an equal part of the
	// places: routers' loads differ, and a refusal while slots are free is worse than a short queue.
	fallbackFactor = 1.5
	// fallbackTime is how long the last level is used for that. A new owner needs a second or two;
	// if there is none after this time, the pool is used as without levels.
	fallbackTime = 10 * time.Second
	// forwardTime is how long after its arrival a level is forwarded. It is shorter than the time in
	// force, so that routers do not keep an outdated level alive among each other.
	forwardTime = time.Second
	// restartedClock is the time after which a level with an earlier AtMs is accepted: its owner is
	// another one, whose clock is behind.
	restartedClock = 2 * demand.LevelTTL
)

// levelState is the last level and what follows from it.
type levelState struct {
	demand.Level
	at    time.Time // of its arrival
	known bool
	// applied says that customers' fractions are set from it.
	applied bool
}

// limit is what this router may use at one time.
type limit struct {
	kind string // empty without a limit
	// places is this router's number of places, whole the part used without pacing.
	places, whole float64
	// most is the number of own calls up to which customers within their share may overdraw.
	most float64
	// cap is this router's part of the calls that are admitted at most.
	cap float64
	// pool is the number of places of all routers.
	pool float64
	// held is how long a call holds its place.
	held time.Duration
	// overdraft says that customers within their share may exceed the places: what they offer is
	// within the capacity. It is not set if the level could not list all that are over theirs.
	overdraft bool
}

const (
	byLevel       = "level"
	byFallback    = "fallback"
	byProvisional = "provisional"
)

func (li *limit) limited() bool { return li.kind != "" }

// startRate is the number of starts per second that the places allow.
func (li *limit) startRate() float64 { return li.places / li.held.Seconds() }

// view is what is known of the pool outside the queue. It is read before locking.
type view struct {
	slots, routers int
	calls          int
}

func (qu *Queue) look() view {
	vi := view{routers: 1, calls: -1}
	if qu.Slots != nil {
		vi.slots = qu.Slots()
	}
	if qu.Routers != nil {
		vi.routers = max(1, qu.Routers())
	}
	if qu.PoolCalls != nil {
		vi.calls = qu.PoolCalls()
	}
	return vi
}

// SetLevel applies a level unless it is older than the last one. Call Tick afterwards.
func (qu *Queue) SetLevel(now time.Time, le demand.Level) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if le.Pool != qu.Pool || le.Places == 0 || le.CallMs == 0 {
		return
	}
	if qu.le.known && (le.AtMs == qu.le.AtMs || le.AtMs < qu.le.AtMs && now.Sub(qu.le.at) < restartedClock) {
		return
	}
	qu.le = levelState{Level: le, at: now, known: true, applied: true}
	qu.applyShares(now, le.Over)
}

// applyShares sets the customers' admitted fractions, and what is kept of the offered requests.
func (qu *Queue) applyShares(now time.Time, over []demand.Share) {
	kept := 0.0
	for cr, cu := range qu.customers {
		was := cu.admit
		cu.admit, cu.over = admitOf(over, cr)
		if was >= 1 && cu.admit < 1 {
			cu.credit = 1
		}
		kept += cu.offered.at(now) * cu.admit
	}
	qu.kept = rate{perSecond: kept, updated: now}
}

// admitOf returns the admitted fraction of a customer, and whether it is over its share.
func admitOf(over []demand.Share, cr customerRank) (admit float64, listed bool) {
	for _, sh := range over {
		if sh.ID == cr.id && sh.Rank == cr.rank {
			return float64(sh.Admit) / math.MaxUint8, true
		}
	}
	return 1, false
}

// Level returns the level to forward to peers. It returns false if there is none or it is not new
// enough.
func (qu *Queue) Level(now time.Time) (demand.Level, bool) {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return qu.le.Level, qu.le.known && now.Sub(qu.le.at) <= forwardTime
}

// levelAge returns the age of the last level, 0 if there was none.
func (qu *Queue) levelAge(now time.Time) time.Duration {
	if !qu.le.known {
		return 0
	}
	return now.Sub(qu.le.at)
}

// limit returns what applies now, and accumulates tokens accordingly.
func (qu *Queue) limit(now time.Time, vi *view) limit {
	age := now.Sub(qu.le.at)
	var li limit
	switch {
	case !qu.le.known:
	case age <= demand.LevelTTL:
		li = qu.limitByLevel(now, vi)
	case age <= fallbackTime && qu.poolUse(vi) >= vi.slots:
		places := min(fallbackFactor*float64(qu.le.Places), float64(demand.MaxPerSlot*vi.slots))
		li = limit{kind: byFallback, pool: float64(qu.le.Places), places: places / float64(vi.routers)}
	}
	if age > demand.LevelTTL && qu.le.applied {
		qu.le.applied = false
		qu.applyShares(now, nil)
	}
	if !li.limited() {
		li = qu.provisional(now, vi)
	}
	if !li.limited() {
		return li
	}
	qu.refusedAt = now
	if vi.slots > 0 {
		li.places = min(li.places, float64(demand.MaxPerSlot*vi.slots))
	}
	if li.held == 0 {
		li.held = time.Duration(qu.le.CallMs) * time.Millisecond
	}
	li.whole = math.Floor(li.places)
	// The level of an owner that knows only some of the routers has a part of the places.
	li.cap = li.places * min(maxOverCap, demand.MaxPerSlot*float64(vi.slots)/li.pool)
	li.most = max(burst, min(overdraftFactor*li.places+1, li.cap))
	li.overdraft = li.kind == byLevel && !qu.le.More
	if li.kind == byProvisional {
		li.most = max(2*burst, demand.MaxPerSlot*li.places)
		li.overdraft = true
	}
	qu.refill(now, &li, vi)
	return li
}

// limitByLevel divides the level's places by the routers' parts of the offered requests.
func (qu *Queue) limitByLevel(now time.Time, vi *view) limit {
	pool := float64(qu.le.Places)
	part := 1 / float64(vi.routers)
	if qu.le.OfferedPer10s > 0 {
		part = min(1, 10*qu.kept.at(now)/float64(qu.le.OfferedPer10s))
	}
	return limit{kind: byLevel, pool: pool, places: pool * max(part, minPartOfEqual/float64(vi.routers))}
}

// refill accumulates tokens for starts beyond the whole places, at the rate of the fractional part.
func (qu *Queue) refill(now time.Time, li *limit, vi *view) {
	depth := 1.0
	if li.whole == 0 {
		depth = burst
	}
	most := depth
	if li.whole == 0 && now.Sub(qu.tokensAt) > startsTime {
		// As if the limit had been in force before.
		most = max(0, depth-startsTime.Seconds()*qu.me.rate.at(now))
	}
	gained := li.startScale(vi) * (li.places - li.whole) / li.held.Seconds() * now.Sub(qu.tokensAt).Seconds()
	if qu.tokensAt.IsZero() {
		gained = most
	}
	least := -1.0
	if li.whole == 0 {
		least = -burst
	}
	qu.tokens = min(most, max(least, qu.tokens)+max(0, gained))
	qu.tokensAt = now
}

// free reports whether a request may start now. One of a customer within its share may overdraw.
func (qu *Queue) free(wa *Waiter, li *limit) bool {
	running := float64(qu.running)
	overdraft := li.overdraft && qu.withinShare(wa)
	switch {
	case !li.limited() || running < li.whole:
		return true
	case li.kind == byProvisional && overdraft:
		return running < li.most
	case li.whole == 0 && overdraft:
		return running < 2*burst && qu.tokens > -burst
	case li.whole == 0:
		return running < burst && qu.tokens >= 1
	case overdraft && running < li.most:
		return true
	}
	return running < min(li.whole+1, li.cap) && qu.tokens >= 1
}

func (qu *Queue) withinShare(wa *Waiter) bool { return !wa.customer.over && !wa.late }
