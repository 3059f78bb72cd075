package place_test

import (
	"fmt"
	"math"
	"slices"
	"time"

	"almondrill/core"
	"almondrill/core/gauge"
	"almondrill/core/outlen"
	"almondrill/core/place"
)

// mixKind is a kind of requests of a mixed load, with mean sizes.
type mixKind struct {
	name                string
	perSecond           float64
	shared, own, events float64
	goal, deadline      time.Duration
	chats               uint64
}

// mixed is a mix of long prompts, short prompts and short responses.
var mixed = []mixKind{
	{"long", 102, 10512, 1300, 32, 600 * time.Millisecond, 10 * time.Second, 2000},
	{"short", 194, 699, 130, 24, 400 * time.Millisecond, 8 * time.Second, 10000},
	{"brief", 246, 2041, 360, 2, 400 * time.Millisecond, 2500 * time.Millisecond, 2000},
}

const (
	memoryTick     = 5 * time.Millisecond
	mixMemory      = 333000
	tokensPerEvent = 12
	// prefillPerMs and fetchPerMs are tokens per ms. A step takes stepMs, and callStepMs for each
	// running stream.
	prefillPerMs, fetchPerMs = 140.0, 1000.0
	stepMs, callStepMs       = 2.2, 0.05
)

// stream is a request of the mix, and its state at an engine.
type stream struct {
	*mixKind
	router              int
	arrived             time.Time
	parts               []place.Part
	hint, limit, output core.Tokens
	wait                *place.MemoryWait
	tk                  *place.Ticket
	expected            core.Tokens
	retried, first      bool
	left, produced      float64 // tokens to prefill, tokens of the response
}

// memoryEngine runs streams in steps: each running stream gets a token a step, prefill delays the
// steps, and a lack of memory preempts the stream that began last.
type memoryEngine struct {
	running, waiting []*stream
	cached           map[uint64]bool
	calls            map[uint64]int // by part
	used             float64        // tokens of running streams
	slow             bool
}

// hold adds a stream to the memory in use, or removes it if by is -1.
func (en *memoryEngine) hold(sm *stream, by int) {
	en.used += float64(by) * sm.produced
	for _, pa := range sm.parts {
		before := en.calls[pa.Hash]
		if en.calls[pa.Hash] += by; before == 0 || before+by == 0 {
			en.used += float64(by) * float64(pa.Tokens)
		}
		if before+by == 0 {
			delete(en.calls, pa.Hash)
		}
	}
}

// mix is a run of the mixed load.
type mix struct {
	ra, load  testRand // of callers' decisions, of the load
	now       time.Time
	routers   []*place.Placer
	lengths   []*outlen.Estimator
	owners    gauge.Table
	engines   map[core.EndpointID]*memoryEngine
	order     []core.EndpointID
	returning map[int64][]*stream
	waits     []*stream
	memory    core.Tokens // 0 for a run that does not consider memory
	// preempted counts streams, blocked the ticks that an engine with a free slot could not start
	// a stream for lack of memory, placedWait the requests that waited at a router and were placed.
	preempted, blocked, placedWait int
	inTime, late, lost             map[string]int
	sent                           map[string]int
	refused                        map[core.Reason]int
}

func newMix(seed uint64, routers, engines int, considersMemory bool) *mix {
	mi := &mix{
		ra: newRand(seed), load: newRand(seed + 1000), now: begin, engines: map[core.EndpointID]*memoryEngine{}, returning: map[int64][]*stream{},
		inTime: map[string]int{}, late: map[string]int{}, lost: map[string]int{}, sent: map[string]int{}, refused: map[core.Reason]int{},
	}
	if considersMemory {
		mi.memory = mixMemory
	}
	for ix := range routers {
		pl := &place.Placer{Zone: core.Zone(fmt.Sprint("z", ix%3)), Rand: newRand(seed + uint64(ix)), CapFactor: 2, RouterCount: func() int { return routers }}
		for ep := range engines {
			en := endpoint(ep)
			en.Zone = core.Zone(fmt.Sprint("z", ep%3))
			pl.Register(begin.Add(-time.Minute), en)
			mi.engines[en.ID] = &memoryEngine{cached: map[uint64]bool{}, calls: map[uint64]int{}}
		}
		mi.routers = append(mi.routers, pl)
		mi.lengths = append(mi.lengths, &outlen.Estimator{})
	}
	for ep := range engines {
		mi.order = append(mi.order, endpoint(ep).ID)
	}
	return mi
}

