package place

import (
	"slices"

	"almondrill/core"
)

// cacheModel models the prompt cache of an endpoint: an LRU list of the parts sent to it, within
// the memory of the engine. Engines evict in the same order.
//
// The list is kept in a slice, since the models of all endpoints have tens of thousands of parts: as
// separate objects, they would take twice the memory.
type cacheModel struct {
	st *state
	// parts are the parts of the list, linked by their positions, and unused ones. newest and oldest
	// are the ends of the list, -1 if it is empty; unused is the first of the unused parts, linked by
	// older.
	parts                  []cachedPart
	newest, oldest, unused int32
	byHash                 map[uint64]int32
	tokens                 core.Tokens
	// index is the router's index, which contains the parts of this model.
	index *partIndex
}

// cachedPart is a part in the list between an older and a newer one, -1 at the end.
type cachedPart struct {
	hash         uint64
	tokens       core.Tokens
	older, newer int32
}

// partIndex maps each part to the endpoints whose cache models contain it, so that the holder of a
// chat is found without a scan of all endpoints.
//
// The index bounds all cache models together: bounded by the memory of each engine alone, those of
// thousands of endpoints would grow for hours. Parts last sent minutes ago are no longer in an
// engine's memory.
type partIndex struct {
	// single has the parts with one endpoint, which are nearly all, shared has the others.
	single map[uint64]*state
	shared map[uint64][]*state
	// entries counts the parts of all cache models, which evict in turn when there are too many.
	entries   int
	caches    []*cacheModel
	nextEvict int
}

const (
	// cacheFraction is the share of an engine's memory that is assumed to hold cached parts;
	// running requests take the rest.
	cacheFraction = 0.7
	// maxCachedParts bounds a cache model if the engine's memory is unknown.
	maxCachedParts = 4096
	// maxIndexEntries bounds the entries of all cache models, some 100 bytes each. At 60 requests
	// per second with three parts each, it covers six minutes.
	maxIndexEntries = 65536
)

func newPartIndex() *partIndex {
	return &partIndex{single: map[uint64]*state{}, shared: map[uint64][]*state{}}
}

// endpoints returns the endpoints to which a part was sent.
func (pi *partIndex) endpoints(part uint64) []*state {
	if st := pi.single[part]; st != nil {
		return []*state{st}
	}
	return pi.shared[part]
}

func (pi *partIndex) add(part uint64, st *state) {
	pi.entries++
	other := pi.single[part]
	list := pi.shared[part]
	switch {
	case other != nil:
		delete(pi.single, part)
		pi.shared[part] = []*state{other, st}
	case len(list) > 0:
		pi.shared[part] = append(list, st)
	default:
		pi.single[part] = st
	}
}

func (pi *partIndex) remove(part uint64, st *state) {
	pi.entries--
	if pi.single[part] == st {
		delete(pi.single, part)
		return
	}
	rest := pi.shared[part]
	at := slices.Index(rest, st)
	rest[at] = rest[len(rest)-1]
	rest[len(rest)-1] = nil
	if rest = rest[:len(rest)-1]; len(rest) == 1 {
		delete(pi.shared, part)
		pi.single[part] = rest[0]
		return
	}
	pi.shared[part] = rest
}

// evict goes round the cache models and evicts the least recently used part of each until the index
// is within its bound.
func (pi *partIndex) evict() {
	for pi.entries > maxIndexEntries {
		pi.nextEvict = (pi.nextEvict + 1) % len(pi.caches)
		pi.caches[pi.nextEvict].evictOldest()
	}
}

func newCacheModel(st *state, index *partIndex) *cacheModel {
	cm := &cacheModel{st: st, newest: -1, oldest: -1, unused: -1, byHash: map[uint64]int32{}, index: index}
	index.caches = append(index.caches, cm)
	return cm
}

func (cm *cacheModel) has(hash uint64) bool {
	_, has := cm.byHash[hash]
	return has
}

// count returns the number of parts.
func (cm *cacheModel) count() int { return len(cm.byHash) }

func (cm *cacheModel) add(parts []Part, prefixes []uint64, memory core.Tokens) {
	for ix := len(parts) - 1; ix >= 0; ix-- {
		at, has := cm.byHash[prefixes[ix]]
		if has {
			cm.unlink(at)
		} else {
			at = cm.newPart(prefixes[ix], parts[ix].Tokens)
		}
		cm.linkNewest(at)
	}
	limit := core.Tokens(cacheFraction * float64(memory))
	for cm.count() > maxCachedParts || memory > 0 && cm.tokens > limit && cm.count() > len(parts) {
		cm.evictOldest()
	}
	cm.index.evict()
}

