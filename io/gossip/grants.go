package gossip

import (
	"context"
	"time"
)

// The router that keeps an endpoint's count also grants the requests of limits that all routers
// share, one by one. One that has just started, or hears nobody, would grant what others grant
// too, and grants nothing until its peers are settled. Where no keeper answers nothing is
// granted.

const (
	// settleWindow is how long no peer may have become known before a Group takes those that it
	// knows for all: several times what a router that starts takes to be heard by its peers.
	settleWindow = 2 * time.Second
	// unknownRetryDelay is how long to wait where nobody could tell, leastDenied where an endpoint's
	// limit is used up.
	unknownRetryDelay = 200 * time.Millisecond
	minRetryDelay     = 10 * time.Millisecond
)

// Grant implements core.Grants.
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

// updateSettled works out whether the peers that are known are likely to be all.
func (gr *Group) updateSettled(now time.Time) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if gr.started.IsZero() {
		gr.started = now
	}
	settled := now.Sub(gr.started) >= settleWindow && now.Sub(gr.lastAdded) >= settleWindow
	// One without peers is alone only if others could find it.
	connected := len(gr.members) == 0 && !gr.announced.IsZero() && now.Sub(gr.announced) >= settleWindow
	for addr, me := range gr.members {
		connected = connected || !gr.membership.LastHeard(addr).IsZero()
		if gr.membership.Alive(addr) && int(me.peersHeard) > len(gr.members) {
			settled = false // it hears peers that are not known here
		}
	}
	gr.settled.Store(settled && connected)
}
