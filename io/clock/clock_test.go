package clock_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"almondrill/io/clock"
)

// Guards against a crash of the race detector (go test -race) in virtual time, where many goroutines
// sleep for no time at once while others start with their timers.
func TestConcurrentSleepsOfZero(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var all sync.WaitGroup
		for range 64 {
			all.Go(func() {
				for range 500 {
					time.AfterFunc(time.Millisecond, func() {})
					if err := (clock.Wall{}).Sleep(t.Context(), time.Millisecond); err != nil {
						t.Error(err)
					}
					if err := (clock.Wall{}).Sleep(t.Context(), 0); err != nil {
						t.Error(err)
					}
				}
			})
		}
		all.Wait()
	})
}

// Guards against a sleep of no time that hides the end of its context from the loops that it paces.
func TestSleepOfZeroReportsEndedContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for _, d := range []time.Duration{-time.Second, 0, time.Hour} {
		if err := (clock.Wall{}).Sleep(ctx, d); !errors.Is(err, context.Canceled) {
			t.Errorf("sleep of %s returned %v, want %v", d, err, context.Canceled)
		}
	}
}
