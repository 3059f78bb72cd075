package gossip

import (
	"context"
	"math"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/swim"
	"almondrill/io/clock"
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

// NewKnown returns a group that is not run and knows these addresses, which are alive; the first one is its own.
func NewKnown(now time.Time, addrs []string) *Group {
	gr := &Group{Addr: addrs[0], Log: zap.NewNop(), Rand: clock.NewRand(1)}
	for _, addr := range addrs[1:] {
		gr.Add(addr)
		gr.membership.MessageReceived(now, addr, 0)
	}
	gr.updateCandidates()
	return gr
}

// Lose declares these addresses dead.
func (gr *Group) Lose(now time.Time, addrs map[string]bool) {
	for addr := range addrs {
		gr.membership.ApplyRumors(now, []swim.Rumor{{Addr: addr, State: swim.Dead}})
	}
	gr.updateCandidates()
}

// LastingOwners returns the owners that are asked for a stream without a record, and how many have to know of it.
func (gr *Group) LastingOwners(now time.Time, stream core.StreamKey) (addrs []string, needed int) {
	owners, needed := gr.lastingOwners(now, stream)
	for _, ca := range owners {
		if ca.udpAddr != nil || ca.addr == gr.Addr {
			addrs = append(addrs, ca.addr)
		}
	}
	return addrs, needed
}

// OriginSize returns the bytes of a message that records the build of a stream.
func OriginSize() int {
	data, _ := cbor.Marshal(&message{Count: &countMessage{Kind: countOrigin, Endpoint: math.MaxUint64, Calls: math.MaxUint32, Ask: 20_000}})
	return len(data)
}

// UpdateGaps does what a tick does about gaps.
func (gr *Group) UpdateGaps(now time.Time) { gr.updateGaps(context.Background(), now) }

// HandleFirstQuery answers a query for the build at which a stream began; 0 if this router does not know it.
func (gr *Group) HandleFirstQuery(now time.Time, stream core.StreamKey, build core.Build) core.Build {
	if value := gr.handleFirstQuery(now, stream, build); knownValue(value) {
		return core.Build(value)
	}
	return 0
}

// WithoutSocket calls a function while what it sends to single peers is lost.
func (gr *Group) WithoutSocket(fn func()) {
	socket := gr.counts.socket.Swap(nil)
	defer gr.counts.socket.Store(socket)
	fn()
}

// HoldLock calls a function while the group's lock is held.
func (gr *Group) HoldLock(fn func()) {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	fn()
}

// NewStarted returns a group that has just started, knows these addresses and has had no message of them; the first one is its own.
func NewStarted(now time.Time, addrs []string) *Group {
	gr := &Group{Addr: addrs[0], Log: zap.NewNop(), Rand: clock.NewRand(1)}
	for _, addr := range addrs[1:] {
		gr.Add(addr)
	}
	gr.membership.Tick(now)
	gr.updateCandidates()
	return gr
}

// Hear does what a message of a peer does to the membership.
func (gr *Group) Hear(now time.Time, addr string) { gr.membership.MessageReceived(now, addr, 0) }

// FetchItems fetches the items of the peer at the address, and returns how many there are.
func FetchItems(ctx context.Context, addr string) (int, error) {
	its, _, err := fetchItems(ctx, addr, &fetchRequest{}, nil)
	if err != nil {
		return 0, err
	}
	return len(its.Items), nil
}
