package place

import (
	"container/list"
	"slices"

	"almondrill/core"
)

// cacheModel models the prompt cache of an endpoint: an LRU list of the parts sent to it, within
// the memory of the engine. Engines evict in the same order.
type cacheModel struct {
	st     *state
	order  *list.List // of *cachedPart, the most recently used first
	byHash map[uint64]*list.Element
	tokens core.Tokens
	// index is the router's index, which contains the parts of this model.
	index *partIndex
}

type cachedPart struct {
	hash   uint64
	tokens core.Tokens
}

// partIndex maps each part to the endpoints whose cache models contain it, so that the holder of a
// chat is found without a scan of all endpoints.
//
// The index bounds all cache models together: bounded by the memory of each engine alone, those of
// thousands of endpoints would grow for hours. Parts last sent minutes ago are no longer in an
// engine's memory.
type partIndex struct {
	byPart map[uint64][]*state
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
	// maxIndexEntries bounds the entries of all cache models, some 200 bytes each. At 60 requests
	// per second with three parts each, it covers six minutes.
	maxIndexEntries = 65536
)

func newPartIndex() *partIndex { return &partIndex{byPart: map[uint64][]*state{}} }

// endpoints returns the endpoints to which a part was sent.
func (pi *partIndex) endpoints(part uint64) []*state { return pi.byPart[part] }

func (pi *partIndex) add(part uint64, st *state) {
	pi.byPart[part] = append(pi.byPart[part], st)
	pi.entries++
}

func (pi *partIndex) remove(part uint64, st *state) {
	pi.entries--
	rest := pi.byPart[part]
	at := slices.Index(rest, st)
	rest[at] = rest[len(rest)-1]
	rest[len(rest)-1] = nil
	if rest = rest[:len(rest)-1]; len(rest) == 0 {
		delete(pi.byPart, part)
		return
	}
	pi.byPart[part] = rest
}

// evict goes round the cache models and evicts the least recently used part of each until the index
// is within its bound.
func (pi *partIndex) evict() {
	for pi.entries > maxIndexEntries {
		pi.nextEvict = (pi.nextEvict + 1) % len(pi.caches)
		if oldest := pi.caches[pi.nextEvict].order.Back(); oldest != nil {
			pi.caches[pi.nextEvict].evict(oldest)
		}
	}
}

func newCacheModel(st *state, index *partIndex) *cacheModel {
	cm := &cacheModel{st: st, order: list.New(), byHash: map[uint64]*list.Element{}, index: index}
	index.caches = append(index.caches, cm)
	return cm
}

func (cm *cacheModel) has(hash uint64) bool { return cm.byHash[hash] != nil }

func (cm *cacheModel) add(parts []Part, prefixes []uint64, memory core.Tokens) {
	for ix := len(parts) - 1; ix >= 0; ix-- {
		if el := cm.byHash[prefixes[ix]]; el != nil {
			cm.order.MoveToFront(el)
			continue
		}
		cm.byHash[prefixes[ix]] = cm.order.PushFront(&cachedPart{prefixes[ix], parts[ix].Tokens})
		cm.index.add(prefixes[ix], cm.st)
		cm.tokens += parts[ix].Tokens
	}
	limit := core.Tokens(cacheFraction * float64(memory))
	for cm.order.Len() > maxCachedParts || memory > 0 && cm.tokens > limit && cm.order.Len() > len(parts) {
		cm.evict(cm.order.Back())
	}
	cm.index.evict()
}

func (cm *cacheModel) evict(el *list.Element) {
	evicted := cm.order.Remove(el).(*cachedPart)
	delete(cm.byHash, evicted.hash)
	cm.tokens -= evicted.tokens
	cm.index.remove(evicted.hash, cm.st)
}

// clear evicts all parts, since the endpoint is gone.
func (cm *cacheModel) clear() {
	for el := cm.order.Back(); el != nil; el = cm.order.Back() {
		cm.evict(el)
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
