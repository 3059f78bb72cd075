package crash_test

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"almondrill/core"
	"almondrill/core/crash"
)

// A fleet simulates routers in front of endpoints, and requests that crash these, in virtual time.
// Messages between routers take milliseconds and some are lost. Callers retry what failed, as new
// attempts through any router.

// pattern is what crashes endpoints in a fleet.
type pattern struct {
	name string
	// causes is the number of crashing requests, copies the number of attempts at each that are sent at
	// a time, and interval the time between them.
	causes, copies int
	interval       time.Duration
	// crashAfter is how long a crashing request runs.
	crashAfter time.Duration
	// outage is the fraction of the endpoints that crash within one second, caused by no request.
	outage float64
	// hot is the fraction of the harmless requests that are identical.
	hot float64
	// lossRate is the fraction of the messages that are lost.
	lossRate float64
	// inParts is set if the causes are parts of prompts, each in requests that are all different. Harmless
	// requests have prompts too, then; share is the fraction of them that share the first part with the
	// causes' requests.
	inParts bool
	share   float64
	// length is the number of parts in all prompts, 0 for two. The causes' stand anywhere in theirs, among
	// the parts of a session that harmless requests have.
	length int
}

var patterns = []pattern{
	{name: "one", causes: 1, copies: 1, interval: 500 * time.Millisecond, crashAfter: 100 * time.Millisecond},
	{name: "late", causes: 1, copies: 1, interval: 500 * time.Millisecond, crashAfter: 900 * time.Millisecond},
	{name: "parallel", causes: 1, copies: 4, interval: 2500 * time.Millisecond, crashAfter: 100 * time.Millisecond},
	{name: "three", causes: 3, copies: 1, interval: 700 * time.Millisecond, crashAfter: 200 * time.Millisecond},
	{name: "lossy", causes: 1, copies: 1, interval: 500 * time.Millisecond, crashAfter: 100 * time.Millisecond, lossRate: 0.1},
	{name: "outage", outage: 0.34},
	{name: "outage, hot", outage: 0.34, hot: 0.5},
	{name: "outage, one", causes: 1, copies: 1, interval: 500 * time.Millisecond, crashAfter: 100 * time.Millisecond, outage: 0.34, hot: 0.3},
	{name: "part", causes: 1, copies: 1, interval: 500 * time.Millisecond, crashAfter: 100 * time.Millisecond, inParts: true, share: 0.3},
	{name: "part, rare", causes: 1, copies: 1, interval: 500 * time.Millisecond, crashAfter: 100 * time.Millisecond, inParts: true, share: 0.01},
	{name: "part, fast", causes: 1, copies: 6, interval: 500 * time.Millisecond, crashAfter: 100 * time.Millisecond, inParts: true, share: 0.1},
	{name: "part, lossy", causes: 1, copies: 1, interval: 500 * time.Millisecond, crashAfter: 100 * time.Millisecond, inParts: true, share: 0.1, lossRate: 0.1},
	{name: "parts, two", causes: 2, copies: 1, interval: 700 * time.Millisecond, crashAfter: 100 * time.Millisecond, inParts: true, share: 0.1},
	{name: "part, outage", causes: 1, copies: 1, interval: 500 * time.Millisecond, crashAfter: 100 * time.Millisecond, inParts: true, share: 0.1, outage: 0.34},
	{name: "part, long", causes: 1, copies: 1, interval: 500 * time.Millisecond, crashAfter: 100 * time.Millisecond, inParts: true, share: 0.3, length: 20},
	{name: "part, very long", causes: 1, copies: 1, interval: 700 * time.Millisecond, crashAfter: 100 * time.Millisecond, inParts: true, share: 0.3, length: 99},
	{name: "parts, outage only", outage: 0.34, inParts: true, share: 0.1},
}

