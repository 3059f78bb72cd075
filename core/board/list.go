package board

import (
	"context"
	"time"

	"almondrill/core"
)

// ListInterval is the time between a process's polls of the VM list.
const ListInterval = 2 * time.Second

// Lister polls the platform's list of VMs. Set the exported fields before Run.
type Lister struct {
	Board *Board
	List  core.VMList
	// Draining, if set, is called when the list first marks the own VM as draining or gone.
	Draining func()
	// Failed, if set, is called when a poll fails.
	Failed func(err error)

	cursor   uint64
	draining bool
}

// Run polls until ctx ends.
func (li *Lister) Run(ctx context.Context) error {
	for {
		if err := li.Poll(ctx); err != nil && li.Failed != nil && ctx.Err() == nil {
			li.Failed(err)
		}
		jitter := 0.75 + li.Board.Rand.Float64()/2
		if li.Board.Clock.Sleep(ctx, time.Duration(float64(ListInterval)*jitter)) != nil {
			return nil
		}
	}
}

// Poll reads the changes since the last poll once. The cursor advances only after the board has
// accepted the changes, so none is lost.
func (li *Lister) Poll(ctx context.Context) error {
	vms, cursor, err := li.List.Changes(ctx, li.cursor)
	if err != nil || len(vms) == 0 {
		return err
	}
	if err = li.Board.Deliver(ctx, VMsChanged{VMs: vms}); err != nil {
		return err
	}
	li.cursor = cursor
	for _, vm := range vms {
		if vm.ID == li.Board.Self.ID && vm.State != core.VMLive && !li.draining {
			li.draining = true
			if li.Draining != nil {
				li.Draining()
			}
		}
	}
	return nil
}
