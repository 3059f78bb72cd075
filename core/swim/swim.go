// Package swim detects which peers are alive, at a cost for each router that does not grow with their
// number.
//
// # Concepts
//
// In each period a Table probes one peer, in shuffled order, so that every peer is probed by some
// router within a few periods, however many there are. A peer that does not reply is probed through
// others. If that fails too it is suspected, and declared dead after a time that grows with the
// logarithm of the number of peers, unless it refutes the suspicion. Rumors of suspicions, refutations
// and deaths travel with other messages, each a bounded number of times. This is the protocol of Das,
// Gupta and Motivala, SWIM (2002), with refutation by incarnation numbers.
//
// # Invariants
//
//   - Of two rumors of a peer the one with the higher incarnation counts; of equal ones the worse.
//     Only the peer itself raises its incarnation.
//   - A peer from which a message came within directContactWindow is not declared dead by a rumor of
//     the same incarnation.
//   - A router that receives no messages spreads no suspicion: it is isolated itself.
//   - An address whose messages arrive is alive only once it has replied to a probe, or a peer that is alive says so: what
//     strangers send shows nothing but that somebody can send.
//   - No more than MaxMembers peers are known. A peer that is alive and has sent a message is not forgotten for another.
//
// # Usage
//
// A Table is not safe for concurrent use. Set the exported fields before use, and call Tick every
// Period.
//
//	ta := &swim.Table{Self: addr, Rand: rand}
//	ta.Add(now, seed)
//	for _, pr := range ta.Tick(now) { ... }    // send a probe
//	ta.ReplyReceived(now, from, incarnation)   // for each reply to a probe
//	ta.Contact(now, from, incarnation)         // for each other message
//	if ta.Challenge(now, from) { ... }         // send it a probe
//	if ta.Alive(from) { ta.ApplyRumors(now, rumors) } // the rumors in it
//	rumors := ta.Rumors(limit)                 // to be sent with a message
package swim

import (
	"math/bits"
	"slices"
	"time"

	"almondrill/core"
)

// Period is the interval at which Tick has to be called.
const Period = 200 * time.Millisecond

const (
	// probeTimeout is how long a peer has to reply to a probe, indirectProbeTimeout how long through
	// others: a few transit delays between zones, and scheduling delays on busy processors.
	probeTimeout         = 200 * time.Millisecond
	indirectProbeTimeout = 400 * time.Millisecond
	// indirectProbes is the number of others through which a peer is probed.
	indirectProbes = 3
	// suspicionTimeout is how long a suspected peer may refute, for each doubling of the number of
	// peers: rumors take as many rounds to reach all.
	suspicionTimeout = 300 * time.Millisecond
	// rumorRetransmits is how often a rumor is sent, for each doubling of the number of peers.
	rumorRetransmits = 2
	// directContactWindow is how long a message from a peer itself overrides rumors.
	directContactWindow = time.Second
	// isolatedAfter is how long a router may receive no message before it considers itself
	// isolated; isolatedDeadAfter is after how long without a message it treats its peers as dead
	// even so.
	isolatedAfter     = 500 * time.Millisecond
	isolatedDeadAfter = 3 * time.Second
	// rejoinPeriods is the interval, in periods, at which a dead peer is probed, so that two
	// partitions of a fleet rejoin.
	rejoinPeriods = 5
	// ForgetAfter is how long a dead peer is remembered, longer than partitions between regions
	// last; forgetLeftAfter how long one that announced its shutdown.
	ForgetAfter     = 10 * time.Minute
	forgetLeftAfter = 30 * time.Second
)

// State is the assumed state of a peer; a higher one is worse.
type State uint8

// States of peers.
const (
	// Unverified: others know of it, but no message from it has arrived yet.
	Unverified State = iota
	Alive
	// Suspect: it did not reply, and may refute the suspicion.
	Suspect
	Dead
	// Left: it announced its shutdown.
	Left
)

// Incarnation counts the refutations of a peer.
type Incarnation uint32

// Rumor is a report of a peer's state.
type Rumor struct {
	Addr        string
	State       State
	Incarnation Incarnation
}