const (
	fleetRouters   = 6
	fleetEndpoints = 9
	fleetDuration  = 60 * time.Second
	// endpointRestart is how long a crashed endpoint is down.
	endpointRestart = 3 * time.Second
	// harmlessInterval is the mean time between harmless requests of the fleet. Each runs for 0.5 s on
	// average, so that an endpoint has some six at a time.
	harmlessInterval = 9 * time.Millisecond
	// maxRetries is how often a caller retries a failed request, each time after retryDelay.
	maxRetries = 3
	retryDelay = 300 * time.Millisecond
	// lateAfter is how long after the last crash that it is allowed a cause may still be sent without being
	// counted: the third by a request, the fifth by a part.
	lateAfter = 3 * time.Second
	// maxLateSends is how many later ones are allowed in all.
	maxLateSends = 3
	// allowedPartCrashes is the number of crashes by a part after which requests with it are late.
	allowedPartCrashes = 5
	// promptTime is the mean time in which a harmless request's prompt is read: then its answer begins.
	promptTime = 60 * time.Millisecond
	// causesFrom is when requests that crash endpoints are sent first.
	causesFrom = 5 * time.Second
	// settledFrom is when sound requests must be served as before: 2 x lateAfter after the last crash
	// that the causes are allowed.
	settledFrom = 20 * time.Second
)

// firstPart is the first part of the causes' prompts, which harmless requests share.
var firstPart = crash.PartFingerprint(1)

type event struct {
	at time.Duration
	do func()
}

type events []event

func (ev events) Len() int           { return len(ev) }
func (ev events) Less(a, b int) bool { return ev[a].at < ev[b].at }
func (ev events) Swap(a, b int)      { ev[a], ev[b] = ev[b], ev[a] }
func (ev *events) Push(x any)        { *ev = append(*ev, x.(event)) }
func (ev *events) Pop() any {
	last := (*ev)[len(*ev)-1]
	*ev = (*ev)[:len(*ev)-1]
	return last
}

type attempt struct {
	fp          core.Fingerprint
	parts       []core.Fingerprint
	deadly      core.Fingerprint // the one of a cause's parts that crashes endpoints
	begun       bool
	first       bool // the first attempt of its caller
	router      int
	cause       bool
	retriesLeft int
	finished    bool
}

type fleet struct {
	pattern
	ra      *rand.Rand
	now     time.Duration
	queue   events
	routers []*crash.Table
	store   map[core.Fingerprint]core.Quarantine
	rev     core.Version
	// running holds the attempts by endpoint, nil while it is down; starts counts its starts.
	running [][]*attempt
	starts  []uint64

	// The fields below record what became of the requests.
	crashes map[core.Fingerprint]int
	// countedFrom is when a cause has crashed as many endpoints as it may.
	countedFrom map[core.Fingerprint]time.Duration
	lateSends   map[core.Fingerprint]int
	harmless    int
	bystanders  map[core.Fingerprint]bool
	// firstRefused is when a harmless request was first refused, firstPassed when it was first let
	// through after that.
	firstRefused map[core.Fingerprint]time.Duration
	firstPassed  map[core.Fingerprint]time.Duration
	// sharing counts the harmless requests that share the first part, before the causes and after
	// settledFrom, and those of them whose answers began at the first attempt.
	sharing, sharingBegun [2]int
	// ended counts the crashes of endpoints, ownerNotices the notices to owners.
	ended, ownerNotices int
}

func newFleet(pa pattern, seed uint64) *fleet {
	fl := &fleet{
		pattern: pa, ra: rand.New(rand.NewPCG(seed, 1)), store: map[core.Fingerprint]core.Quarantine{},
		starts: make([]uint64, fleetEndpoints), crashes: map[core.Fingerprint]int{}, countedFrom: map[core.Fingerprint]time.Duration{},
		lateSends: map[core.Fingerprint]int{}, bystanders: map[core.Fingerprint]bool{}, firstRefused: map[core.Fingerprint]time.Duration{},
		firstPassed: map[core.Fingerprint]time.Duration{},
	}
	for range fleetRouters {
		fl.routers = append(fl.routers, &crash.Table{})
	}
	for range fleetEndpoints {
		fl.running = append(fl.running, []*attempt{})
	}
	return fl
}

