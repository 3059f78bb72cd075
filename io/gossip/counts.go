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

	"almondrill/core/gauge"
	"almondrill/core/place"
	"almondrill/core/ring"
)

// Each endpoint's count is kept by one router, on which all agree by rendezvous hashing over
// those that are alive: the endpoint's keeper. Routers pass on to it what the endpoint says
// with its answers, and ask it before they place a call there. What a router sends for this
// depends on its own requests alone, some 50 bytes each, not on how many routers or
// endpoints there are, and what it learns is a millisecond old. The keeper is also told who
// cannot reach the endpoint, and tells all once two could not.
//
// A keeper that is lost, or a new one that knows nothing yet, costs no call: the asker goes
// by what its peers told of their calls, as it does for endpoints that do not count.

const (
	// askTimeout bounds the wait for a keeper: a few ways between zones, and a busy peer's
	// turn at its processor.
	askTimeout = 5 * time.Millisecond
	// muteFor is how long a keeper that did not answer in time is not asked again: one
	// request a second then waits in vain for a router that is lost.
	muteFor = time.Second
	// unknownCalls stands for a count that the keeper does not know.
	unknownCalls = 1<<32 - 1
)

// countKind is what a countMessage is for.
type countKind uint8

const (
	countAsked countKind = iota + 1
	countAnswered
	countSaid
	// countDown tells the keeper that its sender cannot reach the endpoint, countLost all that
	// two could not.
	countDown
	countLost
	// countWanted asks the keeper for one of Calls requests a second; it answers with
	// countAnswered, whose Calls is 0 if it is granted, or else in how many ms to ask again.
	countWanted
	// countLeaves tells that the endpoint has announced that it leaves.
	countLeaves
	// countBack tells all that the keeper can connect to the endpoint again.
	countBack
)

// countMessage asks for an endpoint's calls, answers, or passes on what the endpoint said.
type countMessage struct {
	_        struct{} `cbor:",toarray"`
	Kind     countKind
	Endpoint uint64
	// Calls are those asked for or passed on, with countLost for how many ms it is to be believed;
	// Ask ties an answer to what it answers.
	Calls uint32
	Ask   uint32
}

// keeper is a router that may keep counts.
type keeper struct {
	addr string
	hash uint64
	// to is where it listens; nil for this router itself.
	to    *net.UDPAddr
	mutes *mutes
}

// mutes tells until when a keeper is not asked, in ns of the Unix epoch.
type mutes struct{ until atomic.Int64 }

// counts is the part of a Group that asks for counts and keeps them.
type counts struct {
	table   gauge.Table
	keepers atomic.Pointer[[]keeper]
	socket  atomic.Pointer[net.UDPConn]
	// sent are the bytes sent since the last tick.
	sent atomic.Int64

	mu      sync.Mutex // guards all below
	asks    uint32
	waiting map[uint32]chan uint32
	// watched are the endpoints that are looked after as they cannot be reached.
	watched map[uint64]bool
}

// listKeepers works out who may keep counts: the routers that are alive, and this one. The lock is
// held.
func (gr *Group) listKeepers() {
	all := make([]keeper, 0, len(gr.members)+1)
	all = append(all, keeper{addr: gr.Addr, hash: xxhash.Sum64String(gr.Addr)})
	for addr, me := range gr.members {
		if me.leaving || !gr.alive.Alive(addr) {
			continue
		}
		if me.to == nil {
			to, err := net.ResolveUDPAddr("udp", addr)
			if err != nil {
				gr.Log.Warn("A peer's address makes no sense.", zap.String("Addr", addr), zap.Error(err))
				continue
			}
			me.to = to
		}
		all = append(all, keeper{addr, me.hash, me.to, &me.mutes})
	}
	gr.counts.keepers.Store(&all)
}

