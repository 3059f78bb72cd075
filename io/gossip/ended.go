package gossip

import "time"

// A router that finds that the process of an endpoint has ended reports it to the owner of the endpoint's count, and the
// owner notifies all: another process may answer at the address before its registration arrives.

// ReportEnded shares that the process of an endpoint has ended. The caller has applied it here.
func (gr *Group) ReportEnded(now time.Time, endpoint uint64) {
	owner := gr.ownerOf(endpoint)
	switch {
	case owner == nil:
	case owner.udpAddr == nil:
		gr.sendToAll(&countMessage{Kind: countEnded, Endpoint: endpoint})
	default:
		gr.sendCount(owner.udpAddr, &countMessage{Kind: countEndedReport, Endpoint: endpoint})
	}
}

// handleEndedReport notifies all, once.
func (gr *Group) handleEndedReport(now time.Time, endpoint uint64) {
	if gr.applyEnded(now, endpoint) {
		gr.sendToAll(&countMessage{Kind: countEnded, Endpoint: endpoint})
	}
}

// applyEnded returns true if it is new here.
func (gr *Group) applyEnded(now time.Time, endpoint uint64) bool {
	return gr.Ended != nil && gr.Ended(now, endpoint)
}
