// Package bucket holds control traffic to a budget of bytes a second.
//
// # Usage
//
//	me := &meter.Meter{Clock: clock, PerSecond: 2500}
//	if me.Allow(size) { send() }
package bucket

import (
	"sync"
	"time"

	"almondrill/core"
)

// Overhead is what a small message costs besides its body, in bytes: frame,
// header and transport headers of one HTTP/2 call over TCP, both ways.
const Overhead core.Bytes = 220

// burstSeconds is how much of the budget may be saved up, in seconds.
const burstSeconds = 4

// Bucket is a token bucket for bytes sent. Set the exported fields before use.
type Bucket struct {
	Clock core.Clock
	// PerSecond is the budget in bytes a second.
	PerSecond core.Bytes

	mu      sync.Mutex // guards all below
	credit  float64
	last    time.Time
	sent    core.Bytes
	refused int64
}

// Allow takes a message's body and Overhead from the budget; false means that
// it must not be sent now.
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

// Spend counts a message that cannot wait, such as an answer to a peer; it may
// overdraw the budget, and what comes next waits until that is made good.
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

// Sent is the bytes sent so far; Refused the messages held back.
func (bu *Bucket) Sent() core.Bytes {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return bu.sent
}

// Refused counts the messages that were held back.
func (bu *Bucket) Refused() int64 {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	return bu.refused
}
