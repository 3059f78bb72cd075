package gossip

import (
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"almondrill/core"
	"almondrill/core/builds"
)

const (
	// originsRequests is how often a router that has just started asks each peer for the records that it
	// owns, one tick after the other, as datagrams may be lost.
	originsRequests = 3
	// maxCopiesPerTick bounds the records that are sent to new owners in a tick, some 20 bytes each.
	maxCopiesPerTick = 64
	// maxRequesters bounds the peers whose requests wait for the next tick, maxQueuedCopies the records that
	// wait to be sent.
	maxRequesters   = 512
	maxQueuedCopies = builds.MaxOrigins
)

// originCopies keeps the records of streams at their owners while routers come and go. A router that has
// just started, which may have the address of an earlier process, asks its peers for the records that it
// owns. Where a router is gone, those that know a stream that it owned send the record to the owner that
// takes its place; where one joins, or is found only now, they send it what it owns.
type originCopies struct {
	// Only Run uses these: the candidates of the last tick, how often each peer was asked for records, and
	// the records to be sent.
	candidates []candidate
	asked      map[string]int
	queue      []originCopy

	mu         sync.Mutex // guards requesters
	requesters map[string]net.Addr
}

// originCopy is a record to be sent to a peer.
type originCopy struct {
	stream core.StreamKey
	to     net.Addr
}

// request records that a peer asks for the records that it owns.
func (oc *originCopies) request(from net.Addr) {
	oc.mu.Lock()
	defer oc.mu.Unlock()
	if oc.requesters == nil {
		oc.requesters = map[string]net.Addr{}
	}
	if len(oc.requesters) < maxRequesters {
		oc.requesters[from.String()] = from
	}
}

// takeRequesters returns the peers that have asked since the last tick.
func (oc *originCopies) takeRequesters() map[string]net.Addr {
	oc.mu.Lock()
	defer oc.mu.Unlock()
	taken := oc.requesters
	oc.requesters = nil
	return taken
}

// copyOrigins sends records to new owners, and asks peers for those of this router if it has just started.
func (gr *Group) copyOrigins(now time.Time) {
	oc, before := &gr.copies, gr.copies.candidates
	if all := gr.counts.candidates.Load(); all != nil {
		oc.candidates = *all
	}
	gr.requestOrigins(now)
	for addr, to := range oc.takeRequesters() {
		gr.queueCopies(now, candidate{addr: addr, hash: xxhash.Sum64String(addr)}, oc.candidates, func(core.StreamKey) []net.Addr { return []net.Addr{to} })
	}
	if gr.Builds.Several(now) {
		gr.copyToChanged(now, before)
	}
	count := min(maxCopiesPerTick, len(oc.queue))
	for _, co := range oc.queue[:count] {
		if build, left := gr.origins.Get(now, co.stream); build != 0 {
			gr.sendOrigin(co.to, co.stream, build, left)
		}
	}
	oc.queue = oc.queue[count:]
}

// copyToChanged queues the records that owners which are gone since the last tick owned, for those that take their
// places, and those that owners own which are new.
func (gr *Group) copyToChanged(now time.Time, before []candidate) {
	all := gr.copies.candidates
	for _, ca := range without(before, all) {
		gr.queueCopies(now, ca, before, gr.originAddrs)
	}
	if before == nil {
		return
	}
	for _, ca := range without(all, before) {
		gr.queueCopies(now, ca, all, func(core.StreamKey) []net.Addr { return []net.Addr{ca.udpAddr} })
	}
}

// without returns the peers among the candidates that are not among others.
func without(all, others []candidate) []candidate {
	addrs := make(map[string]bool, len(others))
	for _, ca := range others {
		addrs[ca.addr] = true
	}
	var left []candidate
	for _, ca := range all {
		if ca.udpAddr != nil && !addrs[ca.addr] {
			left = append(left, ca)
		}
	}
	return left
}

// requestOrigins asks each peer for the records that this router owns, until it has served for as long as
// records last. There are none to ask for while each pool has one build.
func (gr *Group) requestOrigins(now time.Time) {
	oc := &gr.copies
	if now.Sub(gr.started) > builds.Retention || !gr.Builds.Several(now) {
		return
	}
	if oc.asked == nil {
		oc.asked = map[string]int{}
	}
	for _, ca := range oc.candidates {
		if ca.udpAddr != nil && oc.asked[ca.addr] < originsRequests {
			oc.asked[ca.addr]++
			gr.sendCount(ca.udpAddr, &countMessage{Kind: countOriginsRequest})
		}
	}
}

// queueCopies queues the records of the streams that owner owns, among the candidates, for the addresses that
// to returns.
func (gr *Group) queueCopies(now time.Time, owner candidate, all []candidate, to func(stream core.StreamKey) []net.Addr) {
	if !gr.Builds.Several(now) {
		return
	}
	others := map[core.Build]bool{}
	for stream, build := range gr.origins.All(now) {
		if _, known := others[build]; !known {
			others[build] = gr.Builds.Others(now, build)
		}
		if !others[build] || !owns(&owner, all, stream) {
			continue
		}
		for _, addr := range to(stream) {
			if len(gr.copies.queue) >= maxQueuedCopies {
				return
			}
			gr.copies.queue = append(gr.copies.queue, originCopy{stream, addr})
		}
	}
}

// originAddrs are the addresses of a stream's owners.
func (gr *Group) originAddrs(stream core.StreamKey) []net.Addr {
	var addrs []net.Addr
	for _, ca := range gr.originPeers(stream, ownerCount(gr.copies.candidates)) {
		addrs = append(addrs, ca.udpAddr)
	}
	return addrs
}

// owns reports whether a router is an owner of the stream, among the candidates and itself.
func owns(ca *candidate, all []candidate, stream core.StreamKey) bool {
	own, before, count := originScore(ca, stream), 0, ownerCount(all)
	for ix := range all {
		if other := &all[ix]; other.udpAddr != nil && other.addr != ca.addr && originScore(other, stream) > own {
			if before++; before == count {
				return false
			}
		}
	}
	return true
}
