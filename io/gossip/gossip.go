// Package gossip exchanges state between the routers of a region: their calls in progress, how many
// calls endpoints have, and up to which revision they know the platform's store.
//
// # Concepts
//
// A router sends a short datagram to its peers several times a second. A router that is cut off
// from the store sees from it that a peer has a later revision, and fetches what it lacks over
// HTTP. Peers are found through the store, through the seeds in the settings, and through the peers
// that a datagram names. Package core/swim decides which of them are alive, core/elect which of
// them watch the store.
//
// # Invariants
//
//   - What is sent about calls and to probe peers stays within maxCallsBytesPerSecond, however many
//     peers there are.
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
	"almondrill/core/builds"
	"almondrill/core/demand"
	"almondrill/core/elect"
	"almondrill/core/mirror"
	"almondrill/core/place"
	"almondrill/core/route"
	"almondrill/core/swim"
)

const (
	// tickInterval is how often load reports are sent, minSendInterval the minimum time between two
	// to the same peer. Calls last a second or more, and a message takes a millisecond.
	tickInterval    = 100 * time.Millisecond
	minSendInterval = 200 * time.Millisecond
	// maxCallsBytesPerSecond bounds the datagram bodies that a router sends about calls; the budget
	// of a node is 5 KB/s for all control traffic. Queries for counts take precedence over load
	// reports. With 26 routers each receives a report from each other one every 0.4 s.
	maxCallsBytesPerSecond = 3300
	// updateFanout is how many peers are notified at once of a new revision of the store. They
	// notify others in turn: 420 routers learn of it within three ticks.
	updateFanout = 64
	// startGrace is how long after its start a router leaves watching the store to the announced
	// routers, which a joining router finds first. It does not apply to a router that is announced
	// itself or already watches. A router that has just started knows few peers yet, and where all
	// start at once, so do the others.
	startGrace = 1200 * time.Millisecond
	// maxAnnouncers is how many routers can be found through the store, whatever the number of
	// routers: enough for a joining router to reach one, even after the loss of a zone or two.
	maxAnnouncers = 8
	// exchangeTicks is how often, in ticks, a router sends a peer exchange to exchangeFanout peers:
	// its id, the call counts that engines reported, and addresses of peers, some 600 bytes.
	exchangeTicks  = 12
	exchangeFanout = 2
	// unsettledExchangeTicks is how often, in ticks, a router does so while it may not know all
	// peers.
	unsettledExchangeTicks = 3
	// maxJoinReplies is how many joining peers get a reply in a tick, one datagram each.
	maxJoinReplies = 20
	// probeTicks is swim.Period in ticks.
	probeTicks = int(swim.Period / tickInterval)
	// deadPeerWindow is how long a dead peer still counts among the routers that share the
	// endpoints: it may be cut off and still serve callers.
	deadPeerWindow = 30 * time.Second
	// isolatedAfter is how long a router may receive no message from any peer before it calls the
	// store without waiting for others.
	isolatedAfter = time.Second
	// maxDatagram keeps a message within one Ethernet frame.
	maxDatagram = 1400
	// maxExchangePeers is how many peers a peer exchange names, maxJoinReplyPeers a join reply;
	// some 7 bytes each.
	maxExchangePeers  = 20
	maxJoinReplyPeers = 120
	// maxRumors is how many rumors a message carries, some 12 bytes each.
	maxRumors = 16
	// maxAgeMs bounds the ages in messages, to an hour; beyond seconds an age makes no difference.
	maxAgeMs = 3_600_000
	// minTransitDelay is the least time that a message takes between zones.
	minTransitDelay = time.Millisecond
)

