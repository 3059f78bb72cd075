// Package meter holds control traffic to a budget of bytes a second.
//
// # Usage
//
//	me := &meter.Meter{Clock: clock, PerSecond: 2500}
//	if me.Allow(size) { send() }
package meter

import (
	"sync"
	"time"

	"almondrill/core"
)

// Overhead is what a small message costs besides its body, in bytes: frame,
// header and transport headers of one HTTP/2 call over TCP, both ways.
const Overhead core.Bytes = 220

// burst is how much of the budget may be saved up, in seconds.
const burst = 4

// Meter is a token bucket for bytes sent. Set the exported fields before use.
type Meter struct {
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
func (me *Meter) Allow(body core.Bytes) bool {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.refill()
	cost := float64(body + Overhead)
	if me.credit < cost {
		me.refused++
		return false
	}
	me.credit -= cost
	me.sent += body + Overhead
	return true
}

// Spend counts a message that cannot wait, such as an answer to a peer; it may
// overdraw the budget, and what comes next waits until that is made good.
func (me *Meter) Spend(body core.Bytes) {
	me.mu.Lock()
	defer me.mu.Unlock()
	me.refill()
	me.credit -= float64(body + Overhead)
	me.sent += body + Overhead
}

func (me *Meter) refill() {
	now := me.Clock.Now()
	most := float64(me.PerSecond) * burst
	if me.last.IsZero() {
		me.credit = most / burst
	} else {
		me.credit = min(most, me.credit+now.Sub(me.last).Seconds()*float64(me.PerSecond))
	}
	me.last = now
}

// Sent is the bytes sent so far; Refused the messages held back.
func (me *Meter) Sent() core.Bytes {
	me.mu.Lock()
	defer me.mu.Unlock()
	return me.sent
}

// Refused counts the messages that were held back.
func (me *Meter) Refused() int64 {
	me.mu.Lock()
	defer me.mu.Unlock()
	return me.refused
}
