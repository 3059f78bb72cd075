// Package lead decides which routers ask the platform's store for changes on behalf of all.
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
package lead

import (
	"cmp"
	"slices"
	"time"
)

// Leaders is how many routers lead; with two, one may end at any time.
const Leaders = 2

const (
	// followerFor is how old a follower's last answer may be: a wait for changes, and the time
	// that rumors take to reach all.
	followerFor = 1500 * time.Millisecond
	// mostKept bounds the followers that are remembered.
	mostKept = 16
	// rankGap is when the first router asks by itself; the one of the nth rank waits for the square
	// of n times as long, so that those that ask grow with the root of the time alone.
	rankGap = 10 * time.Millisecond
)

// Hash is what orders routers.
type Hash uint32

// Follower is a router whose call to the store was answered at a time.
type Follower struct {
	Hash Hash
	At   time.Time
}

// Table is the followers that one router knows of.
type Table struct {
	// followers are in the order of their hashes.
	followers []Follower
}

func byHash(fo Follower, ha Hash) int { return cmp.Compare(fo.Hash, ha) }

// Take takes what a peer, or this router, knows of followers.
func (ta *Table) Take(now time.Time, followers []Follower) {
	for _, fo := range followers {
		if now.Sub(fo.At) >= followerFor {
			continue
		}
		at, known := slices.BinarySearchFunc(ta.followers, fo.Hash, byHash)
		if !known {
			ta.followers = slices.Insert(ta.followers, at, fo)
		} else if fo.At.After(ta.followers[at].At) {
			ta.followers[at].At = fo.At
		}
	}
	ta.drop(now)
	ta.followers = ta.followers[:min(len(ta.followers), mostKept)]
}

func (ta *Table) drop(now time.Time) {
	ta.followers = slices.DeleteFunc(ta.followers, func(fo Follower) bool { return now.Sub(fo.At) >= followerFor })
}

// Told are the followers to be told to peers: those that lead.
func (ta *Table) Told(now time.Time) []Follower {
	ta.drop(now)
	return ta.followers[:min(Leaders, len(ta.followers))]
}

// Leads tells whether a router is to ask the store. rank is how many peers that are well come before
// it, followed how long ago its own call was answered.
func (ta *Table) Leads(now time.Time, own Hash, rank int, followed time.Duration) bool {
	if rank >= Leaders && followed >= followerFor {
		return false
	}
	ta.drop(now)
	before := 0
	for _, fo := range ta.followers {
		if fo.Hash < own {
			before++
		}
	}
	return before < Leaders
}

// Patience is how much longer than the first ones a router waits for a confirmation before it asks the
// store by itself, where so many peers come before it.
func Patience(rank int) time.Duration {
	behind := time.Duration(max(0, rank-Leaders+1))
	return behind * behind * rankGap
}