// message is the content of a datagram. Its sender is identified by its address. Most messages hold
// only AsOf and Calls.
type message struct {
	AsOf core.Version `cbor:"1,keyasint,omitempty"`
	// Calls are the sender's calls in progress, see place.Placer.LoadReport.
	Calls []byte `cbor:"2,keyasint,omitempty"`
	// Memory is the memory that these calls hold, see place.Placer.LoadReportWithMemory.
	Memory []byte `cbor:"22,keyasint,omitempty"`
	// AgeMs is the time since the store confirmed AsOf. Failing is set if the sender's calls to the
	// store fail.
	AgeMs   uint32 `cbor:"8,keyasint,omitempty"`
	Failing bool   `cbor:"9,keyasint,omitempty"`
	// Moves are chats placed away from their home endpoints, see place.Placer.Moves.
	Moves []byte `cbor:"7,keyasint,omitempty"`
	// Leaving is set in the last messages of a process.
	Leaving bool `cbor:"3,keyasint,omitempty"`
	// From, in peer exchanges, is the id of the sender; Peers are addresses of other routers that
	// are alive to it, Readings the counts of calls that engines reported.
	From     core.VMID       `cbor:"4,keyasint,omitempty"`
	Peers    []packedAddr    `cbor:"14,keyasint,omitempty"`
	Readings []place.Reading `cbor:"6,keyasint,omitempty"`
	// LivePeers is how many peers are alive to the sender, Config the version of its configuration
	// in force; both are set in peer exchanges.
	LivePeers uint16        `cbor:"12,keyasint,omitempty"`
	Config    route.Version `cbor:"13,keyasint,omitempty"`
	// Count is set in messages about one endpoint's calls, which hold nothing else.
	Count *countMessage `cbor:"10,keyasint,omitempty"`
	// Crash is set in messages about a request that crashes endpoints, which hold nothing else.
	Crash *crashNotice `cbor:"11,keyasint,omitempty"`
	// Parts is set in messages about parts of prompts that crash endpoints, which hold nothing else.
	Parts *partsNotice `cbor:"23,keyasint,omitempty"`
	// Probe is set in messages that probe a peer, which otherwise hold only Rumors and Incarnation.
	// Incarnation is the sender's.
	Probe       *probeMessage    `cbor:"15,keyasint,omitempty"`
	Rumors      []rumor          `cbor:"16,keyasint,omitempty"`
	Incarnation swim.Incarnation `cbor:"17,keyasint,omitempty"`
	// Watchers are the elected watchers of the store, see packWatchers.
	Watchers []byte `cbor:"18,keyasint,omitempty"`
	// Speeds are the figures of endpoints that are slower than usual, see place.Placer.Speeds.
	Speeds []byte `cbor:"21,keyasint,omitempty"`
	// Report is the sender's demand for a pool, in messages to the pool's owner. Levels are the
	// newest levels of pools.
	Report *demand.Report `cbor:"19,keyasint,omitempty"`
	Levels []demand.Level `cbor:"20,keyasint,omitempty"`
}

// Feed reports how current this router's mirror of the store is.
type Feed interface {
	// Age is the time since the store confirmed the mirror; Confirm records a peer's report of
	// that.
	Age() time.Duration
	Confirm(age time.Duration)
	// Failing reports whether this router's calls to the store fail, Unresponsive whether they fail
	// or nothing has been received for longer than is usual.
	Failing() bool
	Unresponsive() bool
	// OwnAge is the time since the store last answered a call of this router.
	OwnAge() time.Duration
}

// Group holds the routers that this one knows. Set the exported fields before use.
type Group struct {
	Self core.VMID
	// Addr is where this process listens, over UDP and TCP.
	Addr   string
	Mirror *mirror.Mirror
	Placer *place.Placer
	Rand   core.Rand
	Log    *zap.Logger
	// Feed is this router's connection to the store.
	Feed Feed
	// Blamed handles peers' notices of requests that crash endpoints; may be nil.
	Blamed func(now time.Time, from string, no core.CrashNotice)
	// Ended records that the process of an endpoint has ended, and returns true if that is new; may be nil.
	Ended func(now time.Time, endpoint uint64) bool
	// InForce returns the version of the configuration in force here; nil if there is none.
	InForce func() route.Version
	// Reach reports whether a connection to an endpoint, given by its hash, can be made; known is
	// false if the endpoint is gone. May be nil: then unreachable endpoints are not reconnected to.
	Reach func(ctx context.Context, endpoint uint64) (reached, known bool)
	// AskTimeout bounds the wait for the owner of an endpoint's count; queryTimeout if it is 0.
	AskTimeout time.Duration
	// Builds holds the builds that have served each pool.
	Builds *builds.History
	// MaxPeers bounds the peers that are known, 0 if it does not.
	MaxPeers int
	// Demand is this router's demand for pools; nil if it takes no part in dividing their capacity.
	Demand Demand

	wholeResponses atomic.Int32 // peers that are being sent all contents
	responses      responseCache
	counts         counts
	origins        builds.Origins
	// buildChanges is Builds.Changes when streams were last shared for it, toShare are those still to
	// be shared. Only Run uses them.
	buildChanges uint64
	toShare      []core.StreamKey
	copies       originCopies
	unstored     unstored
	gaps         gaps
	demand       exchange
	settled      atomic.Bool
	mu           sync.Mutex // guards all below
	members      map[string]*member
	membership   swim.Table
	watchers     elect.Table
	// started is the first tick of Run, lastAdded when a member was last added, announced when the
	// own address was first found in the store.
	started, lastAdded, announced time.Time
	fetching                      bool // a fetch is under way
	// lastFullFetch is when the whole state of a peer was last asked for.
	lastFullFetch time.Time
	ticks         int
	// broadcastRev is the latest revision that was sent to peers immediately.
	broadcastRev core.Version
	// joining are peers that know fewer others than this router, and get a join reply.
	joining []string

	// loggedRejected is what Rejected returned when it was last logged. Only Run uses it.
	loggedRejected int64
}

