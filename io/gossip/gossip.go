// Package gossip lets the routers of a region tell each other little and often:
// their calls in progress, how many calls endpoints have, and how far they know the store's
// changes.
//
// # Concepts
//
// A router sends a short datagram to its peers several times a second. One that the
// store turns away sees from it that a peer knows more, and fetches what it
// lacks over HTTP. Peers are found through the store, through the seeds of the
// settings, and through the peers that a datagram names.
//
// # Invariants
//
//   - What is sent of calls stays within callsBytes, however many peers there are.
//   - A peer that was not heard for knownFor is forgotten.
//
// # Usage
//
//	gr := &gossip.Group{Self: name, Addr: addr, Mirror: mi, Placer: pl, Log: lo}
//	mux.Handle(gossip.ItemsPath, gr.Handler())
//	err := gr.Run(ctx)
package gossip

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/mirror"
	"almondrill/core/place"
	"almondrill/core/route"
)

const (
	// tick is how often peers are told. Each hears at most once in leastGap: calls
	// last a second or more, and a message takes a millisecond.
	tick     = 100 * time.Millisecond
	leastGap = 200 * time.Millisecond
	// callsBytes bounds what a router sends of its calls in a second, bodies of
	// datagrams; the budget of a node is 5 KB/s for all of control. What is sent to ask for
	// counts goes before what is told. With 26 routers each hears each every 0.4 s.
	callsBytes = 3300
	// newsTo is how many peers are told at once that there is news of the store.
	// Those tell others in turn: 420 routers hear of it in three rounds of a tick.
	newsTo = 64
	// leaders is how many routers ask the store; with two, one may end at any time.
	// leadFor is how long one counts that is not heard.
	leaders = 2
	leadFor = time.Second
	// announcers is how many routers are to be found through the store: enough for a newcomer
	// to reach one, also after the loss of a zone or two, whatever the number of routers.
	announcers = 8
	// introTicks is how often, in ticks, a router introduces itself to introTo
	// peers, with what it has heard from engines and whom it knows: some 600 bytes.
	introTicks = 12
	introTo    = 2
	// knownFor is how long a peer that is not heard is kept; liveFor how long it
	// counts as running.
	knownFor = 30 * time.Second
	liveFor  = 3 * time.Second
	// mostDatagram keeps a message within one frame.
	mostDatagram = 1400
	// mostNamed is how many other peers a message names.
	mostNamed = 6
	// mostAgeMs bounds the age that is told, an hour; beyond seconds it makes no
	// difference.
	mostAgeMs = 3_600_000
	// way is the least time that a message takes between zones.
	way = time.Millisecond
)

// message is what a router tells. Its sender is known by its address; most
// messages hold only AsOf and Calls.
type message struct {
	AsOf core.Version `cbor:"1,keyasint,omitempty"`
	// Calls are the own calls in progress, see place.Tell.
	Calls []byte `cbor:"2,keyasint,omitempty"`
	// AgeMs is how long ago the store confirmed AsOf. Failing is set if the sender's
	// calls to the store fail.
	AgeMs   uint32 `cbor:"8,keyasint,omitempty"`
	Failing bool   `cbor:"9,keyasint,omitempty"`
	// Moves are chats placed away from their homes, see place.Moves.
	Moves []byte `cbor:"7,keyasint,omitempty"`
	// Leaving is set in the last messages of a process.
	Leaving bool `cbor:"3,keyasint,omitempty"`
	// From introduces the sender; Known are addresses of other peers, Readings
	// engines' own counts of their calls.
	From     core.VMID       `cbor:"4,keyasint,omitempty"`
	Known    []string        `cbor:"5,keyasint,omitempty"`
	Readings []place.Reading `cbor:"6,keyasint,omitempty"`
	// Hears is how many peers the sender heard of late, Config the version of the configuration that
	// is in force there, both in introductions.
	Hears  uint16        `cbor:"12,keyasint,omitempty"`
	Config route.Version `cbor:"13,keyasint,omitempty"`
	// Count is set in messages about one endpoint's calls, which hold nothing else.
	Count *countMessage `cbor:"10,keyasint,omitempty"`
	// Blame is set in messages about a request that crashes endpoints, which hold nothing else.
	Blame *blameMessage `cbor:"11,keyasint,omitempty"`
}

