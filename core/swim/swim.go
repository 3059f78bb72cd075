// Package swim tells which peers are alive, at a cost for each of them that does not grow with
// their number.
//
// # Concepts
//
// Each period a Table probes one peer, in a shuffled order, so that every peer is probed by some
// other within a few periods, however many there are. One that does not answer is probed through
// others. If that fails too it is suspected, and dead after a time that grows with the logarithm of
// the number of peers, unless it refutes the suspicion. Rumors of suspicions, refutations and deaths
// travel with other messages, each a bounded number of times. This is the protocol of Das, Gupta and
// Motivala, SWIM (2002), with refutation by incarnation numbers.
//
// # Invariants
//
//   - Of two rumors of a peer the one with the higher incarnation counts; of equal ones the worse.
//     Only the peer itself raises its incarnation.
//   - A peer that was heard within heardFor is not dead here by a rumor of the same incarnation.
//   - A router that hears nobody spreads no suspicion: it is cut off itself.
//
// # Usage
//
// A Table is not safe for concurrent use. Set the exported fields before use, and call Tick every
// Period.
//
//	ta := &swim.Table{Self: addr, Rand: rand}
//	ta.Add(now, seed)
//	for _, pi := range ta.Tick(now) { ... } // send a probe
//	ta.Heard(now, from, incarnation)        // for each message that came
//	ta.Take(now, rumors)                    // the rumors in it
//	rumors := ta.Rumors(most)               // to go with a message
package swim

import (
	"math/bits"
	"slices"
	"time"

	"almondrill/core"
)

// Period is how often Tick is to be called.
const Period = 200 * time.Millisecond

const (
	// probeTimeout is how long a peer has to answer a probe, helpWait how long through others:
	// a few ways between zones, and turns at busy processors.
	probeTimeout         = 200 * time.Millisecond
	indirectProbeTimeout = 400 * time.Millisecond
	// indirectProbes is through how many others a peer is probed.
	indirectProbes = 3
	// suspicionTimeout is how long a suspected peer may refute, for each doubling of their number:
	// rumors take as many turns to reach all.
	suspicionTimeout = 300 * time.Millisecond
	// rumorRetransmits is how often a rumor is passed on, for each doubling of the number of peers.
	rumorRetransmits = 2
	// directContactWindow is how long a peer's own word counts more than rumors.
	directContactWindow = time.Second
	// isolatedAfter is how long nobody may be heard before this router takes itself for cut off, and
	// aloneFor before those that are silent count as dead all the same.
	isolatedAfter     = 500 * time.Millisecond
	isolatedDeadAfter = 3 * time.Second
	// rejoinPeriods is how often, in periods, a dead peer is probed: two parts of a fleet that
	// were cut from each other find together again.
	rejoinPeriods = 5
	// ForgetAfter is how long a dead peer is remembered, longer than regions are cut off from each
	// other; leftFor how long one that left.
	ForgetAfter     = 10 * time.Minute
	forgetLeftAfter = 30 * time.Second
)

// State is what is believed of a peer; a higher one is worse.
type State uint8

// States of peers.
const (
	// Named: others know of it, and it was not heard yet.
	Unverified State = iota
	Alive
	// Suspect: it did not answer, and may refute that.
	Suspect
	Dead
	// Left: it said that it ends.
	Left
)

// Incarnation counts the refutations of a peer.
type Incarnation uint32

// Rumor is what one tells of a peer.
type Rumor struct {
	Addr        string
	State       State
	Incarnation Incarnation
}

// Probe is a question to be sent to a peer.
type Probe struct {
	To string
	// Target is to be asked by To in turn; "" if To itself is asked.
	Target string
	// About is what was rumored of To, for it to refute; its State is Named if there is nothing.
	About Rumor
}

// Table is what one router believes of its peers.
type Table struct {
	Self string
	Rand core.Rand

	members     map[string]*member
	incarnation Incarnation
	// order is in which peers are probed, from next on.
	order []string
	next  int
	// probes are those without an answer.
	probes  []*probe
	periods int
	// startedAt is the first Tick, heard when anybody was heard last.
	startedAt, lastHeard time.Time
	// rumors are passed on, owed tells peers what was rumored of themselves.
	rumors  []*queuedRumor
	notices []Probe
	// live counts the members that are alive or suspected.
	live int
}

type member struct {
	addr        string
	state       State
	incarnation Incarnation
	lastHeard   time.Time
	// since is when the state began, until when a suspicion ends.
	since, suspectedUntil time.Time
	// deadByIsolation is set if it was taken for dead by a router that heard nobody.
	deadByIsolation bool
}

type probe struct {
	target   string
	sentAt   time.Time
	indirect bool
}

