package board

import (
	"context"
	"time"

	"almondrill/core"
)

// ListInterval is the pace at which a process asks for changes of the VM list.
const ListInterval = 2 * time.Second

// Lister follows the platform's list. Set the exported fields before Run.
type Lister struct {
	Board *Board
	List  core.VMList
	// Leaving, if set, is called when the list first marks the own VM as leaving.
	Draining func()
	// Failed, if set, is told of a poll that failed.
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

// Poll asks once for what changed. The mark only advances when the board has
// taken the changes, so none is lost.
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
