package claim

import (
	"context"
	"slices"
	"time"

	"almondrill/core"
	"almondrill/core/board"
	"almondrill/core/ring"
)

// ownerTimeout bounds the wait for an owner on another VM. After it the agent writes the claim
// itself, which is as safe, but does not share a write with other claims.
const ownerTimeout = 700 * time.Millisecond

// Dispatcher sends each claim to the owner of its shard. Set the exported fields before use.
type Dispatcher struct {
	Board  *board.Board
	Peers  core.Peers
	Clock  core.Clock
	Writer *Writer
	Self   core.Claimant
}

// Claim sends the claim to the owner of its shard. If this process is the owner, or the owner cannot
// be reached or does not answer in time, the local Writer writes the claim.
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

// ownerOf is the agent that rendezvous hashing selects for the shard; empty if no agent is known.
func (di *Dispatcher) ownerOf(shard int) core.VMID {
	sn := di.Board.Snapshot()
	ix := ring.Best(sn.AgentRing, ring.Mix(uint64(shard)+1, claimSalt), true)
	if ix < 0 {
		return ""
	}
	return sn.Agents[ix]
}

const claimSalt = 0xc1a1

// Alive reports whether the claimant is, as far as this process knows, still the process that runs
// on its VM.
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
