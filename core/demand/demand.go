// Package demand computes how the capacity of an overloaded pool is divided among routers and
// customers.
//
// # Concepts
//
// Each router reports its demand for a pool to the pool's owner: what it was offered by which
// customers, how many of its calls run, and how many ended. The Owner sums the reports of the last
// few intervals and publishes a Level, by which each router limits itself: the number of places,
// which are calls at the endpoints, running or queued there, and the fraction that is admitted of
// each customer that is over its fair share.
//
// Capacity, in calls per second, is the rate of ended calls scaled to all slots. It is allocated by
// rank first and within a rank by weighted max-min fair shares: no customer gets more than it
// offers, and what it leaves goes to the others in proportion to their weights.
//
// # Invariants
//
//   - Lower ranks together get a tenth of the capacity if they ask for it, whatever the demand of
//     higher ones.
//   - A customer within its fair share is not listed in a level.
//   - Places never exceed MaxPerSlot calls per slot, and are at least 1.
//   - An owner allocates only the part of the capacity that its reporters stand for: k of n places
//     if k of n live routers report. Two owners together therefore allocate at most the whole.
//   - Without reports of two intervals, or of all live routers, there is no level.
//
// # Usage
//
//	ow := &demand.Owner{RoundTrip: rtt}
//	ow.Apply(now, from, report)
//	le, ok := ow.Level(now, pool, liveRouters) // once per Interval
package demand

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"almondrill/core"
)

// PoolHash and CustomerHash are the low 32 bits of the xxhash64 of an id.
type (
	PoolHash     uint32
	CustomerHash uint32
)

// HashPool returns the hash under which reports and levels name a pool.
func HashPool(id core.PoolID) PoolHash { return PoolHash(xxhash.Sum64String(string(id))) }

// HashCustomer returns the hash under which reports and levels name a customer.
func HashCustomer(id core.CustomerID) CustomerHash {
	return CustomerHash(xxhash.Sum64String(string(id)))
}

// Report is one router's demand for a pool since its last report.
type Report struct {
	_    struct{} `cbor:",toarray"`
	Pool PoolHash
	// Running is the mean number of calls at the endpoints, Waiting how many requests wait now.
	Running, Waiting uint16
	// OfferedPer10s and EndedPer10s are rates, in calls per 10 s. OfferedPer10s is averaged with a time
	// constant of a second, as the rate is by which the router computes its part of the places.
	OfferedPer10s, EndedPer10s uint32
	// Slots is the sum of the slots of the pool's live endpoints that the router knows.
	Slots uint16
	// CallMs is the mean endpoint time of calls that did not queue there, GoalMs the smallest
	// first-byte goal of the pool's requests. 0 is unknown.
	CallMs, GoalMs uint16
	// Customers lists the largest MaxReportCustomers by offered rate.
	Customers []Customer
}

// Customer is what one customer offers a router at one rank.
type Customer struct {
	_             struct{} `cbor:",toarray"`
	ID            CustomerHash
	Rank          uint8
	OfferedPer10s uint32
}

// Level is what the owner publishes for a pool.
type Level struct {
	_    struct{} `cbor:",toarray"`
	Pool PoolHash
	// AtMs is the owner's Unix time in ms; a later level replaces an earlier one.
	AtMs uint64
	// Places limits the calls at the endpoints, over all routers.
	Places uint16
	// OfferedPer10s is the rate of all routers, after cutting customers over their share.
	OfferedPer10s uint32
	// CallMs is how long a call holds its place, including its time in the endpoint's queue.
	CallMs uint16
	// Over lists customers over their fair share, at most MaxOver.
	Over []Share
	// More says that more customers are over their share than Over lists: those not listed cannot be
	// taken to be within theirs.
	More bool
}

// Share is the part of a customer's requests at one rank that is admitted, in 1/255. It may be 255
// for one that is only a little over its fair share: it then yields to others, but is not cut.
type Share struct {
	_     struct{} `cbor:",toarray"`
	ID    CustomerHash
	Rank  uint8
	Admit uint8
}

const (
	// MaxReportCustomers bounds Report.Customers, MaxOver bounds Level.Over, so that both fit into
	// one datagram.
	MaxReportCustomers = 24
	MaxOver            = 16
	// LevelTTL is how long a level stays in force. Several levels in a row can be lost before it
	// expires.
	LevelTTL = 1500 * time.Millisecond
	// MaxPerSlot is how many calls per slot are admitted at most, whatever a level says.
	MaxPerSlot = 4

	minInterval       = 200 * time.Millisecond
	intervalPerRouter = 1200 * time.Microsecond
)

// Interval returns the time between two reports of a router. With many routers it grows with their
// number, so that the owner receives at most some 800 reports per second.
func Interval(routers int) time.Duration {
	return max(minInterval, time.Duration(routers)*intervalPerRouter)
}
