package relay

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/decl"
	"almondrill/core/demand"
	"almondrill/core/retry"
	"almondrill/core/waitq"
	"almondrill/io/stats"
)

// Load pattern: for seconds, the requests for a plain pool exceed its slots, often because one
// customer sends many times its usual load. In an endpoint's queue they are served first come, first
// served, and cannot be reordered, withdrawn or refused any more. Therefore they wait at the router,
// which sends as many as the endpoints have slots for, in the order of waitq.Queue.

const (
	// networkTime is assumed from the endpoint through this router to the caller. Callers expect the
	// first byte within 100 ms or more, of which it is a few hundredths.
	networkTime = 5 * time.Millisecond
	// minTick is the least time between two timer ticks of a queue: a tenth of the shortest calls.
	minTick = time.Millisecond
	// capacityTTL is how long a pool's slots and calls are used: a fraction of a call's time, so that
	// a pool of thousands of endpoints is not summed up for each request.
	capacityTTL = 10 * time.Millisecond
	// maxCustomerNames bounds the customers of a pool whose names are kept for operators.
	maxCustomerNames = 1024
)

// queues holds the queues of the plain pools.
type queues struct {
	mu     sync.Mutex // guards all below
	byPool map[core.PoolID]*poolQueue
	byHash map[demand.PoolHash]*poolQueue
	// closed is closed once no request may wait any longer; nil until it is needed.
	closed chan struct{}
}

// poolQueue is the queue of a pool, with the timer that advances it.
type poolQueue struct {
	re    *Relay
	pool  core.PoolID
	queue waitq.Queue
	// levelAt is when the last level was applied; nil before.
	levelAt atomic.Pointer[time.Time]

	mu    sync.Mutex // guards timer
	timer *time.Timer

	capacityMu   sync.Mutex // guards slots, calls and capacityAt
	slots, calls int
	capacityAt   time.Time

	customersMu sync.Mutex // guards names and running
	names       map[demand.CustomerHash]core.CustomerID
	// running counts the places in use.
	running map[customerRank]int
}

// customerRank is a customer at one rank.
type customerRank struct {
	customer demand.CustomerHash
	rank     uint8
}

// turn is a request's use of its pool's queue.
type turn struct {
	pq  *poolQueue
	who customerRank
	// admitted is set while the request has a place, which Done has to release. The place is kept
	// for all attempts of the request.
	admitted bool
	// limited is set if capacity was short when the request was decided on. ahead is then how many
	// were ahead of it on arrival, levelAge the age of the level that it was decided by.
	limited  bool
	ahead    int
	levelAge time.Duration
	// waited is how long it waited.
	waited time.Duration
	// ran is set once an endpoint may have run the request, took is how long that took there.
	ran  bool
	took time.Duration
}

// queueOf returns the queue that the request has to pass, nil if there is none: only requests of
// customers, on routes with a goal, to plain endpoints with known slots are queued.
func (rq *request) queueOf() *poolQueue {
	po := rq.table.Pool(rq.pool)
	if po == nil || po.Engine || rq.customer == nil || rq.route.FirstByteGoal <= 0 {
		return nil
	}
	pq := rq.re.poolQueue(rq.pool)
	if slots, _ := pq.capacity(); slots == 0 {
		return nil
	}
	return pq
}

// poolQueue returns the pool's queue, and creates it for its first request.
func (re *Relay) poolQueue(pool core.PoolID) *poolQueue {
	qs := &re.queues
	qs.mu.Lock()
	defer qs.mu.Unlock()
	if pq := qs.byPool[pool]; pq != nil {
		return pq
	}
	if qs.byPool == nil {
		qs.byPool, qs.byHash = map[core.PoolID]*poolQueue{}, map[demand.PoolHash]*poolQueue{}
	}
	pq := &poolQueue{re: re, pool: pool, names: map[demand.CustomerHash]core.CustomerID{}, running: map[customerRank]int{}}
	pq.queue = waitq.Queue{
		Pool: demand.HashPool(pool), Network: networkTime, Returns: &retry.Returns{}, Routers: re.liveRouters,
		Slots:     func() int { slots, _ := pq.capacity(); return slots },
		PoolCalls: func() int { _, calls := pq.capacity(); return calls },
	}
	qs.byPool[pool], qs.byHash[pq.queue.Pool] = pq, pq
	return pq
}

func (re *Relay) liveRouters() int {
	if re.Routers == nil {
		return 1
	}
	return max(1, re.Routers())
}

