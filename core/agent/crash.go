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

// crashes is when calls broke off at an endpoint lately.
type crashes struct {
	mu sync.Mutex // guards all below
	// first is when the first of the latest calls broke off.
	first time.Time
}

// ran tells whether a call that began then was running when the first of those broke off that
// break off now. One that came later was sent to an endpoint that was gone already.
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
	en, able := sl.Endpoint.(core.Liveness)
	if !able || re.Outcome == core.NotRun || !brokeOff[re.Reason] {
		return
	}
	if !sl.crashes.ran(ag.Clock.Now(), began) {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), aliveTimeout)
	defer cancel()
	if !en.Alive(ctx) {
		re.Reason = core.ReasonCrashed
	}
}

// brokeOff are the reasons of calls whose endpoint may have crashed.
var brokeOff = map[core.Reason]bool{
	core.ReasonCutShort: true, core.ReasonEndpointDown: true, core.ReasonPeerLost: true, core.ReasonStalled: true,
}
