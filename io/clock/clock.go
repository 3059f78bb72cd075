// Package clock is the real time and randomness behind core.Clock and core.Rand.
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

// Wall is the machine's clock.
type Wall struct{}

var _ core.Clock = Wall{}

// Now is the current time.
func (Wall) Now() time.Time { return time.Now() }

// Sleep waits for d or until ctx ends.
func (Wall) Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Rand is a seeded source that is safe for concurrent use.
type Rand struct {
	mu  sync.Mutex // guards src
	src *rand.Rand
}

var _ core.Rand = (*Rand)(nil)

// NewRand makes a source; equal seeds give equal sequences.
func NewRand(seed uint64) *Rand {
	const stream = 0x9e3779b97f4a7c15
	return &Rand{src: rand.New(rand.NewPCG(seed, stream))}
}

// RandomSeed draws a seed from the system.
func RandomSeed() uint64 { return rand.Uint64() }

// Uint64 is uniform over all 64-bit numbers.
func (ra *Rand) Uint64() uint64 {
	ra.mu.Lock()
	defer ra.mu.Unlock()
	return ra.src.Uint64()
}

// Float64 is uniform in [0, 1).
func (ra *Rand) Float64() float64 {
	ra.mu.Lock()
	defer ra.mu.Unlock()
	return ra.src.Float64()
}