// allQueues returns all queues, ordered by pool.
func (re *Relay) allQueues() []*poolQueue {
	re.queues.mu.Lock()
	defer re.queues.mu.Unlock()
	all := make([]*poolQueue, 0, len(re.queues.byPool))
	for _, pq := range re.queues.byPool {
		all = append(all, pq)
	}
	slices.SortFunc(all, func(a, b *poolQueue) int { return cmp.Compare(a.pool, b.pool) })
	return all
}

// closedQueues returns a channel that is closed once no request may wait any longer.
func (re *Relay) closedQueues() <-chan struct{} {
	qs := &re.queues
	qs.mu.Lock()
	defer qs.mu.Unlock()
	if qs.closed == nil {
		qs.closed = make(chan struct{})
	}
	return qs.closed
}

// CloseQueues refuses the requests that wait, and from now on those that would have to wait. It is
// called while the process shuts down, so that none is cut off when the process ends.
func (re *Relay) CloseQueues() {
	closed := re.closedQueues()
	qs := &re.queues
	qs.mu.Lock()
	defer qs.mu.Unlock()
	select {
	case <-closed:
	default:
		close(qs.closed)
	}
}

// Reports implements gossip.Demand.
func (re *Relay) Reports(now time.Time) []demand.Report {
	re.createQueues()
	var all []demand.Report
	for _, pq := range re.allQueues() {
		if rt, competing := pq.queue.Report(now); competing {
			all = append(all, rt)
		}
	}
	return all
}

// EarlyReports implements gossip.Demand.
func (re *Relay) EarlyReports(now time.Time) []demand.Report {
	var all []demand.Report
	for _, pq := range re.allQueues() {
		if !pq.queue.ReportDue(now) {
			continue
		}
		if rt, competing := pq.queue.Report(now); competing {
			all = append(all, rt)
		}
	}
	return all
}

// createQueues creates the queues of all plain pools, also of those that had no request here. The
// owner assumes that a router which does not report has the demand of those that do; idle routers
// therefore report that they have none.
func (re *Relay) createQueues() {
	ta := re.table.Load()
	if ta == nil {
		return
	}
	for _, po := range ta.Pools() {
		if !po.Engine && ta.KeyRequired {
			re.poolQueue(po.ID)
		}
	}
}

// ApplyLevel implements gossip.Demand. A level that names no places or no call time is invalid.
func (re *Relay) ApplyLevel(now time.Time, le demand.Level) {
	re.createQueues()
	re.queues.mu.Lock()
	pq := re.queues.byHash[le.Pool]
	re.queues.mu.Unlock()
	if pq == nil || le.Places == 0 || le.CallMs == 0 {
		return
	}
	pq.queue.SetLevel(now, le)
	pq.levelAt.Store(&now)
	pq.advance()
}

// capacity returns the pool's slots and the calls that all routers have there.
func (pq *poolQueue) capacity() (slots, calls int) {
	pq.capacityMu.Lock()
	defer pq.capacityMu.Unlock()
	if now := time.Now(); now.Sub(pq.capacityAt) >= capacityTTL {
		pq.slots, pq.calls = pq.re.Placer.PlainCapacity(now, pq.pool)
		pq.capacityAt = now
	}
	return pq.slots, pq.calls
}

// levelInForce reports whether a level was applied recently enough to be in force.
func (pq *poolQueue) levelInForce(now time.Time) bool {
	at := pq.levelAt.Load()
	return at != nil && now.Sub(*at) < demand.LevelTTL
}

// advance starts and refuses waiting requests, and sets the timer for the next ones.
func (pq *poolQueue) advance() {
	pq.mu.Lock()
	defer pq.mu.Unlock()
	now := time.Now()
	pq.queue.Tick(now)
	next, waiting := pq.queue.NextTick(now)
	switch {
	case !waiting && pq.timer != nil:
		pq.timer.Stop()
	case !waiting:
	case pq.timer == nil:
		pq.timer = time.AfterFunc(max(minTick, next.Sub(now)), pq.advance)
	default:
		pq.timer.Reset(max(minTick, next.Sub(now)))
	}
}

// recordName keeps the customer's name for operators.
func (pq *poolQueue) recordName(hash demand.CustomerHash, id core.CustomerID) {
	pq.customersMu.Lock()
	defer pq.customersMu.Unlock()
	if len(pq.names) < maxCustomerNames {
		pq.names[hash] = id
	}
}

// addRunning changes the number of places that a customer uses.
func (pq *poolQueue) addRunning(who customerRank, by int) {
	pq.customersMu.Lock()
	defer pq.customersMu.Unlock()
	if pq.running[who] += by; pq.running[who] == 0 {
		delete(pq.running, who)
	}
}

