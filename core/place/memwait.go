package place

import (
	"slices"
	"time"

	"almondrill/core"
)

// Load pattern: the memory of all engines is full for some hundred milliseconds, until calls end. A
// request that is refused meanwhile returns after a longer time than it would have had to wait.
//
// Requests wait at their router in order of arrival. What an ended call or a peer's report frees is
// offered to the waiting requests before new ones. A small request may be placed before a large one
// that came earlier, because room for the large one is rarely free at once; after half of its wait
// the large one reserves an engine, whose memory this router then leaves to it.

const (
	// maxMemoryWaits bounds the waiting requests of a pool. Each check of them takes some
	// microseconds, and callers that come later would not be served in time.
	maxMemoryWaits = 32
	// memoryCheckInterval is the least time between two checks of the waiting requests of a pool
	// for memory that peers' calls have freed, and between two choices for the same request. Peers'
	// reports are older than that.
	memoryCheckInterval = 5 * time.Millisecond
	// maxWaitChoices bounds the choices in one check: each takes a tenth of a millisecond among
	// thousands of endpoints.
	maxWaitChoices = 2
	// reserveAfter is the fraction of its wait after which a request reserves an engine. The other
	// half suffices for the end of one or two calls there.
	reserveAfter = 0.5
	// maxReservedFraction bounds the engines of a pool that are reserved at once, so that the other
	// ones remain for small requests.
	maxReservedFraction = 0.25
)

// MemoryWait is a request that waits for memory. Ticket or Refusal is set before Done is closed.
type MemoryWait struct {
	Request *Request
	Since   time.Time
	// Until is when the request is refused.
	Until time.Time
	// Ahead is how many requests of the pool were waiting already.
	Ahead   int
	Ticket  *Ticket
	Refusal *core.Refusal
	Done    chan struct{}

	// need is the least memory with which an engine has room: the call's, but for what calls in
	// progress share with it. at is the engine that is reserved for the request, nil if there is none.
	need core.Tokens
	at   *state
	// tried is when an endpoint was last sought for the request.
	tried time.Time
}

// memoryWaits holds the waiting requests of a pool in order of arrival.
type memoryWaits struct {
	list    []*MemoryWait
	checked time.Time
}

// AwaitMemory makes a request wait that Pick refused with ReasonMemoryFull. It returns nil if the
// request has no prospect of memory in time, given the requests that wait already. Cold engines,
// which need a grant, are not considered.
func (pl *Placer) AwaitMemory(now time.Time, rq *Request, until time.Time) *MemoryWait {
	routers := max(1, pl.RouterCount())
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.initMaps()
	pl.memoryRouters = routers
	mw := pl.memoryWaits[rq.Pool]
	if mw == nil {
		mw = &memoryWaits{}
		pl.memoryWaits[rq.Pool] = mw
	}
	warm := *rq
	warm.WarmOnly = true
	wa := &MemoryWait{Request: &warm, Since: now, Until: until, Ahead: len(mw.list), Done: make(chan struct{})}
	ch := pl.newChoice(now, wa.Request, routers)
	wa.need = ch.leastNeed
	if ch.usableCount == 0 && !pl.mayWait(now, mw, wa) {
		return nil
	}
	mw.list = append(mw.list, wa)
	pl.checkWaits(now, rq.Pool, mw)
	return wa
}

// mayWait reports whether the memory that calls of this router free in time suffices for the
// request and for those that wait already.
func (pl *Placer) mayWait(now time.Time, mw *memoryWaits, wa *MemoryWait) bool {
	if len(mw.list) >= maxMemoryWaits || !wa.Until.After(now) {
		return false
	}
	need := wa.need
	for _, other := range mw.list {
		need += other.need
	}
	freed := pl.poolMemoryOf(wa.Request.Pool).freedPerSecond(now)
	return freed == 0 || float64(need) <= freed*wa.Until.Sub(now).Seconds()
}

// CheckMemory places the waiting requests of a pool that have room by now, and refuses those whose
// time is over.
func (pl *Placer) CheckMemory(now time.Time, pool core.PoolID) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if mw := pl.memoryWaits[pool]; mw != nil && now.Sub(mw.checked) >= memoryCheckInterval {
		pl.checkWaits(now, pool, mw)
	}
}

// CancelWait ends the wait of a request whose caller has disconnected.
func (pl *Placer) CancelWait(now time.Time, wa *MemoryWait) {
	pl.mu.Lock()
	tk := wa.Ticket
	pl.endReservation(wa)
	if mw := pl.memoryWaits[wa.Request.Pool]; mw != nil {
		mw.list = slices.DeleteFunc(mw.list, func(other *MemoryWait) bool { return other == wa })
	}
	pl.mu.Unlock()
	if tk != nil {
		tk.Done(now, Neutral)
	}
}

