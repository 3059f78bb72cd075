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
	us := pl.customerUses[id]
	if us == nil {
		us = &customerUse{byCustomer: map[core.CustomerID]int{}}
		pl.customerUses[id] = us
	}
	return us
}

// add counts calls that begin or end.
func (us *customerUse) add(id core.CustomerID, by int) {
	us.total += by
	us.byCustomer[id] += by
	if us.byCustomer[id] == 0 {
		delete(us.byCustomer, id)
	}
}

// heavy tells whether the customer has far more in progress than the others.
func (us *customerUse) heavy(id core.CustomerID) bool {
	if us == nil || len(us.byCustomer) < 2 {
		return false
	}
	mean := float64(us.total) / float64(len(us.byCustomer))
	return float64(us.byCustomer[id]) > heavyFactor*mean+heavyDeviations*math.Sqrt(mean)
}
