package gossip

import (
	"encoding/binary"
	"fmt"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/crash"
	"almondrill/core/ring"
)

// crashOwnerCount is how many routers count the crashes of a request: if one stops, the other still has
// the count.
const crashOwnerCount = 2

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

// NotifyOwners sends notices to the routers that own the crash records of their requests. Those about parts
// of prompts are sent many at a time.
func (gr *Group) NotifyOwners(now time.Time, nos ...core.CrashNotice) {
	parts, others := splitParts(nos)
	for _, no := range others {
		for _, to := range gr.crashOwners(binary.BigEndian.Uint64(no.Request[:])) {
			gr.sendCrashNotice(now, to, no)
		}
	}
	shards := map[uint64][]core.CrashNotice{}
	for _, no := range parts {
		shard := uint64(no.Request[0]) % partShards
		shards[shard] = append(shards[shard], no)
	}
	for shard, nos := range shards {
		messages := packParts(now, nos)
		for _, to := range gr.crashOwners(shard) {
			for _, pn := range messages {
				gr.sendOne(to, &message{Parts: pn})
			}
		}
	}
}

// crashOwners returns the peers that own a crash record.
func (gr *Group) crashOwners(key uint64) []*net.UDPAddr {
	all := gr.counts.candidates.Load()
	if all == nil {
		return nil // the process has just started, and no peer is known
	}
	var best [crashOwnerCount]struct {
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
	var owners []*net.UDPAddr
	for _, ca := range best {
		if ca.to != nil { // nil: this router, which records its own notices itself
			owners = append(owners, ca.to)
		}
	}
	return owners
}

const (
	// partShards is how many groups the parts of prompts fall into; the parts of a group have the same owners,
	// so that a crash costs few messages however many parts are suspected.
	partShards = 16
	// partKeySize is the size of a part's fingerprint in a message: the rest is the same for all.
	partKeySize = 8
	// maxPartsPerMessage keeps a message within a datagram.
	maxPartsPerMessage = 150
)

// partsNotice is a core.CrashNotice about several parts of prompts that have the same crashes.
type partsNotice struct {
	_       struct{} `cbor:",toarray"`
	Kind    core.CrashNoticeKind
	Crashes []crashEntry
	Keys    []byte
}

// splitParts separates the notices about parts of prompts from the others.
func splitParts(nos []core.CrashNotice) (parts, others []core.CrashNotice) {
	for _, no := range nos {
		if crash.IsPart(no.Request) {
			parts = append(parts, no)
		} else {
			others = append(others, no)
		}
	}
	return parts, others
}

// packParts packs notices about parts into as few messages as hold them.
func packParts(now time.Time, nos []core.CrashNotice) []*partsNotice {
	var all []*partsNotice
	open := map[string]*partsNotice{}
	for _, no := range nos {
		entries := entriesOf(now, no.Crashes)
		key := fmt.Sprint(no.Kind, entries)
		pn := open[key]
		if pn == nil || len(pn.Keys) >= maxPartsPerMessage*partKeySize {
			pn = &partsNotice{Kind: no.Kind, Crashes: entries}
			open[key] = pn
			all = append(all, pn)
		}
		pn.Keys = append(pn.Keys, no.Request[:partKeySize]...)
	}
	return all
}

func entriesOf(now time.Time, crashes []core.Crash) []crashEntry {
	var entries []crashEntry
	for _, cr := range crashes {
		age := min(maxAgeMs, max(0, now.Sub(cr.At).Milliseconds()))
		entries = append(entries, crashEntry{Endpoint: cr.Endpoint, AgeMs: uint32(age)})
	}
	return entries
}

// handlePartsNotice handles a peer's notice about parts of prompts.
func (gr *Group) handlePartsNotice(now time.Time, from string, pn *partsNotice) {
	if len(pn.Keys)%partKeySize != 0 {
		gr.Log.Warn("Dropped an invalid notice about parts from a peer.", zap.String("Addr", from), zap.Int("Bytes", len(pn.Keys)))
		return
	}
	cm := &crashNotice{Kind: pn.Kind, Crashes: pn.Crashes}
	for key := range slices.Chunk(pn.Keys, partKeySize) {
		fp := crash.PartFingerprint(binary.BigEndian.Uint64(key))
		cm.Request = fp[:]
		gr.handleCrashNotice(now, from, cm)
	}
}

// NotifyAll sends notices to all routers; where there are more than updateFanout, to that many
// random ones. The others learn of it through the store, or by a later notice.
func (gr *Group) NotifyAll(now time.Time, nos ...core.CrashNotice) {
	parts, others := splitParts(nos)
	messages := packParts(now, parts)
	for _, addr := range gr.randomReachable(updateFanout) {
		to, err := net.ResolveUDPAddr("udp", addr)
		if err != nil {
			gr.Log.Warn("A peer's address is invalid.", zap.String("Addr", addr), zap.Error(err))
			continue
		}
		for _, no := range others {
			gr.sendCrashNotice(now, to, no)
		}
		for _, pn := range messages {
			gr.sendOne(to, &message{Parts: pn})
		}
	}
}

func (gr *Group) sendCrashNotice(now time.Time, to net.Addr, no core.CrashNotice) {
	cm := &crashNotice{Kind: no.Kind, Request: no.Request[:], Crashes: entriesOf(now, no.Crashes)}
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
