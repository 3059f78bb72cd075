package admit_test

import (
	"testing"
	"testing/synctest"

	"almondrill/core"
	"almondrill/core/admit"
	"almondrill/core/decl"
)

// A publisher's calls run on an idle engine all day, which costs nobody anything.
// In the evening another customer begins too, and both queue. They take turns;
// the publisher does not wait until the other has caught up on the day.
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
			t.Error("the publisher's call was passed over by three of the other's")
		}
	})
}

// customerQueue is what a customer has waiting; its tickets start in turn.
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

// nextStarted finds the ticket that was just given a slot.
func nextStarted(t *testing.T, lines ...*customerQueue) *admit.Ticket {
	t.Helper()
	for _, li := range lines {
		if ti := li.tickets[li.started]; started(ti) {
			li.started++
			return ti
		}
	}
	t.Fatal("nobody was given the slot")
	return nil
}

// Readers of a customer that surges wait for room at the engine that has their
// contexts. A marshal of another customer asks something small, for which there
// is room, and a lookup comes first anyway: neither waits behind the surge.
func TestCapWaitersDoNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ga, first, patient := newGateAtCap(t, 130, "surge", "surge")
		marshal, lookup := ticket("other", core.PriorityNormal), ticket("surge", core.PriorityUrgent)
		marshal.Work, lookup.Work = 10, 10
		if !offer(t, ga, marshal) || !offer(t, ga, lookup) {
			t.Error("kept out by a call that waits for room")
		}
		ga.Release(first)
		if !started(patient) {
			t.Error("the patient call got no room")
		}
	})
}

// One customer's pupils fill an engine, but for the slots kept for the others,
// and more of them queue. An editor of another customer gets one of those slots
// at once; she does not wait for an answer to end first.
func TestReservedSlotIsGivenAtOnce(t *testing.T) {
	ga := newGate(16, 32)
	offer(t, ga, ticket("editor", core.PriorityNormal))
	for range 20 {
		offer(t, ga, ticket("pupils", core.PriorityNormal))
	}
	if running := ga.Stats().Running; running != 14 {
		t.Fatalf("%d run: this shows nothing", running)
	}
	if !offer(t, ga, ticket("editor", core.PriorityNormal)) {
		t.Error("the editor's second call waits beside free slots")
	}
}

// A term opens, and one customer's pupils could fill an engine. The pool's
// Headroom decides how many slots stay free for the others.
func TestHeadroomIsReservedForOthers(t *testing.T) {
	for headroom, limit := range map[float64]int{0.125: 14, 0.5: 9} {
		ga := newGate(16, 32)
		ga.SetLimits(decl.Limits{LoadFactor: 1.25, FloorWork: 1e6, Slots: 16, QueueCalls: 32, Headroom: headroom})
		offer(t, ga, ticket("editor", core.PriorityNormal))
		for range 20 {
			offer(t, ga, ticket("pupils", core.PriorityNormal))
		}
		if running := ga.Stats().Running; running != limit {
			t.Errorf("headroom %g: %d run", headroom, running)
		}
		if !offer(t, ga, ticket("editor", core.PriorityNormal)) {
			t.Errorf("headroom %g: the editor's second call waits", headroom)
		}
	}
}
