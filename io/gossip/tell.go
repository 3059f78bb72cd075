package gossip

import (
	"math"
	"net"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
)

// tellCalls tells peers of the own calls, those first that were told longest ago,
// as many as the bytes allow, and each of the moves since it was told last.
//
// What a router sends is bounded, so that among hundreds it tells each peer every few seconds: a
// peer is told of all moves since its last turn.
func (gr *Group) tellCalls(pc net.PacketConn, now time.Time, leaving bool) {
	ms := gr.message(now)
	if ms.Leaving = leaving; leaving {
		gr.leave()
	}
	left := callsBytes*tick.Seconds() - float64(gr.counts.sent.Swap(0))
	gap, most := leastGap, math.MaxInt
	if ms.AsOf > gr.news {
		gr.news = ms.AsOf
		gap, most, left = 0, newsTo, math.Inf(1)
	}
	for _, tu := range gr.due(now, most, gap) {
		ms.Moves, ms.Rumors = gr.Placer.Moves(now, tu.last), nil
		gr.addRumors(ms)
		data, err := cbor.Marshal(ms)
		if err != nil {
			gr.Log.Error("Encoding a message failed.", zap.Error(err))
			return
		}
		gr.send(pc, tu.addr, data)
		gr.toldNow(tu.addr, now)
		if left -= float64(len(data)); left < float64(len(data)) {
			return
		}
	}
}

// leave has the peers that are told now tell all others.
func (gr *Group) leave() {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.alive.Leave()
}

// message holds what all messages do.
func (gr *Group) message(now time.Time) *message {
	ms := &message{
		AsOf: gr.Mirror.AsOf(), AgeMs: uint32(min(mostAgeMs, max(0, gr.Feed.Age().Milliseconds()))),
		Failing: gr.Feed.Failing(), Calls: gr.Placer.Tell(),
	}
	gr.mu.Lock()
	defer gr.mu.Unlock()
	ms.Followers = packFollowers(now, gr.followers(now))
	return ms
}

// turn is a peer to be told, and when it was last.
type turn struct {
	addr string
	last time.Time
}

// due are the peers that are to be told now, those first that were told longest ago.
func (gr *Group) due(now time.Time, most int, gap time.Duration) []turn {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	var all []turn
	for addr, me := range gr.members {
		if now.Sub(me.told) >= gap && gr.alive.MayAnswer(addr) {
			all = append(all, turn{addr, me.told})
		}
	}
	slices.SortFunc(all, func(a, b turn) int { return a.last.Compare(b.last) })
	return all[:min(most, len(all))]
}

// toldNow notes that a peer was told, unless it was forgotten meanwhile.
func (gr *Group) toldNow(addr string, now time.Time) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if me := gr.members[addr]; me != nil {
		me.told = now
	}
}

// introduce tells more to a few peers, drawn anew each time, and names others to newcomers.
func (gr *Group) introduce(pc net.PacketConn, now time.Time) {
	gr.mu.Lock()
	greet := gr.greet[:min(mostGreeted, len(gr.greet))]
	gr.greet = nil // whoever is not greeted now introduces itself again
	gr.mu.Unlock()
	gr.ticks++
	if len(greet) > 0 {
		gr.tellMore(pc, now, mostGreeting, greet)
	}
	if gr.ticks%introTicks == 1 || !gr.settled.Load() && gr.ticks%soonTicks == 1 {
		gr.tellMore(pc, now, mostNamed, gr.some(introTo))
	}
}

// tellMore sends an introduction that names at most so many peers.
func (gr *Group) tellMore(pc net.PacketConn, now time.Time, most int, to []string) {
	if len(to) == 0 {
		return
	}
	ms := gr.message(now)
	ms.From, ms.Readings = gr.Self, gr.Placer.Readings(now)
	ms.Hears, ms.Config = uint16(min(math.MaxUint16, gr.Live())), gr.inForce()
	for _, addr := range gr.living(most) {
		if packed := packAddr(addr); packed != nil {
			ms.Peers = append(ms.Peers, packed)
		}
	}
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

// living draws addresses of peers that are alive.
func (gr *Group) living(most int) []string {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	return gr.alive.Sample(most)
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

// some draws addresses of peers that may answer.
func (gr *Group) some(most int) []string {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	all := make([]string, 0, len(gr.members))
	for addr := range gr.members {
		if gr.alive.MayAnswer(addr) {
			all = append(all, addr)
		}
	}
	for ix := range all {
		other := ix + int(gr.Rand.Uint64()%uint64(len(all)-ix))
		all[ix], all[other] = all[other], all[ix]
	}
	return all[:min(most, len(all))]
}
