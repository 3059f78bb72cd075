// Package gossip lets the routers of a region tell each other little and often:
// their calls in progress, how many calls endpoints have, and how far they know the store's
// changes.
//
// # Concepts
//
// A router sends a short datagram to its peers several times a second. One that the
// store turns away sees from it that a peer knows more, and fetches what it
// lacks over HTTP. Peers are found through the store, through the seeds of the
// settings, and through the peers that a datagram names. Which of them are alive is core/swim's
// to decide, which of them ask the store core/lead's.
//
// # Invariants
//
//   - What is sent of calls and to probe peers stays within callsBytes, however many peers there are.
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
	"almondrill/core/elect"
	"almondrill/core/mirror"
	"almondrill/core/place"
	"almondrill/core/route"
	"almondrill/core/swim"
)

const (
	// tickInterval is how often peers are told. Each hears at most once in leastGap: calls
	// last a second or more, and a message takes a millisecond.
	tickInterval    = 100 * time.Millisecond
	minSendInterval = 200 * time.Millisecond
	// maxCallsBytesPerSecond bounds what a router sends of its calls in a second, bodies of
	// datagrams; the budget of a node is 5 KB/s for all of control. What is sent to ask for
	// counts goes before what is told. With 26 routers each hears each every 0.4 s.
	maxCallsBytesPerSecond = 3300
	// updateFanout is how many peers are told at once that there is news of the store.
	// Those tell others in turn: 420 routers hear of it in three rounds of a tick.
	updateFanout = 64
	// startGrace is how long a router leaves asking the store to those that newcomers know of,
	// unless it is one of these or has begun to ask: it knows few peers yet, and so do all others
	// where all start.
	startGrace = 1200 * time.Millisecond
	// maxAnnouncers is how many routers are to be found through the store: enough for a newcomer
	// to reach one, also after the loss of a zone or two, whatever the number of routers.
	maxAnnouncers = 8
	// exchangeTicks is how often, in ticks, a router introduces itself to introTo
	// peers, with what it has heard from engines and whom it knows: some 600 bytes.
	exchangeTicks  = 12
	exchangeFanout = 2
	// unsettledExchangeTicks is how often, in ticks, a router introduces itself that may not know all peers yet.
	unsettledExchangeTicks = 3
	// maxJoinReplies is how many newcomers are greeted in a tick; a greeting is a datagram.
	maxJoinReplies = 20
	// probeTicks is swim.Period in ticks.
	probeTicks = int(swim.Period / tickInterval)
	// deadPeerWindow is how long a peer that is taken for dead counts among the routers that share
	// the endpoints: it may be cut off, and serve callers still.
	deadPeerWindow = 30 * time.Second
	// isolatedAfter is how long no peer may be heard before this router asks the store without
	// waiting for others.
	isolatedAfter = time.Second
	// maxDatagram keeps a message within one frame.
	maxDatagram = 1400
	// maxExchangePeers is how many other peers an introduction names, mostGreeting a greeting, each some
	// 7 bytes.
	maxExchangePeers  = 20
	maxJoinReplyPeers = 120
	// maxRumors is how many rumors go with a message, some 12 bytes each.
	maxRumors = 16
	// maxAgeMs bounds the age that is told, an hour; beyond seconds it makes no
	// difference.
	maxAgeMs = 3_600_000
	// minTransitDelay is the least time that a message takes between zones.
	minTransitDelay = time.Millisecond
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
	// From introduces the sender; Peers are addresses of others that are alive to it, Readings
	// engines' own counts of their calls.
	From     core.VMID       `cbor:"4,keyasint,omitempty"`
	Peers    []packedAddr    `cbor:"14,keyasint,omitempty"`
	Readings []place.Reading `cbor:"6,keyasint,omitempty"`
	// PeersHeard is how many peers the sender heard of late, Config the version of the configuration that
	// is in force there, both in introductions.
	PeersHeard uint16        `cbor:"12,keyasint,omitempty"`
	Config     route.Version `cbor:"13,keyasint,omitempty"`
	// Count is set in messages about one endpoint's calls, which hold nothing else.
	Count *countMessage `cbor:"10,keyasint,omitempty"`
	// Crash is set in messages about a request that crashes endpoints, which hold nothing else.
	Crash *crashNotice `cbor:"11,keyasint,omitempty"`
	// Probe is set in messages that probe a peer, which hold nothing else but Rumors. Incarnation
	// is the sender's.
	Probe       *probeMessage    `cbor:"15,keyasint,omitempty"`
	Rumors      []rumor          `cbor:"16,keyasint,omitempty"`
	Incarnation swim.Incarnation `cbor:"17,keyasint,omitempty"`
	// Watchers are the routers that ask the store, see packFollowers.
	Watchers []byte `cbor:"18,keyasint,omitempty"`
}

