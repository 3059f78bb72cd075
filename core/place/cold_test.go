package place_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"almondrill/core"
	"almondrill/core/gauge"
	"almondrill/core/place"
)

const (
	coldFor   = 3 * time.Second
	overrun   = 1.5
	coldSlack = 5.0
)

// coldFleet simulates routers with one pool that share the limits of its cold endpoints, on virtual
// time. It counts what endpoints are sent within each second.
type coldFleet struct {
	routers []*place.Placer
	// owners grant requests to the routers, by index. A nil owner does not respond.
	owners       []*gauge.Table
	rate         float64
	now          time.Time
	sent         map[core.EndpointID][]time.Time
	waiting      []*place.Ticket
	refused      int
	maxPerSecond int
}

func newColdFleet(routers, endpoints int, rate float64) *coldFleet {
	cf := &coldFleet{rate: rate, now: begin.Add(time.Minute), sent: map[core.EndpointID][]time.Time{}}
	owner := &gauge.Table{}
	for ix := range routers {
		pl := &place.Placer{
			Zone: "a", Rand: newRand(uint64(ix)), CapFactor: 2, RouterCount: func() int { return routers },
			ColdLimits: place.ColdLimits{Overrun: overrun, Slack: coldSlack},
		}
		register(pl, endpoints)
		cf.routers = append(cf.routers, pl)
		cf.owners = append(cf.owners, owner)
	}
	return cf
}

// makeCold registers an endpoint as cold at all routers.
func (cf *coldFleet) makeCold(ix int) {
	ep := endpoint(ix)
	ep.ColdUntil = cf.now.Add(coldFor)
	for _, pl := range cf.routers {
		pl.Register(cf.now, ep)
	}
}

// choose places a call, as io/relay does, and leaves it waiting for its connection.
func (cf *coldFleet) choose(router int, parts []place.Part) {
	rq := newRequest(parts)
	rq.ColdDuration, rq.ColdRate = coldFor, cf.rate
	for tries := 0; ; tries++ {
		rq.WarmOnly = tries == 3
		tk, rf := cf.routers[router].Pick(cf.now, rq)
		if rf != nil {
			cf.refused++
			return
		}
		if limit := tk.GrantLimit(); limit > 0 && !cf.grant(router, tk, limit) {
			continue
		}
		cf.waiting = append(cf.waiting, tk)
		return
	}
}

func (cf *coldFleet) grant(router int, tk *place.Ticket, limit int) bool {
	granted, after := false, 200*time.Millisecond
	if owner := cf.owners[router]; owner != nil {
		granted, after = owner.Grant(cf.now, tk.Hash, limit)
	}
	if !granted {
		tk.Deny(cf.now, after)
	}
	return granted
}

// send sends a waiting call, and ends it at once.
func (cf *coldFleet) send(ix int) {
	tk := cf.waiting[ix]
	cf.waiting = append(cf.waiting[:ix], cf.waiting[ix+1:]...)
	if tk.BeforeSend(cf.now) != "" {
		tk.Done(cf.now, place.Neutral)
		return
	}
	id := tk.Endpoint.ID
	cf.sent[id] = append(cf.sent[id], cf.now)
	within := 0
	for _, at := range cf.sent[id] {
		if cf.now.Sub(at) < time.Second {
			within++
		}
	}
	if tk.Cold {
		cf.maxPerSecond = max(cf.maxPerSecond, within)
	}
	tk.RecordActivity(cf.now)
	tk.Done(cf.now, place.Served)
}

func (cf *coldFleet) bound() int { return int(cf.rate*overrun + coldSlack) }

// Guards against exceeding the bound of a cold endpoint within a second, summed over all routers: a
// third of the pool is cold at once, much of the traffic is about one chat, and calls that wait for
// their connections are sent together.
func TestColdEndpointsStayWithinTheirBound(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		routers := rapid.SampledFrom([]int{1, 2, 5, 26, 103}).Draw(rt, "routers")
		rate := rapid.SampledFrom([]float64{1, 2, 3, 6, 18, 20}).Draw(rt, "rate")
		cf := newColdFleet(routers, 9, rate)
		for ix := range 3 {
			cf.makeCold(ix)
		}
		hot := rapid.Uint64Range(0, 20).Draw(rt, "hot chat")
		for step := range 300 {
			cf.now = cf.now.Add(10 * time.Millisecond)
			for range rapid.IntRange(0, 5).Draw(rt, "calls") {
				id := uint64(step * 31 % 400)
				if rapid.Bool().Draw(rt, "about the hot chat") {
					id = hot
				}
				cf.choose(rapid.IntRange(0, routers-1).Draw(rt, "router"), chat(1, id))
			}
			for len(cf.waiting) > 0 && rapid.IntRange(0, 3).Draw(rt, "hold") > 0 {
				cf.send(rapid.IntRange(0, len(cf.waiting)-1).Draw(rt, "which"))
			}
		}
		if cf.maxPerSecond > cf.bound() {
			rt.Fatalf("%d requests in a second through %d routers, at most %d allowed", cf.maxPerSecond, routers, cf.bound())
		}
	})
}

