package gossip

import (
	"context"
	"time"

	"almondrill/core/place"
)

// The keeper of an endpoint that a router cannot reach connects to it itself, and goes on doing so
// while it cannot, each time after twice as long. All routers then know of a lost endpoint by one
// request that found it, however few requests each endpoint gets, and need not find it again.

const (
	// maxLostTTL is for how long, at most, an endpoint is believed to be lost without another word.
	maxLostTTL = 8 * time.Second
	// recheckBefore is how long before the end of a belief the keeper looks again: a connection's
	// timeout, and the way to all.
	recheckBefore = 500 * time.Millisecond
	// maxReconnecting bounds the endpoints that a router looks after: a rack of hundreds may be lost
	// with most routers.
	maxReconnecting = 256
)

// startReconnect tells whether the endpoint is to be looked after from now on.
func (co *counts) startReconnect(endpoint uint64) bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.reconnecting[endpoint] || len(co.reconnecting) >= maxReconnecting {
		return false
	}
	if co.reconnecting == nil {
		co.reconnecting = map[uint64]bool{}
	}
	co.reconnecting[endpoint] = true
	return true
}

func (co *counts) endReconnect(endpoint uint64) {
	co.mu.Lock()
	defer co.mu.Unlock()
	delete(co.reconnecting, endpoint)
}

// reconnectLoop looks after an endpoint until it can be reached, is gone, or this router ends.
func (gr *Group) reconnectLoop(endpoint uint64) {
	defer gr.counts.endReconnect(endpoint)
	announced := false
	for ttl := place.UnreachableTTL; gr.counts.socket.Load() != nil; ttl = min(maxLostTTL, 2*ttl) {
		reached, known := gr.Reach(context.Background(), endpoint)
		if !known {
			return
		}
		if reached {
			gr.broadcastReachable(endpoint, announced)
			return
		}
		announced = true
		gr.broadcastLost(time.Now(), endpoint, gr.Addr, ttl)
		time.Sleep(ttl - recheckBefore)
	}
}

// broadcastReachable tells all that the endpoint can be reached again, if they were told that it cannot.
func (gr *Group) broadcastReachable(endpoint uint64, announced bool) {
	if !announced {
		return // the router that could not reach it is alone with that
	}
	gr.Placer.MarkReachable(endpoint)
	gr.sendToAll(&countMessage{Kind: countReachable, Endpoint: endpoint})
}
