package gossip

import (
	"net"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"almondrill/core/swim"
)

// packedAddr is an address in a message: six bytes, or 18 for IPv6.
type packedAddr []byte

// packAddr returns nil for an invalid address.
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

// rumor is a swim.Rumor in a message.
type rumor struct {
	_           struct{} `cbor:",toarray"`
	Addr        packedAddr
	State       swim.State
	Incarnation swim.Incarnation
}

type probeKind uint8

const (
	// probeRequest is to be answered with a probeReply that has the same For.
	probeRequest probeKind = iota + 1
	// probeReply says that its sender is alive, or Target if that is set. A receiver of one with
	// For set forwards it to that peer.
	probeReply
	// probeRelay asks a peer to probe Target on behalf of the sender.
	probeRelay
)

// probeMessage checks whether a peer is alive, in some 40 bytes.
type probeMessage struct {
	_           struct{} `cbor:",toarray"`
	Kind        probeKind
	Target, For packedAddr
}

// probePeers sends the probes that are due.
func (gr *Group) probePeers(pc net.PacketConn, now time.Time) {
	if gr.ticks%probeTicks != 0 {
		return
	}
	gr.mu.Lock()
	probes := gr.membership.Tick(now)
	gr.mu.Unlock()
	for _, pr := range probes {
		pm := &probeMessage{Kind: probeRequest}
		if pr.Target != "" {
			pm.Kind, pm.Target = probeRelay, packAddr(pr.Target)
		}
		gr.sendProbe(pc, pr.To, pm, pr.About)
	}
}

// sendProbe sends a probeMessage, with what is rumored of its receiver as the first rumor.
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
	gr.counts.sentBytes.Add(int64(len(data)))
	gr.send(pc, to, data)
}

// addRumors adds the incarnation of this router and the rumors about peers that are to be spread.
func (gr *Group) addRumors(ms *message) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	ms.Incarnation = gr.membership.Incarnation()
	for _, ru := range gr.membership.Rumors(maxRumors) {
		if addr := packAddr(ru.Addr); addr != nil {
			ms.Rumors = append(ms.Rumors, rumor{Addr: addr, State: ru.State, Incarnation: ru.Incarnation})
		}
	}
}

// challenge probes the sender of a message if it may be no peer.
func (gr *Group) challenge(now time.Time, from string) {
	gr.mu.Lock()
	due := gr.membership.Challenge(now, from)
	gr.mu.Unlock()
	if socket := gr.counts.socket.Load(); due && socket != nil {
		gr.sendProbe(socket, from, &probeMessage{Kind: probeRequest}, swim.Rumor{})
	}
}

// applyRumors records with the function that a message of a peer arrived, and its rumors about others. Of one that may be no
// peer, only rumors about this router count, which it refutes. The lock is held.
func (gr *Group) applyRumors(now time.Time, from string, ms *message, received func(time.Time, string, swim.Incarnation) bool) {
	if received(now, from, ms.Incarnation) {
		gr.updateCandidates()
		gr.Log.Info("A peer is alive.", zap.String("Peer", string(ms.From)), zap.String("Addr", from))
	}
	believed := gr.membership.Alive(from)
	rumors := make([]swim.Rumor, 0, len(ms.Rumors))
	for _, ru := range ms.Rumors {
		addr, ok := ru.Addr.unpack()
		if !ok || !believed && addr != gr.Addr {
			continue
		}
		if ru.State == swim.Alive {
			gr.addNamed(now, addr)
		}
		rumors = append(rumors, swim.Rumor{Addr: addr, State: ru.State, Incarnation: ru.Incarnation})
	}
	gr.membership.ApplyRumors(now, rumors)
}

func (gr *Group) handleProbe(now time.Time, from net.Addr, ms *message) {
	gr.mu.Lock()
	received := gr.membership.Contact
	if ms.Probe.Kind == probeReply && ms.Probe.Target == nil {
		received = gr.membership.ReplyReceived
	}
	if gr.getOrAddMember(from.String()) != nil {
		gr.applyRumors(now, from.String(), ms, received)
	}
	gr.mu.Unlock()
	gr.challenge(now, from.String())
	socket := gr.counts.socket.Load()
	if from.String() == gr.Addr || socket == nil {
		return
	}
	pm := ms.Probe
	target, hasTarget := pm.Target.unpack()
	asker, relayed := pm.For.unpack()
	switch {
	case pm.Kind == probeRequest:
		gr.sendProbe(socket, from.String(), &probeMessage{Kind: probeReply, For: pm.For}, swim.Rumor{})
	case pm.Kind == probeRelay && hasTarget:
		gr.sendProbe(socket, target, &probeMessage{Kind: probeRequest, For: packAddr(from.String())}, swim.Rumor{})
	case pm.Kind == probeReply && relayed:
		gr.sendProbe(socket, asker, &probeMessage{Kind: probeReply, Target: packAddr(from.String())}, swim.Rumor{})
	case pm.Kind == probeReply && hasTarget:
		gr.mu.Lock()
		if gr.membership.Alive(from.String()) && gr.membership.Known(target) {
			gr.membership.Contact(now, target, 0)
		}
		gr.mu.Unlock()
	}
}
