package admit

import "time"

// precedes tells whether a call that waits for room under the cap goes before a
// newcomer that there is room for. Without it the waiting call might wait for
// ever; but in order of arrival, the calls of a customer that surges would keep
// everybody else's, and urgent ones, from the endpoint.
func (ga *Gate) precedes(waiting, ti *Ticket) bool {
	if waiting == nil {
		return false
	}
	if waiting.Priority != ti.Priority {
		return waiting.Priority > ti.Priority
	}
	return waiting.startTag <= ti.startTag
}

// shouldAwaitCap tells whether room can be expected within the ticket's patience.
func (ga *Gate) shouldAwaitCap(ti *Ticket) bool {
	if ti.WaitLimit <= 0 || ga.capWaiters.count >= maxCapWaiters {
		return false
	}
	ga.updateThroughput()
	if ga.throughput < 1 {
		return false
	}
	limit := max(float64(ga.limits.FloorWork), ga.limits.LoadFactor*float64(ga.Loads.Mean(ga.load)))
	excess := float64(ga.load+ti.Work+ga.capWaiters.workAhead(ti)) - limit
	return time.Duration(excess/ga.throughput*float64(time.Second)) <= ti.WaitLimit
}

// admitCapWaiters lets those in who fit by now, in order.
func (ga *Gate) admitCapWaiters() {
	for ti := ga.capWaiters.first(); ti != nil && ga.withinCap(ti.Work); ti = ga.capWaiters.first() {
		ga.capWaiters.remove(ti)
		running, re := ga.admit(ti)
		if running || re != nil {
			ti.ready <- re
		}
	}
}

// WithdrawCapWait takes back a ticket that still waits for room under the cap. False means
// that it is past that.
func (ga *Gate) WithdrawCapWait(ti *Ticket) bool {
	ga.mu.Lock()
	awaiting := ti.state == ticketAwaitingCap
	ga.mu.Unlock()
	return awaiting && ga.Withdraw(ti)
}
