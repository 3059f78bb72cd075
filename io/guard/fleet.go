package guard

import (
	"context"
	"encoding/binary"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/board"
	"almondrill/core/decl"
	"almondrill/core/ring"
)

const (
	// fleetKeepers is how many routers count the crashes of a request.
	fleetKeepers = 2
	// mostTold bounds the routers that are told at once; the others read the store.
	mostTold = 64
	// tellTimeout bounds telling one.
	tellTimeout = 2 * time.Second
	// noteSize is about what a note takes on the wire.
	noteSize core.Bytes = 96
)

// Fleet is the other routers before agents, as a router's board knows them. Set the exported
// fields before use.
type Fleet struct {
	Board *board.Board
	Peers core.Peers
	Rand  core.Rand
	// Spent is told of what was sent.
	Spent func(size core.Bytes)
	Log   *zap.Logger
}

var _ Peers = (*Fleet)(nil)

// TellKeepers implements Peers: keepers are those of the highest rank by rendezvous hashing.
func (fl *Fleet) TellKeepers(_ time.Time, no core.CrashNotice) {
	key := binary.BigEndian.Uint64(no.Request[:])
	self := fl.Board.Self.ID
	var best [fleetKeepers]struct {
		vm    core.VMID
		score uint64
	}
	for _, vm := range append([]core.VMID{self}, fl.others()...) {
		score := ring.Mix(decl.HashName(string(vm)), key)
		for ix := range best {
			if score > best[ix].score {
				best[ix].vm, vm = vm, best[ix].vm
				best[ix].score, score = score, best[ix].score
			}
		}
	}
	for _, ke := range best {
		if ke.vm != "" && ke.vm != self {
			fl.tell(ke.vm, no)
		}
	}
}

// TellAll implements Peers.
func (fl *Fleet) TellAll(_ time.Time, no core.CrashNotice) {
	all := fl.others()
	for ix := range min(mostTold, len(all)) {
		other := ix + int(fl.Rand.Uint64()%uint64(len(all)-ix))
		all[ix], all[other] = all[other], all[ix]
		fl.tell(all[ix], no)
	}
}

// others are the other routers.
func (fl *Fleet) others() []core.VMID {
	var all []core.VMID
	for _, vm := range fl.Board.Snapshot().Routers {
		if vm != fl.Board.Self.ID {
			all = append(all, vm)
		}
	}
	return all
}

// tell sends a note without waiting for it.
func (fl *Fleet) tell(to core.VMID, no core.CrashNotice) {
	fl.Spent(noteSize)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
		defer cancel()
		if err := fl.Peers.NotifyCrash(ctx, to, &no); err != nil {
			fl.Log.Debug("Telling a peer of a request failed.", zap.String("Peer", string(to)), zap.Error(err))
		}
	}()
}
