package agent

import (
	"context"
	"sync"

	"almondrill/core"
)

// callTracker counts the calls inside and can be shut. Both happen under one lock: a
// call that Wait does not wait for is always one that was kept out.
type callTracker struct {
	mu     sync.Mutex // guards all below
	closed bool
	active int
	idle   chan struct{}
}

// begin lets a call in unless the door is shut. A call that is known is no new
// work and is let in while others are inside.
func (ct *callTracker) begin(known bool) bool {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if ct.closed && !(known && ct.active > 0) {
		return false
	}
	ct.active++
	return true
}

func (ct *callTracker) end() {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.active--
	if ct.closed && ct.active == 0 {
		close(ct.idle)
	}
}

// close keeps new calls out; it may be called more than once.
func (ct *callTracker) close() {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	if ct.closed {
		return
	}
	ct.closed = true
	ct.idle = make(chan struct{})
	if ct.active == 0 {
		close(ct.idle)
	}
}

// reopen lets calls in again.
func (ct *callTracker) reopen() {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.closed = false
}

// wait waits until nobody is inside a door that is shut, or ctx ends.
func (ct *callTracker) wait(ctx context.Context) error {
	ct.mu.Lock()
	idle := ct.idle
	ct.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (ct *callTracker) state() (closed bool, active int) {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	return ct.closed, ct.active
}

// Draining tells whether the agent refuses new calls.
func (ag *Agent) Draining() bool {
	closed, _ := ag.calls.state()
	return closed
}

// InProgress is the number of calls in progress.
func (ag *Agent) InProgress() int {
	_, active := ag.calls.state()
	return active
}

// StopAccepting makes the agent refuse new calls from now on. It may be called
// more than once.
func (ag *Agent) StopAccepting() { ag.calls.close() }

// Pause keeps new calls from the endpoint and waits for those in progress, so that
// an order to load another model cuts off none. The agent's others go on.
func (sl *Slot) Pause(ctx context.Context) error {
	sl.calls.close()
	return sl.calls.wait(ctx)
}

// Resume lets calls come again after Hold.
func (sl *Slot) Resume() { sl.calls.reopen() }

// Paused tells whether the endpoint is kept from new calls.
func (sl *Slot) Paused() bool {
	closed, _ := sl.calls.state()
	return closed
}

// Drain refuses new calls and waits for those in progress, until ctx ends.
func (ag *Agent) Drain(ctx context.Context) error {
	ag.StopAccepting()
	return ag.calls.wait(ctx)
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
