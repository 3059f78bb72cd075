package place

import (
	"encoding/binary"
	"time"

	"almondrill/core"
)

const (
	// moveSize is the size of a move in a message: four bytes of the chat's hash, two of the
	// endpoint's.
	moveSize = 6
	// moveTTL is how long a move is sent to peers that have not received it: most chats return
	// within it, and one peer of hundreds is sent a message every few seconds.
	moveTTL = 10 * time.Second
	// maxMoves bounds the moves in a message. A busy router makes some 5 per second.
	maxMoves = 40
	// maxMovedChats bounds the remembered moves of peers, 16 bytes each.
	maxMovedChats = 16384
)

// move is this router's placement of a chat away from its home.
type move struct {
	at       time.Time
	chat     uint32
	endpoint uint16
}

func shortChatHash(chat uint64) uint32 { return uint32(chat >> 32) }

// recordMove keeps a move for the next messages to peers.
func (pl *Placer) recordMove(now time.Time, chat, endpoint uint64) {
	if len(pl.moves) >= maxMoves {
		pl.moves = pl.moves[1:]
	}
	pl.moves = append(pl.moves, move{now, shortChatHash(chat), shortHash(endpoint)})
}

// Moves encodes this router's placements of chats away from their homes after since. Peers that
// know of them have a chat's context fetched from there instead of prefilled again.
func (pl *Placer) Moves(now, since time.Time) []byte {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var packed []byte
	for _, mo := range pl.moves {
		if !mo.at.After(since) || now.Sub(mo.at) > moveTTL {
			continue
		}
		packed = binary.BigEndian.AppendUint32(packed, mo.chat)
		packed = binary.BigEndian.AppendUint16(packed, mo.endpoint)
	}
	return packed
}

// ApplyMoves records a peer's moves.
func (pl *Placer) ApplyMoves(packed []byte) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for ; len(packed) >= moveSize; packed = packed[moveSize:] {
		if pl.movedChats == nil || len(pl.movedChats) >= maxMovedChats {
			// All are dropped at once: each is useful for seconds only.
			pl.movedChats = map[uint32]uint16{}
		}
		pl.movedChats[binary.BigEndian.Uint32(packed)] = binary.BigEndian.Uint16(packed[4:])
	}
}

// reportedHolder returns the endpoint where a peer has placed the chat.
func (pl *Placer) reportedHolder(ch *choice) (*state, core.Tokens) {
	parts := ch.rq.Parts
	if len(parts) < 2 {
		return nil, 0
	}
	endpoint, known := pl.movedChats[shortChatHash(chatKey(ch.prefixes))]
	if !known {
		return nil, 0
	}
	for _, st := range pl.byShortHash[endpoint] {
		if ch.eligible(pl, st) && st.canTransfer(ch.now) {
			return st, promptTokens(parts[:len(parts)-1])
		}
	}
	return nil, 0
}