// member is what is known of a peer.
type member struct {
	id core.VMID
	// hash is the hash of its address, by which routers are ordered.
	hash     uint64
	lastSent time.Time
	asOf     core.Version
	// confirmed is when the store confirmed asOf, as the peer reported.
	confirmed time.Time
	failing   bool
	leaving   bool
	// livePeers is how many peers are alive to it, as it reported.
	livePeers uint16
	// config is the version of its configuration in force, as it reported.
	config route.Version
	// udpAddr is its resolved address, nil until it is needed; backoff is set while it does not
	// answer.
	udpAddr *net.UDPAddr
	backoff backoff
}

// Add adds a peer's address. The own one shows that others can find this router through the store.
func (gr *Group) Add(addr string) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if addr == gr.Addr && gr.announced.IsZero() {
		gr.announced = time.Now()
	}
	if gr.getOrAddMember(addr) != nil {
		gr.membership.Add(time.Now(), addr)
	}
}

// getOrAddMember returns nil for this router's address, and if there is no room for another peer.
func (gr *Group) getOrAddMember(addr string) *member {
	if gr.members == nil {
		gr.members = map[string]*member{}
		gr.membership.Self, gr.membership.Rand, gr.membership.MaxMembers = gr.Addr, gr.Rand, gr.MaxPeers
	}
	if addr == gr.Addr || addr == "" {
		return nil
	}
	me := gr.members[addr]
	if me == nil {
		now := time.Now()
		if !gr.membership.AddSender(now, addr) {
			return nil
		}
		me = &member{hash: xxhash.Sum64String(addr)}
		gr.members[addr] = me
		gr.lastAdded = now
	}
	return me
}

// addNamed adds a peer that another one has named. It returns false for this router's address, and if there is no room.
func (gr *Group) addNamed(now time.Time, addr string) bool {
	if gr.members[addr] == nil && !gr.membership.AddNamed(now, addr) {
		return false
	}
	return gr.getOrAddMember(addr) != nil
}

// Rejected returns how many addresses of peers were ignored as too many are known.
func (gr *Group) Rejected() int64 {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.membership.Rejected()
}

// rejectedLogTicks is how often, in ticks, ignored addresses are logged.
const rejectedLogTicks = 50

// logRejected logs how many addresses were ignored since it last did.
func (gr *Group) logRejected() {
	rejected := gr.Rejected()
	if gr.ticks%rejectedLogTicks == 0 && rejected > gr.loggedRejected {
		gr.Log.Warn("Ignored addresses of peers, as too many are known.", zap.Int64("Addresses", rejected-gr.loggedRejected), zap.Int("Known", gr.MaxPeers))
		gr.loggedRejected = rejected
	}
}

// Live is how many peers are alive, including suspected ones.
func (gr *Group) Live() int {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.membership.Live()
}

// Routers is an upper estimate of the number of routers, this one included: all that are alive,
// were until recently, or are known but have not sent a message yet.
func (gr *Group) Routers() int {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return 1 + gr.membership.CountNotLongDead(time.Now(), deadPeerWindow)
}

// ShouldAnnounce reports whether this router is one of those that announce themselves in the store.
//
// Each announcement costs two calls to the store, a renewal now and then, and a change that every
// router receives. Peers name each other, so a joining router that finds one finds all.
func (gr *Group) ShouldAnnounce() bool {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.rank(anyMember) < maxAnnouncers
}

// FewKnown reports whether so few peers are known that this router is one of those that announce
// themselves, whichever of the peers are alive.
func (gr *Group) FewKnown() bool {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return len(gr.members) < maxAnnouncers
}

func anyMember(*member) bool { return true }

