package gossip

import (
	"math"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"

	"almondrill/core"
)

// PickAhead returns the peer from which changes after own would be fetched, without fetching them;
// "" if there is none.
func (gr *Group) PickAhead(own core.Version) string {
	addr, _ := gr.pickAhead(own)
	gr.mu.Lock()
	defer gr.mu.Unlock()
	gr.fetching = false
	return addr
}

// HandleUnreachable handles a peer's message that it cannot connect to the endpoint.
func (gr *Group) HandleUnreachable(endpoint uint64, from string) {
	gr.handleCount(time.Now(), &net.UDPAddr{IP: net.ParseIP(from)}, &countMessage{Kind: countConnectFailed, Endpoint: endpoint})
}

// HandleDatagram handles a datagram as received from the socket.
func (gr *Group) HandleDatagram(data []byte) {
	gr.handleDatagram(time.Now(), &net.UDPAddr{IP: net.IPv4(127, 0, 0, 2), Port: 1}, data)
}

// OriginSize returns the bytes of a message that records the build of a stream.
func OriginSize() int {
	data, _ := cbor.Marshal(&message{Count: &countMessage{Kind: countOrigin, Endpoint: math.MaxUint64, Calls: math.MaxUint32, Ask: 20_000}})
	return len(data)
}