// tail draws a log-normal factor with mean 1.
func tail(ra testRand, sigma float64) float64 {
	return math.Exp(sigma*ra.NormFloat64() - sigma*sigma/2)
}

func (mi *mix) newStream(ki *mixKind, router int) *stream {
	id := mi.load.Uint64() % ki.chats
	chat := uint64(ki.perSecond)*1_000_000 + id
	output := math.Ceil(ki.events * tokensPerEvent * min(3, tail(mi.load, 0.6)))
	sm := &stream{
		mixKind: ki, router: router, arrived: mi.now, output: core.Tokens(output), limit: core.Tokens(3 * ki.events * tokensPerEvent),
		hint: core.Tokens(output * tail(mi.load, 0.4)),
	}
	sm.parts = []place.Part{
		{Hash: chat, Tokens: core.Tokens(ki.shared * tail(newRand(chat), 1))},
		{Hash: mi.load.Uint64(), Tokens: core.Tokens(ki.own * tail(mi.load, 0.7))},
	}
	return sm
}

func (mi *mix) send(sm *stream) {
	pl := mi.routers[sm.router]
	rq := newRequest(sm.parts)
	rq.EngineMemory = mixMemory
	if mi.memory > 0 {
		sm.expected = mi.lengths[sm.router].Expect(sm.name, outlen.Request{Pool: pool, Hint: sm.hint, Max: sm.limit})
		rq.ExpectedOutput = sm.expected
	}
	if endpoint, uncertain := pl.NeedsCount(mi.now, rq); uncertain {
		if calls, known := mi.owners.AddCall(mi.now, endpoint); known {
			pl.ApplyCount(mi.now, endpoint, calls)
		}
	}
	tk, rf := pl.Pick(mi.now, rq)
	if rf != nil && rf.Reason == core.ReasonMemoryFull {
		if sm.wait = pl.AwaitMemory(mi.now, rq, mi.now.Add(sm.goal/4)); sm.wait != nil {
			mi.waits = append(mi.waits, sm)
			return
		}
	}
	mi.decided(sm, tk, rf)
}

// decided sends a stream to its engine, or refuses it.
func (mi *mix) decided(sm *stream, tk *place.Ticket, rf *core.Refusal) {
	if rf == nil {
		sm.tk = tk
		en := mi.engines[tk.Endpoint.ID]
		en.waiting = append(en.waiting, sm)
		return
	}
	mi.refused[rf.Reason]++
	after := time.Duration((0.6 + 0.8*mi.ra.Float64()) * float64(rf.RetryAfter))
	left := sm.arrived.Add(sm.deadline).Sub(mi.now)
	if sm.retried || after > left/3 {
		mi.lost[sm.name]++
		return
	}
	sm.retried = true
	at := mi.now.Add(after).UnixNano() / int64(memoryTick)
	mi.returning[at+1] = append(mi.returning[at+1], sm)
}

func (mi *mix) checkWaits() {
	for _, pl := range mi.routers {
		pl.CheckMemory(mi.now, pool)
	}
	mi.waits = slices.DeleteFunc(mi.waits, func(sm *stream) bool {
		select {
		case <-sm.wait.Done:
			if sm.wait.Ticket != nil {
				mi.placedWait++
			}
			mi.decided(sm, sm.wait.Ticket, sm.wait.Refusal)
			return true
		default:
			return false
		}
	})
}

