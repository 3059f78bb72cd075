package gossip

import (
	"context"
	"time"

	"almondrill/core/place"
)

// When a router cannot connect to an endpoint, the owner of its count tries to connect itself, and
// retries with doubling delays until it succeeds. All routers then learn of an unreachable endpoint
// from the one request that found it, however few requests each endpoint gets, and need not find it
// again.

const (
	// maxUnreachableTTL is how long, at most, an endpoint is treated as unreachable without another
	// message.
	maxUnreachableTTL = 8 * time.Second
	// recheckBefore is how long before that state expires the owner tries again: the timeout of a
	// connection, and the transit delay to all routers.
	recheckBefore = 500 * time.Millisecond
	// maxReconnecting bounds the endpoints that a router reconnects to: a rack of hundreds may be
	// lost, along with most routers.
	maxReconnecting = 256
)

// startReconnect reports whether a reconnectLoop is to be started for the endpoint.
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

// reconnectLoop tries to connect to an endpoint until it succeeds, the endpoint is gone, or this
// router stops.
func (gr *Group) reconnectLoop(endpoint uint64) {
	defer gr.counts.endReconnect(endpoint)
	announced := false
	for ttl := place.UnreachableTTL; gr.counts.socket.Load() != nil; ttl = min(maxUnreachableTTL, 2*ttl) {
		reached, known := gr.Reach(context.Background(), endpoint)
		if !known {
			return
		}
		if reached {
			gr.broadcastReachable(endpoint, announced)
			return
		}
		announced = true
		gr.broadcastUnreachable(time.Now(), endpoint, gr.Addr, ttl)
		time.Sleep(ttl - recheckBefore)
	}
}

// broadcastReachable notifies all that the endpoint can be reached again, if they were notified
// that it cannot.
func (gr *Group) broadcastReachable(endpoint uint64, announced bool) {
	if !announced {
		return // only the router that reported it could not reach it
	}
	gr.Placer.MarkReachable(endpoint)
	gr.sendToAll(&countMessage{Kind: countReachable, Endpoint: endpoint})
}
