// Package migr decides which running streams of a router continue on another engine.
//
// # Concepts
//
// A run is a stream that a model engine produces. An engine may become slower than usual, or shut
// down, while runs are in progress there. The memory of a run, which is that of its prompt and of
// what was produced, can be copied to another engine, and the run continued there.
//
// A Planner lists the runs of one router and returns those that should be migrated now, those that
// lose most by staying first. It is the router that carries a stream that decides, so that at most
// one router decides for each run. The target of a migration is picked and counted by core/place.
//
// # Usage
//
//	pl := &migr.Planner{Source: placer.MigrationSource, DrainTime: 3 * time.Second}
//	pl.Add(now, migr.Run{ID: id, Endpoint: endpoint, ...})
//	pl.Update(now, run) // at its events, or several times per second
//	for _, plan := range pl.Due(now) { // several times per second
//		rq.Tried = pl.Excluded(now, plan.Run.ID) // pick a target with place.Request.MigrateFrom
//		if !pl.Reserve(now, plan.Run.ID, target) { ... } // another copy to it has begun: pick again
//		pl.Done(now, plan.Run.ID, target, ok) // "" as target if there was none
//	}
//	pl.Remove(now, id)
package migr

import (
	"sync"
	"time"

	"almondrill/core"
)

// Reason is why a run is migrated.
type Reason string

// Reasons of migrations.
const (
	Slow     Reason = "Slow"
	Draining Reason = "Draining"
)

// Run is a running stream, as its router sees it.
type Run struct {
	// ID is unique in this router.
	ID uint64
	// Endpoint is where the stream runs, Memory the tokens of its prompt and output so far.
	Endpoint core.EndpointID
	Memory   core.Tokens
	// Left is the expected time until the end of the stream at the usual speed.
	Left time.Duration
	// Deadline is when the whole answer has to be there, zero if unknown.
	Deadline time.Time
	// GapGoal is the target for the longest pause between events, 0 if there is none, EventGap the
	// recent time between them, 0 if unknown.
	GapGoal, EventGap time.Duration
}

// Source is what is known about the engine that a run is on.
type Source struct {
	// Slowness is the factor by which the engine has been slower than usual for some time.
	Slowness float64
	// DrainingSince is when its shutdown became known, zero if it is not shutting down.
	DrainingSince time.Time
}

// Plan is a migration to begin now.
type Plan struct {
	Run    Run
	Reason Reason
	// Basis lists the figures of the decision, for logs.
	Basis string
}

// Planner decides for one router. Set the exported fields before use. Safe for concurrent use.
type Planner struct {
	// Source returns what is known about an engine. It must not call the Planner.
	Source func(now time.Time, id core.EndpointID) Source
	// DrainTime is how long engines serve at least after they announced their shutdown, without the
	// additional time that all of them serve.
	DrainTime time.Duration

	mu   sync.Mutex // guards the fields below
	runs map[uint64]Run
}

// Add lists a stream that has begun.
func (pl *Planner) Add(now time.Time, run Run) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.runs == nil {
		pl.runs = map[uint64]Run{}
	}
	pl.runs[run.ID] = run
}

// Update replaces what is known of a listed stream.
func (pl *Planner) Update(now time.Time, run Run) {}

// Remove removes a stream that has ended. A migration of it counts until Done.
func (pl *Planner) Remove(now time.Time, id uint64) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	delete(pl.runs, id)
}

// Due returns the streams to migrate now, most urgent first. Each counts as begun until Done is
// called.
func (pl *Planner) Due(now time.Time) []Plan { return nil }

// Excluded returns the engines that must not be the target of a stream's migration: its own, those
// to which it could not be migrated, and those that receive as many copies as they may.
func (pl *Planner) Excluded(now time.Time, id uint64) []core.EndpointID { return nil }

// Reserve records the target of a migration that has begun, before the copy. It returns false if the
// engine is one of those excluded.
func (pl *Planner) Reserve(now time.Time, id uint64, target core.EndpointID) bool { return true }

// Done records how a migration ended. The target is "" if there was none, in which case the
// migration does not count as an attempt. A stream that was migrated is listed at its target.
func (pl *Planner) Done(now time.Time, id uint64, target core.EndpointID, ok bool) {}

// Counts are numbers of migrations since the start.
type Counts struct {
	// Begun were planned, Done succeeded, Failed did not, and NoTarget found no engine to go to.
	Begun, Done, Failed, NoTarget uint64
}

// Snapshot is the state of a Planner, for operators.
type Snapshot struct {
	// Runs is the number of streams listed, Running the number of migrations in progress.
	Runs, Running int
	ByReason      map[Reason]Counts
}

// Snapshot returns the current state.
func (pl *Planner) Snapshot(now time.Time) Snapshot { return Snapshot{} }
