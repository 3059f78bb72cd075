package deny

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/crash"
	"almondrill/io/logs"
)

const (
	// runSlots is how many batches of runs a router has in the store.
	runSlots = 16
	// minRunInterval is the least time between two batches of a router, and fleetRunsPerSecond how many of them all
	// routers write together.
	minRunInterval     = 400 * time.Millisecond
	fleetRunsPerSecond = 100
)

// addRuns adds runs that are to be written to the store. Where there are too many, the oldest are left out, those of parts
// first.
func (tr *Tracker) addRuns(runs ...core.SuspectRun) {
	if tr.Runs == nil || len(runs) == 0 {
		return
	}
	tr.mu.Lock()
	tr.runs = append(tr.runs, runs...)
	excess := len(tr.runs) - crash.MaxRuns
	tr.runs = slices.DeleteFunc(tr.runs, func(run core.SuspectRun) bool {
		if excess <= 0 || !crash.IsPart(run.Request) {
			return false
		}
		excess--
		return true
	})
	tr.runs = tr.runs[max(0, len(tr.runs)-crash.MaxRuns):]
	tr.mu.Unlock()
	tr.wake()
}

// Sending records that the request is about to be sent to an endpoint.
func (tr *Tracker) Sending(en core.EndpointRef, request core.Fingerprint) {
	if run, suspect := tr.table.Sent(time.Now(), en.Hash, request); suspect {
		tr.addRuns(run)
	}
}

// storeRuns writes the runs that wait, unless the last ones were written just before.
func (tr *Tracker) storeRuns(ctx context.Context) {
	if tr.Runs == nil {
		return
	}
	now := time.Now()
	if now.Sub(tr.runsStored) < max(minRunInterval, time.Duration(tr.Routers())*time.Second/fleetRunsPerSecond) {
		return // the next tick writes them
	}
	tr.mu.Lock()
	tr.runs = slices.DeleteFunc(tr.runs, func(run core.SuspectRun) bool { return !tr.table.Suspected(run) })
	runs := slices.Clone(tr.runs)
	tr.mu.Unlock()
	if len(runs) == 0 {
		return
	}
	tr.runsStored = now
	tr.runSlot = (tr.runSlot + 1) % runSlots
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := tr.Runs.PutSuspectRuns(ctx, tr.Writer, tr.runSlot, runs); err != nil {
		tr.Log.Warn("Writing runs of suspects failed.", append(logs.ErrorFields(err), zap.Int("Runs", len(runs)))...)
		return // they are written with the next ones
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.runs = slices.DeleteFunc(tr.runs, func(run core.SuspectRun) bool { return slices.Contains(runs, run) })
}

// RunsStored applies runs in the store. initial is set while this router reads the store for the first time.
func (tr *Tracker) RunsStored(runs []core.SuspectRun, initial bool) {
	now := time.Now()
	for _, run := range runs {
		tr.apply(now, tr.table.RunStored(now, run, initial))
	}
}

// resolveRuns counts the crashes of endpoints that are gone since suspects were sent to them.
func (tr *Tracker) resolveRuns() {
	if tr.Runs != nil {
		now := time.Now()
		tr.apply(now, tr.table.ResolveRuns(now, tr.Known))
	}
}
