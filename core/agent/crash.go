package agent

import (
	"context"
	"sync"
	"time"

	"almondrill/core"
)

const (
	// aliveTimeout bounds asking whether the endpoint's process is there, on the same VM.
	aliveTimeout = 200 * time.Millisecond
	// crashWindow is within what time calls break off by one crash.
	crashWindow = time.Second
)

// crashRecord is when an endpoint crashed lately.
type crashRecord struct {
	mu sync.Mutex // guards all below
	// firstInterrupted is when the first call broke off that the latest crash ended.
	firstInterrupted time.Time
}

// wasRunning tells whether a call that broke off now at an endpoint that is gone was running when
// that crashed. One that began later was sent to an endpoint that was gone already.
func (cr *crashRecord) wasRunning(now, started time.Time) bool {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	if now.Sub(cr.firstInterrupted) > crashWindow {
		cr.firstInterrupted = now
	}
	return started.Before(cr.firstInterrupted)
}

// detectCrash tells routers by the reason that the endpoint crashed while it ran the call: they
// count for each request, and stop sending one that is there each time.
func (ag *Agent) detectCrash(ctx context.Context, sl *Slot, started time.Time, re *core.Refusal) {
	prober, ok := sl.Endpoint.(core.LivenessProber)
	if !ok || re.Outcome == core.NotRun || !crashReasons[re.Reason] {
		return
	}
	now := ag.Clock.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), aliveTimeout)
	defer cancel()
	if !prober.Alive(ctx) && sl.crash.wasRunning(now, started) {
		re.Reason = core.ReasonCrashed
	}
}

// crashReasons are the reasons of calls whose endpoint may have crashed.
var crashReasons = map[core.Reason]bool{
	core.ReasonCutShort: true, core.ReasonEndpointDown: true, core.ReasonPeerLost: true, core.ReasonStalled: true,
}
