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
	// oneCrash is within what time calls break off by one crash.
	oneCrash = time.Second
)

// crashes is when an endpoint crashed lately.
type crashes struct {
	mu sync.Mutex // guards all below
	// first is when the first call broke off that the latest crash ended.
	first time.Time
}

// ran tells whether a call that broke off now at an endpoint that is gone was running when
// that crashed. One that began later was sent to an endpoint that was gone already.
func (cr *crashes) ran(now, began time.Time) bool {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	if now.Sub(cr.first) > oneCrash {
		cr.first = now
	}
	return began.Before(cr.first)
}

// findCrash tells routers by the reason that the endpoint crashed while it ran the call: they
// count for each request, and stop sending one that is there each time.
func (ag *Agent) findCrash(ctx context.Context, sl *Slot, began time.Time, re *core.Refusal) {
	en, able := sl.Endpoint.(core.LivenessProber)
	if !able || re.Outcome == core.NotRun || !brokeOff[re.Reason] {
		return
	}
	now := ag.Clock.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), aliveTimeout)
	defer cancel()
	if !en.Alive(ctx) && sl.crashes.ran(now, began) {
		re.Reason = core.ReasonCrashed
	}
}

// brokeOff are the reasons of calls whose endpoint may have crashed.
var brokeOff = map[core.Reason]bool{
	core.ReasonCutShort: true, core.ReasonEndpointDown: true, core.ReasonPeerLost: true, core.ReasonStalled: true,
}