// start moves waiting streams into free slots.
func (mi *mix) start(en *memoryEngine) {
	for len(en.waiting) > 0 && len(en.running) < 48 {
		sm := en.waiting[0]
		sm.left = sm.produced
		for _, pa := range sm.parts {
			if !en.cached[pa.Hash] {
				sm.left += float64(pa.Tokens)
			}
		}
		if !sm.first { // a fetch takes part of the time of a prefill
			sm.left -= (1 - prefillPerMs/fetchPerMs) * min(sm.left, float64(sm.tk.FetchTokens))
		}
		if en.hold(sm, 1); en.used > mixMemory {
			en.hold(sm, -1)
			mi.blocked++
			return
		}
		for _, pa := range sm.parts {
			en.cached[pa.Hash] = true
		}
		en.running = append(en.running, sm)
		en.waiting = en.waiting[1:]
		if !sm.first {
			calls := len(en.running) + len(en.waiting)
			sm.tk.RecordLoad(mi.now, calls)
			mi.owners.Report(mi.now, sm.tk.Hash, calls)
		}
	}
}

// run runs an engine for a tick.
func (mi *mix) run(id core.EndpointID) {
	en := mi.engines[id]
	mi.start(en)
	for en.used > mixMemory {
		last := len(en.running) - 1
		en.hold(en.running[last], -1)
		en.waiting = slices.Insert(en.waiting, 0, en.running[last])
		en.running = en.running[:last]
		mi.preempted++
	}
	ms := float64(memoryTick) / float64(time.Millisecond)
	if en.slow {
		ms /= 2.5
	}
	for _, sm := range en.running {
		read := min(sm.left, prefillPerMs*ms)
		sm.left -= read
		ms -= 0.9 * read / prefillPerMs
	}
	tokens := ms / (stepMs + callStepMs*float64(len(en.running)))
	en.running = slices.DeleteFunc(en.running, func(sm *stream) bool {
		if sm.left > 0 {
			return false
		}
		sm.produced += tokens
		en.used += tokens
		if !sm.first && sm.produced >= 1 {
			sm.first = true
			sm.tk.RecordActivity(mi.now)
			if mi.now.Sub(sm.arrived) <= sm.goal {
				mi.inTime[sm.name]++
			} else {
				mi.late[sm.name]++
			}
		}
		if mi.memory > 0 && core.Tokens(sm.produced) > sm.expected {
			sm.tk.RecordOutput(mi.now, core.Tokens(sm.produced))
		}
		if sm.produced < float64(sm.output) {
			return false
		}
		en.hold(sm, -1)
		mi.finish(sm)
		return true
	})
}

func (mi *mix) finish(sm *stream) {
	events := int(math.Ceil(float64(sm.output) / tokensPerEvent))
	mi.lengths[sm.router].Record(sm.name, outlen.Request{Pool: pool, Hint: sm.hint, Max: sm.limit}, sm.expected, events)
	sm.tk.Done(mi.now, place.Served)
}

// play runs the load for a time.
func (mi *mix) play(span time.Duration, factor float64) {
	from := mi.now
	for tick := 0; mi.now.Sub(from) < span; tick++ {
		mi.now = mi.now.Add(memoryTick)
		seconds := mi.now.Sub(begin).Seconds()
		for _, sm := range mi.returning[mi.now.UnixNano()/int64(memoryTick)] {
			mi.send(sm)
		}
		for ix := range mixed {
			ki := &mixed[ix]
			for zone := range 3 {
				rate := factor * ki.perSecond * float64(len(mi.order)) / 52 / 3 * (1 + 0.55*math.Sin(2*math.Pi*(seconds/13+float64(zone)/3)))
				if mi.load.Float64() < rate*memoryTick.Seconds()/3 { // in bursts of three
					for range 3 {
						router := zone + 3*mi.load.IntN(len(mi.routers)/3)
						mi.sent[ki.name]++
						mi.send(mi.newStream(ki, router))
					}
				}
			}
		}
		for ix, id := range mi.order {
			if (tick+7*ix)%120 == 0 {
				mi.engines[id].slow = mi.load.Float64() < 0.15
			}
			mi.run(id)
		}
		mi.checkWaits()
		every := 40 * len(mi.routers) / 12 // the messages of a router are bounded
		for from, pl := range mi.routers {
			for to, other := range mi.routers {
				if from != to && (tick+3*from+7*to)%every == 0 {
					calls, memory := pl.LoadReportWithMemory()
					other.ApplyLoadReportWithMemory(mi.now, fmt.Sprint("router", from), calls, memory)
					other.ApplyReadings(mi.now, 0, pl.Readings(mi.now))
				}
			}
		}
	}
}
