package gossip

import (
	"net"
	"time"

	"almondrill/core"
)

// Ahead is the peer that would be asked for news beyond own; "" if there is none.
func (gr *Group) Ahead(own core.Version) string {
	addr, _ := gr.ahead(own)
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.fetched = false
	return addr
}

// HearDown takes a peer's word that it cannot reach the endpoint.
func (gr *Group) HearDown(endpoint uint64, from string) {
	gr.hearCount(time.Now(), &net.UDPAddr{IP: net.ParseIP(from)}, &countMessage{Kind: countDown, Endpoint: endpoint})
}
