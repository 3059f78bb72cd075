// Package gauge estimates how many calls an endpoint has from its last report and the calls that are
// known to have begun and ended since.
//
// # Concepts
//
// An endpoint reports with each response how many calls it has, running and queued. A Count holds
// the latest such report and the changes after it. A Table holds the Counts of the endpoints that a
// router owns: its peers forward it the endpoints' reports and ask it before they place a call. Each
// such query is counted as a call that is placed, so that routers that ask one after the other do not
// all see the same free slot.
//
// # Invariants
//
//   - A report is used for ReportTTL; after that the count is unknown, not zero.
//   - A Table holds at most maxEndpoints Counts.
//
// # Usage
//
//	ta := &gauge.Table{}
//	ta.Report(now, endpoint, calls)
//	calls, known := ta.AddCall(now, endpoint)
package gauge

import (
	"slices"
	"sync"
	"time"

	"almondrill/core/quota"
)

const (
	// ReportTTL is how long a report is used: beyond it, calls of some hundred milliseconds have
	// begun and ended unseen.
	ReportTTL = 1500 * time.Millisecond
	// maxChanges bounds the changes remembered since a report.
	maxChanges = 256
	// maxEndpoints bounds the Counts of a Table. With 2,100 endpoints and 420 routers each router
	// owns 5, but it owns all of them while it knows of no other router.
	maxEndpoints = 4096
)

// Count is an endpoint's reported number of calls, and the changes since that report.
type Count struct {
	reported int
	at       time.Time
	delta    int // sum of changes
	changes  []change
}

// change is the start or the end of a call.
type change struct {
	at time.Time
	by int
}

// Update records a report unless a later one is known.
func (co *Count) Update(calls int, at time.Time) {
	if !at.After(co.at) {
		return
	}
	co.reported, co.at = calls, at
	co.changes = slices.DeleteFunc(co.changes, func(ch change) bool { return !ch.at.After(at) })
	co.delta = 0
	for _, ch := range co.changes {
		co.delta += ch.by
	}
}

// Add records calls that began, or ended if by is negative.
func (co *Count) Add(at time.Time, by int) {
	if len(co.changes) >= maxChanges {
		for _, ch := range co.changes[:maxChanges/2] {
			co.delta -= ch.by
		}
		co.changes = slices.Delete(co.changes, 0, maxChanges/2)
	}
	co.changes = append(co.changes, change{at, by})
	co.delta += by
}

// Expired reports whether there is no report recent enough to be used.
func (co *Count) Expired(now time.Time) bool { return co.at.IsZero() || now.Sub(co.at) > ReportTTL }

// Fresh reports whether there is a report and it is not older than within.
func (co *Count) Fresh(now time.Time, within time.Duration) bool {
	return !co.at.IsZero() && now.Sub(co.at) <= within
}

// Estimate returns the last report plus the changes since; false if the report is too old.
func (co *Count) Estimate(now time.Time) (int, bool) {
	if co.Expired(now) {
		return 0, false
	}
	return max(0, co.reported+co.delta), true
}

// Latest returns the last report and its time, which is zero if there is none.
func (co *Count) Latest() (int, time.Time) { return co.reported, co.at }

// Table holds the Counts of endpoints, by the hash of their ID and incarnation, and the latest reports
// of routers that could not reach them. It is safe for concurrent use.
type Table struct {
	mu          sync.Mutex // guards all below
	counts      map[uint64]*Count
	unreachable map[uint64]*unreachableReport
	grants      map[uint64]*quota.Window
}

// unreachableReport is the latest report that an endpoint could not be reached.
type unreachableReport struct {
	at   time.Time
	from string
	// broadcastAt is when two routers had reported it.
	broadcastAt time.Time
}

const (
	// unreachableWindow is the time within which two routers have to find an endpoint unreachable:
	// with a few requests a second for each endpoint, another one notices within it.
	unreachableWindow = time.Second
	// rebroadcastInterval is the shortest time between broadcasts that an endpoint is unreachable.
	rebroadcastInterval = 500 * time.Millisecond
)

// ReportUnreachable records that a router could not reach the endpoint. It returns whether
// all routers have to be notified. They are if two routers reported it within unreachableWindow, since
// a single one may itself be cut off, and were not notified within the last rebroadcastInterval.
func (ta *Table) ReportUnreachable(now time.Time, endpoint uint64, from string) bool {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ta.unreachable == nil || len(ta.unreachable) >= maxEndpoints {
		ta.unreachable = map[uint64]*unreachableReport{}
	}
	re := ta.unreachable[endpoint]
	if re == nil {
		ta.unreachable[endpoint] = &unreachableReport{at: now, from: from}
		return false
	}
	another := re.from != from && now.Sub(re.at) <= unreachableWindow
	re.at, re.from = now, from
	if !another || now.Sub(re.broadcastAt) < rebroadcastInterval {
		return false
	}
	re.broadcastAt = now
	return true
}

// Grant takes one of the requests that the endpoint is allowed per second. If none is left it returns
// false and the time until the next.
func (ta *Table) Grant(now time.Time, endpoint uint64, perSecond int) (bool, time.Duration) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	if ta.grants == nil {
		ta.grants = map[uint64]*quota.Window{}
	}
	wi := ta.grants[endpoint]
	if wi == nil {
		ta.evictGrants(now)
		wi = &quota.Window{}
		ta.grants[endpoint] = wi
	}
	if !wi.HasCapacity(now, perSecond) {
		return false, wi.FreeAfter(now)
	}
	wi.Reserve()
	wi.MarkSent(now)
	return true, 0
}

// evictGrants frees a slot for one more window. Windows in use are kept, however many there are: a
// new one would grant again what was granted already.
func (ta *Table) evictGrants(now time.Time) {
	if len(ta.grants) < maxEndpoints {
		return
	}
	for endpoint, wi := range ta.grants {
		if wi.Empty(now) {
			delete(ta.grants, endpoint)
		}
	}
}

// Report records an endpoint's report of its calls.
func (ta *Table) Report(now time.Time, endpoint uint64, calls int) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	co := ta.counts[endpoint]
	if co == nil {
		ta.evictCounts(now)
		co = &Count{}
		ta.counts[endpoint] = co
	}
	co.Update(calls, now)
}

// AddCall returns the number of the endpoint's calls, false if unknown, and then counts one more for
// the call that is about to be placed.
func (ta *Table) AddCall(now time.Time, endpoint uint64) (int, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	co := ta.counts[endpoint]
	if co == nil {
		return 0, false
	}
	calls, known := co.Estimate(now)
	co.Add(now, 1)
	return calls, known
}

// evictCounts frees a slot for one more Count.
func (ta *Table) evictCounts(now time.Time) {
	if ta.counts == nil {
		ta.counts = map[uint64]*Count{}
	}
	if len(ta.counts) < maxEndpoints {
		return
	}
	for endpoint, co := range ta.counts {
		if co.Expired(now) {
			delete(ta.counts, endpoint)
		}
	}
	if len(ta.counts) >= maxEndpoints {
		ta.counts = map[uint64]*Count{} // they are reported again within a second
	}
}

// Len returns the number of Counts held.
func (ta *Table) Len() int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return len(ta.counts)
}
