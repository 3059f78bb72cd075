package place

import (
	"math"

	"almondrill/core"
)

// Load pattern: one customer sends many times its usual load, as when its race begins, and fills
// the pool. If all customers are refused alike, the others lose as large a share of their calls as
// the one that surges. Therefore a customer with far more calls in progress than the others leaves
// the last slots of a pool to them.

const (
	// A customer is heavy if its calls in progress exceed heavyFactor times the mean of the
	// customers that have any, by more than heavyDeviations standard deviations of such a mean.
	//
	// A router with few calls of each customer sees an ordinary customer far above the mean by
	// chance.
	heavyFactor     = 1.5
	heavyDeviations = 2
	// heavyFraction is the share of a pool's capacity that heavy customers get. The rest takes the
	// calls of others while the heavy customer is at its limit.
	heavyFraction = 0.9
)

// customerUse counts the calls in progress of each customer in a pool through this router.
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

// add changes the number of a customer's calls in progress.
func (cu *customerUse) add(id core.CustomerID, by int) {
	cu.total += by
	cu.byCustomer[id] += by
	if cu.byCustomer[id] == 0 {
		delete(cu.byCustomer, id)
	}
}

// heavy reports whether the customer has far more calls in progress than the others.
func (cu *customerUse) heavy(id core.CustomerID) bool {
	if cu == nil || len(cu.byCustomer) < 2 {
		return false
	}
	mean := float64(cu.total) / float64(len(cu.byCustomer))
	return float64(cu.byCustomer[id]) > heavyFactor*mean+heavyDeviations*math.Sqrt(mean)
}
