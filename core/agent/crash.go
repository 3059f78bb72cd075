package agent

import (
	"context"
	"sync"
	"time"

	"almondrill/core"
)

const (
	// aliveTimeout limits the liveness probe of an endpoint, which runs on the same VM.
	aliveTimeout = 200 * time.Millisecond
	// crashWindow is the time within which a crash interrupts all calls that were running; later
	// interruptions are taken to be from another crash.
	crashWindow = time.Second
)

// crashRecord records when an endpoint last crashed.
type crashRecord struct {
	mu sync.Mutex // guards all below
	// firstInterrupted is when the latest crash interrupted its first call.
	firstInterrupted time.Time
}

// recordInterruption records that a call which started at the given time was interrupted now, at an
// endpoint that is gone, and reports whether the call was running when the endpoint crashed. A call
// that started after the crash was sent to an endpoint that was already gone.
func (cr *crashRecord) recordInterruption(now, started time.Time) bool {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	if now.Sub(cr.firstInterrupted) > crashWindow {
		cr.firstInterrupted = now
	}
	return started.Before(cr.firstInterrupted)
}

// detectCrash sets the refusal's reason to ReasonCrashed if the endpoint crashed while it ran the
// call. Routers count these crashes per request and quarantine a request that keeps causing them.
func (ag *Agent) detectCrash(ctx context.Context, sl *Slot, started time.Time, re *core.Refusal) {
	prober, ok := sl.Endpoint.(core.LivenessProber)
	if !ok || re.Outcome == core.NotRun || !crashReasons[re.Reason] {
		return
	}
	now := ag.Clock.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), aliveTimeout)
	defer cancel()
	if !prober.Alive(ctx) && sl.crash.recordInterruption(now, started) {
		re.Reason = core.ReasonCrashed
	}
}

// crashReasons holds the refusal reasons that a crash of the endpoint may have caused.
var crashReasons = map[core.Reason]bool{
	core.ReasonCutShort: true, core.ReasonEndpointDown: true, core.ReasonPeerLost: true, core.ReasonStalled: true,
}