// awaitTurn passes the request through its pool's queue. It returns nil once the request may be
// sent.
func (rq *request) awaitTurn(ctx context.Context) *core.Refusal {
	pq := rq.queueOf()
	if pq == nil {
		return nil
	}
	now := time.Now()
	who := customerRank{demand.HashCustomer(rq.customer.ID), uint8(min(rq.rank(), math.MaxUint8))}
	pq.recordName(who.customer, rq.customer.ID)
	rq.turn = &turn{pq: pq, who: who}
	de := pq.queue.Offer(now, waitq.Request{
		Customer: who.customer, Rank: who.rank, Weight: 1,
		Route: decl.HashName(rq.route.Name), Budget: rq.budget,
		Arrived: rq.began, GoalAt: rq.began.Add(rq.route.FirstByteGoal), Deadline: rq.deadline,
	})
	rq.turn.record(&de)
	if wa := de.Wait; wa != nil {
		if rf := rq.await(ctx, wa); rf != nil {
			return rf
		}
		de = wa.Decision
		rq.turn.record(&de)
	}
	if de.Admitted {
		rq.turn.admitted = true
		pq.addRunning(who, 1)
		return nil
	}
	return rq.refusedTurn(&de)
}

// await waits until the request is admitted or refused. It returns a refusal if the wait ends
// before.
func (rq *request) await(ctx context.Context, wa *waitq.Waiter) *core.Refusal {
	pq, began := rq.turn.pq, time.Now()
	rq.re.Stats.Add(stats.RequestsWaiting, 1)
	pq.advance()
	var rf *core.Refusal
	select {
	case <-wa.Ready():
	case <-ctx.Done():
	case <-rq.re.closedQueues():
		rf = rq.notRun(core.ReasonDraining, "wait", "the router is shutting down")
	}
	switch {
	case rq.hr.Context().Err() != nil:
		rf = rq.notRun(core.ReasonCallerGone, "wait", errCallerGone.Error())
	case ctx.Err() != nil:
		rf = rq.notRun(core.ReasonDeadline, "wait", "the deadline passed while the request waited for its turn")
	}
	rq.turn.waited = time.Since(began)
	rq.re.Stats.Add(stats.RequestsWaiting, -1)
	if rf != nil {
		pq.queue.Cancel(time.Now(), wa)
		pq.advance()
	} else if wa.Decision.Admitted {
		rq.re.Stats.Add(stats.AdmittedAfterWait, 1)
	}
	return rf
}

// refusedTurn returns the refusal of a request that the queue has refused.
func (rq *request) refusedTurn(de *waitq.Decision) *core.Refusal {
	detail := "the requests ahead for the pool take longer than the request can wait"
	if de.Refused == core.ReasonShareExceeded {
		detail = "the customer is over its share of the pool"
		rq.re.Stats.Add(stats.RefusedByShare, 1)
	} else {
		rq.re.Stats.Add(stats.RefusedForTime, 1)
	}
	rf := rq.notRun(de.Refused, "wait", detail)
	rf.Basis, rf.RetryAfter = de.Basis, de.RetryAfter
	rq.exactRetry = true
	return rf
}

// endTurn releases the request's place. It runs whenever the request ends, also by a panic.
func (rq *request) endTurn() {
	tu := rq.turn
	if tu == nil || !tu.admitted {
		return
	}
	tu.admitted = false
	tu.pq.addRunning(tu.who, -1)
	tu.pq.queue.Done(time.Now(), tu.took, tu.ran)
	tu.pq.advance()
}

// recordRun records how long an attempt that may have run took at its endpoint.
func (tu *turn) recordRun(rf *core.Refusal, took time.Duration) {
	if tu != nil && (rf == nil || rf.Outcome != core.NotRun) {
		tu.ran, tu.took = true, took
	}
}

// record keeps the facts of a decision for the log. Without a limit there are none.
func (tu *turn) record(de *waitq.Decision) {
	if de.Basis != "" {
		tu.limited, tu.ahead, tu.levelAge = true, de.Ahead, de.LevelAge
	}
}

// logFields returns the fields about the queue, if capacity was short.
func (tu *turn) logFields() []zap.Field {
	if tu == nil || !tu.limited {
		return nil
	}
	return []zap.Field{zap.Duration("Waited", tu.waited), zap.Int("Ahead", tu.ahead), zap.Duration("LevelAge", tu.levelAge)}
}
