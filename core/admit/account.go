package admit

import "almondrill/core"

// account is one customer's standing at the gate. It is active while the
// customer has a ticket inside.
type account struct {
	weight  float64
	tickets int
	running int
	waiting core.Work
	finish  float64 // virtual time at which its last ticket ends
}

// maySlot keeps the last slots for customers within their share.
func (ga *Gate) maySlot(ac *account) bool {
	free := ga.limits.Slots - ga.running
	if free > int(ga.limits.Headroom*float64(ga.limits.Slots)) {
		return true
	}
	return float64(ac.running)*ga.weights < float64(ga.limits.Slots)*ac.weight
}

// enterAccount gives the ticket its place in its customer's account.
func (ga *Gate) enterAccount(ti *Ticket) {
	ac := ga.accounts[ti.Customer]
	if ac == nil {
		if ga.accounts == nil {
			ga.accounts = map[core.CustomerID]*account{}
		}
		ac = &account{}
		ga.accounts[ti.Customer] = ac
	}
	if ac.tickets == 0 {
		ac.weight = ti.Weight
		ga.weights += ac.weight
	}
	ac.tickets++
	ti.start = max(ga.queue.virtual, ac.finish)
	ac.finish = ti.start + float64(ti.Work)/ac.weight
	ti.account = ac
}

// leaveAccount takes the ticket out of its customer's account. One that never ran
// is not counted against the customer.
func (ga *Gate) leaveAccount(ti *Ticket) {
	ac := ti.account
	if !ti.ran {
		ac.finish -= float64(ti.Work) / ac.weight
	}
	ac.tickets--
	if ac.tickets > 0 {
		return
	}
	ga.weights = max(0, ga.weights-ac.weight)
}
