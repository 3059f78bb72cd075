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
	return waiting.start <= ti.start
}

// worthWaiting tells whether room can be expected within the ticket's patience.
func (ga *Gate) worthWaiting(ti *Ticket) bool {
	if ti.Patience <= 0 || ga.patient.count >= mostPatient {
		return false
	}
	ga.measureDrain()
	if ga.drain < 1 {
		return false
	}
	limit := max(float64(ga.limits.FloorWork), ga.limits.LoadFactor*float64(ga.Loads.Mean(ga.load)))
	excess := float64(ga.load+ti.Work+ga.patient.ahead(ti)) - limit
	return time.Duration(excess/ga.drain*float64(time.Second)) <= ti.Patience
}

// admitPatient lets those in who fit by now, in order.
func (ga *Gate) admitPatient() {
	for ti := ga.patient.first(); ti != nil && ga.fits(ti.Work); ti = ga.patient.first() {
		ga.patient.remove(ti)
		run, re := ga.admit(ti)
		if run || re != nil {
			ti.ready <- re
		}
	}
}

// GiveUp takes back a ticket that still waits for room under the cap. False means
// that it is past that.
func (ga *Gate) GiveUp(ti *Ticket) bool {
	ga.mu.Lock()
	patient := ti.state == ticketPatient
	ga.mu.Unlock()
	return patient && ga.Withdraw(ti)
}
