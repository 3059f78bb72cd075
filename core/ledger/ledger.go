// Package ledger accounts for what clients make a process hold, in bytes or in descriptors.
//
// # Concepts
//
// A Ledger has a limit for the whole process, of which each Class may take a share. Whoever is about to
// hold something reserves it first, and releases it afterwards. What does not fit is not reserved: the
// request or connection that asks for it is refused, and no class takes the share of another.
//
// # Invariants
//
//   - No class holds more than its share of the limit, unless the limit was lowered meanwhile or Add was used.
//   - A reservation that fails changes nothing.
//
// # Usage
//
//	le := &ledger.Ledger{Shares: ledger.Bytes}
//	le.SetLimit(100 << 20)
//	if !le.Reserve(ledger.Heads, 4096) { refuse() }
//	defer le.Release(ledger.Heads, 4096)
package ledger

import "sync/atomic"

// Class is what a reservation is for.
type Class int

// Classes of bytes.
const (
	// Conns is for accepted connections: their goroutines, buffers, and unread bytes in their sockets.
	Conns Class = iota
	// Heads is for heads of requests, and for what is made of them.
	Heads
	// Buffers is for bodies of requests and responses.
	Buffers
	// Kept is for what stays when a request has ended: idempotency keys, their claims and outcomes.
	Kept
	classCount
)

// Classes of descriptors.
const (
	// Callers is for accepted connections of callers.
	Callers Class = iota + classCount
	// Endpoints is for connections to endpoints, or to the agents beside them.
	Endpoints
	// Peers is for accepted connections of other processes of the fleet.
	Peers
	allClasses
)

// Shares are the shares of the limit that classes may take; one without a share may take all of it.
type Shares map[Class]float64

var (
	// Bytes are the shares of a router's memory, AgentBytes those of an agent's.
	Bytes      = Shares{Conns: 0.5, Heads: 0.15, Buffers: 0.35}
	AgentBytes = Shares{Conns: 0.4, Heads: 0.15, Buffers: 0.35, Kept: 0.1}
	// Descriptors are the shares of a process's descriptors.
	Descriptors = Shares{Callers: 2. / 3, Endpoints: 1. / 3}
	// RouterDescriptors and AgentDescriptors are those of routers that use agents, and of agents.
	RouterDescriptors = Shares{Callers: 1. / 2, Endpoints: 1. / 4, Peers: 1. / 4}
	AgentDescriptors  = Shares{Endpoints: 1. / 4, Peers: 3. / 4}
)

// Ledger is one account. The zero value has no limit, and nil neither a limit nor a count. Set Shares before use.
type Ledger struct {
	Shares Shares

	limit atomic.Int64
	held  [allClasses]atomic.Int64
}

// SetLimit sets the limit; 0 means none. What is held beyond a lower limit stays until it is released.
func (le *Ledger) SetLimit(limit int64) { le.limit.Store(limit) }

// Most returns how much a class may hold, 0 if it is not limited.
func (le *Ledger) Most(cl Class) int64 {
	if le == nil {
		return 0
	}
	limit := le.limit.Load()
	if share := le.Shares[cl]; share > 0 && limit > 0 {
		return max(1, int64(share*float64(limit)))
	}
	return limit
}

// Reserve adds to what a class holds, and returns false if that would exceed its share.
func (le *Ledger) Reserve(cl Class, count int64) bool {
	if le == nil {
		return true
	}
	held, most := le.held[cl].Add(count), le.Most(cl)
	if most > 0 && held > most {
		le.held[cl].Add(-count)
		return false
	}
	return true
}

// Add adds what is held already, such as what another process has decided on, to what a class holds.
func (le *Ledger) Add(cl Class, count int64) {
	if le != nil {
		le.held[cl].Add(count)
	}
}

// HasRoom reports whether a reservation would succeed now.
func (le *Ledger) HasRoom(cl Class, count int64) bool {
	most := le.Most(cl)
	return most <= 0 || le.Held(cl)+count <= most
}

// Release gives back what was reserved.
func (le *Ledger) Release(cl Class, count int64) {
	if le != nil {
		le.held[cl].Add(-count)
	}
}

// Held returns how much a class holds.
func (le *Ledger) Held(cl Class) int64 {
	if le == nil {
		return 0
	}
	return le.held[cl].Load()
}

// Total returns how much all classes hold.
func (le *Ledger) Total() int64 {
	var total int64
	for cl := range allClasses {
		total += le.Held(cl)
	}
	return total
}

const (
	// processBytes is what a process holds of itself: the program, its control state, the runtime.
	processBytes = 32 << 20
	// clientShare is the share of the rest that clients may take. What remains is for garbage that the
	// runtime has not collected yet.
	clientShare = 0.6
	// minClientShare is the share of the whole memory that clients may take however small it is.
	minClientShare = 0.1
)

// ClientBytes returns how many bytes of a process's memory clients may take, 0 if its memory is not limited.
func ClientBytes(memory int64) int64 {
	if memory <= 0 {
		return 0
	}
	return max(int64(clientShare*float64(memory-processBytes)), int64(minClientShare*float64(memory)))
}

const (
	// ownShare of a process's descriptors is for its own work: listeners, the store, peers, probes,
	// and the connections that its other listeners accept.
	ownShare       = 8
	minOwn, maxOwn = 48, 256
)

// OwnDescriptors returns how many of a process's descriptors are for its own work.
func OwnDescriptors(all int64) int64 { return min(max(all/ownShare, minOwn), maxOwn) }

// ClientDescriptors returns how many of a process's descriptors connections of callers and connections to endpoints
// may take, 0 if they are not limited.
func ClientDescriptors(all int64) int64 {
	if all <= 0 {
		return 0
	}
	return max(1, all-OwnDescriptors(all))
}
