package place_test

import (
	"fmt"
	"math"
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
}

// simEngine runs calls: prompts one after the other, and outputs in common steps that take longer
// the more calls there are.
type simEngine struct {
	calls  []*simCall
	cached map[string]int // step of the last use, by part
	factor float64
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
)

// uneven simulates routers and engines of uneven speed.
type uneven struct {
	routers []*place.Placer
	engines []*simEngine
	counts  gauge.Table
	step    int
	told    bool // engines report their speed
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
	all, late, missed, queuedOut, moved int
	choices                             []core.EndpointID
}

func newUneven(routers int, told bool) *uneven {
	un := &uneven{
		told: told, ra: newRand(5), lastAt: map[uint64]string{},
		factorOf: func(int, int) float64 { return 1 }, rate: func(int) float64 { return 1 },
	}
	for ix := range routers {
		pl := &place.Placer{Zone: "a", Rand: newRand(uint64(ix)), CapFactor: 2, RouterCount: func() int { return routers }}
		register(pl, simEngines)
		un.routers = append(un.routers, pl)
	}
	for range simEngines {
		un.engines = append(un.engines, &simEngine{cached: map[string]int{}, factor: 1})
	}
	return un
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
	pl := un.routers[un.ra.IntN(len(un.routers))]
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
	tk, rf := pl.Pick(un.now(), rq)
	if rf != nil {
		un.late++
		return
	}
	un.choices = append(un.choices, tk.Endpoint.ID)
	un.place(kd, chatID, tk)
}

// place adds a call to its engine, which reads the prompt unless it has or fetches it.
func (un *uneven) place(kd *kind, chatID uint64, tk *place.Ticket) {
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
}

func hasPart(en *simEngine, part string) bool { _, has := en.cached[part]; return has }

// run advances an engine by a step.
func (un *uneven) run(en *simEngine) {
	running := min(len(en.calls), simSlots)
	budget := simPrefill * 10 / en.factor
	tokens := 10 / en.factor / (simStepMs + simPerCallMs*float64(running))
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
	un.all, un.late, un.missed, un.queuedOut, un.moved = 0, 0, 0, 0, 0
	un.play(steps)
}

func (un *uneven) String() string {
	return fmt.Sprintf("%d calls: late %d, missed %d, of these in a queue %d, moved %d", un.all, un.late, un.missed, un.queuedOut, un.moved)
}
