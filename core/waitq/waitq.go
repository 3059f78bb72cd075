// Package waitq holds one router's waiting requests for one pool.
package waitq

import (
	"time"

	"almondrill/core"
	"almondrill/core/demand"
	"almondrill/core/retry"
)

// Request is a request for a place at the pool's endpoints.
type Request struct {
	Customer demand.CustomerHash
	Rank     uint8
	// Weight is the customer's share; 0 counts as 1.
	Weight float64
	// GoalAt is when the first byte is due at the caller. A zero GoalAt or Deadline is none.
	Arrived, GoalAt, Deadline time.Time
}

// Decision is the outcome of Offer, or later of a Waiter. If neither Admitted nor Refused is set,
// the request waits.
type Decision struct {
	Admitted bool
	Wait     *Waiter
	// Refused is empty unless the request is refused, always as not run. RetryAfter is then the
	// delay after which the caller should come back, 0 if a retry could not be served in time.
	Refused    core.Reason
	RetryAfter time.Duration
	// Basis holds the facts behind the decision, for logs.
	Basis string
}

// Waiter is a request that waits at the router.
type Waiter struct {
	Request Request
	// Decision is set before Ready is closed. Do not read it earlier.
	Decision Decision
	// Ahead is the number of requests ahead when it arrived.
	Ahead int

	ready chan struct{}
}

// Ready is closed once the waiter is admitted or refused.
func (wa *Waiter) Ready() <-chan struct{} { return wa.ready }

// Queue decides which of a router's requests for a pool are sent, wait or are refused. Set the
// exported fields before use. It may be used concurrently.
type Queue struct {
	Pool demand.PoolHash
	// Slots returns the slots of the pool's live endpoints, Routers the number of live routers
	// including this one.
	Slots, Routers func() int
	// PoolCalls, if set, returns the calls that all routers have at the pool's endpoints, as far as
	// this router knows from its peers.
	PoolCalls func() int
	// Network is the time from the endpoint through this router to the caller.
	Network time.Duration
	// Returns computes when refused requests are told to come back.
	Returns *retry.Returns
}

// Offer decides about a request on its arrival. An admitted request must end with Done.
func (qu *Queue) Offer(now time.Time, rq Request) Decision { return Decision{Admitted: true} }

// Done records the end of a call; took is its time at the endpoint. ok says that the endpoint ran
// it, whatever it answered. Call Tick afterwards.
func (qu *Queue) Done(now time.Time, took time.Duration, ok bool) {}

// Cancel withdraws a waiter whose caller disconnected. A place that it was given in the meantime is
// free again; do not call Done for it.
func (qu *Queue) Cancel(now time.Time, wa *Waiter) {}

// Tick returns the waiters to start or refuse now; each has its Decision, and its Ready is closed.
func (qu *Queue) Tick(now time.Time) []*Waiter { return nil }

// NextTick returns when Tick should be called next if no call ends before. It returns false if
// nothing waits.
func (qu *Queue) NextTick(now time.Time) (time.Time, bool) { return time.Time{}, false }

// SetLevel applies a level unless it is older than the one in force. Call Tick afterwards.
func (qu *Queue) SetLevel(now time.Time, le demand.Level) {}

// Report returns the report to send to the pool's owner. It returns false if there is nothing to
// report. Call it once per demand.Interval.
func (qu *Queue) Report(now time.Time) (demand.Report, bool) { return demand.Report{}, false }

// Snapshot is the state of a Queue for operators.
type Snapshot struct {
	Running, Waiting int
	// Places is the number of calls that this router may have at the pool's endpoints, 0 if it is
	// not limited. It is below 1 where starts are spaced.
	Places float64
	// Limited is how Places was found: "level", "fallback", or empty.
	Limited string
	// Level is the last level and LevelAge its age; LevelInForce says that it is still used.
	Level        demand.Level
	LevelAge     time.Duration
	LevelInForce bool
	// CallTime is the expected time of a call at its endpoint.
	CallTime time.Duration
	// Customers has what happened in the last RecentSpan by rank and customer.
	Customers []CustomerSnapshot
	// Totals counts since the start.
	Totals Counts
}

// CustomerSnapshot is the state of one customer at one rank.
type CustomerSnapshot struct {
	Customer demand.CustomerHash
	Rank     uint8
	// Waiting is the number of requests that wait now.
	Waiting int
	// Admit is the fraction that is admitted by the level in force.
	Admit float64
	// Recent counts the last RecentSpan.
	Recent Counts
}

// Counts counts decisions.
type Counts struct {
	// AdmittedAtOnce and AdmittedAfterWait are admitted requests, RefusedByShare and RefusedForTime
	// those refused as core.ReasonShareExceeded and core.ReasonQueueFull.
	AdmittedAtOnce, AdmittedAfterWait, RefusedByShare, RefusedForTime int
	Cancelled                                                         int
}

// RecentSpan is the time that CustomerSnapshot.Recent covers.
const RecentSpan = 10 * time.Second

// Snapshot returns the state for operators.
func (qu *Queue) Snapshot(now time.Time) Snapshot { return Snapshot{} }
