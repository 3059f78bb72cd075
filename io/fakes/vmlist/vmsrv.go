// Package vmlist is a small stand-in for the platform's lagging list of VMs.
//
// # Concepts
//
// A change made with Set is seen by Changes only after Lag. io/vmnet serves a
// List over HTTP.
//
// # Usage
//
//	li := &vmsrv.List{Clock: clock, Lag: 2 * time.Second}
//	li.Set(core.VM{ID: "agent-1", State: core.VMLeaving})
package vmlist

import (
	"context"
	"sync"
	"time"

	"almondrill/core"
)

// List is the platform's list. Set the exported fields before use.
type List struct {
	Clock core.Clock
	Lag   time.Duration

	mu      sync.Mutex // guards changes
	changes []change
}

type change struct {
	vm core.VM
	at time.Time
}

var _ core.VMList = (*List)(nil)

// Set adds a VM or changes its state.
func (li *List) Set(vms ...core.VM) {
	li.mu.Lock()
	defer li.mu.Unlock()
	for _, vm := range vms {
		li.changes = append(li.changes, change{vm, li.Clock.Now()})
	}
}

// Changes returns what has become visible after mark.
func (li *List) Changes(_ context.Context, mark uint64) ([]core.VM, uint64, error) {
	li.mu.Lock()
	defer li.mu.Unlock()
	visibleUntil := li.Clock.Now().Add(-li.Lag)
	var vms []core.VM
	for mark < uint64(len(li.changes)) && !li.changes[mark].at.After(visibleUntil) {
		vms = append(vms, li.changes[mark].vm)
		mark++
	}
	return vms, mark, nil
}
