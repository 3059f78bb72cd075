// Package bucket limits control traffic to a budget of bytes per second, by a token bucket.
//
// # Usage
//
//	bu := &bucket.Bucket{Clock: clock, PerSecond: 2500}
//	if bu.Allow(size) { send() }
package bucket

import (
	"sync"
	"time"

	"almondrill/core"
)

// Overhead is the cost of a small message besides its body, in bytes: the frame, the header and the
// transport headers of one HTTP/2 call over TCP, in both directions.
const Overhead core.Bytes = 220

// burstSeconds is the bucket's capacity, in seconds of the budget.
const burstSeconds = 4

// Bucket is a token bucket of bytes to send. Set the exported fields before use.
type Bucket struct {
	Clock core.Clock
	// PerSecond is the budget in bytes per second.
	PerSecond core.Bytes

	mu      sync.Mutex // guards all below
	credit  float64
	last    time.Time
	sent    core.Bytes
	refused int64
}

// Allow takes a message's body and Overhead from the bucket. If the bucket holds less, it takes
// nothing and returns false: the message must not be sent now.
func (bu *Bucket) Allow(body core.Bytes) bool {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.refill()
	cost := float64(body + Overhead)
	if bu.credit < cost {
		bu.refused++
		return false
	}
	bu.credit -= cost
	bu.sent += body + Overhead
	return true
}

// Spend takes the cost of a message that cannot wait, such as a response to a peer. It may overdraw
// the bucket; Allow then returns false until the deficit is refilled.
func (bu *Bucket) Spend(body core.Bytes) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.refill()
	bu.credit -= float64(body + Overhead)
	bu.sent += body + Overhead
}

func (bu *Bucket) refill() {
	now := bu.Clock.Now()
	limit := float64(bu.PerSecond) * burstSeconds
	if bu.last.IsZero() {
		bu.credit = limit / burstSeconds
	} else {
		bu.credit = min(limit, bu.credit+now.Sub(bu.last).Seconds()*float64(bu.PerSecond))
	}
	bu.last = now
}

// Sent returns the number of bytes charged so far.
func (bu *Bucket) Sent() core.Bytes {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return bu.sent
}

// Refused returns the number of messages for which Allow returned false.
func (bu *Bucket) Refused() int64 {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return bu.refused
}
