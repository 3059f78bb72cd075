package swim_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"almondrill/core/ring"
	"almondrill/core/swim"
)

// fleet simulates routers that exchange probes, and messages with rumors, in virtual time.
type fleet struct {
	t       *testing.T
	rand    *rand.Rand
	now     time.Time
	routers []*router
	byAddr  map[string]*router
	// lossRate is the fraction of messages that are lost; cut reports those that cannot arrive.
	lossRate float64
	cut      func(from, to *router) bool
	// sent counts messages.
	sent int
}

type router struct {
	*swim.Table
	addr string
	// down is set while the process neither receives nor sends, because it is paused or gone.
	down bool
	// started is when its process started.
	started time.Time
}

const (
	step = 100 * time.Millisecond
	// A router sends join messages to two peers every joinInterval, or joinIntervalAtStart within
	// startPeriod of its start, and learns of others from the replies.
	joinInterval        = 1200 * time.Millisecond
	joinIntervalAtStart = 300 * time.Millisecond
	startPeriod         = 5 * time.Second
	maxJoinPeers        = 120
	// messagesPerStep is how many a router sends in a step, as its bytes are bounded; maxRumors are in
	// each.
	messagesPerStep = 4
	maxRumors       = 16
)

// newFleet makes routers that all know three seeds.
func newFleet(t *testing.T, count int) *fleet {
	fl := &fleet{
		t: t, rand: rand.New(rand.NewPCG(1, uint64(count))), now: time.Unix(1_000_000, 0), byAddr: map[string]*router{},
		cut: func(_, _ *router) bool { return false },
	}
	for ix := range count {
		ro := &router{addr: fmt.Sprintf("10.0.%d.%d:7", ix/250, ix%250)}
		fl.routers = append(fl.routers, ro)
		fl.byAddr[ro.addr] = ro
		fl.start(ro)
	}
	return fl
}

// start restarts a router's process.
func (fl *fleet) start(ro *router) {
	ro.Table = &swim.Table{Self: ro.addr, Rand: fl.rand}
	ro.down, ro.started = false, fl.now
	for _, seed := range fl.routers[:min(3, len(fl.routers))] {
		ro.Add(fl.now, seed.addr)
	}
}

// connectAll makes all routers know each other, as those do that have run for long.
func (fl *fleet) connectAll() {
	for _, ro := range fl.routers {
		for _, other := range fl.routers {
			ro.Join(fl.now, other.addr)
		}
	}
}

// delivered reports whether a message arrives.
func (fl *fleet) delivered(from, to *router) bool {
	fl.sent++
	return to != nil && !from.down && !to.down && fl.rand.Float64() >= fl.lossRate && !fl.cut(from, to)
}

// send sends the part that all messages have in common, and reports whether it arrived.
func (fl *fleet) send(from, to *router) bool {
	return fl.sendMessage(from, to, (*swim.Table).Contact)
}

// sendMessage sends a message that its receiver records with the function.
func (fl *fleet) sendMessage(from, to *router, received func(*swim.Table, time.Time, string, swim.Incarnation) bool) bool {
	rumors := from.Rumors(maxRumors)
	if !fl.delivered(from, to) {
		return false
	}
	received(to.Table, fl.now, from.addr, from.Incarnation())
	if to.Alive(from.addr) {
		to.ApplyRumors(fl.now, rumors)
	}
	if to.Challenge(fl.now, from.addr) {
		fl.probe(to, from, swim.Rumor{})
	}
	return true
}

// probe probes a router and reports whether its reply arrived.
func (fl *fleet) probe(from, to *router, about swim.Rumor) bool {
	if !fl.send(from, to) {
		return false
	}
	if about.State != swim.Unverified {
		to.ApplyRumors(fl.now, []swim.Rumor{about})
	}
	return fl.sendMessage(to, from, (*swim.Table).ReplyReceived)
}

