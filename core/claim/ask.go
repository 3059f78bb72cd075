package claim

import (
	"context"
	"slices"
	"time"

	"almondrill/core"
	"almondrill/core/board"
	"almondrill/core/ring"
)

// ownerTimeout bounds the wait for a keeper on another VM. After it the agent
// writes the claim itself: that is as safe, only not grouped with others.
const ownerTimeout = 700 * time.Millisecond

// Dispatcher brings claims to their keepers. Set the exported fields before use.
type Dispatcher struct {
	Board  *board.Board
	Peers  core.Peers
	Clock  core.Clock
	Writer *Writer
	Self   core.Claimant
}

// Claim asks the keeper of the claim's shard, or the own one where that cannot be
// reached or does not answer in time.
func (di *Dispatcher) Claim(ctx context.Context, cl *core.Claim) (*core.ClaimReply, error) {
	to := di.ownerOf(ShardOf(cl.Hash, di.Writer.Shards))
	if to == di.Self.VM || to == "" {
		return di.Writer.Claim(ctx, cl)
	}
	remote, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	if rp, err := di.Peers.Claim(remote, to, cl); err == nil {
		return rp, nil
	}
	return di.Writer.Claim(ctx, cl)
}

// ownerOf names the agent that rendezvous hashing gives the shard to.
func (di *Dispatcher) ownerOf(shard int) core.VMID {
	sn := di.Board.Snapshot()
	ix := ring.Best(sn.AgentRing, ring.Mix(uint64(shard)+1, claimSalt), true)
	if ix < 0 {
		return ""
	}
	return sn.Agents[ix]
}

const claimSalt = 0xc1a1

// Alive tells whether the claimant is, as far as this process knows, still the
// one that runs on its VM.
func (di *Dispatcher) Alive(by core.Claimant) bool {
	sn := di.Board.Snapshot()
	if !slices.Contains(sn.Agents, by.VM) {
		return false
	}
	for _, po := range sn.Pools {
		ix := po.Index(by.VM)
		if ix >= 0 && po.Members[ix].Incarnation != 0 {
			return po.Members[ix].Incarnation == by.Incarnation
		}
	}
	return true
}
