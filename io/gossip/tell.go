package gossip

import (
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
)

// tellCalls tells peers of the own calls, those first that were told longest ago,
// as many as the bytes allow.
func (gr *Group) tellCalls(pc net.PacketConn, now time.Time, leaving bool) {
	ms := gr.message(now)
	ms.Leaving = leaving
	data, err := cbor.Marshal(ms)
	if err != nil {
		gr.Log.Error("Encoding a message failed.", zap.Error(err))
		return
	}
	left := callsBytes*tick.Seconds() - float64(gr.counts.sent.Swap(0))
	allowed := max(1, int(left/float64(len(data))))
	gap := leastGap
	if ms.AsOf > gr.news {
		gr.news = ms.AsOf
		allowed, gap = newsTo, 0
	}
	for _, addr := range gr.due(now, allowed, gap) {
		gr.send(pc, addr, data)
	}
}

// message holds what all messages do.
func (gr *Group) message(now time.Time) *message {
	return &message{
		AsOf: gr.Mirror.AsOf(), AgeMs: uint32(min(mostAgeMs, max(0, gr.Feed.Age().Milliseconds()))),
		Failing: gr.Feed.Failing(), Calls: gr.Placer.Tell(), Moves: gr.Placer.Moves(now),
	}
}

// due are the peers that are to be told now.
func (gr *Group) due(now time.Time, most int, gap time.Duration) []string {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	var all []string
	for addr, me := range gr.members {
		if now.Sub(me.told) >= gap {
			all = append(all, addr)
		}
	}
	slices.SortFunc(all, func(a, b string) int { return gr.members[a].told.Compare(gr.members[b].told) })
	all = all[:min(most, len(all))]
	for _, addr := range all {
		gr.members[addr].told = now
	}
	return all
}

// introduce tells more to peers that are new, and now and then to a few others,
// drawn anew each time.
func (gr *Group) introduce(pc net.PacketConn, now time.Time) {
	gr.mu.Lock()
	to := gr.greet
	gr.greet = nil
	gr.mu.Unlock()
	gr.ticks++
	if gr.ticks%introTicks == 1 {
		to = append(to, gr.some(introTo)...)
	}
	if len(to) == 0 {
		return
	}
	ms := gr.message(now)
	ms.From, ms.Known, ms.Readings = gr.Self, gr.some(mostNamed), gr.Placer.Readings(now)
	data, err := cbor.Marshal(ms)
	for err == nil && len(data) > mostDatagram && len(ms.Readings) > 0 {
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

func (gr *Group) send(pc net.PacketConn, addr string, data []byte) {
	ua, err := net.ResolveUDPAddr("udp", addr)
	if err == nil {
		_, err = pc.WriteTo(data, ua)
	}
	if err != nil {
		gr.Log.Debug("Telling a peer failed.", zap.String("Addr", addr), zap.Error(err))
	}
}

// some draws addresses of peers.
func (gr *Group) some(most int) []string {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	all := make([]string, 0, len(gr.members))
	for addr := range gr.members {
		all = append(all, addr)
	}
	for ix := range all {
		other := ix + int(gr.Rand.Uint64()%uint64(len(all)-ix))
		all[ix], all[other] = all[other], all[ix]
	}
	return all[:min(most, len(all))]
}
