// Package mirror keeps a copy of the platform's store that several processes update from each
// other.
//
// # Concepts
//
// The store numbers its changes. A Mirror holds the latest item of each key and AsOf, the version up
// to which it is complete. It is updated from the store's watch and, while the store rejects this
// process, from the mirrors of peers. A store that is restored from a backup begins a new era, whose
// versions are all later than those of earlier eras.
//
// # Invariants
//
//   - An item is replaced only by one of a higher version, so that state never goes back,
//     in whichever order changes arrive.
//   - A deletion is kept as an item too: an older copy cannot bring the key back.
//   - A value that outranks its counterpart from a later era is kept, under the later version.
//
// # Usage
//
//	mi := &mirror.Mirror{Changed: func(it core.Item) { ... }}
//	mi.Apply(items, asOf)
//	changes, asOf, whole := mi.Since(theirs)
package mirror

import (
	"bytes"
	"math"
	"sync"

	"almondrill/core"
)

// maxDeletions bounds the deletions that are remembered. A key is deleted for each endpoint that
// ends; at 200 a day this covers weeks.
const maxDeletions = 8192

const (
	// minPastSize is the size, in bytes, from which earlier values of an item are kept, as the base of
	// deltas for peers that have them. Below it, a delta is hardly smaller than the item.
	minPastSize = 4 << 10
	// maxPastValues is how many earlier values of an item are kept. A peer usually lacks one change;
	// one whose value is older than those kept gets the whole new value.
	maxPastValues = 4
	// maxPastItems is how many items' earlier values are kept. Peers use that of the largest item.
	maxPastItems = 8
)

// Mirror is a copy of the store. Set the exported fields before use.
type Mirror struct {
	// Changed is called with each item that becomes the latest of its key, in the order in which
	// they are applied. It is not called for items that only have a new version because the store was
	// restored from a backup. It must not call the Mirror.
	Changed func(it core.Item)
	// Restored is called by Replace, before it applies the items, if the listing is of a later era than
	// the mirror: the store was restored from a backup in between. It must not call the Mirror.
	Restored func(from, to core.Version)
	// Outranks reports whether an item is later than another of its key, whatever their versions: a
	// store that was restored from a backup returns earlier values. Nil if no item outranks another.
	Outranks func(it, other core.Item) bool

	mu    sync.Mutex // guards all below
	items map[string]core.Item
	// deletions are the deleted keys in the order of their deletion.
	deletions []string
	asOf      core.Version
	// listedAsOf is the version of the last complete listing.
	listedAsOf core.Version
	// deletionsFrom is the version from which on all deletions are known.
	deletionsFrom core.Version
	// past are earlier values of large items, the latest last.
	past map[string][]core.Item
}

// AsOf returns the version up to which the mirror is complete; 0 if nothing is known.
func (mi *Mirror) AsOf() core.Version {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	return mi.asOf
}

// Apply adds items with which the mirror is complete up to asOf.
func (mi *Mirror) Apply(items []core.Item, asOf core.Version) {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	for _, it := range items {
		// The mirror had all keys of the last listing. A change of before that brings another one comes late, and the
		// key was deleted since.
		if _, known := mi.items[it.Key]; known || it.Deleted || it.Rev > mi.listedAsOf {
			mi.applyItem(it)
		}
	}
	mi.asOf = max(mi.asOf, asOf)
}

// Preview adds a part of the first listing, which makes nothing complete; Replace with the whole
// listing removes what was deleted in the meantime. Once a complete version is known, Preview does
// nothing: it could bring back a deleted item for good.
func (mi *Mirror) Preview(some []core.Item) {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	if mi.asOf > 0 {
		return
	}
	for _, it := range some {
		mi.applyItem(it)
	}
}

// Replace applies a complete listing that was begun at asOf: keys that it lacks, and that were not
// changed since, were deleted without this mirror's knowledge.
func (mi *Mirror) Replace(items []core.Item, asOf core.Version) {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	if mi.asOf > 0 && asOf.Era() > mi.asOf.Era() && mi.Restored != nil {
		mi.Restored(mi.asOf, asOf)
	}
	listed := map[string]bool{}
	for _, it := range items {
		listed[it.Key] = true
		mi.applyItem(it)
	}
	for key, it := range mi.items {
		if !listed[key] && !it.Deleted && it.Rev <= asOf {
			mi.applyItem(core.Item{Key: key, Rev: asOf, Deleted: true})
		}
	}
	// Keys that were added and deleted between two listings are unknown here.
	mi.deletionsFrom = max(mi.deletionsFrom, asOf)
	mi.listedAsOf = max(mi.listedAsOf, asOf)
	mi.asOf = max(mi.asOf, asOf)
}

