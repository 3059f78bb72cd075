package deny

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
	// ownerCount is how many routers count the crashes of a request.
	ownerCount = 2
	// maxNotified bounds the routers to which a notice is sent. The others learn of a quarantine
	// from the store.
	maxNotified   = 64
	notifyTimeout = 2 * time.Second
	// noticeSize is the approximate size of a notice on the wire.
	noticeSize core.Bytes = 96
)

// BoardPeers implements Peers for routers that use agents: it sends notices to the other routers on
// the board. Set the exported fields before use.
type BoardPeers struct {
	Board *board.Board
	Peers core.Peers
	Rand  core.Rand
	// BytesSent is called with the size of each notice before it is sent.
	BytesSent func(size core.Bytes)
	Log       *zap.Logger
}

var _ Peers = (*BoardPeers)(nil)

// NotifyOwners implements Peers. The owners of a request are the routers that rendezvous hashing
// ranks highest for it.
func (bp *BoardPeers) NotifyOwners(_ time.Time, nos ...core.CrashNotice) {
	for _, no := range nos {
		bp.notifyOwners(no)
	}
}

func (bp *BoardPeers) notifyOwners(no core.CrashNotice) {
	key := binary.BigEndian.Uint64(no.Request[:])
	self := bp.Board.Self.ID
	var best [ownerCount]struct {
		vm    core.VMID
		score uint64
	}
	for _, vm := range append([]core.VMID{self}, bp.others()...) {
		score := ring.Mix(decl.HashName(string(vm)), key)
		for ix := range best {
			if score > best[ix].score {
				best[ix].vm, vm = vm, best[ix].vm
				best[ix].score, score = score, best[ix].score
			}
		}
	}
	for _, ow := range best {
		if ow.vm != "" && ow.vm != self {
			bp.notify(ow.vm, no)
		}
	}
}

// NotifyAll implements Peers. It notifies at most maxNotified routers, chosen at random.
func (bp *BoardPeers) NotifyAll(_ time.Time, nos ...core.CrashNotice) {
	all := bp.others()
	for ix := range min(maxNotified, len(all)) {
		other := ix + int(bp.Rand.Uint64()%uint64(len(all)-ix))
		all[ix], all[other] = all[other], all[ix]
		for _, no := range nos {
			bp.notify(all[ix], no)
		}
	}
}

// others returns all routers but this one.
func (bp *BoardPeers) others() []core.VMID {
	var all []core.VMID
	for _, vm := range bp.Board.Snapshot().Routers {
		if vm != bp.Board.Self.ID {
			all = append(all, vm)
		}
	}
	return all
}

// notify sends a notice in the background.
func (bp *BoardPeers) notify(to core.VMID, no core.CrashNotice) {
	bp.BytesSent(noticeSize)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		if err := bp.Peers.NotifyCrash(ctx, to, &no); err != nil {
			bp.Log.Debug("Sending a crash notice to a peer failed.", zap.String("Peer", string(to)), zap.Error(err))
		}
	}()
}
