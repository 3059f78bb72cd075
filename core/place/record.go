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
func (se *partIndex) endpoints(part uint64) []*state { return se.byPart[part] }

func (se *partIndex) add(part uint64, st *state) {
	se.byPart[part] = append(se.byPart[part], st)
	se.entries++
}

func (se *partIndex) remove(part uint64, st *state) {
	se.entries--
	rest := se.byPart[part]
	at := slices.Index(rest, st)
	rest[at] = rest[len(rest)-1]
	rest[len(rest)-1] = nil
	if rest = rest[:len(rest)-1]; len(rest) == 0 {
		delete(se.byPart, part)
		return
	}
	se.byPart[part] = rest
}

// evict lets the records forget, each in its turn what it was sent longest ago.
func (se *partIndex) evict() {
	for se.entries > maxIndexEntries {
		se.nextEvict = (se.nextEvict + 1) % len(se.caches)
		if oldest := se.caches[se.nextEvict].order.Back(); oldest != nil {
			se.caches[se.nextEvict].evict(oldest)
		}
	}
}

func newCacheModel(st *state, index *partIndex) *cacheModel {
	re := &cacheModel{st: st, order: list.New(), byHash: map[uint64]*list.Element{}, index: index}
	index.caches = append(index.caches, re)
	return re
}

func (re *cacheModel) has(hash uint64) bool { return re.byHash[hash] != nil }

func (re *cacheModel) add(parts []Part, prefixes []uint64, memory core.Tokens) {
	for ix := len(parts) - 1; ix >= 0; ix-- {
		if el := re.byHash[prefixes[ix]]; el != nil {
			re.order.MoveToFront(el)
			continue
		}
		re.byHash[prefixes[ix]] = re.order.PushFront(&cachedPart{prefixes[ix], parts[ix].Tokens})
		re.index.add(prefixes[ix], re.st)
		re.tokens += parts[ix].Tokens
	}
	limit := core.Tokens(cacheFraction * float64(memory))
	for re.order.Len() > maxCachedParts || memory > 0 && re.tokens > limit && re.order.Len() > len(parts) {
		re.evict(re.order.Back())
	}
	re.index.evict()
}

func (re *cacheModel) evict(el *list.Element) {
	gone := re.order.Remove(el).(*cachedPart)
	delete(re.byHash, gone.hash)
	re.tokens -= gone.tokens
	re.index.remove(gone.hash, re.st)
}

// clear forgets all, as the endpoint is gone.
func (re *cacheModel) clear() {
	for el := re.order.Back(); el != nil; el = re.order.Back() {
		re.evict(el)
	}
	re.index.caches = slices.DeleteFunc(re.index.caches, func(other *cacheModel) bool { return other == re })
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
