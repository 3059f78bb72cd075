// Package ctxdir is an agent's directory of returning chats: which contexts its
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
package ctxdir

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"almondrill/core"
)

// CachedContext is a context in the cache of an engine of this agent.
type CachedContext struct {
	Endpoint core.EndpointID
	Tokens   core.Tokens
	// Placement names the chat, for handing it on.
	Placement core.Placement
	// NotifiedHome is the home that was last told of it, where it is not this agent.
	NotifiedHome core.VMID
	usedAt       time.Time
}

// LastUsed is when the context was last used.
func (cc *CachedContext) LastUsed() time.Time { return cc.usedAt }

type pointer struct {
	placement core.Placement
	at        time.Time
}

// Directory is one agent's directory. Set the exported fields before use.
type Directory struct {
	Clock       core.Clock
	MaxCached   int
	MaxPointers int
	TTL         time.Duration

	mu       sync.Mutex // guards all below
	cached   *simplelru.LRU[uint64, CachedContext]
	pointers *simplelru.LRU[uint64, pointer]
	lastSeq  map[core.EndpointID]uint64 // last sequence number seen
	gaps     int64
}

func (di *Directory) init() {
	if di.cached != nil {
		return
	}
	// The only error is a size below 1, which the bounds here rule out.
	di.cached, _ = simplelru.NewLRU[uint64, CachedContext](max(1, di.MaxCached), nil)
	di.pointers, _ = simplelru.NewLRU[uint64, pointer](max(1, di.MaxPointers), nil)
	di.lastSeq = map[core.EndpointID]uint64{}
}

// Add notes that an engine here holds the chat's context.
func (di *Directory) Add(key uint64, cc CachedContext) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.init()
	cc.usedAt = di.Clock.Now()
	di.cached.Add(key, cc)
	di.pointers.Remove(key)
}

// Lookup finds the chat's context in an engine here.
func (di *Directory) Lookup(key uint64) (CachedContext, bool) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.init()
	cc, known := di.cached.Get(key)
	if known && di.Clock.Now().Sub(cc.usedAt) > di.TTL {
		di.cached.Remove(key)
		return CachedContext{}, false
	}
	return cc, known
}

// SetNotified notes which home was told of a context held here.
func (di *Directory) SetNotified(key uint64, home core.VMID) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.init()
	if cc, known := di.cached.Peek(key); known {
		cc.NotifiedHome = home
		di.cached.Add(key, cc)
	}
}

// AddPointer notes that another agent, the placement's VM, holds the context of a chat
// whose home is here.
func (di *Directory) AddPointer(key uint64, pl core.Placement) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.init()
	di.pointers.Add(key, pointer{pl, di.Clock.Now()})
}

// RemovePointer drops the pointer if it still is to that VM.
func (di *Directory) RemovePointer(key uint64, vm core.VMID) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.init()
	if pt, known := di.pointers.Peek(key); known && pt.placement.VM == vm {
		di.pointers.Remove(key)
	}
}

// Pointer finds the VM that the chat's pointer names.
func (di *Directory) Pointer(key uint64) (core.VMID, bool) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.init()
	pt, known := di.pointers.Get(key)
	if known && di.Clock.Now().Sub(pt.at) > di.TTL {
		di.pointers.Remove(key)
		return "", false
	}
	return pt.placement.VM, known
}

// ApplyEviction applies an engine's cache event that drops a chat, or any other event
// with key 0. It returns false when events were missed before it: the caller
// then resyncs. An event that comes late or twice is ignored, as the resync that
// its gap caused has already covered it.
func (di *Directory) ApplyEviction(ep core.EndpointID, seq, key uint64) bool {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.init()
	last, known := di.lastSeq[ep]
	if known && seq <= last {
		return true
	}
	di.lastSeq[ep] = seq
	if cc, here := di.cached.Peek(key); here && cc.Endpoint == ep {
		di.cached.Remove(key)
	}
	if known && seq != last+1 {
		di.gaps++
		return false
	}
	return true
}

// Resync replaces what is known of an engine by its own listing as of seq.
func (di *Directory) Resync(ep core.EndpointID, seq uint64, keys map[uint64]bool) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.init()
	di.lastSeq[ep] = max(seq, di.lastSeq[ep])
	for _, key := range di.cached.Keys() {
		if cc, _ := di.cached.Peek(key); cc.Endpoint == ep && !keys[key] {
			di.cached.Remove(key)
		}
	}
}

// Cached lists up to most contexts held here, the most recently used first.
func (di *Directory) Cached(maxCount int) []CachedContext {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.init()
	all := di.cached.Values()
	found := make([]CachedContext, 0, min(maxCount, len(all)))
	for ix := len(all) - 1; ix >= 0 && len(found) < maxCount; ix-- {
		found = append(found, all[ix])
	}
	return found
}

// Pointers lists up to most pointers kept here, the most recently used first.
func (di *Directory) Pointers(maxCount int) []core.Placement {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.init()
	all := di.pointers.Values()
	found := make([]core.Placement, 0, min(maxCount, len(all)))
	for ix := len(all) - 1; ix >= 0 && len(found) < maxCount; ix-- {
		found = append(found, all[ix].placement)
	}
	return found
}

// Sizes are the numbers of entries held, pointed elsewhere, and gaps seen.
func (di *Directory) Sizes() (held, pointers int, gaps int64) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.init()
	return di.cached.Len(), di.pointers.Len(), di.gaps
}