// keeperOf is the router that keeps the endpoint's count; nil before the first tick.
func (gr *Group) keeperOf(endpoint uint64) *keeper {
	all := gr.counts.keepers.Load()
	if all == nil {
		return nil
	}
	var best *keeper
	var most uint64
	for ix := range *all {
		ke := &(*all)[ix]
		if score := ring.Mix(ke.hash, endpoint); best == nil || score > most {
			best, most = ke, score
		}
	}
	return best
}

// Ask implements core.Counts.
func (gr *Group) Ask(ctx context.Context, endpoint uint64) (int, bool) {
	ke := gr.keeperOf(endpoint)
	if ke == nil {
		return 0, false
	}
	if ke.to == nil {
		return gr.counts.table.AddCall(time.Now(), endpoint)
	}
	calls, told := gr.question(ctx, ke, &countMessage{Kind: countAsked, Endpoint: endpoint})
	return int(calls), told && calls != unknownCalls
}

// question asks a keeper and waits for its answer; false if none comes in time, or none came of
// late.
func (gr *Group) question(ctx context.Context, ke *keeper, cm *countMessage) (uint32, bool) {
	if time.Now().UnixNano() < ke.mutes.until.Load() {
		return 0, false
	}
	number, answer := gr.counts.expect()
	defer gr.counts.forget(number)
	cm.Ask = number
	gr.sendCount(ke.to, cm)
	wait := cmp.Or(gr.AskTimeout, askTimeout)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case value := <-answer:
		return value, true
	case <-timer.C:
		ke.mutes.until.Store(time.Now().Add(muteFor).UnixNano())
		gr.Log.Info("A peer did not answer about an endpoint in time.", zap.String("Addr", ke.addr), zap.Duration("Waited", wait))
	case <-ctx.Done():
	}
	return 0, false
}

// Said implements core.Counts.
func (gr *Group) Said(endpoint uint64, calls int) {
	ke := gr.keeperOf(endpoint)
	switch {
	case ke == nil:
	case ke.to == nil:
		gr.counts.table.Report(time.Now(), endpoint, calls)
	default:
		gr.sendCount(ke.to, &countMessage{Kind: countSaid, Endpoint: endpoint, Calls: uint32(calls)})
	}
}

// Down implements core.Counts.
func (gr *Group) Down(endpoint uint64) {
	ke := gr.keeperOf(endpoint)
	switch {
	case ke == nil:
	case ke.to == nil:
		gr.hearDown(time.Now(), endpoint, gr.Addr)
	default:
		gr.sendCount(ke.to, &countMessage{Kind: countDown, Endpoint: endpoint})
	}
}

// hearDown takes that a router cannot reach an endpoint. Once two cannot, all are told; the keeper
// finds out by itself whether it is one.
func (gr *Group) hearDown(now time.Time, endpoint uint64, from string) {
	if gr.counts.table.ReportUnreachable(now, endpoint, from) {
		gr.tellDown(now, endpoint, from, place.LostFor)
	}
	if gr.Reach != nil && gr.counts.startWatch(endpoint) {
		go gr.watchDown(endpoint)
	}
}

// tellDown has all routers believe for some time that the endpoint cannot be reached.
func (gr *Group) tellDown(now time.Time, endpoint uint64, from string, lasting time.Duration) {
	gr.believeDown(now, endpoint, from, lasting)
	gr.notifyPeers(&countMessage{Kind: countLost, Endpoint: endpoint, Calls: uint32(lasting.Milliseconds())})
}

// notifyPeers sends a message to all routers that are alive.
func (gr *Group) notifyPeers(cm *countMessage) {
	all := gr.counts.keepers.Load()
	if all == nil {
		return // no peer is known before the first tick
	}
	for _, ke := range *all {
		if ke.to != nil {
			gr.sendCount(ke.to, cm)
		}
	}
}

// Leaves implements core.Counts. Each router that learns of it by an answer tells all, once for
// each endpoint; a peer that the message does not reach learns of it by its own next answer. The
// request whose answer told it does not wait for that.
func (gr *Group) Leaves(endpoint uint64) {
	go gr.notifyPeers(&countMessage{Kind: countLeaves, Endpoint: endpoint})
}

