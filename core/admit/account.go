package admit

import (
	"almondrill/core"
	"almondrill/core/flows"
)

// account is the fair-queueing state of one customer. It is active while the customer has a ticket
// that is waiting, queued or running.
type account struct {
	flow         flows.Account
	ticketCount  int
	runningCount int
	queuedWork   core.Work
}

// slotAllowed reports whether the customer may take a free slot. Headroom is the fraction of the
// slots, the last ones to be taken, that is reserved for customers within their share.
func (ga *Gate) slotAllowed(ac *account) bool {
	free := ga.limits.Slots - ga.running
	if free > int(ga.limits.Headroom*float64(ga.limits.Slots)) {
		return true
	}
	return float64(ac.runningCount)*ga.activeWeight < float64(ga.limits.Slots)*ac.flow.Weight
}

// addToAccount charges the ticket's work to its customer and sets its start tag.
func (ga *Gate) addToAccount(ti *Ticket) {
	ac := ga.accounts[ti.Customer]
	if ac == nil {
		if ga.accounts == nil {
			ga.accounts = map[core.CustomerID]*account{}
		}
		ac = &account{}
		ga.accounts[ti.Customer] = ac
	}
	if ac.ticketCount == 0 {
		ac.flow.Weight = ti.Weight
		ga.activeWeight += ac.flow.Weight
	}
	ac.ticketCount++
	ti.startTag = ga.queue.virtualTime.Charge(&ac.flow, float64(ti.Work))
	ti.account = ac
}

// removeFromAccount removes the ticket from its customer's account. The work of a ticket that
// never started is credited back to the customer.
func (ga *Gate) removeFromAccount(ti *Ticket) {
	ac := ti.account
	if !ti.started {
		ga.queue.virtualTime.Credit(&ac.flow, float64(ti.Work))
	}
	ac.ticketCount--
	if ac.ticketCount > 0 {
		return
	}
	ga.activeWeight = max(0, ga.activeWeight-ac.flow.Weight)
}