// Guards against exceeding the bound when routers ask different owners: in a network partition,
// when owners change, and when all routers have just started and get no grants.
func TestColdBoundHoldsWhenRoutersDisagreeOnOwners(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{1, 2, 3, 6, 18} {
		for name, change := range map[string]func(cf *coldFleet, step int){
			"network partition": func(cf *coldFleet, step int) {
				other := &gauge.Table{}
				for ix := range cf.owners {
					if step == 0 && ix%2 == 0 {
						cf.owners[ix] = other
					}
				}
			},
			"owners change": func(cf *coldFleet, step int) {
				fresh := &gauge.Table{}
				for ix := range cf.owners {
					if step%120 == 60 {
						cf.owners[ix] = fresh
					}
				}
			},
			"all just started": func(cf *coldFleet, _ int) { cf.owners = make([]*gauge.Table, len(cf.owners)) },
		} {
			t.Run(fmt.Sprint(name, " ", rate), func(t *testing.T) {
				cf := newColdFleet(26, 9, rate)
				cf.makeCold(0)
				cf.makeCold(1)
				ra := newRand(7)
				for step := range 290 {
					change(cf, step)
					cf.now = cf.now.Add(10 * time.Millisecond)
					for range 8 {
						cf.choose(ra.IntN(26), chat(1, ra.Uint64()%60))
					}
					for len(cf.waiting) > 0 {
						cf.send(0)
					}
				}
				if cf.maxPerSecond > cf.bound() {
					t.Errorf("%d requests in a second, at most %d allowed", cf.maxPerSecond, cf.bound())
				}
				if cf.refused > 0 {
					t.Errorf("%d requests refused, though seven endpoints are warm", cf.refused)
				}
			})
		}
	}
}

// Guards against limits where none apply: in a pool that declares no rate, and on warm endpoints.
func TestNoLimitWithoutARateOrWhenWarm(t *testing.T) {
	for name, on := range map[string]struct {
		rate float64
		cold bool
	}{"no rate": {0, true}, "warm": {1, false}} {
		cf := newColdFleet(26, 1, on.rate)
		if on.cold {
			cf.makeCold(0)
		}
		for ix := range 40 {
			cf.choose(ix%26, chat(1, 1))
		}
		if cf.refused > 0 {
			t.Errorf("%s: %d of 40 refused", name, cf.refused)
		}
	}
}

// Guards against a pool that serves nobody because all its endpoints are cold: it serves as many
// requests as the routers together may send.
func TestEntirelyColdPoolServes(t *testing.T) {
	const endpoints = 4
	cf := newColdFleet(26, endpoints, 18)
	for ix := range endpoints {
		cf.makeCold(ix)
	}
	served := 0
	for range 100 {
		cf.now = cf.now.Add(10 * time.Millisecond)
		for router := range 26 {
			cf.choose(router, chat(1, uint64(router)))
		}
		for len(cf.waiting) > 0 {
			cf.send(0)
			served++
		}
	}
	// Half of the bound of 32 requests per second.
	if least := endpoints * 16; served < least {
		t.Errorf("%d served in a second, want %d", served, least)
	}
}

// Guards against treating endpoints as warm that may have become cold without announcing it: after
// an evacuation of their zone, and after contact was lost and restored.
func TestEndpointMayBeColdUnannounced(t *testing.T) {
	for name, change := range map[string]func(pl *place.Placer, now time.Time, rq *place.Request){
		"its zone was evacuated": func(pl *place.Placer, now time.Time, _ *place.Request) {
			pl.Evacuate(now.Add(-time.Minute), "a", now.Add(-time.Minute))
			pl.Restore(now, "a")
		},
		"it could not be reached": func(pl *place.Placer, now time.Time, rq *place.Request) {
			tk, _ := pl.Pick(now.Add(-time.Minute), rq)
			tk.Done(now.Add(-time.Minute), place.Unreachable)
			tk, _ = pl.Pick(now, rq)
			tk.BeforeSend(now)
			tk.RecordActivity(now)
			tk.Done(now, place.Served)
		},
	} {
		cf := newColdFleet(1, 1, 2)
		pl, rq := cf.routers[0], newRequest(chat(1, 1))
		rq.ColdDuration, rq.ColdRate = coldFor, 2
		change(pl, cf.now, rq)
		sent := 0
		for ; sent < 10; sent++ {
			if _, rf := pl.Pick(cf.now, rq); rf != nil {
				break
			}
		}
		if sent > 2 {
			t.Errorf("%s: %d requests at once, the rate is 2 per second", name, sent)
		}
		cf.now = cf.now.Add(coldFor + time.Second)
		if _, rf := pl.Pick(cf.now, rq); rf != nil {
			t.Errorf("%s: refused when the endpoint is warm: %v", name, rf)
		}
	}
}

// Guards against requests sent without a grant to an endpoint that became cold between the choice
// and the sending.
func TestEndpointTurnsColdAfterTheChoice(t *testing.T) {
	cf := newColdFleet(1, 1, 2)
	for range 10 {
		cf.choose(0, chat(1, 1))
	}
	cf.makeCold(0)
	for len(cf.waiting) > 0 {
		cf.send(0)
	}
	if got := len(cf.sent["e00"]); got != 0 {
		t.Errorf("%d requests were sent without a grant", got)
	}
}

// Guards against cache models that contain prompts that were never sent: a denied call leaves no
// entry, and the next choice uses the prompt's real location.
func TestDeniedCallLeavesNoRecord(t *testing.T) {
	cf := newColdFleet(1, 4, 1)
	pl := cf.routers[0]
	for ix := range 4 {
		cf.makeCold(ix)
	}
	rq := newRequest(chat(1, 1))
	rq.ColdDuration, rq.ColdRate = coldFor, 1
	for range 3 {
		tk := pick(t, pl, cf.now, rq)
		tk.Deny(cf.now, time.Second)
	}
	if got := pl.IndexEntries(); got != 0 {
		t.Errorf("the cache models contain %d parts, want none", got)
	}
}
