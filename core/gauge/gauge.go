// Package gauge estimates how many calls an endpoint has from what it said last and what
// is known to have been sent since.
//
// # Concepts
//
// An endpoint tells with each answer how many calls it has, running and waiting. A Count
// holds the latest such figure and the changes after it. A Table holds the Counts of the
// endpoints that a router keeps for its peers: they tell it what endpoints said, and ask it
// before they place a call. Each ask counts as a call placed, so that routers that ask one
// after the other do not all see the same gap.
//
// # Invariants
//
//   - A figure is used for Lasts; after it, the Count is unknown, not zero.
//   - A Table holds at most mostKept Counts.
//
// # Usage
//
//	ta := &gauge.Table{}
//	ta.Said(now, endpoint, calls)
//	calls, known := ta.Ask(now, endpoint)
package gauge

import (
	"slices"
	"sync"
	"time"

	"almondrill/core/quota"
)

const (
	// ReportTTL is how long a figure is used: beyond it, calls of some hundred milliseconds have
	// come and gone unseen.
	ReportTTL = 1500 * time.Millisecond
	// maxChanges bounds the changes remembered since a figure.
	maxChanges = 256
	// maxEndpoints bounds the Counts of a Table: with 2,100 endpoints and 420 routers, each
	// keeps 5, and all if it believes to be alone.
	maxEndpoints = 4096
)

// Count is an endpoint's own count of its calls at a time, and the changes since.
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

// Update keeps a newer figure.
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

// Add counts calls that began, or ended where by is negative.
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

// Expired tells that there is no figure that is used still.
func (co *Count) Expired(now time.Time) bool { return co.at.IsZero() || now.Sub(co.at) > ReportTTL }

// Fresh tells that the figure was made within that time.
func (co *Count) Fresh(now time.Time, within time.Duration) bool {
	return !co.at.IsZero() && now.Sub(co.at) <= within
}

// Estimate is the figure, brought forward by the changes since; false if it is too old.
func (co *Count) Estimate(now time.Time) (int, bool) {
	if co.Expired(now) {
		return 0, false
	}
	return max(0, co.reported+co.delta), true
}

// Latest is the figure itself, and when it was made; the zero time if there is none.
func (co *Count) Latest() (int, time.Time) { return co.reported, co.at }

// Table holds the Counts of endpoints, by the hashes of their ids and starts, and who could
// not reach them. It is safe for concurrent use.
type Table struct {
	mu          sync.Mutex // guards all below
	counts      map[uint64]*Count
	unreachable map[uint64]*unreachableReport
	grants      map[uint64]*quota.Window
}

// unreachableReport is the latest that was heard of an endpoint that could not be reached.
type unreachableReport struct {
	at   time.Time
	from string
	// broadcastAt is when two had said so.
	broadcastAt time.Time
}

const (
	// unreachableWindow is within what time two have to find an endpoint down: with a few requests
	// a second for each endpoint, others find out within it.
	unreachableWindow = time.Second
	// rebroadcastInterval is how often it is told that an endpoint is down.
	rebroadcastInterval = 500 * time.Millisecond
)

// ReportUnreachable takes that a router could not reach the endpoint. It returns whether that is to be told
// to all: two have found so, as one alone may be cut off itself, and it was not told a
// moment ago.
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

// Grant takes one of the requests that the endpoint gets in a second; false, and how long until
// another is free, if there is none.
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

// evictGrants makes room for one more window. Those in use are kept, however many: forgotten,
// they would grant what was granted before.
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

// Report takes what an endpoint said.
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

// AddCall tells how many calls the endpoint has, before the one that is asked for; false if
// that is unknown.
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

// evictCounts makes room for one more Count.
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
		ta.counts = map[uint64]*Count{} // they are known again within a second
	}
}

// Len is how many endpoints' Counts are held.
func (ta *Table) Len() int {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return len(ta.counts)
}
