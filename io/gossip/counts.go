package gossip

import (
	"cmp"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/gauge"
	"almondrill/core/place"
	"almondrill/core/ring"
)

// Each endpoint's count is kept by one router, its owner, on which all agree by rendezvous hashing
// over the routers that are alive. Routers report to it the call counts that the endpoint sends
// with its responses, and query it before they place a call there. What a router sends for this
// depends on its own requests alone, some 50 bytes each, not on how many routers or endpoints there
// are, and what it learns is a millisecond old. The owner also collects which routers cannot
// connect to the endpoint, and notifies all once two could not.
//
// The loss of an owner, or a new one that has no count yet, fails no call: the router falls back on
// the in-flight calls that its peers reported, as it does for endpoints that do not report counts.

const (
	// queryTimeout bounds the wait for an owner: a few transit delays between zones, and the
	// scheduling delay on a busy peer.
	queryTimeout = 5 * time.Millisecond
	// ownerBackoff is how long an owner that did not answer in time is not queried again, so that
	// only one request per second waits in vain for a lost router.
	ownerBackoff = time.Second
	// unknownCalls stands for a count that the owner does not know.
	unknownCalls = 1<<32 - 1
)

type countKind uint8

const (
	countQuery countKind = iota + 1
	countReply
	countReport
	// countConnectFailed tells the owner that the sender cannot connect to the endpoint,
	// countUnreachable tells all routers that two could not.
	countConnectFailed
	countUnreachable
	// countGrantRequest asks the owner to grant one of Calls requests a second; it answers with
	// countReply, whose Calls is 0 if it is granted, or else in how many ms to ask again.
	countGrantRequest
	// countDraining says that the endpoint has announced its shutdown.
	countDraining
	// countReachable says that the owner can connect to the endpoint again.
	countReachable
	// countOrigin records the build Calls of the stream Endpoint for Ask ms. countOriginQuery asks for
	// it, countOthersQuery whether the pool of the build Calls has others. countOriginsRequest asks for the
	// records that the sender, which has just started, owns. countFirstQuery asks at which build of the pool of
	// Calls the stream Endpoint can have begun if it is not on record.
	countOrigin
	countOriginQuery
	countOthersQuery
	countOriginsRequest
	countFirstQuery
	// countEndedReport reports to the owner that the process of the endpoint has ended, countEnded notifies all routers.
	countEndedReport
	countEnded
)

// countMessage queries or reports the calls of an endpoint, or a change of its state.
type countMessage struct {
	_        struct{} `cbor:",toarray"`
	Kind     countKind
	Endpoint uint64
	// Calls is the count, or for countUnreachable how many ms the state lasts; Ask is the id of the
	// query that a reply belongs to.
	Calls uint32
	Ask   uint32
}

// candidate is a router that may own counts.
type candidate struct {
	addr string
	hash uint64
	// udpAddr is where it listens; nil for this router itself.
	udpAddr *net.UDPAddr
	backoff *backoff
}

// backoff holds the time before which a candidate is not queried, in ns of the Unix epoch.
type backoff struct{ until atomic.Int64 }

// counts is the part of a Group that queries and owns counts.
type counts struct {
	table      gauge.Table
	candidates atomic.Pointer[[]candidate]
	socket     atomic.Pointer[net.UDPConn]
	// sentBytes is what has been sent since the last tick.
	sentBytes atomic.Int64

	mu        sync.Mutex // guards all below
	lastQuery uint32
	pending   map[uint32]chan uint32
	// reconnecting are the unreachable endpoints for which a reconnectLoop runs.
	reconnecting map[uint64]bool
}

// updateCandidates lists the candidates for owners: the routers that are alive, and this one. The
// lock is held.
func (gr *Group) updateCandidates() {
	candidates := make([]candidate, 0, len(gr.members)+1)
	candidates = append(candidates, candidate{addr: gr.Addr, hash: xxhash.Sum64String(gr.Addr)})
	for addr, me := range gr.members {
		if me.leaving || !gr.membership.Alive(addr) {
			continue
		}
		if me.udpAddr == nil {
			to, err := net.ResolveUDPAddr("udp", addr)
			if err != nil {
				gr.Log.Warn("A peer's address is invalid.", zap.String("Addr", addr), zap.Error(err))
				continue
			}
			me.udpAddr = to
		}
		candidates = append(candidates, candidate{addr, me.hash, me.udpAddr, &me.backoff})
	}
	gr.counts.candidates.Store(&candidates)
}

// ownerOf returns the router that owns the endpoint's count; nil before the first tick.
func (gr *Group) ownerOf(endpoint uint64) *candidate {
	all := gr.counts.candidates.Load()
	if all == nil {
		return nil
	}
	var best *candidate
	var maxScore uint64
	for ix := range *all {
		ca := &(*all)[ix]
		if score := ring.Mix(ca.hash, endpoint); best == nil || score > maxScore {
			best, maxScore = ca, score
		}
	}
	return best
}

