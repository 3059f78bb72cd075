// Package admit decides at an agent which calls its endpoint takes, and when.
//
// # Concepts
//
// A Gate stands before one endpoint. It counts the work the endpoint has yet to
// do, running and queued, exactly. A call passes three checks:
//
//   - The load cap: load stays within LoadFactor times the pool's mean, or
//     within FloorWork, or the endpoint is not above the mean at all. Otherwise
//     the call is refused and the router tries a less loaded peer, unless its
//     context is here and room can be expected within its patience: then it waits
//     outside, not part of the load.
//   - A slot: Slots calls run at a time, and the last few are kept for customers
//     that are within their share.
//   - The queue: bounded; by priority, within a priority by start-time fair
//     queueing over the customers' shares. When it is full, a newcomer of higher
//     priority, or of a customer that has less waiting for its share, takes the
//     place of a waiting call, which is refused as not run.
//
// # Invariants
//
//   - load is the sum of what is left of all tickets inside, plus the correction
//     from the engine's own report.
//   - A refused or pushed-out ticket has never been given a slot.
//   - No ticket waits behind higher priorities for longer than maxWait plus one
//     slot's turn.
//
// # Usage
//
//	run, refusal := ga.Offer(tk)
//	if !run && refusal == nil { refusal = <-tk.Ready() }
//	defer ga.Leave(tk)
package admit

import (
	"sync"
	"time"

	"almondrill/core"
	"almondrill/core/decl"
	"almondrill/core/loads"
)

const (
	// maxOvertaken is how long a call may be passed over for higher priorities.
	maxOvertaken = 5 * time.Second
	// Bounds of the advice when to try again.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
	// maxCapWaiters bounds the calls that wait for room under the cap.
	maxCapWaiters = 16
	// maxAlternatives is how many less loaded peers a refusal names.
	maxAlternatives = 3
)

// Gate stands before one endpoint. Set the exported fields before use.
type Gate struct {
	Clock core.Clock
	Rand  core.Rand
	Loads *loads.Table
	VM    core.VMID
	// Gauge, if set, is kept at the load.
	Gauge *loads.Gauge

	mu           sync.Mutex // guards all below
	limits       decl.Limits
	load         core.Work
	untracked    core.Work
	running      int
	queued       int
	capWaiters   queue // waits for room under the cap
	queue        queue // waits for a slot
	accounts     map[core.CustomerID]*account
	activeWeight float64 // sum over active accounts
	finishedWork core.Work
	throughput   float64
	throughputAt time.Time
}

// Ticket is one call's passage. Set the exported fields, then Offer it once.
type Ticket struct {
	Customer core.CustomerID
	// Weight is the customer's share, above 0.
	Weight   float64
	Priority core.Priority
	Work     core.Work
	// WaitLimit is how long the call would rather wait for room under the load cap
	// than be refused, because its context is here. 0 is not at all.
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
	// ticketAwaitingCap waits for room under the cap; it is not part of the load.
	ticketAwaitingCap
	// ticketQueued waits for a slot.
	ticketQueued
	ticketRunning
	ticketDone
)

// Ready delivers nil when a waiting ticket gets its slot, or why it never will.
func (ti *Ticket) Ready() <-chan *core.Refusal { return ti.ready }

// SetLimits takes over limits; calls already inside stay.
func (ga *Gate) SetLimits(li decl.Limits) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.limits = li
	ga.dispatch()
}

// Offer asks for the ticket's admission. True: it runs now. False without a
// refusal: wait for Ready, or Withdraw.
func (ga *Gate) Offer(ti *Ticket) (bool, *core.Refusal) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.addToAccount(ti)
	if ga.withinCap(ti.Work) && !ga.precedes(ga.capWaiters.first(), ti) {
		running, re := ga.admit(ti)
		if ti.state == ticketRunning && !running {
			// Queued and started at once; nobody else reads its channel yet.
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

// admit gives a ticket within the cap a slot or a place in the queue.
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
	// Those ahead of it may be held from the free slots by their customer's share.
	ga.dispatch()
	return false, nil
}

// withinCap applies the load cap. An endpoint that is not above the mean may always
// take one more call, however large: some endpoint always is, so no call is
// refused everywhere for its size. The load may thus exceed LoadFactor times
// the mean by one call's work at most.
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
	// Also when nobody waits: what a customer used of an idle endpoint would count
	// against it, for as long as the endpoint lives, once there is a queue.
	ga.queue.virtualTime = max(ga.queue.virtualTime, ti.startTag)
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

// dispatch gives free slots to waiting tickets.
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

// Withdraw takes a waiting ticket back. False means that it was given a slot, or
// refused, in the meantime: read Ready.
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

// Progress tells that a running ticket's work has shrunk.
func (ga *Gate) Progress(ti *Ticket, done core.Work) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	done = min(done, ti.remaining)
	ti.remaining -= done
	ga.finishedWork += done
	ga.addLoad(-done)
	ga.admitCapWaiters()
}

// Release ends a running ticket.
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
