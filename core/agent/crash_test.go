package agent_test

import (
	"context"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/agent"
)

// crashingEndpoint is an endpoint at which calls break off, and that is there or not.
type crashingEndpoint struct {
	core.Endpoint
	alive bool
}

func (en *crashingEndpoint) Alive(context.Context) bool { return en.alive }

// An answer is lost, and a moment later the endpoint crashes under a call that began since: that
// one was running, whatever broke off before.
func TestInterruptionBeforeCrashDoesNotHideIt(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	now, en := start, &crashingEndpoint{alive: true}
	find := agent.CrashDetection(func() time.Time { return now }, en)
	lost := &core.Refusal{Outcome: core.Unknown, Reason: core.ReasonCutShort}
	find(start.Add(-time.Second), lost)
	now, en.alive = start.Add(500*time.Millisecond), false
	re := &core.Refusal{Outcome: core.Unknown, Reason: core.ReasonCutShort}
	find(start.Add(200*time.Millisecond), re)
	if lost.Reason != core.ReasonCutShort || re.Reason != core.ReasonCrashed {
		t.Errorf("told as %s and %s, want CutShort and Crashed", lost.Reason, re.Reason)
	}
}

// An endpoint crashes with two calls. A third is sent a moment later on a connection that was
// kept, and breaks off too: it was not running, and must not be counted for the crash. Where
// the endpoint is there still, an answer was lost, and no call is told as crashed.
func TestCallSentAfterCrashIsNotAttributed(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	for _, alive := range []bool{false, true} {
		now := start
		find := agent.CrashDetection(func() time.Time { return now }, &crashingEndpoint{alive: alive})
		interrupted := func(began, at int) core.Reason {
			now = start.Add(time.Duration(at) * time.Millisecond)
			re := &core.Refusal{Outcome: core.Unknown, Reason: core.ReasonCutShort}
			find(start.Add(time.Duration(began)*time.Millisecond), re)
			return re.Reason
		}
		for _, ca := range []struct {
			began, at int
			ran       bool
		}{{0, 100, true}, {50, 101, true}, {102, 103, false}, {500, 3000, true}} {
			want := core.ReasonCutShort
			if ca.ran && !alive {
				want = core.ReasonCrashed
			}
			if got := interrupted(ca.began, ca.at); got != want {
				t.Errorf("alive %v, from %d to %d ms: %s, want %s", alive, ca.began, ca.at, got, want)
			}
		}
	}
}
