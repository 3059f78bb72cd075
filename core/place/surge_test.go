package place_test

import (
	"fmt"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/place"
)

// engines run calls on virtual time, a limited number at once each, and queue the others.
type engines struct {
	slots, callSteps int // slots of each engine, and the duration of a call in steps
	waiting          map[core.EndpointID][]*caller
	running          map[core.EndpointID]int
	ending           map[int][]*caller // by step
}

// caller is one caller of the load.
type caller struct {
	arrived  int // the step of the first attempt
	router   int
	tk       *place.Ticket
	retried  bool // the caller was refused once
	customer core.CustomerID
}

// surge simulates a load on routers and engines, and counts the outcomes of callers.
type surge struct {
	*engines
	routers   []*place.Placer
	step      int
	returning map[int][]*caller // callers that were told to retry, by step
	// inTime callers had their first token within goal steps of their first attempt, late ones
	// after that, and lost ones were refused twice.
	all, inTime, late, lost int
	// customer draws the customer of a call; nil for none. lostBy and allBy count by customer.
	customer      func(ra testRand) core.CustomerID
	lostBy, allBy map[core.CustomerID]int
	// reportSteps is the interval, in steps, of reports between two routers. A first token within
	// goal steps is in time.
	reportSteps, goal int
	// chat draws the chat of a call; nil for one of 300 equal ones.
	chat func(ra testRand) uint64
	// seed is the seed of the load.
	seed uint64
	// prompt returns the prompt of a chat.
	prompt func(id uint64) []place.Part
	// counts is asked before each choice; nil if the routers share no counts.
	counts counts
}

// counts knows how many calls the engines have.
type counts interface {
	AddCall(now time.Time, endpoint uint64) (int, bool)
	Report(now time.Time, endpoint uint64, calls int)
}

const (
	goalSteps = 30
	// surgeReportSteps is the interval, in steps, of reports of each router of four: 0.2 s.
	surgeReportSteps = 20
)

func newSurge(routers, count, slots, callSteps int) *surge {
	su := &surge{
		engines:   &engines{slots, callSteps, map[core.EndpointID][]*caller{}, map[core.EndpointID]int{}, map[int][]*caller{}},
		returning: map[int][]*caller{},
		lostBy:    map[core.CustomerID]int{}, allBy: map[core.CustomerID]int{},
		reportSteps: surgeReportSteps, goal: goalSteps, seed: 9,
		prompt: func(id uint64) []place.Part { return chat(id%3, id) },
	}
	for ix := range routers {
		pl := &place.Placer{Zone: "a", Rand: newRand(uint64(ix)), CapFactor: 2, RouterCount: func() int { return routers }}
		for ep := range count {
			en := endpoint(ep)
			en.Slots = slots
			pl.Register(begin, en)
		}
		su.routers = append(su.routers, pl)
	}
	return su
}

func (su *surge) now() time.Time { return begin.Add(time.Duration(su.step) * stepTime) }

// send sends a caller's request through its router.
func (su *surge) send(ca *caller, id uint64) {
	rq := newRequest(su.prompt(id))
	rq.Customer = ca.customer
	pl := su.routers[ca.router]
	if su.counts != nil {
		su.askCount(pl, rq)
	}
	tk, rf := pl.Pick(su.now(), rq)
	switch {
	case rf == nil:
		ca.tk = tk
		su.waiting[tk.Endpoint.ID] = append(su.waiting[tk.Endpoint.ID], ca)
	case ca.retried:
		su.lost++
		su.lostBy[ca.customer]++
	default:
		ca.retried = true
		at := su.step + 1 + int(rf.RetryAfter/stepTime)
		su.returning[at] = append(su.returning[at], ca)
	}
}

// askCount does what a router does before a choice if counts are available.
func (su *surge) askCount(pl *place.Placer, rq *place.Request) {
	endpoint, uncertain := pl.NeedsCount(su.now(), rq)
	if !uncertain {
		return
	}
	if calls, known := su.counts.AddCall(su.now(), endpoint); known {
		pl.ApplyCount(su.now(), endpoint, calls)
	}
}

// tick runs the engines for a step, and sends the reports that are due.
func (su *surge) tick() {
	su.step++
	for _, ca := range su.ending[su.step] {
		su.running[ca.tk.Endpoint.ID]--
		ca.tk.Done(su.now(), place.Served)
	}
	for id, line := range su.waiting {
		for len(line) > 0 && su.running[id] < su.slots {
			su.startCall(id, line[0])
			line = line[1:]
		}
		su.waiting[id] = line
	}
	for from, pl := range su.routers {
		for to, other := range su.routers {
			if su.reports(from, to) {
				other.ApplyLoadReport(su.now(), fmt.Sprint("router", from), pl.LoadReport())
				other.ApplyReadings(su.now(), 0, pl.Readings(su.now()))
			}
		}
	}
}

// reports returns whether a router's report reaches another in this step. Among few routers, a
// report reaches all at once; among many, each pair has its own step.
func (su *surge) reports(from, to int) bool {
	turn := from
	if su.reportSteps != surgeReportSteps {
		turn += len(su.routers) * to
	}
	return from != to && (su.step+turn)%su.reportSteps == 0
}

func (su *surge) startCall(id core.EndpointID, ca *caller) {
	ca.tk.RecordActivity(su.now())
	calls := su.running[id] + len(su.waiting[id])
	ca.tk.RecordLoad(su.now(), calls)
	if su.counts != nil {
		su.counts.Report(su.now(), ca.tk.Hash, calls)
	}
	if su.step-ca.arrived <= su.goal {
		su.inTime++
	} else {
		su.late++
	}
	su.running[id]++
	end := su.step + su.callSteps
	su.ending[end] = append(su.ending[end], ca)
}