// Feed is what a router knows of the store, and how old it is.
type Feed interface {
	// Age is how long ago what is known was confirmed; Confirm takes a peer's word.
	Age() time.Duration
	Confirm(age time.Duration)
	// Failing tells whether the own calls fail, Silent whether they fail or nothing has
	// come for longer than it takes as a rule.
	Failing() bool
	Silent() bool
}

// Group is the routers that this one knows. Set the exported fields before use.
type Group struct {
	Self core.VMID
	// Addr is where the own process listens, over UDP and TCP.
	Addr   string
	Mirror *mirror.Mirror
	Placer *place.Placer
	Rand   core.Rand
	Log    *zap.Logger
	// Feed is what this router knows of the store.
	Feed Feed
	// Blamed takes what peers tell of requests that crash endpoints; nil if nobody asks.
	Blamed func(now time.Time, from string, no core.BlameNote)
	// InForce tells the version of the configuration in force here; nil if there is none.
	InForce func() route.Version
	// AskTimeout bounds the wait for an endpoint's count, askTimeout if it is 0.
	AskTimeout time.Duration

	parcels parcels
	counts  counts
	settled atomic.Bool
	mu      sync.Mutex // guards all below
	members map[string]*member
	// began is when Run did, grown when a member was last added, announced when the own address
	// was first found in the store.
	began, grown, announced time.Time
	fetched                 bool // a fetch is under way
	// wholeFetch is when all that a peer knows was last asked for.
	wholeFetch time.Time
	ticks      int
	// news is the latest revision that was told at once.
	news core.Version
	// greet are peers that were not heard before, to be introduced to.
	greet []string
}

// member is a peer, by its address.
type member struct {
	id    core.VMID
	added time.Time
	heard time.Time
	told  time.Time
	asOf  core.Version
	// confirmed is when the store confirmed asOf, as the peer told.
	confirmed time.Time
	failing   bool
	leaving   bool
	// hears is how many peers it heard of late, as it told.
	hears uint16
	// config is the version of the configuration in force there, as it told.
	config route.Version
	// to is addr resolved, nil until it is needed; mutes is set while it does not answer.
	to    *net.UDPAddr
	mutes mutes
}

// Add makes an address known. The own one tells that others can find this router.
func (gr *Group) Add(addr string) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if addr == gr.Addr && gr.announced.IsZero() {
		gr.announced = time.Now()
	}
	gr.member(addr)
}

func (gr *Group) member(addr string) *member {
	if gr.members == nil {
		gr.members = map[string]*member{}
	}
	if addr == gr.Addr || addr == "" {
		return nil
	}
	me := gr.members[addr]
	if me == nil {
		me = &member{added: time.Now()}
		gr.members[addr] = me
		gr.grown = me.added
	}
	return me
}

// Live is how many peers were heard of late.
func (gr *Group) Live() int {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	now, count := time.Now(), 0
	for _, me := range gr.members {
		if now.Sub(me.heard) < liveFor {
			count++
		}
	}
	return count
}

// Routers is how many routers there may be, this one included: all that were
// heard within knownFor, and those that are known but were not heard yet.
func (gr *Group) Routers() int {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return 1 + len(gr.members)
}

// Leads tells whether this router is one of those that ask the store: few of the
// peers that are well come before it in the order of their addresses' hashes.
func (gr *Group) Leads() bool {
	return gr.before(func(now time.Time, me *member) bool { return now.Sub(me.heard) < leadFor && !me.failing }) < leaders
}

// Announces tells whether this router is one of those that are to be found through the store.
//
// Each announcement is two calls to the store, a renewal now and then, and a change that all
// are told of. Peers name each other, so that whoever finds one finds all.
func (gr *Group) Announces() bool {
	return gr.before(func(now time.Time, me *member) bool { return now.Sub(me.heard) < liveFor }) < announcers
}

