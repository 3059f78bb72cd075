// Package ctxdir is an agent's directory of cached chat contexts: those that its own engines have
// cached, and pointers to the agents that hold the contexts of chats whose home is here.
//
// # Concepts
//
// A chat is identified by a 64-bit key (see ring.Key). CachedContext entries track the engines'
// caches: they are added when a call is served and removed on the engine's eviction events. Pointers
// are placed by other agents that served a chat whose home is this agent. All entries are hints: a
// wrong one costs one message exchange or one prefill, never an answer.
//
// # Invariants
//
//   - Both tables are bounded, and entries older than TTL are not used.
//   - Cache events are applied in sequence. A gap means that evictions may have been missed; the
//     cached entries of that engine may then be outdated until Resync.
//
// # Usage
//
//	di := &ctxdir.Directory{Clock: clock, MaxCached: 20000, MaxPointers: 20000, TTL: time.Hour}
//	di.Add(key, ctxdir.CachedContext{Endpoint: ep, Tokens: n})
//	cc, cached := di.Lookup(key)
//	vm, known := di.Pointer(key)
package ctxdir

import (
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"almondrill/core"
)

// CachedContext is a chat's context in the cache of one of this agent's engines.
type CachedContext struct {
	Endpoint core.EndpointID
	Tokens   core.Tokens
	// Placement identifies the chat when its context is handed over to another agent.
	Placement core.Placement
	// NotifiedHome is the chat's home that was last notified of this context after a change of the
	// pool. It is never this agent.
	NotifiedHome core.VMID
	usedAt       time.Time
}

// LastUsed returns when the context was last used.
func (cc *CachedContext) LastUsed() time.Time { return cc.usedAt }

type pointer struct {
	placement core.Placement
	at        time.Time
}

// Directory holds one agent's cached contexts and pointers. Set the exported fields before use.
type Directory struct {
	Clock       core.Clock
	MaxCached   int
	MaxPointers int
	TTL         time.Duration

	mu       sync.Mutex // guards all below
	cached   *simplelru.LRU[uint64, CachedContext]
	pointers *simplelru.LRU[uint64, pointer]
	lastSeq  map[core.EndpointID]uint64 // last sequence number of each engine's cache events
	gaps     int64
}

func (di *Directory) init() {
	if di.cached != nil {
		return
	}
	// NewLRU fails only for sizes below 1.
	di.cached, _ = simplelru.NewLRU[uint64, CachedContext](max(1, di.MaxCached), nil)
	di.pointers, _ = simplelru.NewLRU[uint64, pointer](max(1, di.MaxPointers), nil)
	di.lastSeq = map[core.EndpointID]uint64{}
}

// Add records that one of this agent's engines has the chat's context cached.
func (di *Directory) Add(key uint64, cc CachedContext) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.init()
	cc.usedAt = di.Clock.Now()
	di.cached.Add(key, cc)
	di.pointers.Remove(key)
}

// Lookup returns the chat's context if one of this agent's engines has it cached.
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

// SetNotified records which home was notified of a context cached here.
func (di *Directory) SetNotified(key uint64, home core.VMID) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.init()
	if cc, known := di.cached.Peek(key); known {
		cc.NotifiedHome = home
		di.cached.Add(key, cc)
	}
}

// AddPointer records that another agent, the placement's VM, holds the context of a chat whose home
// is here.
func (di *Directory) AddPointer(key uint64, pl core.Placement) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.init()
	di.pointers.Add(key, pointer{pl, di.Clock.Now()})
}

// RemovePointer removes the chat's pointer if it still names that VM.
func (di *Directory) RemovePointer(key uint64, vm core.VMID) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.init()
	if pt, known := di.pointers.Peek(key); known && pt.placement.VM == vm {
		di.pointers.Remove(key)
	}
}

// Pointer returns the VM that the chat's pointer names.
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

// ApplyEviction applies an engine's cache event: the eviction of a chat, or any other event with key
// 0. It returns false if events before it were missed; the caller then has to resync. A late or
// repeated event is ignored: the resync caused by its gap has already covered it.
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

// Resync removes the entries of an engine that are not in its own listing as of seq.
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

// Cached returns up to maxCount contexts cached here, the most recently used first.
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

// Pointers returns up to maxCount pointers, the most recently used first.
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

// Sizes returns the numbers of cached contexts, of pointers, and of gaps in cache events so far.
func (di *Directory) Sizes() (cached, pointers int, gaps int64) {
	di.mu.Lock()
	defer di.mu.Unlock()
	di.init()
	return di.cached.Len(), di.pointers.Len(), di.gaps
}
