package gossip

import (
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/builds"
)

// A stream of a pool's first build may be known to its router only, see core/builds. All others are recorded at
// their owners before their first events. So an owner that has no record says that the stream began at the first
// build, if it has been an owner all along: it knows which build was alone, it has received messages
// without a gap since, and it ranks first among all routers that were alive meanwhile, including
// those that are gone. A router that took the place of a lost owner is not asked: it may lack the record.

const (
	// maxTickDelay is the longest time between two ticks of a process that receives its messages: a longer one
	// shows that it was suspended.
	maxTickDelay = time.Second
	// maxSilence is how long no message of any peer arrives at a router that is not cut off.
	maxSilence = 500 * time.Millisecond
	// maxViewAge is how long no confirmation of the store's contents arrives at a router that is not cut off.
	maxViewAge = 2500 * time.Millisecond
	// fetchTime is how long a router that has just started may lack records that it owns.
	fetchTime = 3 * time.Second
	// maxCheckedPeers is the highest number of peers that may all have ended. A router without a message from more
	// of them is cut off.
	maxCheckedPeers = 2
	// endedCheckTimeout bounds the wait for a peer's machine, which refuses a connection if the process has ended.
	endedCheckTimeout = 200 * time.Millisecond
)

// gaps records when this process may have missed messages. Run updates it.
type gaps struct {
	lastTick atomic.Pointer[time.Time] // nil before the first one
	endedAt  atomic.Int64              // of the last gap, in ns of the Unix epoch
	silence  atomic.Uint32             // a silence
	heard    bool                      // a message of a peer had arrived at the last tick; only Run uses it
}

// silence is what is known of why no peer's messages arrive.
type silence uint32

const (
	notSilent silence = iota
	// unexplained: this router may be cut off.
	unexplained
	// peersEnded: nobody is left who could have sent anything.
	peersEnded
)

// late reports whether the last tick is so long ago that the process was suspended since.
func (ga *gaps) late(now time.Time) bool {
	last := ga.lastTick.Load()
	return last != nil && now.Sub(*last) > maxTickDelay
}

// possible reports whether this process may have missed messages within the time in which they matter.
func (ga *gaps) possible(now time.Time) bool {
	// The next tick of a process that was suspended may come later than a query.
	return ga.late(now) || silence(ga.silence.Load()) == unexplained || now.UnixNano()-ga.endedAt.Load() < int64(builds.Retention)
}

// Isolated implements core.StreamOrigins.
func (gr *Group) Isolated() bool { return silence(gr.gaps.silence.Load()) == unexplained }

// updateGaps records a gap if this process was suspended or is cut off. That it still reads the store does not
// matter: what it misses are peers' records.
func (gr *Group) updateGaps(ctx context.Context, now time.Time) {
	ga := &gr.gaps
	if ga.late(now) { // before a query may see the time of this tick
		ga.endedAt.Store(now.UnixNano())
	}
	ga.lastTick.Store(&now)
	gr.mu.Lock()
	peers := slices.Collect(maps.Keys(gr.members))
	silent, heard := gr.membership.SilentFor(now) > maxSilence, gr.membership.Heard()
	gr.mu.Unlock()
	if len(peers) == 0 {
		silent = gr.Feed.Age() > maxViewAge // it has been cut off for so long that it has forgotten its peers
	}
	before := silence(ga.silence.Load())
	if !silent && before == unexplained { // before a query may see that the silence is over
		ended := now
		if !ga.heard {
			// It asks for the records that it owns once it finds peers.
			ended = now.Add(fetchTime - builds.Retention)
		}
		ga.endedAt.Store(max(ga.endedAt.Load(), ended.UnixNano()))
	}
	switch {
	case !silent:
		ga.silence.Store(uint32(notSilent))
	case before == notSilent:
		ga.silence.Store(uint32(unexplained))
		if 0 < len(peers) && len(peers) <= maxCheckedPeers {
			go gr.explainSilence(ctx, peers)
		}
	}
	ga.heard = heard
}

// explainSilence finds out whether the silence is explained by the ends of all peers.
func (gr *Group) explainSilence(ctx context.Context, peers []string) {
	if haveEnded(ctx, peers) {
		gr.gaps.silence.CompareAndSwap(uint32(unexplained), uint32(peersEnded))
	}
}

