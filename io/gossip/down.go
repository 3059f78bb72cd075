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
	// mostLost is for how long, at most, an endpoint is believed to be lost without another word.
	mostLost = 8 * time.Second
	// renewBefore is how long before the end of a belief the keeper looks again: a connection's
	// timeout, and the way to all.
	renewBefore = 500 * time.Millisecond
	// mostWatched bounds the endpoints that a router looks after: a rack of hundreds may be lost
	// with most routers.
	mostWatched = 256
)

// startWatch tells whether the endpoint is to be looked after from now on.
func (co *counts) startWatch(endpoint uint64) bool {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.watched[endpoint] || len(co.watched) >= mostWatched {
		return false
	}
	if co.watched == nil {
		co.watched = map[uint64]bool{}
	}
	co.watched[endpoint] = true
	return true
}

func (co *counts) endWatch(endpoint uint64) {
	co.mu.Lock()
	defer co.mu.Unlock()
	delete(co.watched, endpoint)
}

// watchDown looks after an endpoint until it can be reached, is gone, or this router ends.
func (gr *Group) watchDown(endpoint uint64) {
	defer gr.counts.endWatch(endpoint)
	told := false
	for lasting := place.LostFor; gr.counts.socket.Load() != nil; lasting = min(mostLost, 2*lasting) {
		reached, known := gr.Reach(context.Background(), endpoint)
		if !known {
			return
		}
		if reached {
			gr.tellBack(endpoint, told)
			return
		}
		told = true
		gr.tellDown(time.Now(), endpoint, gr.Addr, lasting)
		time.Sleep(lasting - renewBefore)
	}
}

// tellBack tells all that the endpoint can be reached again, if they were told that it cannot.
func (gr *Group) tellBack(endpoint uint64, told bool) {
	if !told {
		return // the router that could not reach it is alone with that
	}
	gr.Placer.HearBack(endpoint)
	gr.notifyPeers(&countMessage{Kind: countBack, Endpoint: endpoint})
}
