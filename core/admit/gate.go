// Package admit implements an agent's admission control: which calls an endpoint accepts, and when
// they run.
//
// # Concepts
//
// A Gate controls admission to one endpoint. It keeps the exact amount of work that the endpoint
// has yet to do, running and queued. A call passes three checks:
//
//   - Load cap: the load with the call must stay within LoadFactor times the pool's mean or within
//     FloorWork, or the endpoint's load must not exceed the mean before the call. Otherwise the
//     call is refused and the router tries a less loaded peer. A call whose context is cached here
//     may instead wait for the cap if capacity is expected within its WaitLimit; it does not count
//     towards the load while it waits.
//   - Slots: at most Slots calls run concurrently. The last few slots are reserved for customers
//     within their share.
//   - Queue: bounded, ordered by priority and, within a priority, by start-time fair queueing
//     weighted by the customers' shares. When the queue is full, an arriving call may evict a
//     queued call of a lower priority, or one of the same priority whose customer has more queued
//     work relative to its share. The evicted call is refused as NotRun.
//
// # Invariants
//
//   - The load is the remaining work of all admitted tickets plus the untracked work derived from
//     the engine's own report.
//   - A refused or evicted ticket has never had a slot.
//   - No ticket is overtaken by higher priorities for longer than maxOvertaken plus the time until
//     a slot becomes free.
//
// # Usage
//
//	running, refusal := ga.Offer(ti)
//	if !running && refusal == nil { refusal = <-ti.Ready() }
//	defer ga.Release(ti)
package admit

import (
	"sync"
	"time"

	"almondrill/core"
	"almondrill/core/decl"
	"almondrill/core/loads"
)

const (
	// maxOvertaken is how long a queued call may be overtaken by calls of higher priority.
	maxOvertaken = 5 * time.Second
	// Bounds of Refusal.RetryAfter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// maxCapWaiters bounds the calls that wait for the load cap.
	maxCapWaiters = 16
	// maxAlternatives is how many less loaded peers a refusal names at most.
	maxAlternatives = 3
)

// Gate controls admission to one endpoint. Set the exported fields before use.
type Gate struct {
	Clock core.Clock
	Rand  core.Rand
	Loads *loads.Table
	VM    core.VMID
	// Gauge, if set, is updated with the load.
	Gauge *loads.Gauge

	mu           sync.Mutex // guards all below
	limits       decl.Limits
	load         core.Work
	untracked    core.Work
	running      int
	queued       int
	capWaiters   queue // tickets waiting for the load cap
	queue        queue // tickets waiting for a slot
	accounts     map[core.CustomerID]*account
	activeWeight float64 // sum of the weights of active accounts
	finishedWork core.Work
	throughput   float64
	throughputAt time.Time
}

// Ticket is one call's request for admission. Set the exported fields, then Offer it once.
type Ticket struct {
	Customer core.CustomerID
	// Weight is the customer's share, above 0.
	Weight   float64
	Priority core.Priority
	Work     core.Work
	// WaitLimit is how long the call may wait for the load cap instead of being refused, because
	// its context is cached here. 0 means that it does not wait.
	WaitLimit time.Duration

	remaining core.Work
	account   *account
	startTag  float64
	seq       uint64
	queuedAt  time.Time
	state     ticketState
	started   bool
	ready     chan *core.Refusal
}

type ticketState uint8

const (
	_ ticketState = iota // not offered yet
	// ticketAwaitingCap: waiting for the load cap; not part of the load.
	ticketAwaitingCap
	// ticketQueued: waiting for a slot.
	ticketQueued
	ticketRunning
	ticketDone
)

// Ready delivers nil when a waiting ticket gets a slot, or the refusal if it is rejected.
func (ti *Ticket) Ready() <-chan *core.Refusal { return ti.ready }

// SetLimits replaces the limits. Calls that are already admitted stay.
func (ga *Gate) SetLimits(li decl.Limits) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.limits = li
	ga.dispatch()
}

// Offer requests admission for the ticket. It returns true if the call may run now. If it returns
// false and no refusal, the ticket is waiting: receive from Ready, or call Withdraw.
func (ga *Gate) Offer(ti *Ticket) (bool, *core.Refusal) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.addToAccount(ti)
	if ga.withinCap(ti.Work) && !ga.precedes(ga.capWaiters.first(), ti) {
		running, re := ga.admit(ti)
		if ti.state == ticketRunning && !running {
			// Queued and started at once. Nothing else reads its channel yet.
			<-ti.ready
			running = true
		}
		return running, re
	}
	if !ga.shouldAwaitCap(ti) {
		ga.removeFromAccount(ti)
		return false, ga.loadCapRefusal(ti.Work)
	}
	ti.ready = make(chan *core.Refusal, 1)
	ti.state = ticketAwaitingCap
	ga.capWaiters.push(ti)
	return false, nil
}

