package agent

import (
	"context"
	"time"

	"almondrill/core"
)

// fakeClock is a clock whose Now is a function and whose Sleep returns at once.
type fakeClock func() time.Time

func (tt fakeClock) Now() time.Time { return tt() }

func (fakeClock) Sleep(context.Context, time.Duration) error { return nil }

// CrashDetection returns a function that runs the agent's crash detection on a call which started
// at the given time and was interrupted at the endpoint with re.
func CrashDetection(now func() time.Time, en core.Endpoint) func(began time.Time, re *core.Refusal) {
	ag, sl := &Agent{Clock: fakeClock(now)}, &Slot{Endpoint: en}
	return func(began time.Time, re *core.Refusal) { ag.detectCrash(context.Background(), sl, began, re) }
}
