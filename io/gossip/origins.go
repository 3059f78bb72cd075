package gossip

import (
	"context"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/ring"
)

// The build at which a stream began is recorded at the router that forwards it and, while several
// builds serve the pool, at some peers, its owners, by rendezvous hashing of the stream over the
// routers that are alive. The records leave before the stream's first event does. A router that a
// caller resumes the stream at asks the owners. Where owners change, those that know a stream send its
// record to the new ones.
//
// A stream that is on record nowhere began at the build that was alone in its pool until others registered,
// where enough routers know it, see first.go. Otherwise its resumption is refused.

const (
	// A stream has originOwners owners, and originOwnersOfFew in a fleet of at most fewRouters, of which
	// a fault may take most at once.
	originOwners      = 2
	originOwnersOfFew = 3
	fewRouters        = 16
	// originAsked is how many peers are asked for a stream: the owners, and those that were or will be
	// owners where routers do not know the same peers.
	originAsked = 6
	// originTimeout bounds the wait for peers: some transit delays, and the scheduling delay on busy
	// peers. Resumptions are rare, and the caller would have to send its request anew.
	originTimeout = 100 * time.Millisecond
	// maxSharedPerTick bounds the streams that are shared in a tick once another build registers.
	maxSharedPerTick = 64
)

// Begin implements core.StreamOrigins.
func (gr *Group) Begin(stream core.StreamKey, build core.Build, ttl time.Duration, share bool) {
	now := time.Now()
	gr.origins.Put(now, stream, build, ttl)
	if !share {
		gr.origins.Unshare(stream)
		// Another build may just have registered, or not be listed yet.
		share = gr.Builds.Others(now, build) || !gr.Builds.Listed()
	}
	if share {
		gr.shareOrigin(stream, build, ttl)
	}
}

// End implements core.StreamOrigins.
func (gr *Group) End(stream core.StreamKey) { gr.origins.End(stream) }

// shareOrigin sends the build of a stream to its owners. In a large fleet the bytes count as those of
// load reports, which come rarely there.
func (gr *Group) shareOrigin(stream core.StreamKey, build core.Build, ttl time.Duration) {
	all := gr.counts.candidates.Load()
	if all == nil {
		return // the process has just started, and no peer is known
	}
	for _, to := range gr.originPeers(stream, ownerCount(*all)) {
		gr.sendOrigin(to.udpAddr, stream, build, ttl)
	}
	if len(*all) <= fewRouters {
		gr.unstored.add(stream, build, ttl)
	}
}

// ownerCount is how many owners a stream has.
func ownerCount(all []candidate) int {
	if len(all) <= fewRouters {
		return originOwnersOfFew
	}
	return originOwners
}

// sendOrigin sends the build of a stream to a peer.
func (gr *Group) sendOrigin(to net.Addr, stream core.StreamKey, build core.Build, ttl time.Duration) {
	cm := &countMessage{Kind: countOrigin, Endpoint: uint64(stream), Calls: uint32(build), Ask: uint32(min(maxAgeMs, ttl.Milliseconds()))}
	sent := gr.sendCount(to, cm)
	if all := gr.counts.candidates.Load(); all != nil && len(*all) <= fewRouters {
		gr.counts.sentBytes.Add(-int64(sent))
	}
}

// shareUnshared shares the streams in progress that began before another build of their pool
// registered.
func (gr *Group) shareUnshared(now time.Time) {
	if changes := gr.Builds.Changes(); changes != gr.buildChanges {
		gr.buildChanges = changes
		others := func(build core.Build) bool { return gr.Builds.Others(now, build) }
		gr.toShare = append(gr.toShare, gr.origins.Unshared(others)...)
	}
	count := min(maxSharedPerTick, len(gr.toShare))
	for _, stream := range gr.toShare[:count] {
		if build, left := gr.origins.Get(now, stream); build != 0 {
			gr.shareOrigin(stream, build, left)
		}
	}
	gr.toShare = gr.toShare[count:]
}