// Probe asks a peer, or a third one through it, for a reply.
type Probe struct {
	To string
	// Target is the peer that To has to probe in turn; "" if To itself is probed.
	Target string
	// About is a rumor of To that it may refute; its State is Unverified if there is none.
	About Rumor
}

// Table is one router's view of its peers.
type Table struct {
	Self string
	Rand core.Rand
	// MaxMembers bounds the peers that are known, 0 if it does not: messages may name any address.
	MaxMembers int

	members     map[string]*member
	incarnation Incarnation
	// order is the order in which peers are probed; next is the index of the next one.
	order []string
	next  int
	// probes are those without a reply.
	probes  []*probe
	periods int
	// startedAt is the first Tick, lastReceived when the last message arrived.
	startedAt, lastReceived time.Time
	// rumors are queued for sending; notices inform peers of rumors about themselves.
	rumors  []*queuedRumor
	notices []Probe
	// live counts the members that are alive or suspected.
	live int
	// replaceable are members in whose place others may be added, as of the first addition to the full table since
	// the last Tick; nil if there was none.
	replaceable []string
	// rejected counts the addresses that were not added as the table is full.
	rejected int64
	// challenged counts the challenges since the last Tick.
	challenged int
}

type member struct {
	addr         string
	state        State
	incarnation  Incarnation
	lastReceived time.Time
	// since is when the state began, suspectedUntil when a suspicion ends.
	since, suspectedUntil time.Time
	// deadByIsolation is set if it was declared dead because this router was isolated.
	deadByIsolation bool
	// stranger is set if it is known from its own messages alone.
	stranger bool
	// probedAt is when the last probe of this router was sent to it.
	probedAt time.Time
}

type probe struct {
	target   string
	sentAt   time.Time
	indirect bool
}

// queuedRumor is a rumor and how often it was sent.
type queuedRumor struct {
	Rumor
	sent int
}

// Add adds an address at which there may be no peer. It returns false if there is no room for it.
func (ta *Table) Add(now time.Time, addr string) bool {
	me := ta.member(now, addr)
	if me != nil {
		me.stranger = false
	}
	return me != nil
}

// Join adds a peer that another one reports as alive.
func (ta *Table) Join(now time.Time, addr string) {
	me := ta.namedMember(now, addr)
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
		if ta.full() && !ta.replace() {
			ta.rejected++
			return nil
		}
		me = &member{addr: addr, since: now}
		ta.members[addr] = me
		ta.scheduleProbe(addr)
	}
	return me
}

// scheduleProbe inserts a new peer at a random position among those still to be probed.
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

