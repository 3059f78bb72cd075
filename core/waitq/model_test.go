package waitq_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"almondrill/core/demand"
	"almondrill/core/place"
	"almondrill/core/retry"
	"almondrill/core/waitq"
)

const (
	toEndpoint = 900 * time.Microsecond // one way between router and endpoint
	toCaller   = 3 * time.Millisecond   // one way between caller and router
	ownerDelay = time.Millisecond       // of a message to or from the owner
	slots      = 6                      // of an endpoint
	queueCalls = 24                     // behind the slots of an endpoint
	work       = 30 * time.Millisecond
	goal       = 150 * time.Millisecond
	deadline   = 2500 * time.Millisecond
	customers  = 24
	burstSize  = 3
)

var epoch = time.Unix(1_700_000_000, 0)

// fleet is a model of routers, callers and a plain pool on virtual time. Calls have log-normal times.
// Endpoints run them in their slots first come, first served. Callers retry refused requests once.
type fleet struct {
	routers, endpoints int
	rate               func(at time.Duration, customer int) float64 // requests per second, in all zones
	rank               func(customer int) uint8
	// slowFraction of the endpoints runs 2.5 times slower, for 0.6 s on average.
	slowFraction float64
	// direct sends each request at once, without a Queue.
	direct bool
	// noLevel and noReport make messages of a router get lost; owner names the owner it sees, and live
	// the number of routers that this owner sees.
	noLevel, noReport func(at time.Duration, router int) bool
	owner             func(at time.Duration, router int) int
	live              func(at time.Duration) int
	loss              float64       // part of all messages that get lost
	onlyRouter        bool          // all requests arrive at router 0
	countFrom         time.Duration // requests that arrive before are not counted
	seed              uint64

	rnd, load *rand.Rand
	now       time.Duration
	events    events
	seq       int
	rs        []*router
	owners    []*demand.Owner
	eps       []*endpoint
	results   [customers]result
	levels    int
	published time.Duration
	poolCalls int   // as known to all routers, up to 200 ms old
	epCalls   []int // the same, by endpoint
	mostCalls int   // at the endpoints, once levels are in force
}

type router struct {
	qu    *waitq.Queue
	calls []int     // by endpoint
	took  []float64 // recent mean, in seconds
	waits map[*waitq.Waiter]*request
	timer bool
}

type endpoint struct {
	running int
	queue   []*request
	slow    bool
}

type request struct {
	*router
	result                          *result
	customer, endpoint              int
	arrived, sent, due, until, work time.Duration
	again                           bool
}

// result counts a customer's requests. held are refusals that came too late to be free, free those
// that came while a quarter of the slots was free.
type result struct{ inTime, late, refused, held, free float64 }

func (re result) total() float64 { return max(1, re.inTime+re.late+re.refused) }
func (re result) bad() float64   { return (re.late + re.refused) / re.total() }
func (re result) value() float64 { return (re.inTime + 0.3*re.late) / re.total() }

func (re result) String() string {
	return fmt.Sprintf("%.0f requests, in time %.3f, late %.3f, refused %.3f; refused late %.3f, while slots were free %.3f",
		re.total(), re.inTime/re.total(), re.late/re.total(), re.refused/re.total(), re.held/re.total(), re.free/re.total())
}

func (re *result) add(other result) {
	re.inTime += other.inTime
	re.late += other.late
	re.refused += other.refused
	re.held += other.held
	re.free += other.free
}