// applyItem keeps the item if it is newer. A deletion found by a listing has the listing's version,
// which may equal the key's own last one.
func (mi *Mirror) applyItem(it core.Item) {
	if mi.items == nil {
		mi.items = map[string]core.Item{}
	}
	old, known := mi.items[it.Key]
	unchanged := known && renumbered(old, it)
	if known && mi.mayBeRestored(old, it) {
		switch {
		case mi.Outranks(old, it):
			it.Value, it.Deleted, unchanged = old.Value, false, true
		case mi.Outranks(it, old) && it.Rev <= old.Rev:
			it.Rev, known = old.Rev, false // it replaces an item of a higher version
		}
	}
	if known && (it.Rev < old.Rev || it.Rev == old.Rev && (old.Deleted || !it.Deleted)) {
		return
	}
	mi.items[it.Key] = it
	if it.Deleted {
		delete(mi.past, it.Key)
	} else {
		mi.keepPast(old)
	}
	if unchanged {
		return
	}
	if it.Deleted {
		mi.deletions = append(mi.deletions, it.Key)
		mi.forgetDeletions()
	}
	if mi.Changed != nil {
		mi.Changed(it)
	}
}

// renumbered reports whether an item differs from the old one only by the era of its version, because
// the store was restored from a backup that contains it.
func renumbered(old, it core.Item) bool {
	return old.Rev.Era() != it.Rev.Era() && old.Rev.Revision() == it.Rev.Revision() &&
		!old.Deleted && !it.Deleted && bytes.Equal(old.Value, it.Value)
}

// mayBeRestored reports whether one of the items may come from a backup that the store was restored
// from: they are of two eras, or differ under one version.
func (mi *Mirror) mayBeRestored(old, it core.Item) bool {
	if mi.Outranks == nil || it.Rev != old.Rev && it.Rev.Era() == old.Rev.Era() {
		return false
	}
	return it.Deleted != old.Deleted || !bytes.Equal(it.Value, old.Value)
}

// keepPast remembers a replaced value if it is large.
func (mi *Mirror) keepPast(old core.Item) {
	if len(old.Value) < minPastSize {
		return
	}
	if mi.past == nil {
		mi.past = map[string][]core.Item{}
	}
	list := append(mi.past[old.Key], old)
	mi.past[old.Key] = list[max(0, len(list)-maxPastValues):]
	if len(mi.past) > maxPastItems {
		mi.dropSmallestPast()
	}
}

// dropSmallestPast forgets the earlier values of the item whose last one is the smallest.
func (mi *Mirror) dropSmallestPast() {
	smallest, size := "", math.MaxInt
	for key, list := range mi.past {
		if last := len(list[len(list)-1].Value); last < size {
			smallest, size = key, last
		}
	}
	delete(mi.past, smallest)
}

// Largest returns the item with the largest value, the zero Item if there is none.
func (mi *Mirror) Largest() core.Item {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	var best core.Item
	for _, it := range mi.items {
		if len(it.Value) > len(best.Value) {
			best = it
		}
	}
	return best
}

// Value returns the key's value at the given version, nil if it is unknown.
func (mi *Mirror) Value(key string, rev core.Version) []byte {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	if it := mi.items[key]; it.Rev == rev {
		return it.Value
	}
	for _, it := range mi.past[key] {
		if it.Rev == rev {
			return it.Value
		}
	}
	return nil
}

// forgetDeletions drops the oldest deletions beyond maxDeletions.
func (mi *Mirror) forgetDeletions() {
	for len(mi.deletions) > maxDeletions {
		if it := mi.items[mi.deletions[0]]; it.Deleted {
			delete(mi.items, it.Key)
			mi.deletionsFrom = max(mi.deletionsFrom, it.Rev)
		}
		mi.deletions = mi.deletions[1:]
	}
}

// Since returns the changes after rev, and the version up to which they are complete. Deletions before
// this mirror's first listing, and forgotten ones, are unknown here: to a peer that may lack them it
// returns all items, with whole set, which the peer has to apply with Replace.
func (mi *Mirror) Since(rev core.Version) (changes []core.Item, asOf core.Version, whole bool) {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	whole = rev < mi.deletionsFrom
	for _, it := range mi.items {
		if it.Rev > rev && !whole || whole && !it.Deleted {
			changes = append(changes, it)
		}
	}
	return changes, mi.asOf, whole
}