// haveEnded reports whether the processes of all peers have ended, and their machines say so.
func haveEnded(ctx context.Context, peers []string) bool {
	dialer := net.Dialer{Timeout: endedCheckTimeout}
	for _, addr := range peers {
		co, err := dialer.DialContext(ctx, "tcp", addr)
		if err == nil {
			_ = co.Close()
		}
		if !errors.Is(err, syscall.ECONNREFUSED) {
			return false
		}
	}
	return true
}

// handleFirstQuery returns the build at which a stream began that may be on record nowhere, in the pool of a
// build; unknownCalls if this router cannot know it.
func (gr *Group) handleFirstQuery(now time.Time, stream core.StreamKey, build core.Build) uint32 {
	if known, _ := gr.origins.Get(now, stream); known != 0 {
		return uint32(known)
	}
	if gr.gaps.possible(now) || gr.origins.Lacks(now) {
		return unknownCalls
	}
	if first := gr.Builds.First(now, gr.Builds.PoolOf(build)); first != 0 {
		return uint32(first)
	}
	return unknownCalls
}

// FindFirst implements core.StreamOrigins. All owners that know must name the same build.
func (gr *Group) FindFirst(ctx context.Context, stream core.StreamKey, build core.Build) core.OriginSearch {
	now := time.Now()
	owners, needed := gr.lastingOwners(now, stream)
	var found core.OriginSearch
	differ, known := false, 0
	add := func(value uint32) {
		if !knownValue(value) {
			return
		}
		known++
		differ = differ || found.Build != 0 && found.Build != core.Build(value)
		found.Build = core.Build(value)
	}
	owners = slices.DeleteFunc(owners, func(ca candidate) bool {
		own := ca.addr == gr.Addr
		if own {
			add(gr.handleFirstQuery(now, stream, build))
		}
		return own || ca.udpAddr == nil
	})
	found.Asked = len(owners)
	gr.askPeers(ctx, owners, countMessage{Kind: countFirstQuery, Endpoint: uint64(stream), Calls: uint32(build)}, func(value uint32) bool {
		found.Answered++
		add(value)
		return differ
	})
	if known == 1 && found.Answered == 0 && !gr.mayAnswerAlone(ctx) {
		known = 0
	}
	if differ || known < needed {
		gr.Log.Info("The owners do not tell at which build a stream began.", zap.Int("Owners", len(owners)), zap.Int("Known", known),
			zap.Int("Needed", needed), zap.Bool("Differ", differ))
		found.Build = 0
	}
	return found
}

// mayAnswerAlone reports whether this router's answer suffices although no peer replies. In a small fleet it does if the
// processes of all others have ended: a cut shows as silence only after a while.
func (gr *Group) mayAnswerAlone(ctx context.Context) bool {
	gr.mu.Lock()
	peers := slices.Collect(maps.Keys(gr.members))
	gr.mu.Unlock()
	return len(peers) > maxCheckedPeers || haveEnded(ctx, peers)
}

// lastingOwners returns those that come first for a stream among all routers that there have been while it
// may have begun, this one included, and how many of them have to know of it. Those that are gone have no udpAddr.
func (gr *Group) lastingOwners(now time.Time, stream core.StreamKey) (owners []candidate, needed int) {
	var alive []candidate
	if current := gr.counts.candidates.Load(); current != nil {
		alive = *current
	}
	all := slices.Clone(alive)
	listed := make(map[string]bool, len(alive))
	for _, ca := range alive {
		listed[ca.addr] = true
	}
	gr.mu.Lock()
	for addr, me := range gr.members {
		if !listed[addr] && gr.membership.AliveWithin(now, addr, builds.Retention) {
			all = append(all, candidate{addr: addr, hash: me.hash})
		}
	}
	gr.mu.Unlock()
	slices.SortFunc(all, func(one, other candidate) int {
		if originScore(&one, stream) > originScore(&other, stream) {
			return -1
		}
		return 1
	})
	count := ownerCount(all)
	needed = 1
	if count == originOwnersOfFew && len(all) > originOwnersOfFew {
		needed = 2
	}
	return all[:min(count, len(all))], needed
}
