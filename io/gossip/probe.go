package gossip

import (
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"almondrill/core/swim"
)

// packedAddr is an address on its way: six bytes, or 18 where it is of IPv6.
type packedAddr []byte

// packAddr returns nil for an address that makes no sense.
func packAddr(addr string) packedAddr {
	ap, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil
	}
	packed, _ := ap.MarshalBinary() // never fails
	return packed
}

func (pa packedAddr) unpack() (string, bool) {
	var ap netip.AddrPort
	if err := ap.UnmarshalBinary(pa); err != nil || !ap.IsValid() {
		return "", false
	}
	return ap.String(), true
}

// rumor is a swim.Rumor on its way.
type rumor struct {
	_           struct{} `cbor:",toarray"`
	Addr        packedAddr
	State       swim.State
	Incarnation swim.Incarnation
}

// probeKind is what a probeMessage is for.
type probeKind uint8

const (
	// probeAsked is to be answered, with For as it is.
	probeAsked probeKind = iota + 1
	// probeAnswered tells that its sender is alive, or Target if there is one. Whoever gets one
	// with For passes it on to that peer.
	probeAnswered
	// probeWanted asks a peer to probe Target.
	probeWanted
)

// probeMessage finds out whether a peer is alive, some 40 bytes.
type probeMessage struct {
	_           struct{} `cbor:",toarray"`
	Kind        probeKind
	Target, For packedAddr
}

// probePeers probes the peers whose turn it is.
func (gr *Group) probePeers(pc net.PacketConn, now time.Time) {
	if gr.ticks%probeTicks != 0 {
		return
	}
	gr.mu.Lock()
	probes := gr.alive.Tick(now)
	gr.mu.Unlock()
	for _, pr := range probes {
		pm := &probeMessage{Kind: probeAsked}
		if pr.Target != "" {
			pm.Kind, pm.Target = probeWanted, packAddr(pr.Target)
		}
		gr.sendProbe(pc, pr.To, pm, pr.About)
	}
}

// sendProbe sends a probeMessage, with what was rumored of its receiver first.
func (gr *Group) sendProbe(pc net.PacketConn, to string, pm *probeMessage, about swim.Rumor) {
	ms := &message{Probe: pm}
	if about.State != swim.Unverified {
		ms.Rumors = append(ms.Rumors, rumor{Addr: packAddr(about.Addr), State: about.State, Incarnation: about.Incarnation})
	}
	gr.addRumors(ms)
	data, err := cbor.Marshal(ms)
	if err != nil {
		gr.Log.Error("Encoding a probe failed.", zap.Error(err))
		return
	}
	gr.counts.sent.Add(int64(len(data)))
	gr.send(pc, to, data)
}

// addRumors adds what is to be told of peers.
func (gr *Group) addRumors(ms *message) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	ms.Incarnation = gr.alive.Incarnation()
	for _, ru := range gr.alive.Rumors(mostRumors) {
		if addr := packAddr(ru.Addr); addr != nil {
			ms.Rumors = append(ms.Rumors, rumor{Addr: addr, State: ru.State, Incarnation: ru.Incarnation})
		}
	}
}

// hearRumors takes that a peer was heard, and what it tells of others. The lock is held.
func (gr *Group) hearRumors(now time.Time, from string, ms *message) {
	if gr.alive.MessageReceived(now, from, ms.Incarnation) {
		gr.listKeepers()
		gr.Log.Info("Hears a peer.", zap.String("Peer", string(ms.From)), zap.String("Addr", from))
	}
	rumors := make([]swim.Rumor, 0, len(ms.Rumors))
	for _, ru := range ms.Rumors {
		addr, ok := ru.Addr.unpack()
		if !ok {
			continue
		}
		if ru.State == swim.Alive {
			gr.member(addr)
		}
		rumors = append(rumors, swim.Rumor{Addr: addr, State: ru.State, Incarnation: ru.Incarnation})
	}
	gr.alive.ApplyRumors(now, rumors)
}

// hearProbe takes a probeMessage.
func (gr *Group) hearProbe(now time.Time, from net.Addr, ms *message) {
	gr.mu.Lock()
	known := gr.member(from.String()) != nil
	if known {
		gr.hearRumors(now, from.String(), ms)
	}
	gr.mu.Unlock()
	socket := gr.counts.socket.Load()
	if !known || socket == nil {
		return
	}
	pm := ms.Probe
	target, named := pm.Target.unpack()
	asker, passed := pm.For.unpack()
	switch {
	case pm.Kind == probeAsked:
		gr.sendProbe(socket, from.String(), &probeMessage{Kind: probeAnswered, For: pm.For}, swim.Rumor{})
	case pm.Kind == probeWanted && named:
		gr.sendProbe(socket, target, &probeMessage{Kind: probeAsked, For: packAddr(from.String())}, swim.Rumor{})
	case pm.Kind == probeAnswered && passed:
		gr.sendProbe(socket, asker, &probeMessage{Kind: probeAnswered, Target: packAddr(from.String())}, swim.Rumor{})
	case pm.Kind == probeAnswered && named:
		gr.mu.Lock()
		if gr.member(target) != nil {
			gr.alive.MessageReceived(now, target, 0)
		}
		gr.mu.Unlock()
	}
}
