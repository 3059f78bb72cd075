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

// fleet is routers that exchange probes, and words with rumors, on virtual time.
type fleet struct {
	t       *testing.T
	rand    *rand.Rand
	now     time.Time
	routers []*router
	byAddr  map[string]*router
	// lost is the part of messages that are lost; cut tells those that cannot arrive.
	lost float64
	cut  func(from, to *router) bool
	// sent counts messages.
	sent int
}

type router struct {
	*swim.Table
	addr string
	// down takes no messages and sends none, as a process that is paused or gone.
	down bool
	// started is when its process did.
	started time.Time
}

const (
	step = 100 * time.Millisecond
	// A router introduces itself to two peers every intro, or soon within settling of its start, and
	// is told of others.
	intro     = 1200 * time.Millisecond
	introSoon = 300 * time.Millisecond
	settling  = 5 * time.Second
	greeting  = 120
	// words is how many a router sends in a step, bounded as its bytes are; mostRumors go with each.
	words      = 4
	mostRumors = 16
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

// start starts a router's process anew.
func (fl *fleet) start(ro *router) {
	ro.Table = &swim.Table{Self: ro.addr, Rand: fl.rand}
	ro.down, ro.started = false, fl.now
	for _, seed := range fl.routers[:min(3, len(fl.routers))] {
		ro.Add(fl.now, seed.addr)
	}
}

// meet lets all routers know of each other, as those do that have run for long.
func (fl *fleet) meet() {
	for _, ro := range fl.routers {
		for _, other := range fl.routers {
			ro.Join(fl.now, other.addr)
		}
	}
}

// arrives tells whether a message does.
func (fl *fleet) arrives(from, to *router) bool {
	fl.sent++
	return to != nil && !from.down && !to.down && fl.rand.Float64() >= fl.lost && !fl.cut(from, to)
}

// message brings what each message has from one router to another.
func (fl *fleet) message(from, to *router) bool {
	rumors := from.Rumors(mostRumors)
	if !fl.arrives(from, to) {
		return false
	}
	to.Heard(fl.now, from.addr, from.Incarnation())
	to.Take(fl.now, rumors)
	return true
}

// probe asks a router, and tells whether its answer came.
func (fl *fleet) probe(from, to *router, about swim.Rumor) bool {
	if !fl.message(from, to) {
		return false
	}
	if about.State != swim.Named {
		to.Take(fl.now, []swim.Rumor{about})
	}
	return fl.message(to, from)
}

func (fl *fleet) run(lasting time.Duration) {
	for end := fl.now.Add(lasting); fl.now.Before(end); {
		fl.now = fl.now.Add(step)
		for _, ro := range fl.routers {
			if !ro.down {
				fl.turn(ro)
			}
		}
	}
}

func (fl *fleet) turn(ro *router) {
	if fl.now.UnixMilli()%swim.Period.Milliseconds() == 0 {
		for _, pr := range ro.Tick(fl.now) {
			fl.send(ro, pr)
		}
	}
	fl.introduce(ro)
	for range words {
		if to := fl.routers[fl.rand.IntN(len(fl.routers))]; to != ro && ro.Alive(to.addr) {
			fl.message(ro, to)
		}
	}
}

// introduce has a router tell two others how many it knows. Who knows more names some.
func (fl *fleet) introduce(ro *router) {
	every := intro
	if fl.now.Sub(ro.started) < settling {
		every = introSoon
	}
	if fl.now.UnixMilli()%every.Milliseconds() != 0 {
		return
	}
	for range 2 {
		to := fl.routers[fl.rand.IntN(min(3, len(fl.routers)))]
		if some := ro.Some(1); len(some) > 0 {
			to = fl.byAddr[some[0]]
		}
		if to == ro || !fl.message(ro, to) || !to.Greets(ro.Live()) || !fl.message(to, ro) {
			continue
		}
		for _, addr := range to.Some(greeting) {
			ro.Join(fl.now, addr)
		}
	}
}

func (fl *fleet) send(ro *router, pr swim.Probe) {
	to := fl.byAddr[pr.To]
	if pr.Target == "" {
		fl.probe(ro, to, pr.About)
		return
	}
	if fl.message(ro, to) && fl.probe(to, fl.byAddr[pr.Target], swim.Rumor{}) && fl.message(to, ro) {
		ro.Heard(fl.now, pr.Target, 0)
	}
}

// believers is how many of the routers that run take that one for alive.
func (fl *fleet) believers(of *router) int {
	count := 0
	for _, ro := range fl.routers {
		if ro != of && !ro.down && ro.Alive(of.addr) {
			count++
		}
	}
	return count
}

// within runs until something holds, and tells how long it took.
func (fl *fleet) within(most time.Duration, what string, holds func() bool) time.Duration {
	fl.t.Helper()
	for took := time.Duration(0); took <= most; took += step {
		if holds() {
			return took
		}
		fl.run(step)
	}
	fl.t.Errorf("%d routers: not within %s: %s", len(fl.routers), most, what)
	return most
}

// agreement is the mean share of the running routers that mean the same keeper of a key.
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
		order := make([]int, len(fl.routers)) // by claim, the highest first
		for ix := range order {
			order[ix] = ix
		}
		slices.SortFunc(order, func(a, b int) int {
			if ring.Mix(hashes[a], key) > ring.Mix(hashes[b], key) {
				return -1
			}
			return 1
		})
		means := map[int]int{}
		most := 0
		for _, ro := range up {
			for _, ix := range order {
				if fl.routers[ix] == ro || ro.Alive(fl.routers[ix].addr) {
					means[ix]++
					most = max(most, means[ix])
					break
				}
			}
		}
		total += float64(most) / float64(len(up))
	}
	return total / keys
}
