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
	// settleTime is how long no peer may have become known before a Group takes those that it
	// knows for all: several times what a router that starts takes to be heard by its peers.
	settleTime = 2 * time.Second
	// deniedFor is how long to wait where nobody could tell, leastDenied where an endpoint's
	// limit is used up.
	deniedFor   = 200 * time.Millisecond
	leastDenied = 10 * time.Millisecond
)

// Grant implements core.Grants.
func (gr *Group) Grant(ctx context.Context, endpoint uint64, perSecond int) (bool, time.Duration) {
	ke := gr.keeperOf(endpoint)
	if ke == nil || !gr.settled.Load() {
		return false, deniedFor
	}
	var after uint32
	if ke.to == nil {
		after = gr.grant(time.Now(), endpoint, perSecond)
	} else {
		var answered bool
		after, answered = gr.question(ctx, ke, &countMessage{Kind: countWanted, Endpoint: endpoint, Calls: uint32(perSecond)})
		if !answered || after == unknownCalls {
			return false, deniedFor
		}
	}
	return after == 0, time.Duration(after) * time.Millisecond
}

// grant returns 0 if the request is granted, or else in how many ms to ask again.
func (gr *Group) grant(now time.Time, endpoint uint64, perSecond int) uint32 {
	granted, after := gr.counts.table.Grant(now, endpoint, perSecond)
	if granted {
		return 0
	}
	return uint32(max(leastDenied, after).Milliseconds())
}

// settle works out whether the peers that are known are likely to be all.
func (gr *Group) settle(now time.Time) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if gr.began.IsZero() {
		gr.began = now
	}
	settled := now.Sub(gr.began) >= settleTime && now.Sub(gr.grown) >= settleTime
	// One without peers is alone only if others could find it.
	heard := len(gr.members) == 0 && !gr.announced.IsZero() && now.Sub(gr.announced) >= settleTime
	for addr, me := range gr.members {
		heard = heard || !gr.alive.LastHeard(addr).IsZero()
		if gr.alive.Alive(addr) && int(me.hears) > len(gr.members) {
			settled = false // it hears peers that are not known here
		}
	}
	gr.settled.Store(settled && heard)
}