// play creates callers at a rate, in calls per step, for a number of steps, and runs until all have
// been served or lost.
func (su *surge) play(rate float64, steps int) {
	ra := newRand(su.seed)
	due := 0.0
	for until := su.step + steps; su.step < until || su.inTime+su.late+su.lost < su.all; su.tick() {
		for _, ca := range su.returning[su.step] {
			su.send(ca, su.draw(ra))
		}
		if su.step >= until {
			continue
		}
		for due += 2 * rate * ra.Float64(); due >= 1; due-- {
			ca := &caller{arrived: su.step, router: ra.IntN(len(su.routers))}
			if su.customer != nil {
				ca.customer = su.customer(ra)
			}
			su.all++
			su.allBy[ca.customer]++
			su.send(ca, su.draw(ra))
		}
	}
}

// draw returns the chat of the next call.
func (su *surge) draw(ra testRand) uint64 {
	if su.chat == nil {
		return ra.Uint64() % 300
	}
	return su.chat(ra)
}

// Load pattern: a term starts, and for ten seconds the load is 1.3 times what the pool can run. If
// all calls are accepted, each queues behind those before it, and after some seconds nobody is
// served in time. The excess has to be refused at once and the rest served normally; refused
// callers should get a slot when they retry as told. 0.58 of the callers are served in time. With
// twice the slots given it is 0.15. If all callers are told to retry after 0.4 s it is 0.53, and
// 0.19 instead of 0.11 are refused twice.
func TestOverloadedPoolServesInTime(t *testing.T) {
	su := newSurge(4, 12, 48, 130)
	su.play(1.3*12*48/130, 1000)
	inTime, lost := float64(su.inTime)/float64(su.all), float64(su.lost)/float64(su.all)
	t.Logf("%d callers: in time %.3f, late %.3f, lost %.3f", su.all, inTime, float64(su.late)/float64(su.all), lost)
	if inTime < 0.5 {
		t.Errorf("%.3f of %d callers were served in time, want at least 0.5", inTime, su.all)
	}
	if lost > 0.13 {
		t.Errorf("%.3f of %d callers were refused twice, want at most 0.13", lost, su.all)
	}
}

// Load pattern: one customer's race begins. It sends two thirds of a load of 1.6 times what the
// pool can run, and nine others the rest. The others have to be served normally, and the excess is
// refused to the customer that surges.
func TestSurgingCustomerDoesNotHurtOthers(t *testing.T) {
	su := newSurge(4, 12, 48, 130)
	su.customer = func(ra testRand) core.CustomerID {
		if ra.Float64() < 0.667 {
			return "surging"
		}
		return core.CustomerID(fmt.Sprint("customer", ra.IntN(9)))
	}
	su.play(1.6*12*48/130, 1000)
	others, lost := su.all-su.allBy["surging"], su.lost-su.lostBy["surging"]
	t.Logf("lost: %d of %d of the surging customer's, %d of %d of the others'",
		su.lostBy["surging"], su.allBy["surging"], lost, others)
	if part := float64(lost) / float64(others); part > 0.05 {
		t.Errorf("%.3f of the other customers' calls were lost, want at most 0.05", part)
	}
	if part := float64(su.lostBy["surging"]) / float64(su.allBy["surging"]); part > 0.6 {
		t.Errorf("%.3f of the surging customer's calls were lost, want at most 0.6", part)
	}
}

// Guards against refusals below capacity: the load is uneven and stays just below what the pool can
// run, and bursts end before a first token would be late.
func TestLoadBelowCapacityIsNotRefused(t *testing.T) {
	su := newSurge(4, 12, 48, 130)
	su.play(0.9*12*48/130, 1000)
	if late := float64(su.late+su.lost) / float64(su.all); late > 0.02 {
		t.Errorf("%.3f of %d callers were late or refused, want at most 0.02", late, su.all)
	}
}

// Guards against counting the slots of dead engines: two of three engines are dead, and every
// router has noticed. The pool must not accept calls that the third cannot run.
func TestDeadEnginesHaveNoSlots(t *testing.T) {
	pl := newPlacer(1)
	register(pl, 3)
	for ix := range 2 {
		for range 3 {
			tried := []core.EndpointID{endpoint(1 - ix).ID, endpoint(2).ID}
			tk, rf := pl.Pick(begin, &place.Request{Pool: pool, Engine: true, Tried: tried})
			if rf == nil {
				tk.Done(begin, place.Unreachable)
			}
		}
	}
	taken := 0
	for {
		if _, rf := pl.Pick(begin, &place.Request{Pool: pool, Engine: true}); rf != nil {
			if want := "53 calls, limit 53 for this customer, 48 slots; 3 of 3 endpoints full"; rf.Basis != want {
				t.Errorf("refusal is based on %q, want %q", rf.Basis, want)
			}
			break
		}
		taken++
	}
	if taken < 48 || taken > 53 {
		t.Errorf("%d calls were accepted with 48 live slots, want 48 to 53", taken)
	}
}

// Guards against runs that cannot be repeated from their seeds: if a choice between equals depends
// on the order of a map, 0.09 to 0.14 of the callers are lost from run to run, and neither a test
// nor an incident can be reproduced.
func TestSimulationRepeatsFromItsSeed(t *testing.T) {
	var first string
	for run := range 5 {
		su := newSurge(4, 12, 48, 130)
		su.play(1.3*12*48/130, 400)
		fared := fmt.Sprintf("%d in time, %d late, %d lost of %d", su.inTime, su.late, su.lost, su.all)
		if run == 0 {
			first = fared
		}
		if fared != first {
			t.Errorf("run %d: %s; the first: %s", run, fared, first)
		}
	}
}
