package place

import (
	"math"

	"almondrill/core"
)

// Load pattern: one customer sends many times its usual, as when its race begins, and
// fills the pool. Refused alike, the others lose as large a part of their calls as the
// one that surges. Therefore a customer that has far more in progress than the others
// leaves the last places of a pool to them.

const (
	// heavyFactor is how far above the mean of the customers that have calls in progress
	// one counts as heavy, and heavyDeviations by how many standard deviations of such a mean
	// it has to be above that.
	//
	// A router with few calls of each customer sees one that sends no more than the others far
	// above the mean by chance.
	heavyFactor     = 1.5
	heavyDeviations = 2
	// heavyFraction is the part of a pool's room that heavy customers get. The rest
	// takes the others' calls while the heavy one presses against its own limit.
	heavyFraction = 0.9
)

// customerUse is what the customers have in progress in a pool through this router.
type customerUse struct {
	total      int
	byCustomer map[core.CustomerID]int
}

func (pl *Placer) customerUseOf(id core.PoolID) *customerUse {
	cu := pl.customerUses[id]
	if cu == nil {
		cu = &customerUse{byCustomer: map[core.CustomerID]int{}}
		pl.customerUses[id] = cu
	}
	return cu
}

// add counts calls that begin or end.
func (cu *customerUse) add(id core.CustomerID, by int) {
	cu.total += by
	cu.byCustomer[id] += by
	if cu.byCustomer[id] == 0 {
		delete(cu.byCustomer, id)
	}
}

// heavy tells whether the customer has far more in progress than the others.
func (cu *customerUse) heavy(id core.CustomerID) bool {
	if cu == nil || len(cu.byCustomer) < 2 {
		return false
	}
	mean := float64(cu.total) / float64(len(cu.byCustomer))
	return float64(cu.byCustomer[id]) > heavyFactor*mean+heavyDeviations*math.Sqrt(mean)
}
