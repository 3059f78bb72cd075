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

// HearBytes takes a message as it came from the socket.
func (gr *Group) HearBytes(data []byte) {
	gr.take(time.Now(), &net.UDPAddr{IP: net.IPv4(127, 0, 0, 2), Port: 1}, data)
}
