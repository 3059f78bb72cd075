package place_test

import (
	"fmt"
	"math"
	"slices"
	"time"

	"almondrill/core"
	"almondrill/core/gauge"
	"almondrill/core/place"
)

// kind is a kind of requests to engines.
type kind struct {
	perStep        float64 // requests per step
	shared, own    core.Tokens
	output         core.Tokens
	goal, deadline time.Duration
	chats          int
}

var kinds = []kind{
	{0.51, 10512, 1300, 384, 600 * time.Millisecond, 10 * time.Second, 300},
	{0.97, 699, 130, 288, 400 * time.Millisecond, 8 * time.Second, 300},
	{1.23, 2041, 360, 24, 400 * time.Millisecond, 2500 * time.Millisecond, 100},
}

// simCall is a call at a simulated engine.
type simCall struct {
	kind            *kind
	tk              *place.Ticket
	arrived         int // step
	prefill, decode float64
	fetchUntil      int
	first           bool
	router          int
	// writtenUntil is until when the router writes to the caller.
	writtenUntil time.Time
}

// simEngine runs calls: prompts one after the other, and outputs in common steps that take longer
// the more calls there are.
type simEngine struct {
	calls  []*simCall
	cached map[string]int // step of the last use, by part
	factor float64
	number int
}

const (
	simEngines = 26
	simSlots   = 48
	simPrefill = 140.0 // tokens per ms
	simFetch   = 1000.0
	simStepMs  = 2.2
	// simEventTokens is the number of tokens in an event.
	simEventTokens = 12
	simPerCallMs   = 0.14
	simChunk       = 1024.0 // tokens of a prompt that are read between two steps
)

// uneven simulates routers and engines of uneven speed.
type uneven struct {
	routers []*place.Placer
	engines []*simEngine
	counts  gauge.Table
	step    int
	told    bool // engines report their speed
	// learns is set if routers record the events of their streams, chunked if engines read prompts in
	// chunks between the steps of running calls, which delays these.
	learns, chunked bool
	// writing is how long a quarter of the routers write each event of a stream to callers that read
	// slowly.
	writing time.Duration
	// lost returns whether a message from one router to another is lost.
	lost func(un *uneven, from, to int) bool
	// extra is set if calls begin at the first engine that the routers did not choose it for.
	extra bool
	// unlimited requests have no goals and deadlines.
	unlimited bool
	// factorOf returns the factor of an engine in this step, rate the load as a multiple of the
	// usual.
	factorOf func(engine, step int) float64
	rate     func(step int) float64
	ra       testRand
	lastAt   map[uint64]string // where each chat was last placed

	// queuedOut counts the calls that reached their deadline in an engine's queue, moved those that
	// went to another engine than the last of their chat.
	all, late, missed, queuedOut, moved, refused int
	// differ counts the choices that differ from those without any known speed, if compare is set.
	compare bool
	differ  int
	choices []core.EndpointID
}

func newUneven(routers int, told bool) *uneven {
	un := &uneven{
		told: told, ra: newRand(5), lastAt: map[uint64]string{},
		factorOf: func(int, int) float64 { return 1 }, rate: func(int) float64 { return 1 },
	}
	for ix := range routers {
		un.routers = append(un.routers, newSimRouter(ix, routers))
	}
	for ix := range simEngines {
		un.engines = append(un.engines, &simEngine{cached: map[string]int{}, factor: 1, number: ix})
	}
	return un
}

func newSimRouter(ix, routers int) *place.Placer {
	pl := &place.Placer{Zone: "a", Rand: newRand(uint64(ix)), CapFactor: 2, RouterCount: func() int { return routers }}
	register(pl, simEngines)
	return pl
}

func (un *uneven) now() time.Time { return begin.Add(time.Duration(un.step) * stepTime) }

func (un *uneven) engineOf(id core.EndpointID) *simEngine {
	var ix int
	if _, err := fmt.Sscanf(string(id), "e%d", &ix); err != nil {
		panic(err)
	}
	return un.engines[ix]
}

