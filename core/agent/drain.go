package agent

import (
	"context"
	"sync"

	"almondrill/core"
)

// door counts the calls inside and can be shut. Both happen under one lock: a
// call that Wait does not wait for is always one that was kept out.
type door struct {
	mu     sync.Mutex // guards all below
	shut   bool
	inside int
	empty  chan struct{}
}

// enter lets a call in unless the door is shut. A call that is known is no new
// work and is let in while others are inside.
func (do *door) enter(known bool) bool {
	do.mu.Lock()
	defer do.mu.Unlock()
	if do.shut && !(known && do.inside > 0) {
		return false
	}
	do.inside++
	return true
}

func (do *door) leave() {
	do.mu.Lock()
	defer do.mu.Unlock()
	do.inside--
	if do.shut && do.inside == 0 {
		close(do.empty)
	}
}

// close keeps new calls out; it may be called more than once.
func (do *door) close() {
	do.mu.Lock()
	defer do.mu.Unlock()
	if do.shut {
		return
	}
	do.shut = true
	do.empty = make(chan struct{})
	if do.inside == 0 {
		close(do.empty)
	}
}

// open lets calls in again.
func (do *door) open() {
	do.mu.Lock()
	defer do.mu.Unlock()
	do.shut = false
}

// wait waits until nobody is inside a door that is shut, or ctx ends.
func (do *door) wait(ctx context.Context) error {
	do.mu.Lock()
	empty := do.empty
	do.mu.Unlock()
	select {
	case <-empty:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (do *door) state() (shut bool, inside int) {
	do.mu.Lock()
	defer do.mu.Unlock()
	return do.shut, do.inside
}

// Draining tells whether the agent refuses new calls.
func (ag *Agent) Draining() bool {
	shut, _ := ag.door.state()
	return shut
}

// Inside is the number of calls in progress.
func (ag *Agent) Inside() int {
	_, inside := ag.door.state()
	return inside
}

// StopTaking makes the agent refuse new calls from now on. It may be called
// more than once.
func (ag *Agent) StopTaking() { ag.door.close() }

// Hold keeps new calls from the endpoint and waits for those in progress, so that
// an order to load another model cuts off none. The agent's others go on.
func (sl *Slot) Hold(ctx context.Context) error {
	sl.door.close()
	return sl.door.wait(ctx)
}

// Release lets calls come again after Hold.
func (sl *Slot) Release() { sl.door.open() }

// Held tells whether the endpoint is kept from new calls.
func (sl *Slot) Held() bool {
	shut, _ := sl.door.state()
	return shut
}

// Drain refuses new calls and waits for those in progress, until ctx ends.
func (ag *Agent) Drain(ctx context.Context) error {
	ag.StopTaking()
	return ag.door.wait(ctx)
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
