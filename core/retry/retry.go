// Package retry bounds how often requests are retried.
//
// # Concepts
//
// A Budget limits retries to Ratio times the first attempts, per customer and in total, plus a small
// reserve for periods with few requests. It covers only retries of work that may have run: an
// attempt that provably did not run costs an engine nothing.
//
// A Window limits the additional attempts of a whole fleet of routers within a span of time.
//
// # Invariants
//
//   - Over any period, retries <= reserve + Ratio x first attempts, for each customer and in total.
//     A failing back end therefore never gets more than this additional load, whatever callers do.
//
// # Usage
//
//	bu := &retry.Budget{Ratio: 0.1}
//	bu.RecordFirst(customer)
//	if bu.TryRetry(customer) { ... }
package retry

import (
	"sync"
	"time"

	"almondrill/core"
)

const (
	// reserve and customerReserve are the retries that are available at the start, in total and per
	// customer, and also the most that first attempts can save up.
	reserve         = 10
	customerReserve = 3
	// firstBackoff and maxBackoff are the bounds of the delay of the first retry and of any retry.
	firstBackoff = 10 * time.Millisecond
	maxBackoff   = time.Second
)

// Budget counts first attempts and retries. Set Ratio before use.
type Budget struct {
	Ratio float64

	mu        sync.Mutex // guards all below
	total     float64
	customers map[core.CustomerID]float64
	started   bool
}

// RecordFirst counts a first attempt of a customer's request.
func (bu *Budget) RecordFirst(cu core.CustomerID) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.start()
	bu.total = min(reserve, bu.total+bu.Ratio)
	bu.customers[cu] = min(customerReserve, bu.credit(cu)+bu.Ratio)
}

// TryRetry takes one retry from the budget and reports whether there was one left.
func (bu *Budget) TryRetry(cu core.CustomerID) bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.start()
	if bu.total < 1 || bu.credit(cu) < 1 {
		return false
	}
	bu.total--
	bu.customers[cu] = bu.credit(cu) - 1
	return true
}

func (bu *Budget) start() {
	if bu.started {
		return
	}
	bu.started = true
	bu.total = reserve
	bu.customers = map[core.CustomerID]float64{}
}

func (bu *Budget) credit(cu core.CustomerID) float64 {
	if credit, known := bu.customers[cu]; known {
		return credit
	}
	return customerReserve
}

// Backoff returns the delay before retry number n, counted from 1. Its bound doubles with each retry
// up to maxBackoff. The delay is drawn at random from the upper half of the bound, so that callers
// that failed together do not retry together.
func Backoff(n int, ra core.Rand) time.Duration {
	full := min(maxBackoff, firstBackoff<<min(n-1, 10))
	return full/2 + time.Duration(ra.Float64()*float64(full/2))
}
