package agent

import (
	"context"
	"time"

	"almondrill/core"
)

// tellsTime is a clock of a test.
type tellsTime func() time.Time

func (tt tellsTime) Now() time.Time { return tt() }

func (tellsTime) Sleep(context.Context, time.Duration) error { return nil }

// CrashFinder is how an agent judges a call that began then and broke off at the endpoint.
func CrashFinder(now func() time.Time, en core.Endpoint) func(began time.Time, re *core.Refusal) {
	ag, sl := &Agent{Clock: tellsTime(now)}, &Slot{Endpoint: en}
	return func(began time.Time, re *core.Refusal) { ag.findCrash(context.Background(), sl, began, re) }
}
