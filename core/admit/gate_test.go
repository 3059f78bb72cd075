package admit_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"almondrill/core"
	"almondrill/core/admit"
	"almondrill/core/decl"
	"almondrill/core/loads"
	"almondrill/io/clock"
)

func newGate(slots, queue int) *admit.Gate {
	ta := &loads.Table{Clock: clock.Wall{}, Pool: "chat", Self: "self"}
	ga := &admit.Gate{Clock: clock.Wall{}, Rand: clock.NewRand(1), Loads: ta, VM: "self"}
	ga.SetLimits(decl.Limits{LoadFactor: 1.25, FloorWork: 1e6, Slots: slots, QueueCalls: queue, Headroom: decl.DefaultHeadroom})
	return ga
}

func ticket(cu core.CustomerID, pr core.Priority) *admit.Ticket {
	return &admit.Ticket{Customer: cu, Weight: 1, Priority: pr, Work: 100}
}

// offer offers a ticket and fails the test if it is refused.
func offer(t *testing.T, ga *admit.Gate, ti *admit.Ticket) bool {
	t.Helper()
	run, re := ga.Offer(ti)
	if re != nil {
		t.Fatal(re)
	}
	return run
}

// started tells whether a waiting ticket has its slot.
func started(ti *admit.Ticket) bool {
	select {
	case re := <-ti.Ready():
		return re == nil
	default:
		return false
	}
}

// A stage starts at night: one customer's spectators fill slots and queue. A
// marshal of another customer calls; one of the surge's waiting calls makes room
// and is told that it was not run, since its customer is over its share.
func TestSurgingCustomerIsEvictedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ga := newGate(4, 4)
		var surge []*admit.Ticket
		for range 8 {
			ti := ticket("surge", core.PriorityNormal)
			offer(t, ga, ti)
			surge = append(surge, ti)
		}
		if _, re := ga.Offer(ticket("surge", core.PriorityNormal)); re == nil || re.RetryAfter == 0 {
			t.Fatalf("the surge's ninth call: %v", re)
		}
		marshal := ticket("other", core.PriorityNormal)
		offer(t, ga, marshal)
		var out *core.Refusal
		for _, ti := range surge[4:] {
			select {
			case re := <-ti.Ready():
				out = re
			default:
			}
		}
		if out == nil || out.Outcome != core.NotRun || out.Reason != core.ReasonShareExceeded {
			t.Errorf("pushed out: %v", out)
		}
		ga.Release(surge[0])
		ga.Release(surge[1])
		if !started(marshal) {
			t.Error("the other customer's call still waits after two turns")
		}
	})
}

// Lookups keep coming while a batch job waits. They go first, but after five
// seconds the batch job gets a slot all the same.
func TestLowPriorityIsNotStarved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ga := newGate(1, 50)
		running := ticket("a", core.PriorityNormal)
		offer(t, ga, running)
		batch := ticket("b", core.PriorityBatch)
		offer(t, ga, batch)
		start := time.Now()
		for !started(batch) {
			lookup := ticket("c", core.PriorityUrgent)
			offer(t, ga, lookup)
			time.Sleep(time.Second)
			ga.Release(running)
			running = lookup
			if time.Since(start) > 10*time.Second {
				t.Fatal("still waiting after 10 s")
			}
		}
		if took := time.Since(start); took < 5*time.Second {
			t.Errorf("went before its betters after %s", took)
		}
	})
}

// An agent is cut off from its peers, so it does not know the pool's mean. It
// takes work up to the floor only, and one call where it has none at all.
func TestUnknownMeanFallsBackToFloorWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ga := newGate(100, 100)
		ga.SetLimits(decl.Limits{LoadFactor: 1.25, FloorWork: 250, Slots: 100, QueueCalls: 100, Headroom: decl.DefaultHeadroom})
		ga.Loads.SetPeers([]core.VMID{"one", "two"})
		for n := range 2 {
			offer(t, ga, ticket("c", core.PriorityNormal))
			_ = n
		}
		if _, re := ga.Offer(ticket("c", core.PriorityNormal)); re == nil || re.Reason != core.ReasonLoadCap {
			t.Errorf("third call: %v", re)
		}
		ga.Loads.Observe(core.LoadEntry{Pool: "chat", VM: "one", Load: 500})
		offer(t, ga, ticket("c", core.PriorityNormal))
		time.Sleep(loads.MaxAge + time.Second)
		if _, re := ga.Offer(ticket("c", core.PriorityNormal)); re == nil || len(re.Alternatives) != 0 {
			t.Errorf("on stale figures: %v", re)
		}
	})
}