func (un *uneven) arrive(kd *kind, number uint64) {
	chatID := number<<32 | un.ra.Uint64()%uint64(kd.chats)
	router := un.ra.IntN(len(un.routers))
	pl := un.routers[router]
	rq := newRequest([]place.Part{{Hash: 1 + chatID, Tokens: kd.shared}, {Hash: un.ra.Uint64(), Tokens: kd.own}})
	if !un.unlimited {
		rq.GoalAt, rq.Deadline, rq.GapGoal, rq.MaxOutput = un.now().Add(kd.goal), un.now().Add(kd.deadline), 400*time.Millisecond, kd.output
	}
	rq.Route = fmt.Sprint(number)
	un.all++
	if endpoint, uncertain := pl.NeedsCount(un.now(), rq); uncertain {
		if calls, known := un.counts.AddCall(un.now(), endpoint); known {
			pl.ApplyCount(un.now(), endpoint, calls)
		}
	}
	var usual core.EndpointID
	if un.compare {
		usual = pl.ChoiceWithoutSpeeds(un.now(), rq)
	}
	tk, rf := pl.Pick(un.now(), rq)
	if rf != nil {
		un.late++
		un.refused++
		return
	}
	if un.compare && tk.Endpoint.ID != usual {
		un.differ++
	}
	un.choices = append(un.choices, tk.Endpoint.ID)
	un.place(kd, chatID, tk).router = router
}

// place adds a call to its engine, which reads the prompt unless it has or fetches it.
func (un *uneven) place(kd *kind, chatID uint64, tk *place.Ticket) *simCall {
	if last, known := un.lastAt[chatID]; known && last != tk.Endpoint.Addr {
		un.moved++
	}
	un.lastAt[chatID] = tk.Endpoint.Addr
	en, part := un.engineOf(tk.Endpoint.ID), fmt.Sprint(chatID)
	ca := &simCall{kind: kd, tk: tk, arrived: un.step, prefill: float64(kd.own), decode: float64(kd.output)}
	if _, has := en.cached[part]; !has {
		var from *simEngine
		for ix := range un.engines {
			if endpoint(ix).Addr == tk.FetchFrom {
				from = un.engines[ix]
			}
		}
		if from != nil && hasPart(from, part) {
			ca.fetchUntil = un.step + int(math.Ceil((20+float64(kd.shared)/simFetch)/10))
		} else {
			ca.prefill += float64(kd.shared)
		}
	}
	en.cached[part] = un.step
	en.calls = append(en.calls, ca)
	return ca
}

func hasPart(en *simEngine, part string) bool { _, has := en.cached[part]; return has }

// run advances an engine by a step.
func (un *uneven) run(en *simEngine) {
	running := min(len(en.calls), simSlots)
	budget := simPrefill * 10 / en.factor
	stepMs := simStepMs + simPerCallMs*float64(running)
	if un.chunked && en.reads(un.step) {
		stepMs += simChunk / simPrefill
		budget = simChunk * 10 / en.factor / stepMs
	}
	tokens := 10 / en.factor / stepMs
	rest := en.calls[:0]
	for ix, ca := range en.calls {
		late := un.step-ca.arrived > int(ca.kind.deadline/stepTime)
		switch {
		case late:
			un.missed++
			if ix >= simSlots {
				un.queuedOut++
			}
			ca.tk.Done(un.now(), place.Neutral)
			continue
		case ix >= simSlots || un.step < ca.fetchUntil:
		case ca.prefill > 0:
			used := min(budget, ca.prefill)
			ca.prefill -= used
			budget -= used
		default:
			if !ca.first {
				un.begin(en, ca)
			}
			events := int(ca.decode / simEventTokens)
			if ca.decode -= tokens; int(ca.decode/simEventTokens) < events {
				ca.tk.RecordActivity(un.now())
				un.recordEvent(ca)
			}
			if ca.decode <= 0 {
				ca.tk.Done(un.now(), place.Served)
				continue
			}
		}
		rest = append(rest, ca)
	}
	en.calls = rest
}

