// Package demand computes how the capacity of an overloaded pool is divided.
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
	_                struct{} `cbor:",toarray"`
	Pool             PoolHash
	Running, Waiting uint16
	// OfferedPer10s and EndedPer10s are rates, in calls per 10 s.
	OfferedPer10s, EndedPer10s uint32
	// Slots is the sum of the slots of the pool's live endpoints that the router knows.
	Slots uint16
	// CallMs is the mean endpoint time of calls that did not queue there, GoalMs the smallest
	// first-byte goal of the pool's requests.
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
	CallMs        uint16
	// Over lists customers over their fair share, at most MaxOver.
	Over []Share
}

// Share is the part of a customer's requests at one rank that is admitted, in 1/255.
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
	// LevelTTL is how long a level stays in force.
	LevelTTL = 1500 * time.Millisecond
)

// Interval returns the time between two reports of a router.
func Interval(routers int) time.Duration {
	return max(200*time.Millisecond, time.Duration(routers)*1200*time.Microsecond)
}

// Owner computes the levels of the pools that this router owns. Set the exported fields before use.
type Owner struct {
	// RoundTrip is the network time between the end of a call and the start of the next one.
	RoundTrip time.Duration
	// Weight returns a customer's declared weight; nil or a result of 0 counts as 1.
	Weight func(CustomerHash) float64
}

// Apply records a router's report.
func (ow *Owner) Apply(now time.Time, from string, re Report) {}

// Level returns the level to publish for a pool, given the number of live routers including this
// one. It returns false while reports are too few or capacity is not short.
func (ow *Owner) Level(now time.Time, pool PoolHash, liveRouters int) (Level, bool) {
	return Level{}, false
}

// Pools lists the pools with reports that have not expired.
func (ow *Owner) Pools(now time.Time) []PoolHash { return nil }