// newGateAtCap is a gate that is full up to its cap with the first customer's
// call, and a call of the second that waits for room.
func newGateAtCap(t *testing.T, floor core.Work, one, two core.CustomerID) (ga *admit.Gate, first, patient *admit.Ticket) {
	t.Helper()
	ga = newGate(100, 100)
	ga.SetLimits(decl.Limits{LoadFactor: 1.25, FloorWork: floor, Slots: 100, QueueCalls: 100, Headroom: decl.DefaultHeadroom})
	ga.Loads.SetPeers([]core.VMID{"one"})
	ga.Loads.Observe(core.LoadEntry{Pool: "chat", VM: "one", Load: 20})
	first = ticket(one, core.PriorityNormal)
	offer(t, ga, first)
	ga.Stats()
	time.Sleep(time.Second)
	ga.Progress(first, 20)
	ga.Stats()
	patient = ticket(two, core.PriorityNormal)
	patient.WaitLimit = time.Minute
	if offer(t, ga, patient) || started(patient) {
		t.Fatal("the second call found room: this shows nothing")
	}
	return ga, first, patient
}

// A call whose context is here waits for room under the cap, outside the load,
// and gets in before one that came later.
func TestCapWaiterIsAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ga, first, patient := newGateAtCap(t, 100, "a", "b")
		if ga.Load() != 80 {
			t.Fatalf("it did not wait outside; load %d", ga.Load())
		}
		if _, re := ga.Offer(ticket("c", core.PriorityNormal)); re == nil {
			t.Error("a later call went before it")
		}
		ga.Release(first)
		if !started(patient) {
			t.Error("it got no room")
		}
	})
}

// Whatever comes and goes, the load is the sum of what is inside, no more run
// than there are slots, and an empty gate is empty.
func TestGateAccounting(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ga := newGate(4, 6)
		inside := map[*admit.Ticket]bool{} // true if running
		settle := func() {
			for ti, running := range inside {
				if running {
					continue
				}
				select {
				case re := <-ti.Ready():
					if re != nil {
						delete(inside, ti)
						continue
					}
					inside[ti] = true
				default:
				}
			}
		}
		anyone := func(running bool) *admit.Ticket {
			for ti, is := range inside {
				if is == running {
					return ti
				}
			}
			return nil
		}
		rt.Repeat(map[string]func(*rapid.T){
			"offer": func(rt *rapid.T) {
				ti := ticket(core.CustomerID(fmt.Sprint(rapid.IntRange(0, 3).Draw(rt, "customer"))), core.Priority(rapid.IntRange(0, 3).Draw(rt, "priority")))
				if run, re := ga.Offer(ti); re == nil {
					inside[ti] = run
				}
			},
			"leave": func(*rapid.T) {
				if ti := anyone(true); ti != nil {
					ga.Release(ti)
					delete(inside, ti)
				}
			},
			"withdraw": func(*rapid.T) {
				if ti := anyone(false); ti != nil && ga.Withdraw(ti) {
					delete(inside, ti)
				}
			},
			"": func(rt *rapid.T) {
				settle()
				st := ga.Stats()
				if st.Load != core.Work(100*len(inside)) {
					rt.Fatalf("load %d for %d tickets", st.Load, len(inside))
				}
				if st.Running > 4 || st.Queued > 6 || st.Running+st.Queued != len(inside) {
					rt.Fatalf("%+v for %d tickets", st, len(inside))
				}
			},
		})
	})
}
