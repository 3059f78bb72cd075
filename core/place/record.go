package place

import (
	"container/list"
	"slices"

	"almondrill/core"
)

// cacheModel remembers which parts an endpoint was sent, as long as they fit into its
// memory: it forgets the least recently used, as engines do.
type cacheModel struct {
	st     *state
	order  *list.List // of *held, the most recently used first
	byHash map[uint64]*list.Element
	tokens core.Tokens
	// index is the router's index, in which this record's parts are.
	index *partIndex
}

type cachedPart struct {
	hash   uint64
	tokens core.Tokens
}

// partIndex are the endpoints whose records have a part. Who holds a chat is found without a
// walk over all endpoints.
// They are bounded in all: by each endpoint's memory alone, the records of thousands would grow
// for hours. What was not sent for minutes is not in an engine's memory any more.
type partIndex struct {
	byPart map[uint64][]*state
	// entries counts those of all records, which take turns to forget once there are too many.
	entries   int
	caches    []*cacheModel
	nextEvict int
}

const (
	// cacheFraction is the part of an engine's memory that the record assumes for kept
	// parts; the rest is taken by running requests.
	cacheFraction = 0.7
	// maxCachedParts bounds the record where an engine's memory is unknown.
	maxCachedParts = 4096
	// maxIndexEntries bounds the entries of all records, some 200 bytes each: with 60 requests a
	// second of three parts, those of six minutes.
	maxIndexEntries = 65536
)

func newPartIndex() *partIndex { return &partIndex{byPart: map[uint64][]*state{}} }

// endpoints are the endpoints that were sent a part.
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

// evict lets the records forget, each in its turn what it was sent longest ago.
func (pi *partIndex) evict() {
	for pi.entries > maxIndexEntries {
		pi.nextEvict = (pi.nextEvict + 1) % len(pi.caches)
		if oldest := pi.caches[pi.nextEvict].order.Back(); oldest != nil {
			pi.caches[pi.nextEvict].evict(oldest)
		}
	}
}

func newCacheModel(st *state, index *partIndex) *cacheModel {
	re := &cacheModel{st: st, order: list.New(), byHash: map[uint64]*list.Element{}, index: index}
	index.caches = append(index.caches, re)
	return re
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
	gone := cm.order.Remove(el).(*cachedPart)
	delete(cm.byHash, gone.hash)
	cm.tokens -= gone.tokens
	cm.index.remove(gone.hash, cm.st)
}

// clear forgets all, as the endpoint is gone.
func (cm *cacheModel) clear() {
	for el := cm.order.Back(); el != nil; el = cm.order.Back() {
		cm.evict(el)
	}
	cm.index.caches = slices.DeleteFunc(cm.index.caches, func(other *cacheModel) bool { return other == cm })
}

// uncached is how many of the prompt's tokens the endpoint probably has to read, if
// it has the assumed part of those that return beside what the record says.
func (st *state) uncached(parts []Part, prefixes []uint64, assumed float64) core.Tokens {
	var known core.Tokens
	all := promptTokens(parts)
	for ix, pa := range parts {
		if !st.cache.has(prefixes[ix]) {
			break
		}
		known += pa.Tokens
	}
	if assumed > 0 && len(parts) > 1 {
		shared := all - parts[len(parts)-1].Tokens
		known = max(known, core.Tokens(assumed*float64(shared)))
	}
	return all - known
}

// cacheHolder is the endpoint, of those that can be reached, that is known by the own record
// to hold most of the prompt; one that is draining or full still hands its memory on.
func (ch *choice) cacheHolder(pl *Placer) (*state, core.Tokens) {
	for depth := len(ch.prefixes) - 1; depth >= 0; depth-- {
		if st := ch.cacheHolderAt(pl, depth); st != nil {
			return st, promptTokens(ch.rq.Parts[:depth+1])
		}
	}
	return nil, 0
}

// cacheHolderAt is an endpoint that holds the prompt up to the depth, nil if none does. The
// first that does behind a place drawn is taken: a beginning may be held by thousands, and
// routers that all took the first would bury it.
func (ch *choice) cacheHolderAt(pl *Placer, depth int) *state {
	among := pl.partIndex.endpoints(ch.prefixes[depth])
	if len(among) == 0 {
		return nil
	}
	from := int(pl.Rand.Uint64() % uint64(len(among)))
	for ix := range among {
		st := among[(from+ix)%len(among)]
		if !ch.eligible(pl, st) || !st.canTransfer(ch.now) {
			continue
		}
		if st.hasCached(ch.prefixes[:depth]) {
			return st
		}
	}
	return nil
}

// hasCached tells whether all of the chain is in the endpoint's record.
func (st *state) hasCached(prefixes []uint64) bool {
	for _, hash := range prefixes {
		if !st.cache.has(hash) {
			return false
		}
	}
	return true
}
