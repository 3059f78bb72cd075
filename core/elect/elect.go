// Package elect decides which routers ask the platform's store for changes on behalf of all.
//
// # Concepts
//
// A router whose own call was answered of late is a follower. Followers are told along with other
// messages, by a hash and the age of the answer, so that all know them within a second, however many
// routers there are. The first Leaders in the order of hashes lead; those behind them stand down once
// they know of as many before them. Where the confirmations stop, routers ask by themselves one after
// the other, in the same order: few have to, and whoever reaches the store becomes a follower.
//
// Load pattern: the store is silent, or turns its followers away. Among hundreds of routers, all
// would ask it at the same moment, again and again.
//
// # Usage
//
// A Table is not safe for concurrent use.
//
//	ta := &lead.Table{}
//	ta.Take(now, followers)                 // told by a peer
//	followers := ta.Told(now)               // to be told
//	if ta.Leads(now, hash, rank, followed) { ... }
package elect

import (
	"cmp"
	"slices"
	"time"
)

// ElectedCount is how many routers lead; with two, one may end at any time.
const ElectedCount = 2

const (
	// watcherTTL is how old a follower's last answer may be: a wait for changes, and the time
	// that rumors take to reach all.
	watcherTTL = 1500 * time.Millisecond
	// maxWatchers bounds the followers that are remembered.
	maxWatchers = 16
	// rankDelay is when the first router asks by itself; the one of the nth rank waits for the square
	// of n times as long, so that those that ask grow with the root of the time alone.
	rankDelay = 10 * time.Millisecond
)

// Hash is what orders routers.
type Hash uint32

// Watcher is a router whose call to the store was answered at a time.
type Watcher struct {
	Hash Hash
	At   time.Time
}

// Table is the followers that one router knows of.
type Table struct {
	// watchers are in the order of their hashes.
	watchers []Watcher
}

func byHash(wa Watcher, ha Hash) int { return cmp.Compare(wa.Hash, ha) }

// Apply takes what a peer, or this router, knows of followers.
func (ta *Table) Apply(now time.Time, watchers []Watcher) {
	for _, wa := range watchers {
		if now.Sub(wa.At) >= watcherTTL {
			continue
		}
		at, known := slices.BinarySearchFunc(ta.watchers, wa.Hash, byHash)
		if !known {
			ta.watchers = slices.Insert(ta.watchers, at, wa)
		} else if wa.At.After(ta.watchers[at].At) {
			ta.watchers[at].At = wa.At
		}
	}
	ta.expire(now)
	ta.watchers = ta.watchers[:min(len(ta.watchers), maxWatchers)]
}

func (ta *Table) expire(now time.Time) {
	ta.watchers = slices.DeleteFunc(ta.watchers, func(fo Watcher) bool { return now.Sub(fo.At) >= watcherTTL })
}

// Elected are the followers to be told to peers: those that lead.
func (ta *Table) Elected(now time.Time) []Watcher {
	ta.expire(now)
	return ta.watchers[:min(ElectedCount, len(ta.watchers))]
}

// IsElected tells whether a router is to ask the store. rank is how many peers that are well come before
// it, followed how long ago its own call was answered.
func (ta *Table) IsElected(now time.Time, own Hash, rank int, sinceAnswer time.Duration) bool {
	if rank >= ElectedCount && sinceAnswer >= watcherTTL {
		return false
	}
	ta.expire(now)
	before := 0
	for _, wa := range ta.watchers {
		if wa.Hash < own {
			before++
		}
	}
	return before < ElectedCount
}

// AskDelay is how much longer than the first ones a router waits for a confirmation before it asks the
// store by itself, where so many peers come before it.
func AskDelay(rank int) time.Duration {
	behind := time.Duration(max(0, rank-ElectedCount+1))
	return behind * behind * rankDelay
}