// InFlight implements core.InFlightCounts.
func (gr *Group) InFlight(ctx context.Context, endpoint uint64) (int, bool) {
	owner := gr.ownerOf(endpoint)
	if owner == nil {
		return 0, false
	}
	if owner.udpAddr == nil {
		return gr.counts.table.AddCall(time.Now(), endpoint)
	}
	calls, answered := gr.query(ctx, owner, &countMessage{Kind: countQuery, Endpoint: endpoint})
	return int(calls), answered && calls != unknownCalls
}

// query sends a query to an owner and waits for the reply. It returns false if none arrives in
// time, or if an earlier query to this owner timed out less than ownerBackoff ago.
func (gr *Group) query(ctx context.Context, owner *candidate, cm *countMessage) (uint32, bool) {
	if time.Now().UnixNano() < owner.backoff.until.Load() {
		return 0, false
	}
	id, reply := gr.counts.addPending()
	defer gr.counts.removePending(id)
	cm.Ask = id
	gr.sendCount(owner.udpAddr, cm)
	wait := cmp.Or(gr.AskTimeout, queryTimeout)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case value := <-reply:
		return value, true
	case <-timer.C:
		owner.backoff.until.Store(time.Now().Add(ownerBackoff).UnixNano())
		gr.Log.Info("The owner of an endpoint's count did not answer in time.", zap.String("Addr", owner.addr), zap.Duration("Waited", wait))
	case <-ctx.Done():
	}
	return 0, false
}

// ReportInFlight implements core.InFlightCounts.
func (gr *Group) ReportInFlight(endpoint uint64, calls int) {
	owner := gr.ownerOf(endpoint)
	switch {
	case owner == nil:
	case owner.udpAddr == nil:
		gr.counts.table.Report(time.Now(), endpoint, calls)
	default:
		gr.sendCount(owner.udpAddr, &countMessage{Kind: countReport, Endpoint: endpoint, Calls: uint32(calls)})
	}
}

// ReportDown implements core.InFlightCounts.
func (gr *Group) ReportDown(endpoint uint64) {
	owner := gr.ownerOf(endpoint)
	switch {
	case owner == nil:
	case owner.udpAddr == nil:
		gr.handleUnreachable(time.Now(), endpoint, gr.Addr)
	default:
		gr.sendCount(owner.udpAddr, &countMessage{Kind: countConnectFailed, Endpoint: endpoint})
	}
}

// handleUnreachable records, at the owner, that a router cannot connect to an endpoint. Once two
// cannot, all are notified; the owner also tries to connect itself.
func (gr *Group) handleUnreachable(now time.Time, endpoint uint64, from string) {
	if gr.counts.table.ReportUnreachable(now, endpoint, from) {
		gr.broadcastUnreachable(now, endpoint, from, place.UnreachableTTL)
	}
	if gr.Reach != nil && gr.counts.startReconnect(endpoint) {
		go gr.reconnectLoop(endpoint)
	}
}

// broadcastUnreachable has all routers treat the endpoint as unreachable for ttl.
func (gr *Group) broadcastUnreachable(now time.Time, endpoint uint64, from string, ttl time.Duration) {
	gr.applyUnreachable(now, endpoint, from, ttl)
	gr.sendToAll(&countMessage{Kind: countUnreachable, Endpoint: endpoint, Calls: uint32(ttl.Milliseconds())})
}

// sendToAll sends a message to all peers that are alive.
func (gr *Group) sendToAll(cm *countMessage) {
	all := gr.counts.candidates.Load()
	if all == nil {
		return // no peer is known before the first tick
	}
	for _, ca := range *all {
		if ca.udpAddr != nil {
			gr.sendCount(ca.udpAddr, cm)
		}
	}
}

// ReportDraining implements core.InFlightCounts. Each router that learns of the shutdown from a
// response notifies all others, once for each endpoint; a peer that the message does not reach learns
// of it from its own next response. The request whose response announced it does not wait for that.
func (gr *Group) ReportDraining(endpoint uint64) {
	go gr.sendToAll(&countMessage{Kind: countDraining, Endpoint: endpoint})
}

// handleDraining handles a peer's message that an endpoint has announced its shutdown.
func (gr *Group) handleDraining(endpoint uint64, from string) {
	if id, changed := gr.Placer.ApplyShutdown(time.Now(), endpoint); changed {
		gr.Log.Info("A peer reported that an endpoint is draining.", zap.String("Endpoint", string(id)), zap.String("From", from))
	}
}

// applyUnreachable records that an endpoint is unreachable: two routers, one of them perhaps its
// owner, cannot connect to it.
func (gr *Group) applyUnreachable(now time.Time, endpoint uint64, from string, ttl time.Duration) {
	id, accepted := gr.Placer.MarkUnreachable(now, endpoint, ttl)
	gr.Log.Info("Two routers cannot reach an endpoint.", zap.String("Endpoint", string(id)), zap.String("From", from),
		zap.Duration("For", ttl), zap.Bool("Believed", accepted))
}

