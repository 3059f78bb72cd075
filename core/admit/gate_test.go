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

// offer calls ga.Offer and fails the test if the ticket is refused.
func offer(t *testing.T, ga *admit.Gate, ti *admit.Ticket) bool {
	t.Helper()
	run, re := ga.Offer(ti)
	if re != nil {
		t.Fatal(re)
	}
	return run
}

// started reports whether a waiting ticket has got its slot.
func started(ti *admit.Ticket) bool {
	select {
	case re := <-ti.Ready():
		return re == nil
	default:
		return false
	}
}

// One customer fills all slots and the queue. When a call of another customer arrives, it must evict
// a queued call of the surging customer, which is refused as NotRun and ShareExceeded.
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
			t.Fatalf("ninth call of the surging customer with slots and queue full: refusal %v, want one with RetryAfter", re)
		}
		other := ticket("other", core.PriorityNormal)
		offer(t, ga, other)
		var out *core.Refusal
		for _, ti := range surge[4:] {
			select {
			case re := <-ti.Ready():
				out = re
			default:
			}
		}
		if out == nil || out.Outcome != core.NotRun || out.Reason != core.ReasonShareExceeded {
			t.Errorf("evicted call: got refusal %v, want NotRun and ShareExceeded", out)
		}
		ga.Release(surge[0])
		ga.Release(surge[1])
		if !started(other) {
			t.Error("the other customer's call is still queued after two slots became free")
		}
	})
}

// A steady stream of urgent calls arrives while a batch call is queued. They go first, but the batch
// call must get a slot after maxOvertaken (5 s).
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
				t.Fatal("batch call still queued after 10 s")
			}
		}
		if took := time.Since(start); took < 5*time.Second {
			t.Errorf("batch call overtook urgent calls after %s, want 5 s or more", took)
		}
	})
}

// An agent without fresh samples of its peers does not know the pool's mean. It must accept work up
// to FloorWork only, or a single call if it has no load.
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
			t.Errorf("call beyond FloorWork: refusal %v, want LoadCap", re)
		}
		ga.Loads.Observe(core.LoadEntry{Pool: "chat", VM: "one", Load: 500})
		offer(t, ga, ticket("c", core.PriorityNormal))
		time.Sleep(loads.MaxAge + time.Second)
		if _, re := ga.Offer(ticket("c", core.PriorityNormal)); re == nil || len(re.Alternatives) != 0 {
			t.Errorf("with expired samples: refusal %v, want one without alternatives", re)
		}
	})
}

// newGateAtCap returns a gate whose load cap is reached by a call of the first customer, and a call
// of the second customer that waits for the cap.
func newGateAtCap(t *testing.T, floor core.Work, one, two core.CustomerID) (ga *admit.Gate, first, waiting *admit.Ticket) {
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
	waiting = ticket(two, core.PriorityNormal)
	waiting.WaitLimit = time.Minute
	if offer(t, ga, waiting) || started(waiting) {
		t.Fatal("test setup: the second call was admitted, want it to wait for the load cap")
	}
	return ga, first, waiting
}

// A call with a WaitLimit waits for the load cap without counting towards the load, and must be
// admitted before a call that arrives later.
func TestCapWaiterIsAdmitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ga, first, waiting := newGateAtCap(t, 100, "a", "b")
		if ga.Load() != 80 {
			t.Fatalf("load %d, want 80: the waiting call must not be part of it", ga.Load())
		}
		if _, re := ga.Offer(ticket("c", core.PriorityNormal)); re == nil {
			t.Error("a later call was admitted before the waiting one")
		}
		ga.Release(first)
		if !started(waiting) {
			t.Error("the waiting call was not admitted after the load dropped")
		}
	})
}

// For any sequence of offers, releases and withdrawals, the load must equal the work of the admitted
// tickets, and running and queued tickets must stay within their limits.
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
		anyTicket := func(running bool) *admit.Ticket {
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
				if ti := anyTicket(true); ti != nil {
					ga.Release(ti)
					delete(inside, ti)
				}
			},
			"withdraw": func(*rapid.T) {
				if ti := anyTicket(false); ti != nil && ga.Withdraw(ti) {
					delete(inside, ti)
				}
			},
			"": func(rt *rapid.T) {
				settle()
				st := ga.Stats()
				if st.Load != core.Work(100*len(inside)) {
					rt.Fatalf("load %d for %d admitted tickets of work 100", st.Load, len(inside))
				}
				if st.Running > 4 || st.Queued > 6 || st.Running+st.Queued != len(inside) {
					rt.Fatalf("stats %+v for %d admitted tickets, limits are 4 running and 6 queued", st, len(inside))
				}
			},
		})
	})
}
