// Package pick chooses the agent for a router's next attempt.
//
// # Concepts
//
// A Search is one request's way through its pool. For a chat the first choice is
// where its context should be: the caller's hint if that VM is in the pool, else
// the chat's home, by rendezvous hashing over the pool's members of the router's
// own region (all members where the region has none). After a refusal the next
// few in rendezvous order come, then those that the refusal names: two of these
// are looked at and the less loaded one is tried.
//
// A service call has no context: two members of the own zone (else region, else
// pool) are drawn and the less loaded one is tried.
//
// # Invariants
//
//   - First allocates nothing and takes no lock.
//   - No VM is tried twice, unless a refusal of another names it as the holder.
//   - A member that is being readmitted gets only the keys within its Allowance.
//
// # Usage
//
//	se := pick.Search{Pool: po, Key: key, Hint: hint, Rand: rand, Zone: zone}
//	ix := se.First()
//	ix = se.After(refusal)
package pick

import (
	"slices"

	"almondrill/core"
	"almondrill/core/board"
	"almondrill/core/ring"
)

// preferredWalk is how far a refused chat goes down its rendezvous order before it takes
// a less loaded member that the refusal names. The order is the chat's own, so
// its next turns meet the same few members and find context there; the named
// ones are random. docs/design/returning-chats.md has the figures for 0, 2 and 4.
const preferredWalk = 2

// maxTried bounds the attempts that a Search remembers.
const maxTried = 16

// Search is the state of one request's choices. Set the exported fields, then
// call First once and After for each refusal.
type Search struct {
	Pool *board.Pool
	// Key is the chat's hash; unused for services.
	Key  uint64
	Hint core.VMID
	Zone core.Zone
	Rand core.Rand

	tried       [maxTried]int32
	triedCount  int
	walkedSteps int
}

// First is the member to try first, -1 if the pool is empty.
func (se *Search) First() int {
	if len(se.Pool.Members) == 0 {
		return -1
	}
	if se.Pool.Group != nil && se.Pool.Group.Service {
		return se.markTried(se.nearby())
	}
	if se.Hint != "" {
		if ix := se.Pool.Index(se.Hint); ix >= 0 {
			return se.markTried(ix)
		}
	}
	return se.markTried(se.home())
}

// Home is the chat's home as this process sees it, -1 if the pool is empty.
func Home(po *board.Pool, key uint64) int {
	se := Search{Pool: po, Key: key}
	if len(po.Members) == 0 {
		return -1
	}
	return se.home()
}

// HomeWithout is what the chat's home will be once the VM has left, -1 if nobody
// stays.
func HomeWithout(po *board.Pool, key uint64, vm core.VMID) int {
	se := Search{Pool: po, Key: key}
	if ix := po.Index(vm); ix >= 0 {
		se.markTried(ix)
	}
	return se.nextInOrder()
}

// IsPreferred tells whether the VM is among the members that a chat's calls try first.
func IsPreferred(po *board.Pool, key uint64, vm core.VMID) bool {
	se := Search{Pool: po, Key: key}
	for range preferredWalk + 1 {
		ix := se.markTried(se.nextInOrder())
		if ix < 0 {
			return false
		}
		if po.Members[ix].VM == vm {
			return true
		}
	}
	return false
}

// home is the best member of the own region, or of all where there is none.
func (se *Search) home() int {
	po := se.Pool
	if len(po.Near) == len(po.Members) || len(po.Near) == 0 {
		if !po.Ramping {
			return ring.Best(po.Ring, se.Key, po.Even)
		}
	}
	return se.nextInOrder()
}

// nextInOrder walks the rendezvous order past tried members and those of other
// regions, and past those whose Allowance leaves this key out, unless that leaves
// nobody: when a whole pool has come back, all of it is being readmitted.
func (se *Search) nextInOrder() int {
	if best := se.bestUntried(true); best >= 0 {
		return best
	}
	return se.bestUntried(false)
}

