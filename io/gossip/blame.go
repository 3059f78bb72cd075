package gossip

import (
	"encoding/binary"
	"net"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/ring"
)

// blameKeepers is how many routers count the crashes of a request: when one ends, the other
// still knows.
const blameKeepers = 2

// blameMessage is a core.BlameNote on its way, some 60 bytes.
type blameMessage struct {
	_       struct{} `cbor:",toarray"`
	Kind    core.BlameKind
	Request []byte
	Crashes []blameCrash
}

type blameCrash struct {
	_        struct{} `cbor:",toarray"`
	Endpoint uint64
	AgeMs    uint32
}

// TellKeepers sends a note to the routers that count for its request.
func (gr *Group) TellKeepers(now time.Time, no core.BlameNote) {
	all := gr.counts.keepers.Load()
	if all == nil {
		return // the process has just started, and nobody is known
	}
	key := binary.BigEndian.Uint64(no.Request[:])
	var best [blameKeepers]struct {
		to    *net.UDPAddr
		score uint64
	}
	for _, ke := range *all {
		to, score := ke.to, ring.Mix(ke.hash, key)
		for ix := range best {
			if score > best[ix].score {
				best[ix].to, to = to, best[ix].to
				best[ix].score, score = score, best[ix].score
			}
		}
	}
	for _, ke := range best {
		if ke.to != nil { // nil: this router, which counts what it tells
			gr.sendBlame(now, ke.to, no)
		}
	}
}

// TellAll sends a note to all routers; where there are more than newsTo, to as many that are
// drawn. The others hear of it through the store, or by a later note.
func (gr *Group) TellAll(now time.Time, no core.BlameNote) {
	for _, addr := range gr.some(newsTo) {
		to, err := net.ResolveUDPAddr("udp", addr)
		if err != nil {
			gr.Log.Warn("A peer's address makes no sense.", zap.String("Addr", addr), zap.Error(err))
			continue
		}
		gr.sendBlame(now, to, no)
	}
}

func (gr *Group) sendBlame(now time.Time, to net.Addr, no core.BlameNote) {
	bm := &blameMessage{Kind: no.Kind, Request: no.Request[:]}
	for _, cr := range no.Crashes {
		age := min(mostAgeMs, max(0, now.Sub(cr.At).Milliseconds()))
		bm.Crashes = append(bm.Crashes, blameCrash{Endpoint: cr.Endpoint, AgeMs: uint32(age)})
	}
	gr.sendOne(to, &message{Blame: bm})
}

// hearBlame takes a peer's note.
func (gr *Group) hearBlame(now time.Time, from string, bm *blameMessage) {
	no := core.BlameNote{Kind: bm.Kind}
	if len(bm.Request) != len(no.Request) || bm.Kind < core.BlameSuspected || bm.Kind > core.BlameCleared {
		gr.Log.Warn("A peer's note of a request makes no sense.", zap.String("Addr", from), zap.Uint8("Kind", uint8(bm.Kind)))
		return
	}
	no.Request = core.Fingerprint(bm.Request)
	for _, cr := range bm.Crashes {
		at := now.Add(-time.Duration(min(cr.AgeMs, mostAgeMs)) * time.Millisecond)
		no.Crashes = append(no.Crashes, core.Crash{Endpoint: cr.Endpoint, At: at})
	}
	if gr.Blamed != nil {
		gr.Blamed(now, from, no)
	}
}
