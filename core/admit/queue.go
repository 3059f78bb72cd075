package admit

import (
	"slices"
	"time"

	"almondrill/core"
)

// queue holds waiting tickets by priority, each priority in order of virtual
// start time. It is bounded by the gate to some dozens, so plain sorted slices
// serve it best.
type queue struct {
	classes [core.PriorityCount][]*Ticket
	// virtualTime is the start tag of the last ticket started.
	virtualTime float64
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

// first is the ticket whose turn is next, nil if there is none.
func (qu *queue) first() *Ticket {
	for pr := len(qu.classes) - 1; pr >= 0; pr-- {
		if len(qu.classes[pr]) > 0 {
			return qu.classes[pr][0]
		}
	}
	return nil
}

// workAhead sums the work that would go before a newcomer.
func (qu *queue) workAhead(ti *Ticket) core.Work {
	sum := qu.workFrom(ti.Priority + 1)
	for _, other := range qu.classes[ti.Priority] {
		if other.startTag <= ti.startTag {
			sum += other.Work
		}
	}
	return sum
}

// pop takes the next ticket whose customer may have a slot. A ticket that has
// waited beyond maxWait goes before its betters: without that, a steady stream
// of urgent calls would hold back batch work for ever.
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

// victimFor finds the waiting ticket that should make room for a newcomer: of the
// lowest priority below the newcomer's, else, within its priority, the last of
// the customer with most waiting for its share, if that is more than the
// newcomer's customer would have.
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
	own := float64(ti.account.queuedWork+ti.Work) / ti.account.weight
	if float64(victim.account.queuedWork)/victim.account.weight <= own {
		return nil
	}
	return victim
}

func largestBacklog(class []*Ticket) *Ticket {
	var found *Ticket
	var largest float64
	for _, ti := range class {
		backlog := float64(ti.account.queuedWork) / ti.account.weight
		if backlog >= largest {
			found, largest = ti, backlog
		}
	}
	return found
}

// workFrom sums the work waiting at that priority or a higher one.
func (qu *queue) workFrom(pr core.Priority) core.Work {
	var sum core.Work
	for _, class := range qu.classes[pr:] {
		for _, ti := range class {
			sum += ti.Work
		}
	}
	return sum
}
