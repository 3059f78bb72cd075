package admit_test

import (
	"testing"
	"testing/synctest"

	"almondrill/core"
	"almondrill/core/admit"
	"almondrill/core/decl"
)

// One customer uses an otherwise idle engine for a long time. When a second customer arrives and
// both queue, they must take turns. The first customer's calls must not be delayed until the second one
// has used as much as the first did before.
func TestUseOfIdleEndpointIsNotCharged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ga := newGate(2, 20)
		for range 1000 {
			ti := ticket("publisher", core.PriorityNormal)
			offer(t, ga, ti)
			ga.Release(ti)
		}
		running := []*admit.Ticket{ticket("publisher", core.PriorityNormal), ticket("evening", core.PriorityNormal)}
		for _, ti := range running {
			offer(t, ga, ti)
		}
		evening, publisher := &customerQueue{customer: "evening"}, &customerQueue{customer: "publisher"}
		for range 6 {
			evening.enqueue(t, ga)
			publisher.enqueue(t, ga)
		}
		for range 3 {
			ga.Release(running[0])
			running = append(running[1:], nextStarted(t, evening, publisher))
		}
		if publisher.started == 0 {
			t.Error("three calls of the new customer started before any of the first customer's")
		}
	})
}

// customerQueue holds the queued tickets of one customer, in the order in which they start.
type customerQueue struct {
	customer core.CustomerID
	tickets  []*admit.Ticket
	started  int
}

func (li *customerQueue) enqueue(t *testing.T, ga *admit.Gate) {
	t.Helper()
	ti := ticket(li.customer, core.PriorityNormal)
	offer(t, ga, ti)
	li.tickets = append(li.tickets, ti)
}

// nextStarted returns the ticket that has just got a slot.
func nextStarted(t *testing.T, queues ...*customerQueue) *admit.Ticket {
	t.Helper()
	for _, li := range queues {
		if ti := li.tickets[li.started]; started(ti) {
			li.started++
			return ti
		}
	}
	t.Fatal("no queued ticket got the free slot")
	return nil
}

// Calls of a surging customer wait for the load cap at the engine that has their contexts cached. A
// small call of another customer that fits under the cap, and an urgent call, must not wait for
// them.
func TestCapWaitersDoNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ga, first, waiting := newGateAtCap(t, 130, "surge", "surge")
		other, lookup := ticket("other", core.PriorityNormal), ticket("surge", core.PriorityUrgent)
		other.Work, lookup.Work = 10, 10
		if !offer(t, ga, other) || !offer(t, ga, lookup) {
			t.Error("a call that fits was blocked by one that waits for the load cap")
		}
		ga.Release(first)
		if !started(waiting) {
			t.Error("the waiting call was not admitted after the load dropped")
		}
	})
}

// One customer fills an engine except for the reserved slots, and more of its calls queue. A call of
// another customer must get a reserved slot at once instead of waiting for a running call to end.
func TestReservedSlotIsGivenAtOnce(t *testing.T) {
	ga := newGate(16, 32)
	offer(t, ga, ticket("editor", core.PriorityNormal))
	for range 20 {
		offer(t, ga, ticket("pupils", core.PriorityNormal))
	}
	if running := ga.Stats().Running; running != 14 {
		t.Fatalf("test setup: %d calls running, want 14", running)
	}
	if !offer(t, ga, ticket("editor", core.PriorityNormal)) {
		t.Error("the second customer's call was queued although reserved slots are free")
	}
}

// One customer could fill an engine. The pool's Headroom determines how many slots stay reserved for
// others.
func TestHeadroomIsReservedForOthers(t *testing.T) {
	for headroom, limit := range map[float64]int{0.125: 14, 0.5: 9} {
		ga := newGate(16, 32)
		ga.SetLimits(decl.Limits{LoadFactor: 1.25, FloorWork: 1e6, Slots: 16, QueueCalls: 32, Headroom: headroom})
		offer(t, ga, ticket("editor", core.PriorityNormal))
		for range 20 {
			offer(t, ga, ticket("pupils", core.PriorityNormal))
		}
		if running := ga.Stats().Running; running != limit {
			t.Errorf("headroom %g: %d calls running", headroom, running)
		}
		if !offer(t, ga, ticket("editor", core.PriorityNormal)) {
			t.Errorf("headroom %g: the second customer's call was queued, want a reserved slot", headroom)
		}
	}
}