// MemoryWaits returns how many requests wait for memory.
func (pl *Placer) MemoryWaits() int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	count := 0
	for _, mw := range pl.memoryWaits {
		count += len(mw.list)
	}
	return count
}

// serveWaits offers memory that was freed to the waiting requests, before others can take it.
func (pl *Placer) serveWaits(now time.Time, pool core.PoolID) {
	if mw := pl.memoryWaits[pool]; mw != nil && len(mw.list) > 0 {
		pl.checkWaits(now, pool, mw)
	}
}

// checkWaits seeks endpoints for the waiting requests that may have room, in order of arrival, and
// refuses those whose time is over.
func (pl *Placer) checkWaits(now time.Time, pool core.PoolID, mw *memoryWaits) {
	mw.checked = now
	mostFree := pl.mostFreeMemory(now, pool, mw)
	choices := 0
	var rest []*MemoryWait
	for _, wa := range mw.list {
		if wa.at != nil && (wa.at.removed || wa.at.Draining || wa.at.evacuated != nil) {
			pl.endReservation(wa)
		}
		reserves := wa.at == nil && now.Sub(wa.Since) >= time.Duration(reserveAfter*float64(wa.Until.Sub(wa.Since)))
		mayFit := wa.need <= mostFree || wa.at != nil || reserves
		if mayFit && choices < maxWaitChoices && now.Sub(wa.tried) >= memoryCheckInterval {
			choices++
			wa.tried = now
			pl.tryWait(now, wa, mw, reserves)
		}
		if wa.Ticket == nil && wa.Refusal == nil && !wa.Until.After(now) {
			wa.Refusal = pl.memoryRefusal(now, wa)
		}
		if wa.Ticket == nil && wa.Refusal == nil {
			rest = append(rest, wa)
			continue
		}
		pl.endReservation(wa)
		close(wa.Done)
	}
	mw.list = rest
}

// tryWait places a waiting request if there is room, and otherwise reserves an endpoint for it if
// that is due. A refusal for any other reason ends the wait.
func (pl *Placer) tryWait(now time.Time, wa *MemoryWait, mw *memoryWaits, reserves bool) {
	at := wa.at
	if at != nil {
		at.reservedBy = nil // the request itself may use what is reserved for it
	}
	ch := pl.newChoice(now, wa.Request, pl.memoryRouters)
	if at != nil {
		at.reservedBy = wa
	}
	switch {
	case ch.usableCount > 0:
		best, cost := pl.cheapest(ch)
		wa.Ticket = pl.issueTicket(best, cost, ch)
	case ch.noRoomCount == 0:
		wa.Refusal = pl.refusal(ch)
	default:
		wa.need = ch.leastNeed
		if reserves && ch.freest != nil && mw.mayReserve(ch.openCount) {
			wa.at, ch.freest.reservedBy = ch.freest, wa
		}
	}
}

// mayReserve reports whether one more of a pool's endpoints may be reserved.
func (mw *memoryWaits) mayReserve(endpoints int) bool {
	reserved := 0
	for _, wa := range mw.list {
		if wa.at != nil {
			reserved++
		}
	}
	return float64(reserved+1) <= maxReservedFraction*float64(endpoints)
}

func (pl *Placer) memoryRefusal(now time.Time, wa *MemoryWait) *core.Refusal {
	ch := pl.newChoice(now, wa.Request, pl.memoryRouters)
	ch.noRoomCount = max(1, ch.noRoomCount)
	return pl.refusal(ch)
}

// mostFreeMemory returns the most memory that an endpoint of the pool may have free, and that is
// not reserved.
func (pl *Placer) mostFreeMemory(now time.Time, pool core.PoolID, mw *memoryWaits) core.Tokens {
	if len(mw.list) == 0 {
		return 0
	}
	ch := &choice{now: now, rq: mw.list[0].Request}
	ch.memory = pl.memoryNeed(now, ch.rq)
	var most core.Tokens
	for _, st := range pl.pools[pool] {
		if st.Draining || st.evacuated != nil {
			continue
		}
		most = max(most, ch.freeMemory(st, st.estimatePeerCalls(now)))
	}
	return most
}

func (pl *Placer) endReservation(wa *MemoryWait) {
	if wa.at != nil {
		wa.at.reservedBy = nil
		wa.at = nil
	}
}
