package gossip

import (
	"math"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
)

// broadcast tells peers of the own calls, those first that were told longest ago,
// as many as the bytes allow, and each of the moves since it was told last.
//
// What a router sends is bounded, so that among hundreds it tells each peer every few seconds: a
// peer is told of all moves since its last turn.
func (gr *Group) broadcast(pc net.PacketConn, now time.Time, leaving bool) {
	ms := gr.message(now)
	if ms.Leaving = leaving; leaving {
		gr.announceLeave()
	}
	budget := maxCallsBytesPerSecond*tickInterval.Seconds() - float64(gr.counts.sentBytes.Swap(0))
	interval, maxPeers := minSendInterval, math.MaxInt
	if ms.AsOf > gr.broadcastRev {
		gr.broadcastRev = ms.AsOf
		interval, maxPeers, budget = 0, updateFanout, math.Inf(1)
	}
	for _, ta := range gr.due(now, maxPeers, interval) {
		ms.Moves, ms.Rumors = gr.Placer.Moves(now, ta.lastSent), nil
		gr.addRumors(ms)
		data, err := cbor.Marshal(ms)
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

// announceLeave has the peers that are told now tell all others.
func (gr *Group) announceLeave() {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.membership.Leave()
}

// message holds what all messages do.
func (gr *Group) message(now time.Time) *message {
	ms := &message{
		AsOf: gr.Mirror.AsOf(), AgeMs: uint32(min(maxAgeMs, max(0, gr.Feed.Age().Milliseconds()))),
		Failing: gr.Feed.Failing(), Calls: gr.Placer.LoadReport(),
	}
	gr.mu.Lock()
	defer gr.mu.Unlock()
	ms.Watchers = packWatchers(now, gr.electedWatchers(now))
	return ms
}

// target is a peer to be told, and when it was last.
type target struct {
	addr     string
	lastSent time.Time
}

// due are the peers that are to be told now, those first that were told longest ago.
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

// markSent notes that a peer was told, unless it was forgotten meanwhile.
func (gr *Group) markSent(addr string, now time.Time) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if me := gr.members[addr]; me != nil {
		me.lastSent = now
	}
}

// exchangePeers tells more to a few peers, drawn anew each time, and names others to newcomers.
func (gr *Group) exchangePeers(pc net.PacketConn, now time.Time) {
	gr.mu.Lock()
	joining := gr.joining[:min(maxJoinReplies, len(gr.joining))]
	gr.joining = nil // whoever is not greeted now introduces itself again
	gr.mu.Unlock()
	gr.ticks++
	if len(joining) > 0 {
		gr.sendPeerExchange(pc, now, maxJoinReplyPeers, joining)
	}
	if gr.ticks%exchangeTicks == 1 || !gr.settled.Load() && gr.ticks%unsettledExchangeTicks == 1 {
		gr.sendPeerExchange(pc, now, maxExchangePeers, gr.randomReachable(exchangeFanout))
	}
}

// sendPeerExchange sends an introduction that names at most so many peers.
func (gr *Group) sendPeerExchange(pc net.PacketConn, now time.Time, maxPeers int, to []string) {
	if len(to) == 0 {
		return
	}
	ms := gr.message(now)
	ms.From, ms.Readings = gr.Self, gr.Placer.Readings(now)
	ms.PeersHeard, ms.Config = uint16(min(math.MaxUint16, gr.Live())), gr.configInForce()
	for _, addr := range gr.randomAlive(maxPeers) {
		if packed := packAddr(addr); packed != nil {
			ms.Peers = append(ms.Peers, packed)
		}
	}
	data, err := cbor.Marshal(ms)
	for err == nil && len(data) > maxDatagram && len(ms.Readings) > 0 {
		ms.Readings = ms.Readings[:len(ms.Readings)/2]
		data, err = cbor.Marshal(ms)
	}
	if err != nil {
		gr.Log.Error("Encoding a message failed.", zap.Error(err))
		return
	}
	for _, addr := range to {
		gr.send(pc, addr, data)
	}
}

// randomAlive draws addresses of peers that are alive.
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
		gr.Log.Debug("Telling a peer failed.", zap.String("Addr", addr), zap.Error(err))
	}
}

// randomReachable draws addresses of peers that may answer.
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
