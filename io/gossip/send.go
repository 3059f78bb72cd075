package gossip

import (
	"math"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"almondrill/core/place"
)

// broadcast sends a load report to as many peers as the byte budget allows, least recently updated
// peers first, and to each the moves since its last report.
//
// As the bytes are bounded, a router among hundreds reports to each peer every few seconds only, so
// a report has all moves since the last one to that peer.
func (gr *Group) broadcast(pc net.PacketConn, now time.Time, leaving bool) {
	ms := gr.message(now)
	if ms.Leaving = leaving; leaving {
		gr.announceLeave()
	}
	budget := maxCallsBytesPerSecond * tickInterval.Seconds()
	budget -= gr.demand.repay(budget) + float64(gr.counts.sentBytes.Swap(0))
	interval, maxPeers := minSendInterval, math.MaxInt
	if ms.AsOf > gr.broadcastRev {
		gr.broadcastRev = ms.AsOf
		interval, maxPeers, budget = 0, updateFanout, math.Inf(1)
	}
	speeds := gr.Placer.Speeds(now)
	for _, ta := range gr.due(now, maxPeers, interval) {
		ms.Moves, ms.Rumors = gr.Placer.Moves(now, ta.lastSent), nil
		ms.Speeds = place.SpeedsWithin(speeds, now.Sub(ta.lastSent))
		gr.addRumors(ms)
		data, err := encodeReport(ms)
		if err != nil {
			gr.Log.Error("Encoding a message failed.", zap.Error(err))
			return
		}
		gr.send(pc, ta.addr, data)
		gr.markSent(ta.addr, now)
		if budget -= float64(len(data)); budget < float64(len(data)) {
			return
		}
	}
}

// encodeReport encodes a load report. If it is too large for a datagram, memory, speeds and levels are
// left out: peers assume the mean of calls, and other routers forward the rest too.
func encodeReport(ms *message) ([]byte, error) {
	data, err := cbor.Marshal(ms)
	shorter := *ms
	for err == nil && len(data) > maxDatagram && shorter.shorten() {
		data, err = cbor.Marshal(&shorter)
	}
	return data, err
}

// shorten leaves out what a message can do without, and returns false if nothing of it is left.
func (ms *message) shorten() bool {
	switch {
	case ms.Memory != nil:
		ms.Memory = nil // a part of it would not fit Calls
	case ms.Speeds != nil:
		ms.Speeds = nil
	case len(ms.Levels) > 0:
		ms.Levels = ms.Levels[:len(ms.Levels)/2]
	case len(ms.Readings) > 0:
		ms.Readings = ms.Readings[:len(ms.Readings)/2]
	default:
		return false
	}
	return true
}

// announceLeave lets the peers that get the next messages tell all others that this router shuts
// down.
func (gr *Group) announceLeave() {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.membership.Leave()
}

// message returns a message with the fields that load reports and peer exchanges share.
func (gr *Group) message(now time.Time) *message {
	ms := &message{
		AsOf: gr.Mirror.AsOf(), AgeMs: uint32(min(maxAgeMs, max(0, gr.Feed.Age().Milliseconds()))),
		Failing: gr.Feed.Failing(), Levels: gr.demand.toForward(now),
	}
	ms.Calls, ms.Memory = gr.Placer.LoadReportWithMemory()
	gr.mu.Lock()
	defer gr.mu.Unlock()
	ms.Watchers = packWatchers(now, gr.electedWatchers(now))
	return ms
}

// target is a peer that is due a load report, and when it was last sent one.
type target struct {
	addr     string
	lastSent time.Time
}

// due returns the peers that are to be sent a load report now, least recently updated first.
func (gr *Group) due(now time.Time, maxPeers int, interval time.Duration) []target {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	var all []target
	for addr, me := range gr.members {
		if now.Sub(me.lastSent) >= interval && gr.membership.MayAnswer(addr) {
			all = append(all, target{addr, me.lastSent})
		}
	}
	slices.SortFunc(all, func(a, b target) int { return a.lastSent.Compare(b.lastSent) })
	return all[:min(maxPeers, len(all))]
}

// markSent records that a peer was sent a load report, unless it was removed meanwhile.
func (gr *Group) markSent(addr string, now time.Time) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if me := gr.members[addr]; me != nil {
		me.lastSent = now
	}
}

// exchangePeers sends join replies, and regularly a peer exchange to a few random peers.
func (gr *Group) exchangePeers(pc net.PacketConn, now time.Time) {
	gr.mu.Lock()
	joining := gr.joining[:min(maxJoinReplies, len(gr.joining))]
	gr.joining = nil // a peer that gets no reply now sends a peer exchange again
	gr.mu.Unlock()
	gr.ticks++
	if len(joining) > 0 {
		gr.sendPeerExchange(pc, now, maxJoinReplyPeers, joining)
	}
	if gr.ticks%exchangeTicks == 1 || !gr.settled.Load() && gr.ticks%unsettledExchangeTicks == 1 {
		gr.sendPeerExchange(pc, now, maxExchangePeers, gr.randomReachable(exchangeFanout))
	}
}

// sendPeerExchange sends a peer exchange that names at most maxPeers peers. If it is too large for a
// datagram, memory, speeds and readings are left out.
func (gr *Group) sendPeerExchange(pc net.PacketConn, now time.Time, maxPeers int, to []string) {
	if len(to) == 0 {
		return
	}
	ms := gr.message(now)
	ms.From, ms.Readings, ms.Speeds, ms.Levels = gr.Self, gr.Placer.Readings(now), gr.Placer.Speeds(now), nil
	ms.LivePeers, ms.Config = uint16(min(math.MaxUint16, gr.Live())), gr.configInForce()
	for _, addr := range gr.randomAlive(maxPeers) {
		if packed := packAddr(addr); packed != nil {
			ms.Peers = append(ms.Peers, packed)
		}
	}
	data, err := encodeReport(ms)
	if err != nil {
		gr.Log.Error("Encoding a message failed.", zap.Error(err))
		return
	}
	for _, addr := range to {
		gr.send(pc, addr, data)
	}
}

// randomAlive returns addresses of random peers that are alive.
func (gr *Group) randomAlive(limit int) []string {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.membership.Sample(limit)
}

func (gr *Group) send(pc net.PacketConn, addr string, data []byte) {
	ua, err := net.ResolveUDPAddr("udp", addr)
	if err == nil {
		_, err = pc.WriteTo(data, ua)
	}
	if err != nil {
		gr.Log.Debug("Sending a message to a peer failed.", zap.String("Addr", addr), zap.Error(err))
	}
}

// randomReachable returns addresses of random peers that are not known to be dead.
func (gr *Group) randomReachable(limit int) []string {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	all := make([]string, 0, len(gr.members))
	for addr := range gr.members {
		if gr.membership.MayAnswer(addr) {
			all = append(all, addr)
		}
	}
	for ix := range all {
		other := ix + int(gr.Rand.Uint64()%uint64(len(all)-ix))
		all[ix], all[other] = all[other], all[ix]
	}
	return all[:min(limit, len(all))]
}