// hearLeaves takes a peer's word that an endpoint leaves.
func (gr *Group) hearLeaves(endpoint uint64, from string) {
	if id, news := gr.Placer.HearLeaves(endpoint); news {
		gr.Log.Info("A peer knows that an endpoint leaves.", zap.String("Endpoint", string(id)), zap.String("From", from))
	}
}

// believeDown takes that two routers cannot reach an endpoint.
func (gr *Group) believeDown(now time.Time, endpoint uint64, from string, lasting time.Duration) {
	id, believed := gr.Placer.HearDown(now, endpoint, lasting)
	gr.Log.Info("Two routers cannot reach an endpoint.", zap.String("Endpoint", string(id)), zap.String("From", from),
		zap.Duration("For", lasting), zap.Bool("Believed", believed))
}

// expect prepares for the answer to an ask.
func (co *counts) expect() (uint32, chan uint32) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.waiting == nil {
		co.waiting = map[uint32]chan uint32{}
	}
	co.asks++
	answer := make(chan uint32, 1)
	co.waiting[co.asks] = answer
	return co.asks, answer
}

func (co *counts) forget(number uint32) {
	co.mu.Lock()
	defer co.mu.Unlock()
	delete(co.waiting, number)
}

// answered hands an answer to who waits for it; one that comes late is dropped.
func (co *counts) answered(cm *countMessage) {
	co.mu.Lock()
	defer co.mu.Unlock()
	if answer := co.waiting[cm.Ask]; answer != nil {
		answer <- cm.Calls
		delete(co.waiting, cm.Ask)
	}
}

// hearCount takes a peer's countMessage.
func (gr *Group) hearCount(now time.Time, from net.Addr, cm *countMessage) {
	switch cm.Kind {
	case countSaid:
		gr.counts.table.Report(now, cm.Endpoint, int(cm.Calls))
	case countAnswered:
		gr.counts.answered(cm)
	case countDown:
		gr.hearDown(now, cm.Endpoint, from.String())
	case countLost:
		gr.believeDown(now, cm.Endpoint, from.String(), min(mostLost, time.Duration(cm.Calls)*time.Millisecond))
	case countBack:
		gr.Placer.HearBack(cm.Endpoint)
	case countLeaves:
		gr.hearLeaves(cm.Endpoint, from.String())
	case countWanted:
		out := &countMessage{Kind: countAnswered, Endpoint: cm.Endpoint, Calls: unknownCalls, Ask: cm.Ask}
		if ke := gr.keeperOf(cm.Endpoint); ke != nil && ke.to == nil && gr.settled.Load() {
			out.Calls = gr.grant(now, cm.Endpoint, int(cm.Calls))
		}
		gr.sendCount(from, out)
	case countAsked:
		out := &countMessage{Kind: countAnswered, Endpoint: cm.Endpoint, Calls: unknownCalls, Ask: cm.Ask}
		if calls, known := gr.counts.table.AddCall(now, cm.Endpoint); known {
			out.Calls = uint32(calls)
		}
		gr.sendCount(from, out)
	default:
		gr.Log.Warn("A peer's question makes no sense.", zap.String("Addr", from.String()), zap.Uint8("Kind", uint8(cm.Kind)))
	}
}

func (gr *Group) sendCount(to net.Addr, cm *countMessage) { gr.sendOne(to, &message{Count: cm}) }

// sendOne sends a message to one peer, at the cost of what is told of calls.
func (gr *Group) sendOne(to net.Addr, ms *message) {
	socket := gr.counts.socket.Load()
	if socket == nil {
		return // the process is starting or stopping
	}
	data, err := cbor.Marshal(ms)
	if err != nil {
		gr.Log.Error("Encoding a message failed.", zap.Error(err))
		return
	}
	gr.counts.sent.Add(int64(len(data)))
	if _, err = socket.WriteTo(data, to); err != nil {
		gr.Log.Debug("Telling a peer failed.", zap.String("Addr", to.String()), zap.Error(err))
	}
}
