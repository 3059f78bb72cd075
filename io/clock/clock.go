// Package clock implements core.Clock with the system clock and core.Rand with a seeded generator.
//
// # Usage
//
//	var cl clock.Wall
//	ra := clock.NewRand(seed)
//
// Inside a testing/synctest bubble Wall runs on the bubble's virtual time.
package clock

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"almondrill/core"
)

// Wall is the system clock.
type Wall struct{}

var _ core.Clock = Wall{}

// Now returns the current time.
func (Wall) Now() time.Time { return time.Now() }

// Sleep waits for d. It returns early with ctx's error if ctx ends.
//
// It creates no timer that is due at once. In a synctest bubble the runtime (Go 1.26) runs such a timer
// on the goroutine that creates it, under a race context that all timers of the bubble share. Two
// goroutines that do so at the same time corrupt that context, and the race detector crashes.
func (Wall) Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Rand is a seeded random source that is safe for concurrent use.
type Rand struct {
	mu  sync.Mutex // guards src
	src *rand.Rand
}

var _ core.Rand = (*Rand)(nil)

// NewRand returns a source; equal seeds give equal sequences.
func NewRand(seed uint64) *Rand {
	const stream = 0x9e3779b97f4a7c15
	return &Rand{src: rand.New(rand.NewPCG(seed, stream))}
}

// RandomSeed returns a seed from the runtime's random source.
func RandomSeed() uint64 { return rand.Uint64() }

// Uint64 returns a number that is uniform over all 64-bit values.
func (ra *Rand) Uint64() uint64 {
	ra.mu.Lock()
	defer ra.mu.Unlock()
	return ra.src.Uint64()
}

// Float64 returns a number that is uniform in [0, 1).
func (ra *Rand) Float64() float64 {
	ra.mu.Lock()
	defer ra.mu.Unlock()
	return ra.src.Float64()
}
