// Package vmlist is a small fake of the platform's list of VMs, which lags behind changes.
//
// # Concepts
//
// Changes returns a change made with Set only after Lag. io/vmnet serves a List over HTTP.
//
// # Usage
//
//	li := &vmlist.List{Clock: clock, Lag: 2 * time.Second}
//	li.Set(core.VM{ID: "agent-1", State: core.VMDraining})
package vmlist

import (
	"context"
	"sync"
	"time"

	"almondrill/core"
)

// List is the fake list. Set the exported fields before use.
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

// Changes returns the changes after mark that are older than Lag, and the mark to continue from.
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
