package admit

import "time"

// precedes reports whether a ticket that waits for the load cap goes before an arriving ticket that
// fits under it. Without this check the waiting ticket could starve. The order is by priority and
// fair-queueing tag rather than by arrival: otherwise the waiting calls of one surging customer
// would block those of all others, and urgent ones.
func (ga *Gate) precedes(waiting, ti *Ticket) bool {
	if waiting == nil {
		return false
	}
	if waiting.Priority != ti.Priority {
		return waiting.Priority > ti.Priority
	}
	return waiting.startTag <= ti.startTag
}

// shouldAwaitCap reports whether the ticket is expected to fit under the load cap within its
// WaitLimit, at the endpoint's current throughput.
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

// admitCapWaiters admits waiting tickets in order while they fit under the load cap.
func (ga *Gate) admitCapWaiters() {
	for ti := ga.capWaiters.first(); ti != nil && ga.withinCap(ti.Work); ti = ga.capWaiters.first() {
		ga.capWaiters.remove(ti)
		running, re := ga.admit(ti)
		if running || re != nil {
			ti.ready <- re
		}
	}
}

// WithdrawCapWait withdraws a ticket that still waits for the load cap. It returns false if the
// ticket is no longer in that state.
func (ga *Gate) WithdrawCapWait(ti *Ticket) bool {
	ga.mu.Lock()
	awaiting := ti.state == ticketAwaitingCap
	ga.mu.Unlock()
	return awaiting && ga.Withdraw(ti)
}
