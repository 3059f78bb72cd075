// Package chats is an agent's directory of returning chats: which contexts its
// own engines hold, and where those are whose home it is but that were served
// elsewhere.
//
// # Concepts
//
// A chat is known by a 64-bit key (see ring.Key). Held entries follow the
// engine's cache: made when a call is served, dropped on the engine's eviction
// events. Away entries are pointers that other agents placed here because this
// agent is the chat's home. Everything is a hint: a wrong entry costs one
// exchange or one prefill, never an answer.
//
// # Invariants
//
//   - Both tables are bounded, and an entry older than KeepFor is not used.
//   - Cache events are applied in sequence. A gap means that evictions may have
//     been missed: Held entries of that engine count as unsure until Resynced.
//
// # Usage
//
//	bo := &chats.Book{Clock: clock, MaxHeld: 20000, MaxAway: 20000, KeepFor: time.Hour}
//	bo.Keep(key, chats.Held{Endpoint: ep, Tokens: n})
//	he, here := bo.Held(key)
//	vm, away := bo.Away(key)
package chats

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"almondrill/core"
)

// Held is a context in the cache of an engine of this agent.
type Held struct {
	Endpoint core.EndpointID
	Tokens   core.Tokens
	// Placement names the chat, for handing it on.
	Placement core.Placement
	// Told is the home that was last told of it, where it is not this agent.
	Told core.VMID
	at   time.Time
}

// Kept is when the context was last used.
func (he *Held) Kept() time.Time { return he.at }

type away struct {
	placement core.Placement
	at        time.Time
}

// Book is one agent's directory. Set the exported fields before use.
type Book struct {
	Clock   core.Clock
	MaxHeld int
	MaxAway int
	KeepFor time.Duration

	mu      sync.Mutex // guards all below
	held    *simplelru.LRU[uint64, Held]
	aways   *simplelru.LRU[uint64, away]
	engines map[core.EndpointID]uint64 // last sequence number seen
	gaps    int64
}

func (bo *Book) init() {
	if bo.held != nil {
		return
	}
	// The only error is a size below 1, which the bounds here rule out.
	bo.held, _ = simplelru.NewLRU[uint64, Held](max(1, bo.MaxHeld), nil)
	bo.aways, _ = simplelru.NewLRU[uint64, away](max(1, bo.MaxAway), nil)
	bo.engines = map[core.EndpointID]uint64{}
}

// Keep notes that an engine here holds the chat's context.
func (bo *Book) Keep(key uint64, he Held) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.init()
	he.at = bo.Clock.Now()
	bo.held.Add(key, he)
	bo.aways.Remove(key)
}

// Held finds the chat's context in an engine here.
func (bo *Book) Held(key uint64) (Held, bool) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.init()
	he, known := bo.held.Get(key)
	if known && bo.Clock.Now().Sub(he.at) > bo.KeepFor {
		bo.held.Remove(key)
		return Held{}, false
	}
	return he, known
}

// SetTold notes which home was told of a context held here.
func (bo *Book) SetTold(key uint64, home core.VMID) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.init()
	if he, known := bo.held.Peek(key); known {
		he.Told = home
		bo.held.Add(key, he)
	}
}

// Point notes that another agent, the placement's VM, holds the context of a chat
// whose home is here.
func (bo *Book) Point(key uint64, pl core.Placement) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.init()
	bo.aways.Add(key, away{pl, bo.Clock.Now()})
}

// Unpoint drops the pointer if it still is to that VM.
func (bo *Book) Unpoint(key uint64, vm core.VMID) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.init()
	if aw, known := bo.aways.Peek(key); known && aw.placement.VM == vm {
		bo.aways.Remove(key)
	}
}

// Away finds the VM that the chat's pointer names.
func (bo *Book) Away(key uint64) (core.VMID, bool) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.init()
	aw, known := bo.aways.Get(key)
	if known && bo.Clock.Now().Sub(aw.at) > bo.KeepFor {
		bo.aways.Remove(key)
		return "", false
	}
	return aw.placement.VM, known
}

// Evicted applies an engine's cache event that drops a chat, or any other event
// with key 0. It returns false when events were missed before it: the caller
// then resyncs. An event that comes late or twice is ignored, as the resync that
// its gap caused has already covered it.
func (bo *Book) Evicted(ep core.EndpointID, seq, key uint64) bool {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.init()
	last, known := bo.engines[ep]
	if known && seq <= last {
		return true
	}
	bo.engines[ep] = seq
	if he, here := bo.held.Peek(key); here && he.Endpoint == ep {
		bo.held.Remove(key)
	}
	if known && seq != last+1 {
		bo.gaps++
		return false
	}
	return true
}

// Resynced replaces what is known of an engine by its own listing as of seq.
func (bo *Book) Resynced(ep core.EndpointID, seq uint64, keys map[uint64]bool) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.init()
	bo.engines[ep] = max(seq, bo.engines[ep])
	for _, key := range bo.held.Keys() {
		if he, _ := bo.held.Peek(key); he.Endpoint == ep && !keys[key] {
			bo.held.Remove(key)
		}
	}
}

// Holdings lists up to most contexts held here, the most recently used first.
func (bo *Book) Holdings(most int) []Held {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.init()
	all := bo.held.Values()
	found := make([]Held, 0, min(most, len(all)))
	for ix := len(all) - 1; ix >= 0 && len(found) < most; ix-- {
		found = append(found, all[ix])
	}
	return found
}

// Pointers lists up to most pointers kept here, the most recently used first.
func (bo *Book) Pointers(most int) []core.Placement {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.init()
	all := bo.aways.Values()
	found := make([]core.Placement, 0, min(most, len(all)))
	for ix := len(all) - 1; ix >= 0 && len(found) < most; ix-- {
		found = append(found, all[ix].placement)
	}
	return found
}

// Sizes are the numbers of entries held, pointed elsewhere, and gaps seen.
func (bo *Book) Sizes() (held, pointers int, gaps int64) {
	bo.mu.Lock()
	defer bo.mu.Unlock()
	bo.init()
	return bo.held.Len(), bo.aways.Len(), bo.gaps
}