// rank counts the live peers that are not leaving, that include accepts, and whose address hash is
// lower than this router's.
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
			gr.updateGaps(ctx, now)
			gr.probePeers(pc, now)
			gr.dropForgotten()
			gr.logRejected()
			gr.updateSettled(now)
			gr.exchangeDemand(now)
			gr.broadcast(pc, now, false)
			gr.exchangePeers(pc, now)
			gr.shareUnshared(now)
			gr.copyOrigins(now)
			gr.fetchUpdates(ctx)
		}
	}
}

// receive handles messages until the socket is closed.
func (gr *Group) receive(pc net.PacketConn) {
	buffer := make([]byte, maxDatagram)
	for {
		count, from, err := pc.ReadFrom(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			gr.Log.Warn("Reading a message from a peer failed.", zap.Error(err))
			continue
		}
		gr.handleDatagram(time.Now(), from, buffer[:count])
	}
}

// handleDatagram decodes a message and passes it to its handler.
func (gr *Group) handleDatagram(now time.Time, from net.Addr, data []byte) {
	var ms message
	if err := cbor.Unmarshal(data, &ms); err != nil {
		gr.Log.Warn("Dropped an invalid message from a peer.", zap.String("Addr", from.String()), zap.Error(err))
		return
	}
	gr.applyLevels(now, ms.Levels)
	switch {
	case ms.Report != nil:
		gr.handleReport(now, from.String(), ms.Report)
	case ms.Probe != nil:
		gr.handleProbe(now, from, &ms)
	case ms.Count != nil:
		gr.handleCount(now, from, ms.Count)
	case ms.Parts != nil:
		gr.handlePartsNotice(now, from.String(), ms.Parts)
	case ms.Crash != nil:
		gr.handleCrashNotice(now, from.String(), ms.Crash)
	default:
		gr.handleUpdate(now, from.String(), &ms)
	}
}

// handleUpdate handles a load report or a peer exchange. The mirror and the placer are called
// without the lock: both call the group while they hold their own locks.
func (gr *Group) handleUpdate(now time.Time, from string, ms *message) {
	confirmed := now.Add(-time.Duration(ms.AgeMs) * time.Millisecond)
	if !gr.recordSender(now, confirmed, from, ms) {
		return
	}
	gr.challenge(now, from)
	if ms.AsOf <= gr.Mirror.AsOf() {
		gr.Feed.Confirm(now.Sub(confirmed))
	}
	gr.Placer.ApplyLoadReportWithMemory(now, from, ms.Calls, ms.Memory)
	gr.Placer.ApplyMoves(ms.Moves)
	gr.Placer.ApplyReadings(now, minTransitDelay, ms.Readings)
	gr.Placer.ApplySpeeds(now, minTransitDelay, ms.Speeds)
}

// recordSender records what a message says of its sender and of others. It returns false if the
// sender is this router.
func (gr *Group) recordSender(now, confirmed time.Time, from string, ms *message) bool {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	me := gr.getOrAddMember(from)
	if me == nil {
		return false
	}
	gr.applyRumors(now, from, ms, gr.membership.Contact)
	if ms.Leaving && !me.leaving {
		gr.Log.Info("A peer is shutting down.", zap.String("Peer", string(me.id)), zap.String("Addr", from))
	}
	if ms.From != "" {
		me.id, me.livePeers, me.config = ms.From, ms.LivePeers, ms.Config
		if gr.membership.KnowsMore(int(ms.LivePeers)) && len(gr.joining) < maxJoinReplies {
			gr.joining = append(gr.joining, from)
		}
	}
	me.asOf, me.leaving, me.failing, me.confirmed = ms.AsOf, ms.Leaving, ms.Failing, confirmed
	gr.watchers.Apply(now, unpackWatchers(now, ms.Watchers))
	if !gr.membership.Alive(from) {
		return true
	}
	for _, pa := range ms.Peers {
		if addr, ok := pa.unpack(); ok && gr.addNamed(now, addr) {
			gr.membership.Join(now, addr)
		}
	}
	return true
}

// dropForgotten removes the peers that core/swim has forgotten, and updates the candidates for
// owners.
func (gr *Group) dropForgotten() {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	for addr, me := range gr.members {
		if !gr.membership.Known(addr) {
			delete(gr.members, addr)
			gr.Log.Info("Removed a peer.", zap.String("Peer", string(me.id)), zap.String("Addr", addr))
		}
	}
	gr.updateCandidates()
}