func (fl *fleet) schedule(after time.Duration, do func()) {
	heap.Push(&fl.queue, event{fl.now + after, do})
}

func (fl *fleet) run() {
	fl.schedule(0, fl.sendHarmless)
	for ix := range fl.causes {
		fl.schedule(causesFrom, func() { fl.sendCause(core.Fingerprint{0xff, byte(ix)}) })
	}
	if fl.outage > 0 {
		fl.schedule(10*time.Second, fl.crashSome)
	}
	fl.schedule(time.Second, fl.tick)
	for len(fl.queue) > 0 && fl.queue[0].at < fleetDuration {
		ev := heap.Pop(&fl.queue).(event)
		fl.now = ev.at
		ev.do()
	}
}

func (fl *fleet) time() time.Time { return start.Add(fl.now) }

// sendHarmless sends a harmless request and schedules the next one.
func (fl *fleet) sendHarmless() {
	fl.schedule(time.Duration(fl.ra.ExpFloat64()*float64(harmlessInterval)), fl.sendHarmless)
	fl.harmless++
	fp := core.Fingerprint{1, byte(fl.harmless), byte(fl.harmless >> 8), byte(fl.harmless >> 16)}
	if fl.ra.Float64() < fl.hot {
		fp = core.Fingerprint{2}
	}
	at := &attempt{fp: fp, retriesLeft: maxRetries, first: true}
	if fl.inParts {
		at.parts = fl.harmlessParts()
	}
	fl.countSharing(at, &fl.sharing)
	fl.send(at)
}

// harmlessParts draws the shared parts of a harmless prompt: one of a few first parts, and one of a session.
func (fl *fleet) harmlessParts() []core.Fingerprint {
	first := firstPart
	if fl.ra.Float64() >= fl.share {
		first = crash.PartFingerprint(uint64(2 + fl.ra.IntN(20)))
	}
	return append([]core.Fingerprint{first}, fl.sessionParts(max(1, fl.length-1))...)
}

// sessionParts draws a session and returns its first parts.
func (fl *fleet) sessionParts(count int) []core.Fingerprint {
	session := fl.ra.IntN(300)
	var parts []core.Fingerprint
	for ix := range count {
		parts = append(parts, crash.PartFingerprint(uint64(1000+session)|uint64(ix)<<32))
	}
	return parts
}

// causeParts returns the parts of a cause's prompt.
func (fl *fleet) causeParts(deadly core.Fingerprint) []core.Fingerprint {
	if fl.length <= 2 {
		return []core.Fingerprint{firstPart, deadly}
	}
	parts := append([]core.Fingerprint{firstPart}, fl.sessionParts(fl.length-2)...)
	return slices.Insert(parts, 1+fl.ra.IntN(len(parts)), deadly)
}

// countSharing counts a first attempt that shares the first part with the causes' requests.
func (fl *fleet) countSharing(at *attempt, counts *[2]int) {
	if !at.first || len(at.parts) == 0 || at.parts[0] != firstPart {
		return
	}
	if fl.now < causesFrom {
		counts[0]++
	} else if fl.now > settledFrom {
		counts[1]++
	}
}

// sendCause sends a crashing request, again and again until the fleet ends.
func (fl *fleet) sendCause(fp core.Fingerprint) {
	fl.schedule(fl.interval, func() { fl.sendCause(fp) })
	for range fl.copies {
		if !fl.inParts {
			fl.send(&attempt{fp: fp, cause: true})
			continue
		}
		fl.harmless++
		deadly := crash.PartFingerprint(0xdead<<16 | uint64(fp[1]))
		fl.send(&attempt{fp: core.Fingerprint{3, byte(fl.harmless), byte(fl.harmless >> 8), byte(fl.harmless >> 16)}, parts: fl.causeParts(deadly), cause: true, deadly: deadly})
	}
}

// culprit returns what crashes the endpoints that run a cause.
func (at *attempt) culprit() core.Fingerprint {
	if len(at.parts) > 0 {
		return at.deadly
	}
	return at.fp
}