// addPending registers a query, and returns its id and the channel for its reply.
func (co *counts) addPending() (uint32, chan uint32) {
	reply := make(chan uint32, 1)
	return co.addPendingTo(reply), reply
}

// addPendingTo registers a query whose reply goes to a channel with room for it, and returns its id.
func (co *counts) addPendingTo(reply chan uint32) uint32 {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.pending == nil {
		co.pending = map[uint32]chan uint32{}
	}
	co.lastQuery++
	co.pending[co.lastQuery] = reply
	return co.lastQuery
}

func (co *counts) removePending(id uint32) {
	co.mu.Lock()
	defer co.mu.Unlock()
	delete(co.pending, id)
}

// deliver passes a reply to the waiting query; a late one is dropped.
func (co *counts) deliver(cm *countMessage) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if reply := co.pending[cm.Ask]; reply != nil {
		reply <- cm.Calls
		delete(co.pending, cm.Ask)
	}
}

func (gr *Group) handleCount(now time.Time, from net.Addr, cm *countMessage) {
	switch cm.Kind {
	case countReport:
		gr.counts.table.Report(now, cm.Endpoint, int(cm.Calls))
	case countReply:
		gr.counts.deliver(cm)
	case countConnectFailed:
		gr.handleUnreachable(now, cm.Endpoint, from.String())
	case countUnreachable:
		gr.applyUnreachable(now, cm.Endpoint, from.String(), min(maxUnreachableTTL, time.Duration(cm.Calls)*time.Millisecond))
	case countReachable:
		gr.Placer.MarkReachable(cm.Endpoint)
	case countOrigin:
		gr.origins.Put(now, core.StreamKey(cm.Endpoint), core.Build(cm.Calls), time.Duration(min(maxAgeMs, cm.Ask))*time.Millisecond)
	case countOriginQuery:
		value := gr.handleOriginQuery(now, core.StreamKey(cm.Endpoint))
		gr.sendCount(from, &countMessage{Kind: countReply, Endpoint: cm.Endpoint, Calls: value, Ask: cm.Ask})
	case countOthersQuery:
		value := gr.handleOthersQuery(now, core.Build(cm.Calls))
		gr.sendCount(from, &countMessage{Kind: countReply, Endpoint: cm.Endpoint, Calls: value, Ask: cm.Ask})
	case countEndedReport:
		gr.handleEndedReport(now, cm.Endpoint)
	case countEnded:
		gr.applyEnded(now, cm.Endpoint)
	case countFirstQuery:
		value := gr.handleFirstQuery(now, core.StreamKey(cm.Endpoint), core.Build(cm.Calls))
		gr.sendCount(from, &countMessage{Kind: countReply, Endpoint: cm.Endpoint, Calls: value, Ask: cm.Ask})
	case countOriginsRequest:
		gr.copies.request(from)
	case countDraining:
		gr.handleDraining(cm.Endpoint, from.String())
	case countGrantRequest:
		out := &countMessage{Kind: countReply, Endpoint: cm.Endpoint, Calls: unknownCalls, Ask: cm.Ask}
		if owner := gr.ownerOf(cm.Endpoint); owner != nil && owner.udpAddr == nil && gr.settled.Load() {
			out.Calls = gr.grant(now, cm.Endpoint, int(cm.Calls))
		}
		gr.sendCount(from, out)
	case countQuery:
		out := &countMessage{Kind: countReply, Endpoint: cm.Endpoint, Calls: unknownCalls, Ask: cm.Ask}
		if calls, known := gr.counts.table.AddCall(now, cm.Endpoint); known {
			out.Calls = uint32(calls)
		}
		gr.sendCount(from, out)
	default:
		gr.Log.Warn("Dropped a count message of unknown kind.", zap.String("Addr", from.String()), zap.Uint8("Kind", uint8(cm.Kind)))
	}
}

// sendCount sends a message about an endpoint or a stream, and returns its size in bytes.
func (gr *Group) sendCount(to net.Addr, cm *countMessage) int {
	return gr.sendOne(to, &message{Count: cm})
}

// sendOne sends a message to one peer, at the expense of the byte budget of load reports, and returns
// its size in bytes.
func (gr *Group) sendOne(to net.Addr, ms *message) int {
	socket := gr.counts.socket.Load()
	if socket == nil {
		return 0 // the process is starting or stopping
	}
	data, err := cbor.Marshal(ms)
	if err != nil {
		gr.Log.Error("Encoding a message failed.", zap.Error(err))
		return 0
	}
	gr.counts.sentBytes.Add(int64(len(data)))
	if _, err = socket.WriteTo(data, to); err != nil {
		gr.Log.Debug("Sending a message to a peer failed.", zap.String("Addr", to.String()), zap.Error(err))
	}
	return len(data)
}
