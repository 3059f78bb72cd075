package entry

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/io/logs"
)

const (
	// storeStreamsInterval is how often the streams that have begun since are written to the store: a stream of
	// that age survives the loss of all routers.
	storeStreamsInterval = time.Second
	// streamSlots is how many batches of a router the store has at a time. They cover the time for which streams
	// are needed, twice the longest timeout of usual routes.
	streamSlots = 32
)

// storeStreams writes batches of streams to the store until ctx ends.
func (pr *Process) storeStreams(ctx context.Context) error {
	tick := time.NewTicker(storeStreamsInterval)
	defer tick.Stop()
	// The batches of an earlier process of this router stay, until their leases end.
	writer, slot := core.VMID(fmt.Sprintf("%s-%x", pr.Settings.Name, pr.rand.Uint64())), 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		batch := pr.peers.TakeUnstored()
		if len(batch.Streams) == 0 {
			continue
		}
		slot = (slot + 1) % streamSlots
		calling, cancel := context.WithTimeout(ctx, recordTimeout)
		if err := pr.Platform.PutStreams(calling, writer, slot, batch); err != nil && ctx.Err() == nil {
			pr.peers.ReturnUnstored(batch)
			pr.log.Warn("Writing streams to the store failed.", append(logs.ErrorFields(err), zap.Int("Streams", len(batch.Streams)))...)
		}
		cancel()
	}
}