// admit gives a ticket that is within the load cap a slot, or queues it.
func (ga *Gate) admit(ti *Ticket) (bool, *core.Refusal) {
	ti.remaining = ti.Work
	if ga.running < ga.limits.Slots && ga.queued == 0 && ga.slotAllowed(ti.account) {
		ga.addLoad(ti.Work)
		ga.startTicket(ti)
		return true, nil
	}
	if ga.queued >= ga.limits.QueueCalls {
		victim := ga.queue.victimFor(ti)
		if victim == nil {
			ga.removeFromAccount(ti)
			return false, ga.queueFullRefusal(ti)
		}
		ga.evict(victim)
	}
	ga.addLoad(ti.Work)
	ga.enqueue(ti)
	// The ticket may start at once although others are queued ahead of it: free slots may be
	// reserved, and the customers of those tickets over their share.
	ga.dispatch()
	return false, nil
}

// withinCap applies the load cap. An endpoint whose load is not above the mean accepts one more
// call of any size. At least one endpoint of a pool is always in that state, so no call is refused
// everywhere because of its size. The load may therefore exceed LoadFactor times the mean by the
// work of at most one call.
func (ga *Gate) withinCap(wo core.Work) bool {
	after := ga.load + wo
	if after <= ga.limits.FloorWork || ga.load == 0 {
		return true
	}
	if float64(after) <= ga.limits.LoadFactor*float64(ga.Loads.Mean(after)) {
		return true
	}
	return ga.load <= ga.Loads.Mean(ga.load)
}

func (ga *Gate) startTicket(ti *Ticket) {
	ti.state = ticketRunning
	ti.started = true
	ti.account.runningCount++
	ga.running++
	ga.queue.virtualTime.Start(ti.startTag)
}

func (ga *Gate) enqueue(ti *Ticket) {
	if ti.ready == nil {
		ti.ready = make(chan *core.Refusal, 1)
	}
	ti.state = ticketQueued
	ti.queuedAt = ga.Clock.Now()
	ti.account.queuedWork += ti.Work
	ga.queued++
	ga.queue.push(ti)
}

// dispatch gives free slots to queued tickets.
func (ga *Gate) dispatch() {
	for ga.running < ga.limits.Slots && ga.queued > 0 {
		ti := ga.queue.pop(ga.Clock.Now(), ga.slotAllowed)
		if ti == nil {
			return
		}
		ga.unqueue(ti)
		ga.startTicket(ti)
		ti.ready <- nil
	}
}

func (ga *Gate) unqueue(ti *Ticket) {
	ti.account.queuedWork -= ti.Work
	ga.queued--
}

func (ga *Gate) evict(ti *Ticket) {
	ga.queue.remove(ti)
	ga.unqueue(ti)
	ti.state = ticketDone
	ga.addLoad(-ti.remaining)
	ti.ready <- ga.queueFullRefusal(ti)
	ga.removeFromAccount(ti)
}

// Withdraw removes a waiting ticket. It returns false if the ticket got a slot or was refused in
// the meantime; Ready then holds the result.
func (ga *Gate) Withdraw(ti *Ticket) bool {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ti.state == ticketAwaitingCap {
		ga.capWaiters.remove(ti)
		ti.state = ticketDone
		ga.removeFromAccount(ti)
		return true
	}
	if ti.state != ticketQueued {
		return false
	}
	ga.queue.remove(ti)
	ga.unqueue(ti)
	ti.state = ticketDone
	ga.addLoad(-ti.remaining)
	ga.removeFromAccount(ti)
	return true
}

// Progress records that part of a running ticket's work is done.
func (ga *Gate) Progress(ti *Ticket, done core.Work) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	done = min(done, ti.remaining)
	ti.remaining -= done
	ga.finishedWork += done
	ga.addLoad(-done)
	ga.admitCapWaiters()
}

// Release ends a running ticket and frees its slot.
func (ga *Gate) Release(ti *Ticket) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ti.state != ticketRunning {
		return
	}
	ti.state = ticketDone
	ti.account.runningCount--
	ga.running--
	ga.finishedWork += ti.remaining
	ga.addLoad(-ti.remaining)
	ga.removeFromAccount(ti)
	ga.dispatch()
	ga.admitCapWaiters()
}

func (ga *Gate) addLoad(wo core.Work) {
	ga.load += wo
	if ga.Gauge != nil {
		ga.Gauge.Set(ga.load)
	}
}