// Feed is what a router knows of the store, and how old it is.
type Feed interface {
	// Age is how long ago what is known was confirmed; Confirm takes a peer's word.
	Age() time.Duration
	Confirm(age time.Duration)
	// Failing tells whether the own calls fail, Silent whether they fail or nothing has
	// come for longer than it takes as a rule.
	Failing() bool
	Unresponsive() bool
	// OwnAge is how long ago an own call was answered.
	OwnAge() time.Duration
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
	Blamed func(now time.Time, from string, no core.CrashNotice)
	// InForce tells the version of the configuration in force here; nil if there is none.
	InForce func() route.Version
	// Reach tells whether a connection to an endpoint can be made, by its hash; known is false for
	// one that is gone. Nil if nobody finds out.
	Reach func(ctx context.Context, endpoint uint64) (reached, known bool)
	// AskTimeout bounds the wait for an endpoint's count, askTimeout if it is 0.
	AskTimeout time.Duration

	responses  responseCache
	counts     counts
	settled    atomic.Bool
	mu         sync.Mutex // guards all below
	members    map[string]*member
	membership swim.Table
	watchers   elect.Table
	// started is when Run did, grown when a member was last added, announced when the own address
	// was first found in the store.
	started, lastAdded, announced time.Time
	fetching                      bool // a fetch is under way
	// lastFullFetch is when all that a peer knows was last asked for.
	lastFullFetch time.Time
	ticks         int
	// broadcastRev is the latest revision that was told at once.
	broadcastRev core.Version
	// joining are peers that were not heard before, to be introduced to.
	joining []string
}

// member is a peer, by its address.
type member struct {
	id core.VMID
	// hash is that of its address, by which routers are ordered.
	hash     uint64
	lastSent time.Time
	asOf     core.Version
	// confirmed is when the store confirmed asOf, as the peer told.
	confirmed time.Time
	failing   bool
	leaving   bool
	// peersHeard is how many peers it heard of late, as it told.
	peersHeard uint16
	// config is the version of the configuration in force there, as it told.
	config route.Version
	// udpAddr is addr resolved, nil until it is needed; mutes is set while it does not answer.
	udpAddr *net.UDPAddr
	backoff backoff
}

// Add makes an address known. The own one tells that others can find this router.
func (gr *Group) Add(addr string) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if addr == gr.Addr && gr.announced.IsZero() {
		gr.announced = time.Now()
	}
	gr.getOrAddMember(addr)
}

func (gr *Group) getOrAddMember(addr string) *member {
	if gr.members == nil {
		gr.members = map[string]*member{}
		gr.membership.Self, gr.membership.Rand = gr.Addr, gr.Rand
	}
	if addr == gr.Addr || addr == "" {
		return nil
	}
	me := gr.members[addr]
	if me == nil {
		me = &member{hash: xxhash.Sum64String(addr)}
		gr.members[addr] = me
		gr.lastAdded = time.Now()
		gr.membership.Add(gr.lastAdded, addr)
	}
	return me
}

// Live is how many peers are alive.
func (gr *Group) Live() int {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.membership.Live()
}

// Routers is how many routers there may be, this one included: all that are alive, were until
// lately, or are known but were not heard yet.
func (gr *Group) Routers() int {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return 1 + gr.membership.CountNotLongDead(time.Now(), deadPeerWindow)
}

// ShouldAnnounce tells whether this router is one of those that are to be found through the store.
//
// Each announcement is two calls to the store, a renewal now and then, and a change that all
// are told of. Peers name each other, so that whoever finds one finds all.
func (gr *Group) ShouldAnnounce() bool {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.rank(anyMember) < maxAnnouncers
}