// MessageReceived records a message from the address, with its sender's incarnation, or 0 if unknown.
// It returns true if the peer was neither alive nor suspected.
func (ta *Table) MessageReceived(now time.Time, addr string, in Incarnation) bool {
	me := ta.member(now, addr)
	if me == nil {
		return false
	}
	ta.lastReceived, me.lastReceived = now, now
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

// Sample returns up to limit random peers that are alive.
func (ta *Table) Sample(limit int) []string {
	all := make([]string, 0, ta.live)
	for addr, me := range ta.members {
		if me.state.live() {
			all = append(all, addr)
		}
	}
	slices.Sort(all) // for reproducible runs with the same seed
	limit = min(limit, len(all))
	for ix := range limit {
		other := ix + ta.draw(len(all)-ix)
		all[ix], all[other] = all[other], all[ix]
	}
	return all[:limit]
}

// KnowsMore reports whether this router has peers to name to one that knows this many.
func (ta *Table) KnowsMore(known int) bool { return known < ta.live }

// Live returns the number of peers that are alive, including suspected ones.
func (ta *Table) Live() int { return ta.live }

// Alive reports whether a peer is alive or only suspected.
func (ta *Table) Alive(addr string) bool {
	me := ta.members[addr]
	return me != nil && me.state.live()
}

// MayAnswer reports whether a peer may receive a message, as it is not known to be dead.
func (ta *Table) MayAnswer(addr string) bool {
	me := ta.members[addr]
	return me != nil && me.state <= Suspect
}

// Known reports whether the peer is remembered.
func (ta *Table) Known(addr string) bool { return ta.members[addr] != nil }

// CountNotLongDead returns the number of peers that are not dead, or have been for less than within, without strangers that
// have not replied to a probe.
func (ta *Table) CountNotLongDead(now time.Time, within time.Duration) int {
	count := 0
	for _, me := range ta.members {
		if !me.unproven() && (me.state <= Suspect || me.state == Dead && now.Sub(me.since) < within) {
			count++
		}
	}
	return count
}

// AliveWithin reports whether a peer is alive, or was until less than within ago.
func (ta *Table) AliveWithin(now time.Time, addr string, within time.Duration) bool {
	me := ta.members[addr]
	return me != nil && !me.unproven() && (me.state.live() || now.Sub(me.since) < within)
}

// LastReceived returns when the last message from a peer arrived; zero if none did.
func (ta *Table) LastReceived(addr string) time.Time {
	if me := ta.members[addr]; me != nil {
		return me.lastReceived
	}
	return time.Time{}
}

// SilentFor returns the time since the last message from any peer, or since the first Tick if there was none.
func (ta *Table) SilentFor(now time.Time) time.Duration {
	if ta.lastReceived.IsZero() {
		if ta.startedAt.IsZero() {
			return 0
		}
		return now.Sub(ta.startedAt)
	}
	return now.Sub(ta.lastReceived)
}

// Heard reports whether a message from any peer has arrived.
func (ta *Table) Heard() bool { return !ta.lastReceived.IsZero() }

// Incarnation returns this router's incarnation, to be sent with probes and their replies.
func (ta *Table) Incarnation() Incarnation { return ta.incarnation }

// doublings returns how many times the number of live peers doubles from one: the number of rounds
// that a rumor takes.
func (ta *Table) doublings() int { return max(1, bits.Len(uint(ta.live+1))) }

// Tick advances by a period and returns the probes to be sent.
func (ta *Table) Tick(now time.Time) []Probe {
	if ta.startedAt.IsZero() {
		ta.startedAt = now
	}
	ta.periods++
	ta.replaceable, ta.challenged = nil, 0
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
	for _, pr := range out {
		if me := ta.members[pr.To]; me != nil && pr.Target == "" {
			me.probedAt = now
		}
	}
	return out
}

// expireStates declares dead the peers that did not refute in time, and forgets those that have been
// dead or gone for long.
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
	slices.Sort(ended) // for reproducible runs with the same seed
	for _, addr := range ended {
		me := ta.members[addr]
		ta.setState(now, me, Dead)
		ta.enqueue(Rumor{addr, Dead, me.incarnation})
	}
}

// checkProbes returns indirect probes for peers that did not reply in time, and suspects those that
// did not reply to these either.
func (ta *Table) checkProbes(now time.Time) []Probe {
	var out []Probe
	ta.probes = slices.DeleteFunc(ta.probes, func(pr *probe) bool {
		me := ta.members[pr.target]
		switch {
		case me == nil || !me.state.live() || !me.lastReceived.Before(pr.sentAt):
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

// maxDraws bounds the attempts to draw a suitable peer.
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

// nextTarget returns the peer to be probed next, "" if there is none. It skips peers from which a
// message arrived within the last period.
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
		if me != nil && me.state <= Suspect && now.Sub(me.lastReceived) >= Period {
			return addr
		}
	}
	return ""
}

// shuffle begins a new round over all peers that may be alive.
func (ta *Table) shuffle() {
	ta.next = 0
	ta.order = ta.order[:0]
	for addr, me := range ta.members {
		if me.state <= Suspect {
			ta.order = append(ta.order, addr)
		}
	}
	slices.Sort(ta.order) // for reproducible runs with the same seed
	for ix := range ta.order {
		other := ix + ta.draw(len(ta.order)-ix)
		ta.order[ix], ta.order[other] = ta.order[other], ta.order[ix]
	}
}

// randomDead draws a dead peer, which may be back.
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
