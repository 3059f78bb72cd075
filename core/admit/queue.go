package admit

import (
	"slices"
	"time"

	"almondrill/core"
	"almondrill/core/flows"
)

// queue holds waiting tickets by priority, and within a priority in order of their start tags. The
// gate bounds it to some dozens of tickets, for which sorted slices are the fastest.
type queue struct {
	classes     [core.PriorityCount][]*Ticket
	virtualTime flows.Time
	work        core.Work
	lastSeq     uint64
	count       int
}

func (qu *queue) push(ti *Ticket) {
	qu.lastSeq++
	ti.seq = qu.lastSeq
	qu.work += ti.Work
	qu.count++
	class := qu.classes[ti.Priority]
	at, _ := slices.BinarySearchFunc(class, ti, compareOrder)
	qu.classes[ti.Priority] = slices.Insert(class, at, ti)
}

func compareOrder(one, two *Ticket) int {
	switch {
	case one.startTag < two.startTag:
		return -1
	case one.startTag > two.startTag:
		return 1
	case one.seq < two.seq:
		return -1
	case one.seq > two.seq:
		return 1
	}
	return 0
}

func (qu *queue) remove(ti *Ticket) {
	class := qu.classes[ti.Priority]
	at, found := slices.BinarySearchFunc(class, ti, compareOrder)
	if !found {
		return
	}
	qu.work -= ti.Work
	qu.count--
	qu.classes[ti.Priority] = slices.Delete(class, at, at+1)
}

// first returns the ticket that is next in order, nil if the queue is empty.
func (qu *queue) first() *Ticket {
	for pr := len(qu.classes) - 1; pr >= 0; pr-- {
		if len(qu.classes[pr]) > 0 {
			return qu.classes[pr][0]
		}
	}
	return nil
}

// workAhead sums the work of the tickets that go before an arriving ticket.
func (qu *queue) workAhead(ti *Ticket) core.Work {
	sum := qu.workFrom(ti.Priority + 1)
	for _, other := range qu.classes[ti.Priority] {
		if other.startTag <= ti.startTag {
			sum += other.Work
		}
	}
	return sum
}

// pop removes and returns the next ticket whose customer may have a slot, nil if there is none. A
// ticket queued for longer than maxOvertaken goes before those of higher priority: without that, a
// steady stream of urgent calls would starve batch work.
func (qu *queue) pop(now time.Time, may func(ac *account) bool) *Ticket {
	ti := qu.overdue(now, may)
	for pr := len(qu.classes) - 1; ti == nil && pr >= 0; pr-- {
		for _, head := range qu.classes[pr] {
			if may(head.account) {
				ti = head
				break
			}
		}
	}
	if ti == nil {
		return nil
	}
	qu.remove(ti)
	return ti
}

// overdue returns the ticket that has been queued longest of those beyond maxOvertaken.
func (qu *queue) overdue(now time.Time, may func(ac *account) bool) *Ticket {
	var oldest *Ticket
	for _, class := range qu.classes {
		for _, ti := range class {
			if now.Sub(ti.queuedAt) > maxOvertaken && may(ti.account) && (oldest == nil || ti.queuedAt.Before(oldest.queuedAt)) {
				oldest = ti
			}
		}
	}
	return oldest
}

// victimFor returns the queued ticket to evict for an arriving one, nil if there is none. It is a
// ticket of the lowest priority below the arriving one's. If there is no such priority, it is one
// of the same priority: the last ticket of the customer with the largest backlog relative to its
// share, provided that this backlog exceeds the one that the arriving ticket's customer would have.
func (qu *queue) victimFor(ti *Ticket) *Ticket {
	for pr := range ti.Priority {
		if victim := largestBacklog(qu.classes[pr]); victim != nil {
			return victim
		}
	}
	victim := largestBacklog(qu.classes[ti.Priority])
	if victim == nil || victim.account == ti.account {
		return nil
	}
	own := float64(ti.account.queuedWork+ti.Work) / ti.account.flow.Weight
	if float64(victim.account.queuedWork)/victim.account.flow.Weight <= own {
		return nil
	}
	return victim
}

// largestBacklog returns the last ticket of the customer with the most queued work for its weight.
func largestBacklog(class []*Ticket) *Ticket {
	var found *Ticket
	var largest float64
	for _, ti := range class {
		backlog := float64(ti.account.queuedWork) / ti.account.flow.Weight
		if backlog >= largest {
			found, largest = ti, backlog
		}
	}
	return found
}

// workFrom sums the queued work of the given priority and all higher ones.
func (qu *queue) workFrom(pr core.Priority) core.Work {
	var sum core.Work
	for _, class := range qu.classes[pr:] {
		for _, ti := range class {
			sum += ti.Work
		}
	}
	return sum
}