// addExtra begins a call at the first engine, whatever its router would choose.
func (un *uneven) addExtra() {
	router, rq := un.ra.IntN(len(un.routers)), newRequest([]place.Part{{Hash: un.ra.Uint64(), Tokens: 100}})
	rq.GapGoal = 400 * time.Millisecond
	for ix := 1; ix < simEngines; ix++ {
		rq.Tried = append(rq.Tried, endpoint(ix).ID)
	}
	if tk, rf := un.routers[router].Pick(un.now(), rq); rf == nil {
		un.engines[0].calls = append(un.engines[0].calls, &simCall{kind: &kinds[0], tk: tk, arrived: un.step, prefill: 100, decode: 288, router: router})
	}
}

// reads returns whether an engine reads a prompt in this step.
func (en *simEngine) reads(step int) bool {
	return slices.ContainsFunc(en.calls[:min(len(en.calls), simSlots)], func(ca *simCall) bool { return ca.prefill > 0 && step >= ca.fetchUntil })
}

// recordEvent records an event of a stream, unless the router still writes the last one.
func (un *uneven) recordEvent(ca *simCall) {
	if !un.learns {
		return
	}
	began, arrived := ca.writtenUntil, un.now()
	if arrived.Before(began) {
		arrived = began
	}
	ca.tk.RecordEvents(began, arrived, 1)
	if ca.writtenUntil = arrived; ca.router%4 == 3 {
		ca.writtenUntil = arrived.Add(un.writing)
	}
}

// begin sends the head of a response.
func (un *uneven) begin(en *simEngine, ca *simCall) {
	ca.first = true
	if un.step-ca.arrived > int(ca.kind.goal/stepTime) {
		un.late++
	}
	ca.tk.RecordActivity(un.now())
	ca.tk.RecordLoad(un.now(), len(en.calls))
	un.counts.Report(un.now(), ca.tk.Hash, len(en.calls))
	if un.told {
		ca.tk.RecordSpeed(un.now(), int(100*en.factor))
	}
}

// gossip sends what routers send each other in a step: 4 to 25 reports per second each.
func (un *uneven) gossip() {
	peers := len(un.routers) - 1
	interval := 4 + len(un.routers)/20
	for from, pl := range un.routers {
		if (un.step+from)%interval != 0 {
			continue
		}
		to := (from + 1 + (un.step/interval)%peers) % len(un.routers)
		if un.lost != nil && un.lost(un, from, to) {
			continue
		}
		other := un.routers[to]
		since := un.now().Add(-time.Duration(peers*interval) * stepTime)
		other.ApplyLoadReport(un.now(), fmt.Sprint("router", from), pl.LoadReport())
		other.ApplyMoves(pl.Moves(un.now(), since))
		other.ApplySpeeds(un.now(), 0, place.SpeedsWithin(pl.Speeds(un.now()), un.now().Sub(since)))
		if (un.step+from)%60 == 0 {
			other.ApplyReadings(un.now(), 0, pl.Readings(un.now()))
		}
	}
}

func (un *uneven) play(steps int) {
	due := make([]float64, len(kinds))
	for until := un.step + steps; un.step < until; un.step++ {
		for ix, en := range un.engines {
			en.factor = un.factorOf(ix, un.step)
			un.run(en)
		}
		if un.extra && un.step%2 == 0 {
			un.addExtra()
		}
		un.gossip()
		for ix := range kinds {
			for due[ix] += un.rate(un.step) * kinds[ix].perStep * 2 * un.ra.Float64(); due[ix] >= 1; due[ix]-- {
				un.arrive(&kinds[ix], uint64(ix))
			}
		}
	}
}

// measure plays after the counts are reset.
func (un *uneven) measure(steps int) {
	un.all, un.late, un.missed, un.queuedOut, un.moved, un.refused, un.differ = 0, 0, 0, 0, 0, 0, 0
	un.play(steps)
}

func (un *uneven) String() string {
	return fmt.Sprintf("%d calls: late %d, missed %d, of these in a queue %d, moved %d", un.all, un.late, un.missed, un.queuedOut, un.moved)
}
