// Package pick chooses the agent for a router's next attempt.
//
// # Concepts
//
// A Search holds the state of one request's attempts within its pool. For a chat the first choice
// is the member that should have its context cached: the VM of the caller's hint if it is in the
// pool, else the chat's home, which rendezvous hashing selects among the pool's members in the
// router's own region (among all members if the region has none). After a refusal the next members
// in rendezvous order follow, then the alternatives that the refusal names: of the first two
// untried ones the less loaded is taken.
//
// A service call has no context: two members of the router's zone (else region, else pool) are
// drawn at random and the less loaded one is taken.
//
// # Invariants
//
//   - First does not allocate and takes no lock.
//   - No VM is selected twice, up to maxTried attempts.
//   - In rendezvous order, a member that is being readmitted is selected only for the keys within its
//     Allowance, unless no other member is left.
//
// # Usage
//
//	se := pick.Search{Pool: po, Key: key, Hint: hint, Rand: rand, Zone: zone}
//	ix := se.First()
//	ix = se.Next(refusal)
package pick

import (
	"slices"

	"almondrill/core"
	"almondrill/core/board"
	"almondrill/core/ring"
)

// preferredWalk is how many further members of its rendezvous order a refused chat tries before it
// takes an alternative that the refusal names. The order is fixed per chat, so its next turns reach
// the same few members and find the context cached there; the named alternatives are random.
// docs/design/returning-chats.md compares 0, 2 and 4.
const preferredWalk = 2

// maxTried bounds how many attempts a Search records.
const maxTried = 16

// Search holds the state of one request's attempts. Set the exported fields, then call First once
// and Next for each refusal.
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

// First returns the index of the member to try first, -1 if the pool is empty.
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

// Home returns the index of the chat's home in this process's view of the pool, -1 if the pool is
// empty. The home is the member that rendezvous hashing prefers for the chat, among the members in
// the process's region or, if it has none, among all.
func Home(po *board.Pool, key uint64) int {
	se := Search{Pool: po, Key: key}
	if len(po.Members) == 0 {
		return -1
	}
	return se.home()
}

// HomeWithout returns the index of the chat's home once the VM is removed from the pool, -1 if no
// member remains.
func HomeWithout(po *board.Pool, key uint64, vm core.VMID) int {
	se := Search{Pool: po, Key: key}
	if ix := po.Index(vm); ix >= 0 {
		se.markTried(ix)
	}
	return se.nextInOrder()
}

// IsPreferred reports whether the VM is among the members that the chat's calls try first: its home
// and the next preferredWalk members in rendezvous order.
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

// home returns the chat's home: the highest-ranked member of the process's region, or of the pool if
// the region has none.
func (se *Search) home() int {
	po := se.Pool
	if len(po.SameRegion) == len(po.Members) || len(po.SameRegion) == 0 {
		if !po.Ramping {
			return ring.Best(po.Ring, se.Key, po.EqualWeights)
		}
	}
	return se.nextInOrder()
}

// nextInOrder returns the next untried member in rendezvous order, those of the router's region
// first. It skips members whose Allowance excludes the key unless no other member is left: after an
// outage of a whole pool, all of its members are being readmitted.
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
		isNear := len(po.SameRegion) == 0
		if near < len(po.SameRegion) && int(po.SameRegion[near]) == ix {
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

// withinAllowance reports whether the key is within the member's Allowance. The result depends only
// on the key and the member, so all routers decide alike.
func withinAllowance(me *board.Member, hash, key uint64) bool {
	if me.Allowance >= 1 {
		return true
	}
	const top = 1 << 32
	const salt = 0x5bd1e995
	return float64(ring.Mix(key^salt, hash)>>32) < me.Allowance*top
}

// Next returns the index of the member to try after a refusal, -1 if there is none left.
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

// Untried reports whether the VM is in the pool and has not been tried yet.
func (se *Search) Untried(vm core.VMID) bool {
	ix := se.Pool.Index(vm)
	return ix >= 0 && !se.wasTried(ix)
}

// lessLoaded returns the less loaded of the first two untried VMs, -1 if none is untried. The
// refusing agent has drawn the names at random, so this is a power-of-two-choices selection.
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

// nearby draws two untried members of the router's zone, else of its region, else of the pool, and
// returns the less loaded one.
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

// draw returns one of the matching untried members, each with equal probability.
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

func (se *Search) inRegion(ix int) bool { return slices.Contains(se.Pool.SameRegion, int32(ix)) }

func (se *Search) load(ix int) core.Work { return se.Pool.Members[ix].Load.Get() }

func (se *Search) wasTried(ix int) bool { return slices.Contains(se.tried[:se.triedCount], int32(ix)) }

func (se *Search) markTried(ix int) int {
	if ix >= 0 && se.triedCount < maxTried {
		se.tried[se.triedCount] = int32(ix)
		se.triedCount++
	}
	return ix
}