// newPart returns the position of a new part that is not linked yet.
func (cm *cacheModel) newPart(hash uint64, tokens core.Tokens) int32 {
	at := cm.unused
	if at >= 0 {
		cm.unused = cm.parts[at].older
	} else {
		at = int32(len(cm.parts))
		cm.parts = append(cm.parts, cachedPart{})
	}
	cm.parts[at] = cachedPart{hash: hash, tokens: tokens}
	cm.byHash[hash] = at
	cm.index.add(hash, cm.st)
	cm.tokens += tokens
	return at
}

// linkNewest makes a part the newest of the list.
func (cm *cacheModel) linkNewest(at int32) {
	cm.parts[at].older, cm.parts[at].newer = cm.newest, -1
	if cm.newest >= 0 {
		cm.parts[cm.newest].newer = at
	} else {
		cm.oldest = at
	}
	cm.newest = at
}

// unlink takes a part out of the list.
func (cm *cacheModel) unlink(at int32) {
	older, newer := cm.parts[at].older, cm.parts[at].newer
	if older >= 0 {
		cm.parts[older].newer = newer
	} else {
		cm.oldest = newer
	}
	if newer >= 0 {
		cm.parts[newer].older = older
	} else {
		cm.newest = older
	}
}

// evictOldest evicts the least recently used part, if there is one.
func (cm *cacheModel) evictOldest() {
	at := cm.oldest
	if at < 0 {
		return
	}
	cm.unlink(at)
	evicted := &cm.parts[at]
	delete(cm.byHash, evicted.hash)
	cm.tokens -= evicted.tokens
	cm.index.remove(evicted.hash, cm.st)
	evicted.older, cm.unused = cm.unused, at
}

// clear evicts all parts, since the endpoint is gone.
func (cm *cacheModel) clear() {
	for cm.count() > 0 {
		cm.evictOldest()
	}
	cm.index.caches = slices.DeleteFunc(cm.index.caches, func(other *cacheModel) bool { return other == cm })
}

// uncached estimates how many of the prompt's tokens the endpoint has to prefill, given its cache
// model. The endpoint is taken to have at least the assumed fraction of all parts but the last.
func (st *state) uncached(parts []Part, prefixes []uint64, assumed float64) core.Tokens {
	var cached core.Tokens
	all := promptTokens(parts)
	for ix, pa := range parts {
		if !st.cache.has(prefixes[ix]) {
			break
		}
		cached += pa.Tokens
	}
	if assumed > 0 && len(parts) > 1 {
		shared := all - parts[len(parts)-1].Tokens
		cached = max(cached, core.Tokens(assumed*float64(shared)))
	}
	return all - cached
}

// cacheHolder returns the reachable endpoint that has the longest prefix of the prompt according to
// the cache models. An endpoint that is draining or full still transfers its contexts.
func (ch *choice) cacheHolder(pl *Placer) (*state, core.Tokens) {
	for depth := len(ch.prefixes) - 1; depth >= 0; depth-- {
		if st := ch.cacheHolderAt(pl, depth); st != nil {
			return st, promptTokens(ch.rq.Parts[:depth+1])
		}
	}
	return nil, 0
}

// cacheHolderAt returns an endpoint that has the prompt up to the depth, nil if there is none. The
// search starts at a random position: thousands of endpoints may hold a shared prefix, and routers
// that all took the first one would overload it.
func (ch *choice) cacheHolderAt(pl *Placer, depth int) *state {
	holders := pl.partIndex.endpoints(ch.prefixes[depth])
	if len(holders) == 0 {
		return nil
	}
	from := int(pl.Rand.Uint64() % uint64(len(holders)))
	for ix := range holders {
		st := holders[(from+ix)%len(holders)]
		if !ch.eligible(pl, st) || !st.canTransfer(ch.now) {
			continue
		}
		if st.hasCached(ch.prefixes[:depth]) {
			return st
		}
	}
	return nil
}

// hasCached reports whether the endpoint's cache model contains all prefixes.
func (st *state) hasCached(prefixes []uint64) bool {
	for _, hash := range prefixes {
		if !st.cache.has(hash) {
			return false
		}
	}
	return true
}