// queuedRumor is a rumor and how often it was told.
type queuedRumor struct {
	Rumor
	sent int
}

// Add makes an address known that may be nobody's.
func (ta *Table) Add(now time.Time, addr string) { ta.member(now, addr) }

// Join takes a peer's word that another is alive.
func (ta *Table) Join(now time.Time, addr string) {
	me := ta.member(now, addr)
	if me != nil && (me.state == Unverified || me.deadByIsolation) {
		ta.setState(now, me, Alive)
	}
}

func (ta *Table) member(now time.Time, addr string) *member {
	if addr == "" || addr == ta.Self {
		return nil
	}
	if ta.members == nil {
		ta.members = map[string]*member{}
	}
	me := ta.members[addr]
	if me == nil {
		me = &member{addr: addr, since: now}
		ta.members[addr] = me
		ta.scheduleProbe(addr)
	}
	return me
}

// scheduleProbe puts a new peer at a random place of those that are still to be probed.
func (ta *Table) scheduleProbe(addr string) {
	at := ta.next + ta.draw(len(ta.order)-ta.next+1)
	ta.order = slices.Insert(ta.order, at, addr)
}

func (ta *Table) draw(count int) int { return int(ta.Rand.Uint64() % uint64(count)) }

func (st State) live() bool { return st == Alive || st == Suspect }

func (ta *Table) setState(now time.Time, me *member, st State) {
	if me.state.live() {
		ta.live--
	}
	if st.live() {
		ta.live++
	}
	me.state, me.since, me.deadByIsolation = st, now, false
}

// MessageReceived takes that a message came from the address, whose sender told its incarnation, or 0. It
// returns true if it was not alive here.
func (ta *Table) MessageReceived(now time.Time, addr string, in Incarnation) bool {
	me := ta.member(now, addr)
	if me == nil {
		return false
	}
	ta.lastHeard, me.lastHeard = now, now
	before := me.state
	if before >= Suspect && !me.deadByIsolation && in <= me.incarnation {
		ta.notices = append(ta.notices, Probe{To: addr, About: Rumor{addr, before, me.incarnation}})
	}
	me.incarnation = max(me.incarnation, in)
	if before == Alive {
		return false
	}
	ta.setState(now, me, Alive)
	if before != Suspect {
		ta.enqueue(Rumor{addr, Alive, me.incarnation})
	}
	return before != Suspect
}

// Sample draws peers that are alive, at most so many.
func (ta *Table) Sample(limit int) []string {
	all := make([]string, 0, ta.live)
	for addr, me := range ta.members {
		if me.state.live() {
			all = append(all, addr)
		}
	}
	slices.Sort(all) // a run repeats from its seed
	limit = min(limit, len(all))
	for ix := range limit {
		other := ix + ta.draw(len(all)-ix)
		all[ix], all[other] = all[other], all[ix]
	}
	return all[:limit]
}

// KnowsMore tells whether a peer that knows so many others is to be told of more.
func (ta *Table) KnowsMore(known int) bool { return known < ta.live }

// Live is how many peers are alive, those that are suspected among them.
func (ta *Table) Live() int { return ta.live }

// Alive tells whether a peer is alive or merely suspected.
func (ta *Table) Alive(addr string) bool {
	me := ta.members[addr]
	return me != nil && me.state.live()
}

// MayAnswer tells whether a message to the peer makes sense: it is not taken for dead.
func (ta *Table) MayAnswer(addr string) bool {
	me := ta.members[addr]
	return me != nil && me.state <= Suspect
}

// Known tells whether the peer is remembered.
func (ta *Table) Known(addr string) bool { return ta.members[addr] != nil }

// CountNotLongDead is how many peers there are that are not dead, or have been for less than that.
func (ta *Table) CountNotLongDead(now time.Time, within time.Duration) int {
	count := 0
	for _, me := range ta.members {
		if me.state <= Suspect || me.state == Dead && now.Sub(me.since) < within {
			count++
		}
	}
	return count
}

// LastHeard is when a peer was heard last; the zero time if never.
func (ta *Table) LastHeard(addr string) time.Time {
	if me := ta.members[addr]; me != nil {
		return me.lastHeard
	}
	return time.Time{}
}

// SilentFor tells for how long nobody was heard.
func (ta *Table) SilentFor(now time.Time) time.Duration {
	if ta.lastHeard.IsZero() {
		return now.Sub(ta.startedAt)
	}
	return now.Sub(ta.lastHeard)
}

// Incarnation is the own one, to be told with probes and their answers.
func (ta *Table) Incarnation() Incarnation { return ta.incarnation }

// doublings is how many times their number doubles from one: the rounds that a rumor takes.
func (ta *Table) doublings() int { return max(1, bits.Len(uint(ta.live+1))) }

