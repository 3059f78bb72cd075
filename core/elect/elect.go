// Package elect decides which routers watch the platform's store for changes on behalf of all.
//
// # Concepts
//
// A router whose own call to the store was answered recently is a watcher. Messages between routers
// carry the watchers, as a hash and the age of the answer, so that all routers know them within a
// second, however many there are. The first ElectedCount watchers in the order of hashes are elected;
// a later one stops once it knows of that many before it. When the store's confirmations stop
// arriving, routers call the store on their own, one after the other in the same order: few have to,
// and one that reaches the store becomes a watcher.
//
// Load pattern: the store does not respond, or rejects its watchers. Without an order, hundreds of
// routers would call it at the same moment, again and again.
//
// # Usage
//
// A Table is not safe for concurrent use.
//
//	ta := &elect.Table{}
//	ta.Apply(now, watchers)     // received from a peer
//	watchers := ta.Elected(now) // to be sent to peers
//	if ta.IsElected(now, hash, rank, sinceAnswer) { ... }
package elect

import (
	"cmp"
	"slices"
	"time"
)

// ElectedCount is how many routers watch the store; with two, either may stop at any time.
const ElectedCount = 2

const (
	// watcherTTL is how old a watcher's last answer may be: the duration of a wait for changes, and
	// the time that gossip takes to reach all routers.
	watcherTTL = 1500 * time.Millisecond
	// maxWatchers bounds the watchers that are remembered.
	maxWatchers = 16
	// rankDelay is the delay of the first router that calls the store on its own. The nth waits n² times
	// as long, so that the number of callers grows only with the square root of the time.
	rankDelay = 10 * time.Millisecond
)

// Hash orders routers.
type Hash uint32

// Watcher is a router whose call to the store was answered at the given time.
type Watcher struct {
	Hash Hash
	At   time.Time
}

// Table holds the watchers that one router knows of.
type Table struct {
	// watchers are in the order of their hashes.
	watchers []Watcher
}

func byHash(wa Watcher, ha Hash) int { return cmp.Compare(wa.Hash, ha) }

// Apply adds watchers that a peer, or this router, knows of.
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
	ta.watchers = slices.DeleteFunc(ta.watchers, func(wa Watcher) bool { return now.Sub(wa.At) >= watcherTTL })
}

// Elected returns the elected watchers, which are sent to peers.
func (ta *Table) Elected(now time.Time) []Watcher {
	ta.expire(now)
	return ta.watchers[:min(ElectedCount, len(ta.watchers))]
}

// IsElected reports whether a router has to watch the store. rank is the number of healthy peers
// before it, sinceAnswer the time since its own call was last answered.
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

// TakeoverDelay returns how much longer than the first ElectedCount routers a router of this rank waits
// for a confirmation before it calls the store on its own.
func TakeoverDelay(rank int) time.Duration {
	behind := time.Duration(max(0, rank-ElectedCount+1))
	return behind * behind * rankDelay
}
