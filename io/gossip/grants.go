package gossip

import (
	"context"
	"time"
)

// The owner of an endpoint's count also enforces the rate limits that all routers share, and grants
// requests one by one. A router that has just started, or is isolated, would grant what others
// grant too, so it grants nothing until its peers are settled. While no owner answers, nothing is
// granted.

const (
	// settleWindow is how long no new peer may have appeared before a Group treats the peers that
	// it knows as complete: several times what it takes until its peers have messages of a starting
	// router.
	settleWindow = 2 * time.Second
	// unknownRetryDelay is how long to wait where no owner could decide, minRetryDelay where an
	// endpoint's limit is used up.
	unknownRetryDelay = 200 * time.Millisecond
	minRetryDelay     = 10 * time.Millisecond
)

// Grant implements core.RateLimiter.
func (gr *Group) Grant(ctx context.Context, endpoint uint64, perSecond int) (bool, time.Duration) {
	owner := gr.ownerOf(endpoint)
	if owner == nil || !gr.settled.Load() {
		return false, unknownRetryDelay
	}
	var retryMs uint32
	if owner.udpAddr == nil {
		retryMs = gr.grant(time.Now(), endpoint, perSecond)
	} else {
		var answered bool
		retryMs, answered = gr.query(ctx, owner, &countMessage{Kind: countGrantRequest, Endpoint: endpoint, Calls: uint32(perSecond)})
		if !answered || retryMs == unknownCalls {
			return false, unknownRetryDelay
		}
	}
	return retryMs == 0, time.Duration(retryMs) * time.Millisecond
}

// grant returns 0 if the request is granted, or else in how many ms to ask again.
func (gr *Group) grant(now time.Time, endpoint uint64, perSecond int) uint32 {
	granted, after := gr.counts.table.Grant(now, endpoint, perSecond)
	if granted {
		return 0
	}
	return uint32(max(minRetryDelay, after).Milliseconds())
}

// updateSettled determines whether the known peers are likely to be complete.
func (gr *Group) updateSettled(now time.Time) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if gr.started.IsZero() {
		gr.started = now
	}
	settled := now.Sub(gr.started) >= settleWindow && now.Sub(gr.lastAdded) >= settleWindow
	// A router without peers can rely on being the only one only if others could find it.
	connected := len(gr.members) == 0 && !gr.announced.IsZero() && now.Sub(gr.announced) >= settleWindow
	for addr, me := range gr.members {
		connected = connected || !gr.membership.LastReceived(addr).IsZero()
		if gr.membership.Alive(addr) && int(me.livePeers) > len(gr.members) {
			settled = false // more peers are alive to it than are known here
		}
	}
	gr.settled.Store(settled && connected)
}
