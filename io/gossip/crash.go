package gossip

import (
	"encoding/binary"
	"net"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/ring"
)

// crashOwners is how many routers count the crashes of a request: if one stops, the other still has
// the count.
const crashOwners = 2

// crashNotice is a core.CrashNotice in a message, some 60 bytes.
type crashNotice struct {
	_       struct{} `cbor:",toarray"`
	Kind    core.CrashNoticeKind
	Request []byte
	Crashes []crashEntry
}

type crashEntry struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint64
	AgeMs    uint32
}

// NotifyOwners sends a notice to the routers that own the crash record of its request.
func (gr *Group) NotifyOwners(now time.Time, no core.CrashNotice) {
	all := gr.counts.candidates.Load()
	if all == nil {
		return // the process has just started, and no peer is known
	}
	key := binary.BigEndian.Uint64(no.Request[:])
	var best [crashOwners]struct {
		to    *net.UDPAddr
		score uint64
	}
	for _, ca := range *all {
		to, score := ca.udpAddr, ring.Mix(ca.hash, key)
		for ix := range best {
			if score > best[ix].score {
				best[ix].to, to = to, best[ix].to
				best[ix].score, score = score, best[ix].score
			}
		}
	}
	for _, ca := range best {
		if ca.to != nil { // nil: this router, which records its own notices itself
			gr.sendCrashNotice(now, ca.to, no)
		}
	}
}

// NotifyAll sends a notice to all routers; where there are more than updateFanout, to that many
// random ones. The others learn of it through the store, or by a later notice.
func (gr *Group) NotifyAll(now time.Time, no core.CrashNotice) {
	for _, addr := range gr.randomReachable(updateFanout) {
		to, err := net.ResolveUDPAddr("udp", addr)
		if err != nil {
			gr.Log.Warn("A peer's address is invalid.", zap.String("Addr", addr), zap.Error(err))
			continue
		}
		gr.sendCrashNotice(now, to, no)
	}
}

func (gr *Group) sendCrashNotice(now time.Time, to net.Addr, no core.CrashNotice) {
	cm := &crashNotice{Kind: no.Kind, Request: no.Request[:]}
	for _, cr := range no.Crashes {
		age := min(maxAgeMs, max(0, now.Sub(cr.At).Milliseconds()))
		cm.Crashes = append(cm.Crashes, crashEntry{Endpoint: cr.Endpoint, AgeMs: uint32(age)})
	}
	gr.sendOne(to, &message{Crash: cm})
}

func (gr *Group) handleCrashNotice(now time.Time, from string, cm *crashNotice) {
	no := core.CrashNotice{Kind: cm.Kind}
	if len(cm.Request) != len(no.Request) || cm.Kind < core.NoticeSuspected || cm.Kind > core.NoticeCleared {
		gr.Log.Warn("Dropped an invalid crash notice from a peer.", zap.String("Addr", from), zap.Uint8("Kind", uint8(cm.Kind)))
		return
	}
	no.Request = core.Fingerprint(cm.Request)
	for _, cr := range cm.Crashes {
		at := now.Add(-time.Duration(min(cr.AgeMs, maxAgeMs)) * time.Millisecond)
		no.Crashes = append(no.Crashes, core.Crash{Endpoint: cr.Endpoint, At: at})
	}
	if gr.Blamed != nil {
		gr.Blamed(now, from, no)
	}
}
