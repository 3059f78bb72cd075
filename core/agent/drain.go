package agent

import (
	"context"
	"sync"

	"almondrill/core"
)

// enter counts a call in unless the agent is leaving. Both happen under one
// lock: a call that Drain does not wait for is always one that was refused. A
// call whose key is known here is no new work and is let in while others last.
func (ag *Agent) enter(known bool) bool {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	if ag.draining && !(known && ag.inside > 0) {
		return false
	}
	ag.inside++
	return true
}

func (ag *Agent) leave() {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	ag.inside--
	if ag.draining && ag.inside == 0 {
		close(ag.empty)
	}
}

// Draining tells whether the agent refuses new calls.
func (ag *Agent) Draining() bool {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	return ag.draining
}

// Inside is the number of calls in progress.
func (ag *Agent) Inside() int {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	return ag.inside
}

// StopTaking makes the agent refuse new calls from now on. It may be called
// more than once.
func (ag *Agent) StopTaking() {
	ag.mu.Lock()
	defer ag.mu.Unlock()
	if ag.draining {
		return
	}
	ag.draining = true
	ag.empty = make(chan struct{})
	if ag.inside == 0 {
		close(ag.empty)
	}
}

// Drain refuses new calls and waits for those in progress, until ctx ends.
func (ag *Agent) Drain(ctx context.Context) error {
	ag.StopTaking()
	select {
	case <-ag.empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// outbox collects placements per home until they are sent.
type outbox struct {
	mu      sync.Mutex // guards pending
	pending map[core.VMID][]core.Placement
}

// maxPending bounds what waits for one home; beyond it the oldest go, which
// costs a prefill at most.
const maxPending = 256

func (ou *outbox) add(home core.VMID, pl core.Placement) {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	if ou.pending == nil {
		ou.pending = map[core.VMID][]core.Placement{}
	}
	list := append(ou.pending[home], pl)
	if len(list) > maxPending {
		list = list[1:]
	}
	ou.pending[home] = list
}

func (ou *outbox) take() map[core.VMID][]core.Placement {
	ou.mu.Lock()
	defer ou.mu.Unlock()
	taken := ou.pending
	ou.pending = nil
	return taken
}
