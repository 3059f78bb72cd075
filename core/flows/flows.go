// Package flows computes the tags of start-time fair queueing, by which requests of several
// customers are ordered so that each gets its share of a resource.
//
// # Concepts
//
// Each request gets a start tag on arrival: the virtual time, or the finish tag of its customer's
// previous request if that is later. The finish tag is the start tag plus the request's work divided
// by the customer's weight. Requests start in the order of their start tags. The virtual time is
// the highest start tag of all requests started so far.
//
// # Invariants
//
//   - While two customers wait all the time, the work that they start differs, per weight, by at
//     most one request of each.
//   - What a customer used while nobody waited is not charged to it later.
//
// # Usage
//
//	tag := ti.Charge(ac, work)   // on arrival
//	ti.Start(tag)                // when the request starts
//	ti.Credit(ac, work)          // if it is withdrawn before it starts
package flows

// Time is the virtual time of one resource. Its methods are not safe for concurrent use.
type Time struct {
	now float64
}

// Account is the state of one customer at one resource.
type Account struct {
	// Weight is the customer's share, above 0.
	Weight    float64
	finishTag float64
}

// Charge adds a request's work to the account and returns the request's start tag.
func (ti *Time) Charge(ac *Account, work float64) float64 {
	tag := max(ti.now, ac.finishTag)
	ac.finishTag = tag + work/ac.Weight
	return tag
}

// Credit takes back the work of a request that did not start.
func (ti *Time) Credit(ac *Account, work float64) {
	ac.finishTag -= work / ac.Weight
}

// Start records that the request with that start tag starts. Call it also for requests that do not
// wait: otherwise a customer's use of an idle resource would be charged to it once requests queue
// up, for as long as the resource exists.
func (ti *Time) Start(tag float64) {
	ti.now = max(ti.now, tag)
}

// Settled reports whether the account may be forgotten: the next tag of a new one would be the same.
func (ti *Time) Settled(ac *Account) bool { return ac.finishTag <= ti.now }
