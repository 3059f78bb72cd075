// Package ring places keys on members by weighted rendezvous hashing.
//
// # Concepts
//
// Each member has a score for each key; the member with the highest score is the key's home. No
// state is shared: two routers whose lists differ in a few members agree on all keys but those of
// the differing members, and adding or removing a member moves only its own keys.
//
// # Usage
//
//	home := ring.Best(members, ring.Key(customer, pool, chat), ring.UniformWeights(members))
package ring

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"almondrill/core"
)

// Member is a VM as a target of placement. Hash is the hash of its name. Weight is its relative
// capacity, above 0.
type Member struct {
	Hash   uint64
	Weight float64
}

// Key returns the hash that identifies a chat. Each part is hashed on its own, so that ("ab","c")
// and ("a","bc") differ.
func Key(cu core.CustomerID, po core.PoolID, ch core.ChatID) uint64 {
	key := xxhash.Sum64String(string(cu))
	key = Mix(key, xxhash.Sum64String(string(po)))
	return Mix(key, xxhash.Sum64String(string(ch)))
}

// Mix combines two hashes into one that is uniform if either is.
func Mix(one, two uint64) uint64 {
	mixed := one ^ (two * 0x9e3779b97f4a7c15)
	mixed = (mixed ^ (mixed >> 30)) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ (mixed >> 27)) * 0x94d049bb133111eb
	return mixed ^ (mixed >> 31)
}

// Score returns the member's weighted rendezvous score for the key. With equal weights, members are
// in the same order as by their mixed hashes.
func Score(me Member, key uint64) float64 {
	const unit = 1.0 / (1 << 53)
	uniform := (float64(Mix(me.Hash, key)>>11) + 0.5) * unit
	return -me.Weight / math.Log(uniform)
}

// Best returns the index of the key's home among members, -1 if there are none. uniform states that
// all weights are equal; this is the common case and needs no logarithm.
func Best(members []Member, key uint64, uniform bool) int {
	if !uniform {
		return BestExcept(members, key, func(int) bool { return false })
	}
	best := -1
	var high uint64
	for ix := range members {
		if mixed := Mix(members[ix].Hash, key); best < 0 || mixed > high {
			best, high = ix, mixed
		}
	}
	return best
}

// BestExcept returns the index of the member with the highest score among those for which skip
// returns false, -1 if there are none.
func BestExcept(members []Member, key uint64, skip func(ix int) bool) int {
	best := -1
	var high float64
	for ix := range members {
		if skip(ix) {
			continue
		}
		if score := Score(members[ix], key); best < 0 || score > high {
			best, high = ix, score
		}
	}
	return best
}

// UniformWeights reports whether all weights are equal.
func UniformWeights(members []Member) bool {
	for ix := 1; ix < len(members); ix++ {
		if members[ix].Weight != members[0].Weight {
			return false
		}
	}
	return true
}