// begin records that an answer has begun and goes on.
func (fl *fleet) begin(at *attempt) {
	if at.finished || at.begun {
		return
	}
	at.begun = true
	fl.countSharing(at, &fl.sharingBegun)
	fl.apply(at.router, fl.routers[at.router].Succeeded(fl.time(), at.parts...))
}

// send sends an attempt to a router, and on to an endpoint if the router lets it through.
func (fl *fleet) send(at *attempt) {
	at.router = fl.ra.IntN(fleetRouters)
	ve := fl.routers[at.router].Check(fl.time(), append([]core.Fingerprint{at.fp}, at.parts...)...)
	if ve.Quarantined && !(ve.Trial && fl.winTrial(at.router, ve.Entry)) {
		if !at.cause && fl.firstRefused[at.fp] == 0 {
			fl.firstRefused[at.fp] = fl.now
		}
		if !at.cause {
			fl.schedule(ve.RetryAfter+time.Second, func() { fl.send(&attempt{fp: at.fp, parts: at.parts, retriesLeft: at.retriesLeft}) })
		}
		return
	}
	if fl.firstRefused[at.fp] != 0 && fl.firstPassed[at.fp] == 0 {
		fl.firstPassed[at.fp] = fl.now
	}
	endpoint := fl.ra.IntN(fleetEndpoints)
	for ix := 0; fl.running[endpoint] == nil; ix++ {
		if ix > 4*fleetEndpoints {
			return
		}
		endpoint = fl.ra.IntN(fleetEndpoints)
	}
	if from, known := fl.countedFrom[at.culprit()]; known && at.cause && fl.now > from+lateAfter {
		fl.lateSends[at.culprit()]++
	}
	fl.running[endpoint] = append(fl.running[endpoint], at)
	duration := time.Duration(fl.ra.ExpFloat64() * float64(500*time.Millisecond))
	if at.cause {
		duration = fl.crashAfter
	} else if len(at.parts) > 0 {
		prompt := time.Duration(fl.ra.ExpFloat64() * float64(promptTime))
		fl.schedule(prompt, func() { fl.begin(at) })
		duration += prompt
	}
	fl.schedule(duration, func() { fl.finish(endpoint, at) })
}

// winTrial writes a further trial to the store if its entry is the one that the router knows.
func (fl *fleet) winTrial(router int, en core.Quarantine) bool {
	if fl.store[en.Request].Rev != en.Rev {
		return false
	}
	en.Trials++
	fl.writeEntry(en)
	fl.routers[router].EntryStored(fl.time(), fl.store[en.Request])
	return true
}

// writeEntry puts an entry into the store; all routers learn of it within 0.3 s.
func (fl *fleet) writeEntry(en core.Quarantine) {
	fl.rev++
	en.Rev = fl.rev
	fl.store[en.Request] = en
	for ix, ta := range fl.routers {
		fl.schedule(time.Duration(fl.ra.IntN(300))*time.Millisecond, func() { fl.apply(ix, ta.EntryStored(fl.time(), en)) })
	}
}

// finish ends an attempt: it crashes its endpoint, or succeeds.
func (fl *fleet) finish(endpoint int, at *attempt) {
	switch {
	case at.finished:
	case at.cause:
		fl.crash(endpoint)
	default:
		at.finished = true
		list := fl.running[endpoint]
		for ix := range list {
			if list[ix] == at {
				fl.running[endpoint] = append(list[:ix:ix], list[ix+1:]...)
				break
			}
		}
		fl.apply(at.router, fl.routers[at.router].Succeeded(fl.time(), append([]core.Fingerprint{at.fp}, at.parts...)...))
	}
}

func (fl *fleet) crashSome() {
	for endpoint := range fleetEndpoints {
		if fl.ra.Float64() < fl.outage {
			fl.schedule(time.Duration(fl.ra.IntN(1000))*time.Millisecond, func() { fl.crash(endpoint) })
		}
	}
}