func (se *Search) bestUntried(respectAllowance bool) int {
	po := se.Pool
	best := -1
	var high float64
	bestNear := false
	near := 0
	for ix := range po.Members {
		isNear := len(po.Near) == 0
		if near < len(po.Near) && int(po.Near[near]) == ix {
			isNear = true
			near++
		}
		if se.wasTried(ix) || (respectAllowance && !withinAllowance(&po.Members[ix], po.Ring[ix].Hash, se.Key)) {
			continue
		}
		score := ring.Score(po.Ring[ix], se.Key)
		if best < 0 || (isNear && !bestNear) || (isNear == bestNear && score > high) {
			best, high, bestNear = ix, score, isNear
		}
	}
	return best
}

// withinAllowance draws, from the key and the member alone, whether the key is within
// the member's Allowance, so that all routers decide alike.
func withinAllowance(me *board.Member, hash, key uint64) bool {
	if me.Allowance >= 1 {
		return true
	}
	const top = 1 << 32
	const salt = 0x5bd1e995
	return float64(ring.Mix(key^salt, hash)>>32) < me.Allowance*top
}

// Next is the member to try after a refusal, -1 if there is no other.
func (se *Search) Next(re *core.Refusal) int {
	if re.Reason == core.ReasonHeldElsewhere && len(re.Alternatives) > 0 {
		if ix := se.Pool.Index(re.Alternatives[0]); ix >= 0 && !se.wasTried(ix) {
			return se.markTried(ix)
		}
	}
	service := se.Pool.Group != nil && se.Pool.Group.Service
	if !service && se.walkedSteps < preferredWalk {
		se.walkedSteps++
		return se.markTried(se.nextInOrder())
	}
	if ix := se.lessLoaded(re.Alternatives); ix >= 0 {
		return se.markTried(ix)
	}
	if service {
		return se.markTried(se.nearby())
	}
	return se.markTried(se.nextInOrder())
}

// Untried tells whether the VM is in the pool and was not tried so far.
func (se *Search) Untried(vm core.VMID) bool {
	ix := se.Pool.Index(vm)
	return ix >= 0 && !se.wasTried(ix)
}

// lessLoaded takes the less loaded of the first two untried names. The refusing
// agent has drawn the names at random, so this is a power of two choices.
func (se *Search) lessLoaded(names []core.VMID) int {
	one := -1
	for _, vm := range names {
		ix := se.Pool.Index(vm)
		if ix < 0 || se.wasTried(ix) {
			continue
		}
		if one < 0 {
			one = ix
			continue
		}
		if se.load(ix) < se.load(one) {
			return ix
		}
		return one
	}
	return one
}

// nearby draws two untried members of the own zone, else of the own region, else
// of the pool, and takes the less loaded.
func (se *Search) nearby() int {
	for _, within := range [...]func(ix int) bool{se.inZone, se.inRegion, func(int) bool { return true }} {
		one, two := se.draw(within), se.draw(within)
		if one < 0 {
			continue
		}
		if se.load(two) < se.load(one) {
			return two
		}
		return one
	}
	return -1
}

// draw picks one matching untried member, all with equal odds.
func (se *Search) draw(within func(ix int) bool) int {
	found, seen := -1, 0
	for ix := range se.Pool.Members {
		if se.wasTried(ix) || !within(ix) {
			continue
		}
		seen++
		if se.Rand.Uint64()%uint64(seen) == 0 {
			found = ix
		}
	}
	return found
}

func (se *Search) inZone(ix int) bool { return se.Pool.Members[ix].Zone == se.Zone }

func (se *Search) inRegion(ix int) bool { return slices.Contains(se.Pool.Near, int32(ix)) }

func (se *Search) load(ix int) core.Work { return se.Pool.Members[ix].Load.Get() }

func (se *Search) wasTried(ix int) bool { return slices.Contains(se.tried[:se.triedCount], int32(ix)) }

func (se *Search) markTried(ix int) int {
	if ix >= 0 && se.triedCount < maxTried {
		se.tried[se.triedCount] = int32(ix)
		se.triedCount++
	}
	return ix
}