// sum adds up the results of the customers with these numbers.
func (fl *fleet) sum(from, to int) (sum result) {
	for _, re := range fl.results[from:to] {
		sum.add(re)
	}
	return sum
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (ev events) Len() int { return len(ev) }
func (ev events) Less(one, two int) bool {
	return ev[one].at < ev[two].at || ev[one].at == ev[two].at && ev[one].seq < ev[two].seq
}
func (ev events) Swap(one, two int) { ev[one], ev[two] = ev[two], ev[one] }
func (ev *events) Push(one any)     { *ev = append(*ev, one.(event)) }
func (ev *events) Pop() any {
	last := (*ev)[len(*ev)-1]
	*ev = (*ev)[:len(*ev)-1]
	return last
}

func (fl *fleet) after(wait time.Duration, do func()) {
	fl.seq++
	heap.Push(&fl.events, event{fl.now + wait, fl.seq, do})
}

// every calls do at an interval from the given time on.
func (fl *fleet) every(first, interval time.Duration, do func()) {
	fl.after(first, func() { do(); fl.every(interval, interval, do) })
}

func (fl *fleet) clock() time.Time { return epoch.Add(fl.now) }

func (fl *fleet) run(span time.Duration) *fleet {
	fl.rnd, fl.load = rand.New(rand.NewPCG(fl.seed, 1)), rand.New(rand.NewPCG(fl.seed, 2))
	for range fl.endpoints {
		ep := &endpoint{}
		fl.eps = append(fl.eps, ep)
		fl.every(0, 600*time.Millisecond, func() { ep.slow = fl.load.Float64() < fl.slowFraction })
	}
	interval := demand.Interval(fl.routers)
	for id := range fl.routers {
		ro := &router{calls: make([]int, fl.endpoints), took: make([]float64, fl.endpoints), waits: map[*waitq.Waiter]*request{}, qu: &waitq.Queue{
			Pool: 1, Slots: func() int { return fl.slots() }, Routers: func() int { return fl.routers },
			PoolCalls: func() int { return fl.poolCalls }, Network: toEndpoint + toCaller, Returns: &retry.Returns{},
		}}
		fl.rs = append(fl.rs, ro)
		fl.every(time.Duration(fl.rnd.Float64()*float64(interval)), interval, func() { fl.report(id, ro) })
	}
	for id := range 2 {
		fl.owners = append(fl.owners, &demand.Owner{RoundTrip: 2 * toEndpoint})
		fl.every(interval, interval, func() { fl.publish(id) })
	}
	fl.every(0, 200*time.Millisecond, func() {
		fl.poolCalls, fl.epCalls = fl.callsAtEndpoints(), fl.epCalls[:0]
		for _, ep := range fl.eps {
			fl.epCalls = append(fl.epCalls, ep.running+len(ep.queue))
		}
	})
	for cu := range customers {
		fl.arrivals(cu)
	}
	for fl.events[0].at <= span {
		ev := heap.Pop(&fl.events).(event)
		fl.now = ev.at
		ev.do()
	}
	return fl
}

func (fl *fleet) slots() int { return fl.endpoints * slots }

func (fl *fleet) callsAtEndpoints() (sum int) {
	for _, ep := range fl.eps {
		sum += ep.running + len(ep.queue)
	}
	return sum
}

func (fl *fleet) lost() bool { return fl.loss > 0 && fl.rnd.Float64() < fl.loss }

func (fl *fleet) ownerOf(id int) int {
	if fl.owner == nil {
		return 0
	}
	return fl.owner(fl.now, id)
}

func (fl *fleet) report(id int, ro *router) {
	re, ok := ro.qu.Report(fl.clock())
	if !ok || fl.lost() || fl.noReport != nil && fl.noReport(fl.now, id) {
		return
	}
	ow := fl.owners[fl.ownerOf(id)]
	fl.after(ownerDelay, func() {
		ow.Apply(fl.clock(), fmt.Sprint(id), re)
		if fl.now-fl.published > demand.LevelTTL {
			fl.publish(fl.ownerOf(id))
		}
	})
}

// publish delivers an owner's level to 16 routers at once, and by gossip to the others.
func (fl *fleet) publish(owner int) {
	live := fl.routers
	if fl.live != nil {
		live = fl.live(fl.now)
	}
	le, ok := fl.owners[owner].Level(fl.clock(), 1, live)
	if !ok {
		return
	}
	fl.levels++
	fl.published = fl.now
	for id, ro := range fl.rs {
		if fl.ownerOf(id) != owner || fl.lost() || fl.noLevel != nil && fl.noLevel(fl.now, id) {
			continue
		}
		delay := ownerDelay
		if id >= 16 {
			delay += time.Duration(fl.rnd.Float64() * float64(500*time.Millisecond))
		}
		fl.after(delay, func() { ro.qu.SetLevel(fl.clock(), le); fl.tick(ro) })
	}
}

// arrivals lets bursts of a customer's requests arrive at random routers.
func (fl *fleet) arrivals(cu int) {
	const longest = 200 * time.Millisecond // after which the rate is read again
	wait := time.Duration(fl.load.ExpFloat64() * float64(time.Second) * burstSize / max(1e-3, fl.rate(fl.now, cu)))
	if wait > longest {
		fl.after(longest, func() { fl.arrivals(cu) })
		return
	}
	fl.after(wait, func() {
		ro, re := fl.rs[fl.load.IntN(fl.routers)], &fl.results[cu]
		if fl.onlyRouter {
			ro = fl.rs[0]
		}
		if fl.now < fl.countFrom {
			re = &result{}
		}
		for range burstSize {
			const sigma = 0.35
			fl.arrive(&request{
				router: ro, result: re, customer: cu, due: fl.now + goal - toCaller, until: fl.now + deadline,
				work: time.Duration(float64(work) * math.Exp(fl.load.NormFloat64()*sigma-sigma*sigma/2)),
			})
		}
		fl.arrivals(cu)
	})
}

func (fl *fleet) arrive(rq *request) {
	rq.arrived = fl.now
	if fl.direct {
		fl.send(rq)
		return
	}
	offer := waitq.Request{
		Customer: demand.CustomerHash(rq.customer), Arrived: fl.clock(), GoalAt: fl.clock().Add(goal - toCaller),
		Deadline: epoch.Add(rq.until), Budget: rq.until - fl.now,
	}
	if fl.rank != nil {
		offer.Rank = fl.rank(rq.customer)
	}
	de := rq.qu.Offer(fl.clock(), offer)
	if rq.qu.ReportDue(fl.clock()) {
		fl.report(slices.Index(fl.rs, rq.router), rq.router)
	}
	switch {
	case de.Admitted:
		fl.send(rq)
	case de.Wait != nil:
		rq.waits[de.Wait] = rq
		fl.tick(rq.router)
	default:
		fl.refused(rq, de.RetryAfter)
	}
}

func (fl *fleet) tick(ro *router) {
	for _, wa := range ro.qu.Tick(fl.clock()) {
		rq := ro.waits[wa]
		delete(ro.waits, wa)
		if wa.Decision.Admitted {
			fl.send(rq)
		} else {
			fl.refused(rq, wa.Decision.RetryAfter)
		}
	}
	if at, ok := ro.qu.NextTick(fl.clock()); ok && !ro.timer {
		ro.timer = true
		fl.after(at.Sub(fl.clock()), func() { ro.timer = false; fl.tick(ro) })
	}
}

func (fl *fleet) refused(rq *request, retryAfter time.Duration) {
	busy := 0
	for _, ep := range fl.eps {
		busy += ep.running
	}
	if busy < fl.slots()*3/4 {
		rq.result.free++
	}
	if fl.now-rq.arrived > goal/8 {
		rq.result.held++
	}
	if rq.again || retryAfter == 0 {
		rq.result.refused++
		return
	}
	rq.again = true
	fl.after(min(retryAfter, (rq.until-fl.now)/3), func() {
		if !fl.onlyRouter {
			rq.router = fl.rs[fl.rnd.IntN(fl.routers)]
		}
		fl.arrive(rq)
	})
}

// send chooses the endpoint by the router's own calls and their recent times there, and as the product
// does while a level is in force, by where far more calls queue than elsewhere.
func (fl *fleet) send(rq *request) {
	best, least := 0, math.MaxFloat64
	for ix := range fl.endpoints {
		calls := float64(rq.calls[ix])
		if _, limited := rq.qu.Level(fl.clock()); limited && !fl.direct {
			calls += place.Congestion(float64(fl.epCalls[ix]), float64(fl.poolCalls)/float64(fl.endpoints), slots)
		}
		cost := (calls + 1) * (rq.took[ix] + work.Seconds()) * (1 + 0.01*fl.rnd.Float64())
		if cost < least {
			best, least = ix, cost
		}
	}
	rq.calls[best]++
	rq.endpoint, rq.sent = best, fl.now
	fl.after(toEndpoint, func() {
		ep := fl.eps[best]
		switch {
		case ep.running < slots:
			fl.begin(ep, rq)
		case len(ep.queue) < queueCalls:
			ep.queue = append(ep.queue, rq)
		default:
			fl.after(toEndpoint, func() { fl.finish(rq, false) })
		}
		if fl.levels > 5 {
			fl.mostCalls = max(fl.mostCalls, fl.callsAtEndpoints())
		}
	})
}

func (fl *fleet) begin(ep *endpoint, rq *request) {
	ep.running++
	took := rq.work
	if ep.slow {
		took = took * 5 / 2
	}
	fl.after(took, func() {
		ep.running--
		if len(ep.queue) > 0 {
			next := ep.queue[0]
			ep.queue = ep.queue[1:]
			fl.begin(ep, next)
		}
		fl.after(toEndpoint, func() { fl.finish(rq, true) })
	})
}

func (fl *fleet) finish(rq *request, ran bool) {
	took := fl.now - rq.sent
	rq.calls[rq.endpoint]--
	if ran {
		rq.took[rq.endpoint] += 0.3 * (took.Seconds() - rq.took[rq.endpoint])
	}
	if !fl.direct {
		rq.qu.Done(fl.clock(), took, ran)
		fl.tick(rq.router)
	}
	switch {
	case !ran:
		fl.refused(rq, 400*time.Millisecond)
	case rq.again || fl.now > rq.due-toCaller:
		rq.result.late++
	default:
		rq.result.inTime++
	}
}