// before counts the peers that come before this router in the order of their addresses'
// hashes, of those that count and are not leaving.
func (gr *Group) before(counts func(now time.Time, me *member) bool) int {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	now, own, before := time.Now(), xxhash.Sum64String(gr.Addr), 0
	for addr, me := range gr.members {
		if !me.leaving && counts(now, me) && xxhash.Sum64String(addr) < own {
			before++
		}
	}
	return before
}

// Run exchanges messages until ctx ends.
func (gr *Group) Run(ctx context.Context) error {
	at, err := net.ResolveUDPAddr("udp", gr.Addr)
	if err != nil {
		return fmt.Errorf("read the address for peers %s: %w", gr.Addr, err)
	}
	pc, err := net.ListenUDP("udp", at)
	if err != nil {
		return fmt.Errorf("listen for peers on %s: %w", gr.Addr, err)
	}
	defer pc.Close()
	gr.counts.socket.Store(pc)
	defer gr.counts.socket.Store(nil)
	go gr.receive(pc)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			gr.tellCalls(pc, time.Now(), true)
			return nil
		case now := <-ticker.C:
			gr.forget(now)
			gr.listKeepers(now)
			gr.settle(now)
			gr.tellCalls(pc, now, false)
			gr.introduce(pc, now)
			gr.catchUp(ctx)
		}
	}
}

// receive takes messages until the socket is closed.
func (gr *Group) receive(pc net.PacketConn) {
	buffer := make([]byte, mostDatagram)
	for {
		count, from, err := pc.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			gr.Log.Warn("Reading a message of a peer failed.", zap.Error(err))
			continue
		}
		gr.take(time.Now(), from, buffer[:count])
	}
}

// take takes a message as it came.
func (gr *Group) take(now time.Time, from net.Addr, data []byte) {
	var ms message
	if err := cbor.Unmarshal(data, &ms); err != nil {
		gr.Log.Warn("A message of a peer makes no sense.", zap.String("Addr", from.String()), zap.Error(err))
		return
	}
	switch {
	case ms.Count != nil:
		gr.hearCount(now, from, ms.Count)
	case ms.Blame != nil:
		gr.hearBlame(now, from.String(), ms.Blame)
	default:
		gr.hear(now, from.String(), &ms)
	}
}

// hear takes a message. The mirror and the placer are called without the lock: both
// ask the group for things while they hold their own.
func (gr *Group) hear(now time.Time, from string, ms *message) {
	confirmed := now.Add(-time.Duration(ms.AgeMs) * time.Millisecond)
	if !gr.note(now, confirmed, from, ms) {
		return
	}
	if ms.AsOf <= gr.Mirror.AsOf() {
		gr.Feed.Confirm(now.Sub(confirmed))
	}
	gr.Placer.Hear(now, from, ms.Calls)
	gr.Placer.HearMoves(ms.Moves)
	gr.Placer.HearReadings(now, way, ms.Readings)
}

// note keeps what a message tells of its sender; false if it is this router.
func (gr *Group) note(now, confirmed time.Time, from string, ms *message) bool {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	me := gr.member(from)
	if me == nil {
		return false
	}
	if now.Sub(me.heard) >= liveFor {
		// It may know nobody else yet.
		gr.greet = append(gr.greet, from)
		gr.Log.Info("Hears a peer.", zap.String("Peer", string(ms.From)), zap.String("Addr", from))
	}
	if ms.Leaving && !me.leaving {
		gr.Log.Info("A peer leaves.", zap.String("Peer", string(me.id)), zap.String("Addr", from))
	}
	if ms.From != "" {
		me.id, me.hears, me.config = ms.From, ms.Hears, ms.Config
	}
	me.heard, me.asOf, me.leaving, me.failing, me.confirmed = now, ms.AsOf, ms.Leaving, ms.Failing, confirmed
	for _, addr := range ms.Known {
		gr.member(addr)
	}
	return true
}

// forget drops peers that were not heard for long.
func (gr *Group) forget(now time.Time) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	for addr, me := range gr.members {
		last := me.heard
		if me.added.After(last) {
			last = me.added
		}
		if now.Sub(last) > knownFor {
			delete(gr.members, addr)
			gr.Log.Info("Forgets a peer.", zap.String("Peer", string(me.id)), zap.String("Addr", addr),
				zap.Duration("Silent", now.Sub(last)))
		}
	}
}
