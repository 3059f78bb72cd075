package agent

import (
	"context"
	"time"

	"almondrill/core"
)

// fakeClock is a clock of a test.
type fakeClock func() time.Time

func (tt fakeClock) Now() time.Time { return tt() }

func (fakeClock) Sleep(context.Context, time.Duration) error { return nil }

// CrashDetection is how an agent judges a call that began then and broke off at the endpoint.
func CrashDetection(now func() time.Time, en core.Endpoint) func(began time.Time, re *core.Refusal) {
	ag, sl := &Agent{Clock: fakeClock(now)}, &Slot{Endpoint: en}
	return func(began time.Time, re *core.Refusal) { ag.detectCrash(context.Background(), sl, began, re) }
}