func (fl *fleet) run(duration time.Duration) {
	for end := fl.now.Add(duration); fl.now.Before(end); {
		fl.now = fl.now.Add(step)
		for _, ro := range fl.routers {
			if !ro.down {
				fl.stepRouter(ro)
			}
		}
	}
}

func (fl *fleet) stepRouter(ro *router) {
	if fl.now.UnixMilli()%swim.Period.Milliseconds() == 0 {
		for _, pr := range ro.Tick(fl.now) {
			fl.sendProbe(ro, pr)
		}
	}
	fl.join(ro)
	for range messagesPerStep {
		if to := fl.routers[fl.rand.IntN(len(fl.routers))]; to != ro && ro.Alive(to.addr) {
			fl.send(ro, to)
		}
	}
}

// join has a router send two others the number of peers it knows. One that knows more returns some.
func (fl *fleet) join(ro *router) {
	every := joinInterval
	if fl.now.Sub(ro.started) < startPeriod {
		every = joinIntervalAtStart
	}
	if fl.now.UnixMilli()%every.Milliseconds() != 0 {
		return
	}
	for range 2 {
		to := fl.routers[fl.rand.IntN(min(3, len(fl.routers)))]
		if some := ro.Sample(1); len(some) > 0 {
			to = fl.byAddr[some[0]]
		}
		if to == ro || !fl.send(ro, to) || !to.KnowsMore(ro.Live()) || !fl.send(to, ro) || !ro.Alive(to.addr) {
			continue
		}
		for _, addr := range to.Sample(maxJoinPeers) {
			ro.Join(fl.now, addr)
		}
	}
}

func (fl *fleet) sendProbe(ro *router, pr swim.Probe) {
	to := fl.byAddr[pr.To]
	if pr.Target == "" {
		fl.probe(ro, to, pr.About)
		return
	}
	if fl.send(ro, to) && fl.probe(to, fl.byAddr[pr.Target], swim.Rumor{}) && fl.send(to, ro) {
		ro.Contact(fl.now, pr.Target, 0)
	}
}

// countSeeingAlive returns how many of the running routers treat the given one as alive.
func (fl *fleet) countSeeingAlive(of *router) int {
	count := 0
	for _, ro := range fl.routers {
		if ro != of && !ro.down && ro.Alive(of.addr) {
			count++
		}
	}
	return count
}

// waitUntil runs the fleet until the condition holds and returns how long it took.
func (fl *fleet) waitUntil(limit time.Duration, what string, holds func() bool) time.Duration {
	fl.t.Helper()
	for took := time.Duration(0); took <= limit; took += step {
		if holds() {
			return took
		}
		fl.run(step)
	}
	fl.t.Errorf("%d routers: not within %s: %s", len(fl.routers), limit, what)
	return limit
}

// agreement returns the mean share of the running routers that agree on the owner of a key.
func (fl *fleet) agreement() float64 {
	const keys = 50
	var up []*router
	for _, ro := range fl.routers {
		if !ro.down {
			up = append(up, ro)
		}
	}
	hashes := make([]uint64, len(fl.routers))
	for ix, ro := range fl.routers {
		hashes[ix] = xxhash.Sum64String(ro.addr)
	}
	total := 0.0
	for key := range uint64(keys) {
		order := make([]int, len(fl.routers)) // by rendezvous hash, the highest first
		for ix := range order {
			order[ix] = ix
		}
		slices.SortFunc(order, func(a, b int) int {
			if ring.Mix(hashes[a], key) > ring.Mix(hashes[b], key) {
				return -1
			}
			return 1
		})
		owners := map[int]int{}
		most := 0
		for _, ro := range up {
			for _, ix := range order {
				if fl.routers[ix] == ro || ro.Alive(fl.routers[ix].addr) {
					owners[ix]++
					most = max(most, owners[ix])
					break
				}
			}
		}
		total += float64(most) / float64(len(up))
	}
	return total / keys
}
