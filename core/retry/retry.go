// Package retry bounds how often requests are tried again.
//
// # Concepts
//
// A Budget lets retries be at most Ratio of first attempts, per customer and in
// all, with a small reserve for quiet times. It covers only retries of work that
// may have run: an attempt that was provably not run costs an engine nothing.
//
// # Invariants
//
//   - Over any stretch, retries <= reserve + Ratio x first attempts, for each
//     customer and for all together. A failing back end is thus never sent more
//     than that part on top, however callers behave.
//
// # Usage
//
//	bu := &retry.Budget{Ratio: 0.1}
//	bu.First(customer)
//	if bu.Retry(customer) { ... }
package retry

import (
	"sync"
	"time"

	"almondrill/core"
)

const (
	reserve         = 10
	customerReserve = 3
	firstBackoff    = 10 * time.Millisecond
	maxBackoff      = time.Second
)

// Budget counts first attempts and retries. Set Ratio before use.
type Budget struct {
	Ratio float64

	mu        sync.Mutex // guards all below
	total     float64
	customers map[core.CustomerID]float64
	started   bool
}

// RecordFirst counts a first attempt.
func (bu *Budget) RecordFirst(cu core.CustomerID) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.start()
	bu.total = min(reserve, bu.total+bu.Ratio)
	bu.customers[cu] = min(customerReserve, bu.credit(cu)+bu.Ratio)
}

// TryRetry takes one retry from the budget, if there is one.
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

// Backoff is the wait before retry number n, from 1: it doubles, and is drawn
// from its upper half so that callers that failed together do not return
// together.
func Backoff(n int, ra core.Rand) time.Duration {
	full := min(maxBackoff, firstBackoff<<min(n-1, 10))
	return full/2 + time.Duration(ra.Float64()*float64(full/2))
}
