package place

import (
	"container/list"
	"time"

	"almondrill/core"
	"almondrill/core/decl"
	"almondrill/core/ring"
)

// state is what the router believes of one endpoint.
type state struct {
	Endpoint
	// name is the hash of its id, by which routers agree on homes; hash is that of its id
	// and start, by which peers tell of it, so that their words of an earlier start are
	// not taken for this one.
	name, hash uint64
	since      time.Time
	// calls are the router's own in progress; others those of other routers, as of the last
	// choice.
	calls  int
	others int
	// toRead are the prompt tokens of own calls whose first token is awaited.
	toRead    core.Tokens
	reading   reading
	seen      *memory
	health    health
	fullUntil time.Time
	// missing is set while the registration is missing, but may come back.
	missing bool
}

func newState(now time.Time, ep *Endpoint) *state {
	name := decl.HashName(string(ep.ID))
	hash := name
	if ep.Start != 0 {
		hash = ring.Mix(name, uint64(ep.Start))
	}
	return &state{name: name, hash: hash, seen: newMemory(), since: now}
}

// uncached is how many of the prompt's tokens the endpoint probably has to read, if
// it has the assumed part of those that return beside what the record says.
func (st *state) uncached(parts []Part, chain []uint64, assumed float64) core.Tokens {
	var known core.Tokens
	all := promptTokens(parts)
	held := true
	for ix, pa := range parts {
		held = held && st.seen.has(chain[ix])
		if held {
			known += pa.Tokens
		}
	}
	if assumed > 0 && len(parts) > 1 {
		shared := all - parts[len(parts)-1].Tokens
		known = max(known, core.Tokens(assumed*float64(shared)))
	}
	return all - known
}

// memory remembers which parts an endpoint was sent, as long as they fit into its
// memory: it forgets the least recently used, as engines do.
type memory struct {
	order  *list.List // of *held, the most recently used first
	byHash map[uint64]*list.Element
	tokens core.Tokens
}

type held struct {
	hash   uint64
	tokens core.Tokens
}

// heldPart is the part of an engine's memory that the record assumes for kept
// parts; the rest is taken by running requests.
const heldPart = 0.7

// mostHeld bounds the record where an engine's memory is unknown.
const mostHeld = 4096

func newMemory() *memory { return &memory{order: list.New(), byHash: map[uint64]*list.Element{}} }

func (me *memory) has(hash uint64) bool { return me.byHash[hash] != nil }

func (me *memory) note(parts []Part, chain []uint64, room core.Tokens) {
	for ix := len(parts) - 1; ix >= 0; ix-- {
		if el := me.byHash[chain[ix]]; el != nil {
			me.order.MoveToFront(el)
			continue
		}
		me.byHash[chain[ix]] = me.order.PushFront(&held{chain[ix], parts[ix].Tokens})
		me.tokens += parts[ix].Tokens
	}
	limit := core.Tokens(heldPart * float64(room))
	for me.order.Len() > mostHeld || room > 0 && me.tokens > limit && me.order.Len() > len(parts) {
		last := me.order.Back()
		gone := me.order.Remove(last).(*held)
		delete(me.byHash, gone.hash)
		me.tokens -= gone.tokens
	}
}
