package gossip

import (
	"net"
	"time"

	"almondrill/core"
)

// PickAhead is the peer that would be asked for news beyond own; "" if there is none.
func (gr *Group) PickAhead(own core.Version) string {
	addr, _ := gr.pickAhead(own)
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.fetching = false
	return addr
}

// HandleUnreachable takes a peer's word that it cannot reach the endpoint.
func (gr *Group) HandleUnreachable(endpoint uint64, from string) {
	gr.handleCount(time.Now(), &net.UDPAddr{IP: net.ParseIP(from)}, &countMessage{Kind: countUnreachable, Endpoint: endpoint})
}

// HandleDatagram takes a message as it came from the socket.
func (gr *Group) HandleDatagram(data []byte) {
	gr.handleDatagram(time.Now(), &net.UDPAddr{IP: net.IPv4(127, 0, 0, 2), Port: 1}, data)
}
