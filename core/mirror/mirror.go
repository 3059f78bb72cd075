// Package mirror keeps a copy of the platform's store that several processes
// bring up to date from each other.
//
// # Concepts
//
// The store numbers its changes. A Mirror holds the newest item of each key and
// AsOf, the version up to which nothing is missing. It is fed by the store's
// watch and, while the store turns this process away, by the mirrors of others. A store that
// comes back from a copy begins a new era; all of its versions are later than those before.
//
// # Invariants
//
//   - An item is only ever replaced by one of a higher version, so that what was
//     learned never goes back, in whichever order news arrives.
//   - A deletion is kept as an item too: an older copy cannot bring the key back.
//   - A value that outranks what a later era has in its place is kept, under that version.
//
// # Usage
//
//	mi := &mirror.Mirror{Changed: func(it core.Item) { ... }}
//	mi.Apply(items, asOf)
//	news, asOf := mi.Since(theirs)
package mirror

import (
	"bytes"
	"sync"

	"almondrill/core"
)

// maxDeletions bounds how many deletions are remembered. A key is deleted for each
// endpoint that ends; at 200 a day this covers weeks.
const maxDeletions = 8192

const (
	// minPastSize is the size, in bytes, from which on an item's earlier values are kept,
	// as what peers have; below it, what differs is hardly smaller than the item.
	minPastSize = 4 << 10
	// maxPastValues is how many earlier values are kept of an item. A peer lacks one change
	// as a rule; after a series of changes that it missed it gets all.
	maxPastValues = 4
)

// Mirror is the copy. Set Changed before use.
type Mirror struct {
	// Changed is told of each item that became the newest of its key, in the
	// order in which they were taken, unless it was not written again: all items of a store that
	// came back from a copy have later versions. It must not call the Mirror.
	Changed func(it core.Item)
	// Restored is told, before the items, that the store has come back from a copy since. It must
	// not call the Mirror.
	Restored func(from, to core.Version)
	// Outranks tells that an item is later than another of its key whatever their versions: a
	// store that came back from a copy tells what it had before. Nil if none does.
	Outranks func(it, other core.Item) bool

	mu    sync.Mutex // guards all below
	items map[string]core.Item
	// deletions are the deleted keys in the order of their deletion.
	deletions []string
	asOf      core.Version
	// deletionsFrom is the revision from which on all deletions are known.
	deletionsFrom core.Version
	// past are earlier values of large items, the latest last.
	past map[string][]core.Item
}

// AsOf is the revision up to which nothing is missing; 0 if nothing is known.
func (mi *Mirror) AsOf() core.Version {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	return mi.asOf
}

// Apply takes items that, with what was there before, are complete up to asOf.
func (mi *Mirror) Apply(items []core.Item, asOf core.Version) {
	mi.mu.Lock()
	defer mi.mu.Unlock()
	for _, it := range items {
		mi.applyItem(it)
	}
	mi.asOf = max(mi.asOf, asOf)
}

// Preview takes a part of the first listing, which is complete for nothing; Replace with
// the whole takes out what is gone by then. Once anything complete is known, it does
// nothing: an item that was deleted meanwhile would come back for good.
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

// Replace takes a complete listing that was begun at asOf: keys that are not in
// it and were not changed since were deleted unseen.
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
	// What came and went between two listings left no trace here.
	mi.deletionsFrom = max(mi.deletionsFrom, asOf)
	mi.asOf = max(mi.asOf, asOf)
}

// applyItem keeps the item if it is newer. A deletion found by a listing bears the
// listing's revision, which the key's own last one may equal.
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
			it.Rev, known = old.Rev, false // it replaces what it does not follow
		}
	}
	if known && (it.Rev < old.Rev || it.Rev == old.Rev && (old.Deleted || !it.Deleted)) {
		return
	}
	mi.items[it.Key] = it
	mi.keepPast(old)
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

// renumbered tells that an item is as it was before the store came back from a copy that has it.
func renumbered(old, it core.Item) bool {
	return old.Rev.Era() != it.Rev.Era() && old.Rev.Revision() == it.Rev.Revision() &&
		!old.Deleted && !it.Deleted && bytes.Equal(old.Value, it.Value)
}

// mayBeRestored tells whether one of the items may be from a copy that the store came back from: they are
// of two eras, or differ under one version.
func (mi *Mirror) mayBeRestored(old, it core.Item) bool {
	if mi.Outranks == nil || it.Rev != old.Rev && it.Rev.Era() == old.Rev.Era() {
		return false
	}
	return it.Deleted != old.Deleted || !bytes.Equal(it.Value, old.Value)
}

// keepPast remembers a value that was replaced.
func (mi *Mirror) keepPast(old core.Item) {
	if len(old.Value) < minPastSize {
		return
	}
	if mi.past == nil {
		mi.past = map[string][]core.Item{}
	}
	list := append(mi.past[old.Key], old)
	mi.past[old.Key] = list[max(0, len(list)-maxPastValues):]
}

// Largest is the item with the largest value, the zero Item if there is none.
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

// Value is what the key had at that revision, nil if it is not known any more.
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

// forgetDeletions drops the oldest deletions once there are too many.
func (mi *Mirror) forgetDeletions() {
	for len(mi.deletions) > maxDeletions {
		if it := mi.items[mi.deletions[0]]; it.Deleted {
			delete(mi.items, it.Key)
			mi.deletionsFrom = max(mi.deletionsFrom, it.Rev)
		}
		mi.deletions = mi.deletions[1:]
	}
}

// Since is everything newer than rev, with the revision up to which it is complete.
// Deletions before this mirror's first listing, and those that were forgotten, are
// not known here: to whoever lacks them it gives everything there is, whole, which
// is to be taken with Replace.
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