// crash ends an endpoint with all that runs there. Each router notices a few ms later.
func (fl *fleet) crash(endpoint int) {
	ran := fl.running[endpoint]
	if ran == nil {
		return
	}
	fl.running[endpoint] = nil
	fl.starts[endpoint]++
	fl.ended++
	id := uint64(endpoint)<<32 | fl.starts[endpoint]
	fl.schedule(endpointRestart, func() { fl.running[endpoint] = []*attempt{} })
	byRouter := map[int][]core.Fingerprint{}
	once := map[core.Fingerprint]bool{}
	for _, at := range ran {
		at.finished = true
		byRouter[at.router] = append(byRouter[at.router], at.fp)
		if !at.begun {
			byRouter[at.router] = append(byRouter[at.router], at.parts...)
		}
		if at.cause {
			fl.countCrash(at, once)
			continue
		}
		fl.bystanders[at.fp] = true
		if at.retriesLeft > 0 {
			fl.schedule(retryDelay, func() { fl.send(&attempt{fp: at.fp, parts: at.parts, retriesLeft: at.retriesLeft - 1}) })
		}
	}
	for router := range fleetRouters {
		if requests := byRouter[router]; len(requests) > 0 {
			fl.schedule(time.Duration(2+fl.ra.IntN(10))*time.Millisecond, func() {
				fl.apply(router, fl.routers[router].EndpointCrashed(fl.time(), id, requests))
			})
		}
	}
}

// countCrash counts a crash for its culprit, once.
func (fl *fleet) countCrash(at *attempt, once map[core.Fingerprint]bool) {
	culprit, allowed := at.culprit(), 3
	if len(at.parts) > 0 {
		allowed = allowedPartCrashes
	}
	if once[culprit] {
		return
	}
	once[culprit] = true
	if fl.crashes[culprit]++; fl.crashes[culprit] == allowed {
		fl.countedFrom[culprit] = fl.now
	}
}

// apply sends and stores what follows from a change at a router.
func (fl *fleet) apply(router int, ef crash.Effects) {
	for _, no := range ef.ToOwners {
		fl.ownerNotices += 2
		owner := int(no.Request[1]) % fleetRouters
		fl.sendNotice(router, owner, no)
		fl.sendNotice(router, (owner+1)%fleetRouters, no)
	}
	for _, no := range ef.ToAll {
		for to := range fleetRouters {
			fl.sendNotice(router, to, no)
		}
		if no.Kind == core.NoticeQuarantined {
			fl.schedule(50*time.Millisecond, func() { fl.storeDecisions(router, false) })
		}
	}
	for _, en := range ef.Remove {
		if fl.store[en.Request].Rev == en.Rev {
			delete(fl.store, en.Request)
			fl.rev++
			rev := fl.rev
			for ix, ta := range fl.routers {
				fl.schedule(time.Duration(fl.ra.IntN(300))*time.Millisecond, func() { fl.apply(ix, ta.EntryRemoved(en.Request, rev)) })
			}
		}
	}
}

func (fl *fleet) sendNotice(from, to int, no core.CrashNotice) {
	if from == to || fl.ra.Float64() < fl.lossRate {
		return
	}
	fl.schedule(time.Duration(1+fl.ra.IntN(5))*time.Millisecond, func() { fl.apply(to, fl.routers[to].ApplyNotice(fl.time(), no)) })
}

// tick stores decisions that are not in the store yet.
func (fl *fleet) tick() {
	fl.schedule(time.Second, fl.tick)
	for ix := range fl.routers {
		fl.storeDecisions(ix, true)
	}
}

func (fl *fleet) storeDecisions(router int, broadcast bool) {
	unstored, ef := fl.routers[router].Tick(fl.time())
	fl.apply(router, ef)
	for _, de := range unstored {
		if broadcast {
			fl.apply(router, crash.Effects{ToAll: []core.CrashNotice{de.Notice}})
		}
		if fl.store[de.Entry.Request].Rev == 0 {
			fl.writeEntry(de.Entry)
		}
	}
}
