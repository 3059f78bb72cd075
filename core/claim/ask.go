package claim

import (
	"context"
	"slices"
	"time"

	"almondrill/core"
	"almondrill/core/board"
	"almondrill/core/ring"
)

// remoteWithin bounds the wait for a keeper on another VM. After it the agent
// writes the claim itself: that is as safe, only not grouped with others.
const remoteWithin = 700 * time.Millisecond

// Asker brings claims to their keepers. Set the exported fields before use.
type Asker struct {
	Board  *board.Board
	Peers  core.Peers
	Clock  core.Clock
	Keeper *Keeper
	Self   core.Claimant
}

// Ask asks the keeper of the claim's shard, or the own one where that cannot be
// reached or does not answer in time.
func (as *Asker) Ask(ctx context.Context, cl *core.Claim) (*core.ClaimReply, error) {
	to := as.keeperOf(ShardOf(cl.Hash, as.Keeper.Shards))
	if to == as.Self.VM || to == "" {
		return as.Keeper.Claim(ctx, cl)
	}
	remote, cancel := context.WithTimeout(ctx, remoteWithin)
	defer cancel()
	if ve, err := as.Peers.Claim(remote, to, cl); err == nil {
		return ve, nil
	}
	return as.Keeper.Claim(ctx, cl)
}

// keeperOf names the agent that rendezvous hashing gives the shard to.
func (as *Asker) keeperOf(shard int) core.VMID {
	sn := as.Board.Snapshot()
	ix := ring.Best(sn.AgentRing, ring.Mix(uint64(shard)+1, claimSalt), true)
	if ix < 0 {
		return ""
	}
	return sn.Agents[ix]
}

const claimSalt = 0xc1a1

// Alive tells whether the claimant is, as far as this process knows, still the
// one that runs on its VM.
func (as *Asker) Alive(by core.Claimant) bool {
	sn := as.Board.Snapshot()
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