func anyMember(*member) bool { return true }

// rank is how many live peers come before this router in the order of their addresses' hashes,
// of those that count and are not leaving.
func (gr *Group) rank(include func(me *member) bool) int {
	own, preceding := xxhash.Sum64String(gr.Addr), 0
	for addr, me := range gr.members {
		if me.hash < own && !me.leaving && include(me) && gr.membership.Alive(addr) {
			preceding++
		}
	}
	return preceding
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
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			gr.broadcast(pc, time.Now(), true)
			return nil
		case now := <-ticker.C:
			gr.probePeers(pc, now)
			gr.dropForgotten()
			gr.updateSettled(now)
			gr.broadcast(pc, now, false)
			gr.exchangePeers(pc, now)
			gr.fetchUpdates(ctx)
		}
	}
}

// receive takes messages until the socket is closed.
func (gr *Group) receive(pc net.PacketConn) {
	buffer := make([]byte, maxDatagram)
	for {
		count, from, err := pc.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			gr.Log.Warn("Reading a message of a peer failed.", zap.Error(err))
			continue
		}
		gr.handleDatagram(time.Now(), from, buffer[:count])
	}
}

// handleDatagram takes a message as it came.
func (gr *Group) handleDatagram(now time.Time, from net.Addr, data []byte) {
	var ms message
	if err := cbor.Unmarshal(data, &ms); err != nil {
		gr.Log.Warn("A message of a peer makes no sense.", zap.String("Addr", from.String()), zap.Error(err))
		return
	}
	switch {
	case ms.Probe != nil:
		gr.handleProbe(now, from, &ms)
	case ms.Count != nil:
		gr.handleCount(now, from, ms.Count)
	case ms.Crash != nil:
		gr.handleCrashNotice(now, from.String(), ms.Crash)
	default:
		gr.handleUpdate(now, from.String(), &ms)
	}
}

// handleUpdate takes a message. The mirror and the placer are called without the lock: both
// ask the group for things while they hold their own.
func (gr *Group) handleUpdate(now time.Time, from string, ms *message) {
	confirmed := now.Add(-time.Duration(ms.AgeMs) * time.Millisecond)
	if !gr.recordSender(now, confirmed, from, ms) {
		return
	}
	if ms.AsOf <= gr.Mirror.AsOf() {
		gr.Feed.Confirm(now.Sub(confirmed))
	}
	gr.Placer.ApplyLoadReport(now, from, ms.Calls)
	gr.Placer.ApplyMoves(ms.Moves)
	gr.Placer.ApplyReadings(now, minTransitDelay, ms.Readings)
}

// recordSender keeps what a message tells of its sender and of others; false if it is this router.
func (gr *Group) recordSender(now, confirmed time.Time, from string, ms *message) bool {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	me := gr.getOrAddMember(from)
	if me == nil {
		return false
	}
	gr.applyRumors(now, from, ms)
	if ms.Leaving && !me.leaving {
		gr.Log.Info("A peer leaves.", zap.String("Peer", string(me.id)), zap.String("Addr", from))
	}
	if ms.From != "" {
		me.id, me.peersHeard, me.config = ms.From, ms.PeersHeard, ms.Config
		if gr.membership.KnowsMore(int(ms.PeersHeard)) {
			gr.joining = append(gr.joining, from)
		}
	}
	me.asOf, me.leaving, me.failing, me.confirmed = ms.AsOf, ms.Leaving, ms.Failing, confirmed
	gr.watchers.Apply(now, unpackWatchers(now, ms.Watchers))
	for _, pa := range ms.Peers {
		if addr, ok := pa.unpack(); ok && gr.getOrAddMember(addr) != nil {
			gr.membership.Join(now, addr)
		}
	}
	return true
}

// dropForgotten drops peers that have long been dead, and lists those that may keep counts.
func (gr *Group) dropForgotten() {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	for addr, me := range gr.members {
		if !gr.membership.Known(addr) {
			delete(gr.members, addr)
			gr.Log.Info("Forgets a peer.", zap.String("Peer", string(me.id)), zap.String("Addr", addr))
		}
	}
	gr.updateCandidates()
}
