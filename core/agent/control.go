package agent

import (
	"context"
	"slices"
	"time"

	"almondrill/core"
	"almondrill/core/board"
)

const (
	// exchangeInterval is the mean time between digest exchanges with a peer of each pool.
	exchangeInterval = 450 * time.Millisecond
	// placementInterval is how long placements are batched before they are sent.
	placementInterval = 250 * time.Millisecond
	// MaxEntries is the maximum number of load entries per pool in a digest.
	MaxEntries = 8
	// entrySize, placementSize and digestSize are the message sizes that are charged to the
	// budget for control messages.
	entrySize     core.Bytes = 22
	placementSize core.Bytes = 48
	digestSize    core.Bytes = 40
)

// Run exchanges load digests and placements with peers until ctx ends.
func (ag *Agent) Run(ctx context.Context) error {
	go ag.sendPlacements(ctx)
	for ag.Clock.Sleep(ctx, ag.jitter(exchangeInterval)) == nil {
		ag.exchange(ctx)
	}
	return nil
}

// jitter varies an interval by up to 25% in either direction, so that processes that started
// together do not send in lockstep.
func (ag *Agent) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + ag.Rand.Float64()/2))
}

// exchange exchanges digests with one peer per pool.
func (ag *Agent) exchange(ctx context.Context) {
	sn := ag.Board.Snapshot()
	for id := range ag.tables {
		po := sn.Pools[id]
		if po == nil || len(po.Members) < 2 {
			continue
		}
		to := ag.nextPeer(id, po)
		if to == "" {
			continue
		}
		di := ag.Digest(MaxEntries)
		if !ag.maySend(DigestSize(di)) {
			continue
		}
		got, err := ag.Peers.Exchange(ctx, to, di)
		if err != nil {
			ag.Board.Post(board.Reachability{VM: to, Reached: false})
			continue
		}
		ag.ApplyDigest(got)
	}
}

// nextPeer returns the peer to exchange digests with, "" if there is none. Each member of the pool comes
// once, in random order, before any comes again: drawn anew each time, some would not be met for
// several times as long, and their figures would be as old.
func (ag *Agent) nextPeer(id core.PoolID, po *board.Pool) core.VMID {
	if len(ag.rounds[id]) == 0 {
		ag.rounds[id] = ag.newRound(po)
	}
	for len(ag.rounds[id]) > 0 {
		last := len(ag.rounds[id]) - 1
		vm := ag.rounds[id][last]
		ag.rounds[id] = ag.rounds[id][:last]
		if slices.ContainsFunc(po.Members, func(me board.Member) bool { return me.VM == vm }) {
			return vm
		}
	}
	return ""
}

// newRound returns the other members of a pool in random order.
func (ag *Agent) newRound(po *board.Pool) []core.VMID {
	var round []core.VMID
	for _, me := range po.Members {
		if me.VM != ag.Self {
			round = append(round, me.VM)
		}
	}
	for ix := range round {
		other := ix + int(ag.Rand.Uint64()%uint64(len(round)-ix))
		round[ix], round[other] = round[other], round[ix]
	}
	return round
}

// DigestSize estimates the size of a digest on the wire, excluding transport headers.
func DigestSize(di *core.Digest) core.Bytes {
	return digestSize + entrySize*core.Bytes(len(di.Loads))
}

func (ag *Agent) maySend(size core.Bytes) bool {
	return ag.AllowSend == nil || ag.AllowSend(size)
}

// Digest returns, for each pool, the agent's own load and the freshest loads that it knows of its
// peers, together at most maxEntries.
func (ag *Agent) Digest(maxEntries int) *core.Digest {
	di := &core.Digest{
		From: ag.Self, Incarnation: ag.Incarnation, Draining: ag.Draining(),
		Revision: ag.Board.Snapshot().Revision(),
	}
	for id, ta := range ag.tables {
		own := core.LoadEntry{Pool: id, VM: ag.Self, Draining: di.Draining}
		ag.fillOwnLoad(&own)
		di.Loads = append(di.Loads, own)
		di.Loads = append(di.Loads, ta.Freshest(maxEntries-1)...)
	}
	return di
}

// fillOwnLoad sets the entry's load and throughput to the means over the agent's endpoints in the
// pool, because the load cap compares single endpoints. It marks the entry as draining if all of
// these endpoints are paused.
func (ag *Agent) fillOwnLoad(own *core.LoadEntry) {
	count, paused := core.Work(0), true
	for _, sl := range ag.Slots {
		if sl.Pool == own.Pool {
			paused = paused && sl.Paused()
			st := sl.gate.Stats()
			own.Load += st.Load
			own.Throughput += st.Throughput
			count++
		}
	}
	own.Draining = own.Draining || paused
	own.Load /= max(1, count)
	own.Throughput /= max(1, count)
}

// ApplyDigest applies a peer's digest.
func (ag *Agent) ApplyDigest(di *core.Digest) {
	ag.Board.Post(board.ProcessAnnounced{VM: di.From, Incarnation: di.Incarnation, Draining: di.Draining})
	if ag.RevisionSeen != nil {
		ag.RevisionSeen(di.From, di.Revision)
	}
	for _, en := range di.Loads {
		if ta := ag.tables[en.Pool]; ta != nil {
			ta.Observe(en)
		}
	}
}

// sendPlacements sends batched placements to the homes of the chats until ctx ends.
func (ag *Agent) sendPlacements(ctx context.Context) {
	for ag.Clock.Sleep(ctx, ag.jitter(placementInterval)) == nil {
		ag.FlushPlacements(ctx)
	}
}

// FlushPlacements sends the pending placements. Those for which the budget for control messages
// does not suffice are dropped: a missing pointer costs one prefill.
func (ag *Agent) FlushPlacements(ctx context.Context) {
	for home, pls := range ag.outbox.take() {
		if ag.maySend(placementSize * core.Bytes(len(pls))) {
			// Placements are hints, so a failed send is not retried.
			_ = ag.Peers.UpdatePlacements(ctx, home, pls)
		}
	}
}
