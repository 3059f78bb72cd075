// Package waitq holds one router's waiting requests for one pool, where the pool's capacity is
// short.
//
// # Concepts
//
// A Queue limits the calls that this router has at the endpoints to its own places: its part of the
// places of the pool's Level, by its part of the offered requests. Below one place, starts are
// spaced in time instead. What does not get a place waits at the router, where it can be reordered
// and refused, which is not possible in an endpoint's queue.
//
// Waiting requests are ordered by rank, then by the start tag of their customer (see core/flows),
// then by the time until their goal. A request that is not expected to start in time is refused on
// arrival: a refusal at that time costs its caller nothing. A waiting request that falls behind is
// refused as soon as that is known, if it has waited only briefly. Otherwise it keeps its turn until
// its goal has passed, and is then served after those of its rank that can still be in time.
//
// # Invariants
//
//   - While fewer calls than slots are in progress and there is no level, each request is admitted
//     at once.
//   - Each router admits at least one call at a time.
//   - A refused request has never been admitted, so it did not run.
//   - While a lower rank waits, it gets at least a tenth of the starts.
//   - A level is in force for demand.LevelTTL. After that a router limits itself by its own part of
//     the pool for at most fallbackTime, and only while the pool is busy.
//
// # Usage
//
//	de := qu.Offer(now, rq)
//	if de.Wait != nil { <-de.Wait.Ready(); de = de.Wait.Decision } // or qu.Cancel
//	if de.Admitted { defer func() { qu.Done(now, took, ok); qu.Tick(now) }() }
package waitq

import (
	"sync"
	"time"

	"almondrill/core"
	"almondrill/core/demand"
	"almondrill/core/flows"
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
	// Route identifies the request's route, and Budget is how long its caller said it will wait. They
	// are optional, and serve to recognize retries; see isRetry.
	Route  uint64
	Budget time.Duration
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
	// Basis holds the facts behind the decision, for logs. It is empty while no limit is in force.
	Basis string
	// Ahead is the number of requests that were ahead on arrival, Waited how long the request waited,
	// and LevelAge the age of the level, 0 without a limit.
	Ahead            int
	Waited, LevelAge time.Duration
}

// Waiter is a request that waits at the router.
type Waiter struct {
	Request Request
	// Decision is set before Ready is closed. Do not read it earlier.
	Decision Decision
	// Ahead is the number of requests ahead when it arrived.
	Ahead int

	customer *customer
	tag      float64
	seq      uint64
	// late says that it cannot be in time and is served after those that can, arrivedLate that this
	// was so on arrival.
	late, arrivedLate bool
	ready             chan struct{}
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
	// this router knows from its peers. Otherwise this router's calls are taken as typical.
	PoolCalls func() int
	// Network is the time from the endpoint through this router to the caller.
	Network time.Duration
	// Returns computes when refused requests should return. Each Queue has its own.
	Returns *retry.Returns

	mu        sync.Mutex // guards all below
	running   int
	waiting   int
	lastSeq   uint64
	classes   []*class // by rank, the most urgent first
	customers map[customerRank]*customer
	// overtaken counts the starts, up to overtakenMax, since the last one of a request that others had
	// overtaken: one of a lower rank, or one whose goal passed while it waited.
	overtaken int
	kept      rate // offered requests, weighted by the admitted fraction of their customers
	usage     heldTime
	tokens    float64
	tokensAt  time.Time
	le        levelState
	me        measured
	budgets   map[budgetKey]*budget
	// refusedAt is when a limit was last in force or an endpoint did not run a call.
	refusedAt time.Time
	short     shortage
	totals    Counts
}

type customerRank struct {
	id   demand.CustomerHash
	rank uint8
}

// customer is the state of one customer at one rank.
type customer struct {
	customerRank
	flow    flows.Account
	offered rate
	waiting int
	// admit is the admitted fraction by the level in force, credit what has accumulated of it.
	admit, credit float64
	// over says that the customer is over its share by the level in force.
	over bool
	// reported counts the requests offered since the last report.
	reported int
	recent   recentCounts
}

// class holds the waiting requests of one rank, those in time first.
type class struct {
	rank    uint8
	time    flows.Time
	waiters []*Waiter
	// offered is the rate of requests that can be in time, without those beyond shares; within is
	// the part of it that may exceed the places.
	offered, within rate
}
