package demand

import (
	"cmp"
	"maps"
	"slices"
)

// LowerFraction is the part of the capacity that lower ranks get whatever higher ones ask for.
// Without it a customer of a low rank would get nothing for as long as the overload lasts.
const LowerFraction = 0.1

// fullAdmit is the Admit of a customer all of whose requests are admitted.
const fullAdmit = 255

// allocate divides the capacity among the customers, by rank first, and within a rank by weighted
// max-min fair shares.
func (ow *Owner) allocate(demands map[customerRank]float64, capacity float64) map[customerRank]float64 {
	byRank := map[uint8][]customerRank{}
	rankDemand := map[uint8]float64{}
	var lower float64 // demand of the ranks not yet served
	for cr, demand := range demands {
		byRank[cr.rank] = append(byRank[cr.rank], cr)
		rankDemand[cr.rank] += demand
		lower += demand
	}
	shares := make(map[customerRank]float64, len(demands))
	left := max(0, capacity)
	for _, rank := range slices.Sorted(maps.Keys(byRank)) {
		lower -= rankDemand[rank]
		given := min(rankDemand[rank], left-min(LowerFraction*left, max(0, lower)))
		ow.maxMin(byRank[rank], demands, given, shares)
		left -= given
	}
	return shares
}

// maxMin divides what one rank is given. Customers are served in the order of demand per weight:
// one that asks for less than its part of the rest gets all it asks for.
func (ow *Owner) maxMin(customers []customerRank, demands map[customerRank]float64, given float64, shares map[customerRank]float64) {
	var weights float64
	for _, cr := range customers {
		weights += ow.weight(cr.id)
	}
	slices.SortFunc(customers, func(one, two customerRank) int {
		return cmp.Or(cmp.Compare(demands[one]/ow.weight(one.id), demands[two]/ow.weight(two.id)), cmp.Compare(one.id, two.id))
	})
	for _, cr := range customers {
		weight := ow.weight(cr.id)
		share := min(demands[cr], given*weight/weights)
		shares[cr] = share
		given -= share
		weights -= weight
	}
}

func (ow *Owner) weight(id CustomerHash) float64 {
	if ow.Weight != nil {
		if weight := ow.Weight(id); weight > 0 {
			return weight
		}
	}
	return 1
}

const (
	// yieldLoad is the part of the capacity beyond whose fair shares a customer is listed. It yields to
	// others from that load on, before queues have formed.
	yieldLoad = 0.85
	// allowance is by how much admitted fractions exceed shares of the whole capacity. Fractions are
	// computed from demand that is some hundred milliseconds old and from an estimate of the capacity.
	// The routers' queues refuse what is too much, while what a fraction refuses too much leaves slots
	// free.
	allowance = 1.4
	// listedBelow is the part of its demand below which a customer's share must be for it to be
	// listed. A smaller difference is less than the noise of the estimates.
	listedBelow = 0.98
)

// overShare lists the customers that offer more than they yield from on, those with the largest excess
// first, with the fractions that their shares allow. It says whether there are more than MaxOver.
func overShare(demands, yieldFrom, shares map[customerRank]float64) (over []Share, more bool) {
	type excess struct {
		Share
		amount float64
	}
	var all []excess
	for cr, demand := range demands {
		admit := max(1, uint8(fullAdmit*min(1, allowance*shares[cr]/max(demand, 1e-9)))) // 0 would starve the customer
		if yieldFrom[cr] < listedBelow*demand {
			all = append(all, excess{Share{ID: cr.id, Rank: cr.rank, Admit: admit}, demand - yieldFrom[cr]})
		}
	}
	slices.SortFunc(all, func(one, two excess) int {
		return cmp.Or(cmp.Compare(two.amount, one.amount), cmp.Compare(one.ID, two.ID), cmp.Compare(one.Rank, two.Rank))
	})
	over = make([]Share, 0, MaxOver)
	for _, ex := range all[:min(len(all), MaxOver)] {
		over = append(over, ex.Share)
	}
	return over, len(all) > MaxOver
}

// cut returns the rate that the level refuses.
func cut(demands map[customerRank]float64, over []Share) float64 {
	var sum float64
	for _, sh := range over {
		sum += demands[customerRank{sh.ID, sh.Rank}] * (1 - float64(sh.Admit)/fullAdmit)
	}
	return sum
}