// originPeers returns the peers that come first for a stream, at most count.
func (gr *Group) originPeers(stream core.StreamKey, count int) []candidate {
	all := gr.counts.candidates.Load()
	if all == nil {
		return nil // the process has just started, and no peer is known
	}
	score := func(ca candidate) uint64 { return originScore(&ca, stream) }
	best := make([]candidate, 0, count+1)
	for _, ca := range *all {
		if ca.udpAddr == nil || len(best) == count && score(ca) < score(best[count-1]) {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, ca, func(one, other candidate) int {
			if score(one) > score(other) {
				return -1
			}
			return 1
		})
		best = slices.Insert(best, at, ca)
		best = best[:min(count, len(best))]
	}
	return best
}

// originScore ranks the routers that may own a stream.
func originScore(ca *candidate, stream core.StreamKey) uint64 {
	return ring.Mix(ca.hash, uint64(stream))
}

// Find implements core.StreamOrigins.
func (gr *Group) Find(ctx context.Context, stream core.StreamKey) core.OriginSearch {
	var found core.OriginSearch
	if found.Build, _ = gr.origins.Get(time.Now(), stream); found.Build != 0 {
		return found
	}
	peers := gr.originPeers(stream, originAsked)
	found.Asked = len(peers)
	gr.askPeers(ctx, peers, countMessage{Kind: countOriginQuery, Endpoint: uint64(stream)}, func(value uint32) bool {
		found.Answered++
		if knownValue(value) {
			found.Build = core.Build(value)
		}
		return found.Build != 0
	})
	return found
}

func knownValue(value uint32) bool { return value != unknownCalls }

// Replies to a query for other builds; a peer that cannot know replies unknownCalls.
const (
	noOthers     = 0
	othersServed = 1
)

// OthersSeen implements core.StreamOrigins.
func (gr *Group) OthersSeen(ctx context.Context, build core.Build) core.OtherBuilds {
	result := core.OthersNotAnswered
	gr.askPeers(ctx, gr.originPeers(core.StreamKey(build), originAsked), countMessage{Kind: countOthersQuery, Calls: uint32(build)},
		func(value uint32) bool {
			switch value {
			case othersServed:
				result = core.OthersServed
			case noOthers:
				result = max(result, core.OthersNone)
			default:
				result = max(result, core.OthersUnknown)
			}
			return result == core.OthersServed
		})
	return result
}

// askPeers sends a query to peers and passes on their replies until one decides, or no more arrive in time.
func (gr *Group) askPeers(ctx context.Context, peers []candidate, cm countMessage, decides func(value uint32) bool) {
	ctx, cancel := context.WithTimeout(ctx, originTimeout)
	defer cancel()
	replies := make(chan uint32, len(peers))
	for _, peer := range peers {
		query := cm
		id := gr.counts.addPendingTo(replies)
		defer gr.counts.removePending(id)
		query.Ask = id
		gr.sendCount(peer.udpAddr, &query)
	}
	for range peers {
		select {
		case value := <-replies:
			if decides(value) {
				return
			}
		case <-ctx.Done():
			gr.Log.Info("Peers did not answer in time at which build a stream began.", zap.Int("Asked", len(peers)))
			return
		}
	}
}

// handleOriginQuery answers a query for the build of a stream.
func (gr *Group) handleOriginQuery(now time.Time, stream core.StreamKey) uint32 {
	if build, _ := gr.origins.Get(now, stream); build != 0 {
		return uint32(build)
	}
	return unknownCalls
}

// handleOthersQuery answers whether other builds than this one have served its pool recently, as far as
// this router has seen.
func (gr *Group) handleOthersQuery(now time.Time, build core.Build) uint32 {
	switch {
	case gr.Builds.Others(now, build):
		return othersServed
	case gr.Builds.Complete(now):
		return noOthers
	}
	return unknownCalls
}
