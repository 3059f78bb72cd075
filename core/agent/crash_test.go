package agent_test

import (
	"context"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/agent"
)

// crashingEndpoint is a fake endpoint with a settable result of the liveness probe.
type crashingEndpoint struct {
	core.Endpoint
	alive bool
}

func (en *crashingEndpoint) Alive(context.Context) bool { return en.alive }

// A response is lost while the endpoint is alive. Shortly afterwards the endpoint crashes during
// another call. The earlier interruption must not hide that this call was running at the crash.
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
		t.Errorf("reasons are %s and %s, want CutShort and Crashed", lost.Reason, re.Reason)
	}
}

// An endpoint crashes while it runs two calls. A third call, sent shortly afterwards on a
// kept-alive connection, is interrupted as well but must not be counted for the crash, as it was
// not running. If the endpoint is still alive, responses were lost and no call counts as crashed.
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
