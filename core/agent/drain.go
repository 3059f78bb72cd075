package agent

import (
	"context"
	"sync"

	"almondrill/core"
)

// callTracker counts the calls in progress and can be closed to new ones. Both are guarded by one
// lock, so that wait never misses a call that was admitted.
type callTracker struct {
	mu     sync.Mutex // guards all below
	closed bool
	active int
	idle   chan struct{}
}

// begin admits a call unless the tracker is closed. A call whose idempotency key is known is no
// new work: it is admitted to a closed tracker while other calls are in progress.
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

// close stops admitting new calls. It may be called more than once.
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

// reopen admits new calls again.
func (ct *callTracker) reopen() {
	ct.mu.Lock()
	defer ct.mu.Unlock()
	ct.closed = false
}

// wait waits until a closed tracker has no calls in progress, or ctx ends.
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

// Draining reports whether the agent refuses new calls.
func (ag *Agent) Draining() bool {
	closed, _ := ag.calls.state()
	return closed
}

// InProgress returns the number of calls in progress.
func (ag *Agent) InProgress() int {
	_, active := ag.calls.state()
	return active
}

// StopAccepting makes the agent refuse new calls. It may be called more than once.
func (ag *Agent) StopAccepting() { ag.calls.close() }

// Pause refuses new calls for the endpoint and waits for those in progress, so that an order to
// load another model interrupts none. The agent's other endpoints are not affected.
func (sl *Slot) Pause(ctx context.Context) error {
	sl.calls.close()
	return sl.calls.wait(ctx)
}

// Resume admits calls again after Pause.
func (sl *Slot) Resume() { sl.calls.reopen() }

// Paused reports whether new calls for the endpoint are refused.
func (sl *Slot) Paused() bool {
	closed, _ := sl.calls.state()
	return closed
}

// Drain refuses new calls and waits for those in progress, until ctx ends.
func (ag *Agent) Drain(ctx context.Context) error {
	ag.StopAccepting()
	return ag.calls.wait(ctx)
}

// outbox holds placements, grouped by the chats' home, until they are sent.
type outbox struct {
	mu      sync.Mutex // guards pending
	pending map[core.VMID][]core.Placement
}

// maxPending is the maximum number of placements pending for one home. Beyond it the oldest is
// dropped, which costs at most one prefill.
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