// Tick goes on by a period. It returns the probes to be sent.
func (ta *Table) Tick(now time.Time) []Probe {
	if ta.startedAt.IsZero() {
		ta.startedAt = now
	}
	ta.periods++
	ta.expireStates(now)
	out := append(ta.notices, ta.checkProbes(now)...)
	ta.notices = nil
	if to := ta.nextTarget(now); to != "" {
		ta.probes = append(ta.probes, &probe{target: to, sentAt: now})
		out = append(out, Probe{To: to})
	}
	if ta.periods%rejoinPeriods == 0 {
		if to := ta.randomDead(); to != "" {
			out = append(out, Probe{To: to})
		}
	}
	return out
}

// expireStates takes for dead who did not refute in time, and forgets who has long been.
func (ta *Table) expireStates(now time.Time) {
	isolated := ta.SilentFor(now) > isolatedDeadAfter
	var ended []string
	for addr, me := range ta.members {
		switch {
		case me.state == Suspect && !now.Before(me.suspectedUntil):
			ended = append(ended, addr)
		case isolated && me.state.live():
			ta.setState(now, me, Dead)
			me.deadByIsolation = true
		case me.state == Left && now.Sub(me.since) > forgetLeftAfter, !me.state.live() && now.Sub(me.since) > ForgetAfter:
			delete(ta.members, addr)
		}
	}
	slices.Sort(ended) // a run repeats from its seed
	for _, addr := range ended {
		me := ta.members[addr]
		ta.setState(now, me, Dead)
		ta.enqueue(Rumor{addr, Dead, me.incarnation})
	}
}

// checkProbes looks after the probes that were not answered.
func (ta *Table) checkProbes(now time.Time) []Probe {
	var out []Probe
	ta.probes = slices.DeleteFunc(ta.probes, func(pr *probe) bool {
		me := ta.members[pr.target]
		switch {
		case me == nil || !me.state.live() || !me.lastHeard.Before(pr.sentAt):
			return true
		case now.Sub(pr.sentAt) < probeTimeout:
			return false
		case !pr.indirect:
			pr.indirect = true
			for range indirectProbes {
				if by := ta.indirectProber(pr.target); by != "" {
					out = append(out, Probe{To: by, Target: pr.target})
				}
			}
			return false
		case now.Sub(pr.sentAt) < probeTimeout+indirectProbeTimeout:
			return false
		case ta.SilentFor(now) < isolatedAfter && me.state == Alive:
			ta.suspect(now, me)
		}
		return true
	})
	return out
}

func (ta *Table) suspect(now time.Time, me *member) {
	ta.setState(now, me, Suspect)
	me.suspectedUntil = now.Add(time.Duration(ta.doublings()) * suspicionTimeout)
	ta.enqueue(Rumor{me.addr, Suspect, me.incarnation})
}

// maxDraws bounds the search for a peer of some kind.
const maxDraws = 8

// indirectProber draws a live peer other than the target; "" if none was found.
func (ta *Table) indirectProber(target string) string {
	for range maxDraws {
		if len(ta.order) == 0 {
			return ""
		}
		addr := ta.order[ta.draw(len(ta.order))]
		if me := ta.members[addr]; addr != target && me != nil && me.state == Alive {
			return addr
		}
	}
	return ""
}

// nextTarget is the peer that is probed next, "" if there is none. One that was heard within the
// last period need not be.
func (ta *Table) nextTarget(now time.Time) string {
	for range len(ta.order) {
		if ta.next >= len(ta.order) {
			ta.shuffle()
		}
		if len(ta.order) == 0 {
			return ""
		}
		addr := ta.order[ta.next]
		ta.next++
		me := ta.members[addr]
		if me != nil && me.state <= Suspect && now.Sub(me.lastHeard) >= Period {
			return addr
		}
	}
	return ""
}

// shuffle begins a new round over all that may be alive.
func (ta *Table) shuffle() {
	ta.next = 0
	ta.order = ta.order[:0]
	for addr, me := range ta.members {
		if me.state <= Suspect {
			ta.order = append(ta.order, addr)
		}
	}
	slices.Sort(ta.order) // a run repeats from its seed
	for ix := range ta.order {
		other := ix + ta.draw(len(ta.order)-ix)
		ta.order[ix], ta.order[other] = ta.order[other], ta.order[ix]
	}
}

// randomDead draws a dead peer that may be back.
func (ta *Table) randomDead() string {
	var dead []string
	for addr, me := range ta.members {
		if me.state == Dead {
			dead = append(dead, addr)
		}
	}
	if len(dead) == 0 {
		return ""
	}
	slices.Sort(dead)
	return dead[ta.draw(len(dead))]
}
