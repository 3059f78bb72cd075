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
// A run leaves a slow engine only if it would miss its deadline there, or pause for longer than its
// goal, and neither at an engine of the usual speed. It leaves an engine that shuts down only if it
// is expected to last for longer than the engine serves.
//
// # Invariants
//
//   - One router has at most two migrations from an engine at a time, two to an engine and four in
//     total.
//   - A run is migrated at most twice. After a failed attempt it stays for two seconds, and is not
//     sent to the same target again. After three it stays for good.
//   - A run that ends within a second where it is, or whose deadline is within half a second, stays.
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
	"cmp"
	"slices"
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
	// Left is the expected time until the end of the stream at the usual speed, 0 if unknown: the
	// stream is then not migrated.
	Left time.Duration
	// Deadline is when the whole answer has to be there, zero if unknown.
	Deadline time.Time
	// GapGoal is the target for the longest pause between events, 0 if there is none, EventGap the
	// recent time between them, 0 if unknown.
	GapGoal, EventGap time.Duration
}

// Source is what is known about the engine that a run is on.
type Source struct {
	// Slowness is the factor by which the engine has been slower than usual for some time: 1 is the
	// usual speed, 0 unknown. Factors below 1.25 count as the usual speed.
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

	mu sync.Mutex // guards the fields below
	// runs are the listed streams, moves the migrations that have begun, by the ID of the stream.
	runs   map[uint64]*listedRun
	moves  map[uint64]*move
	counts map[Reason]*Counts
}

// listedRun is a listed stream with its history.
type listedRun struct {
	Run
	// slowSince is since when each call of Due found that the stream should leave a slow engine.
	slowSince time.Time
	// moved is how often the stream was migrated. It is not migrated before notBefore, and never to
	// the failed targets.
	moved     int
	notBefore time.Time
	failed    []core.EndpointID
}

// move is a migration that has begun.
type move struct {
	run    Run
	reason Reason
	target core.EndpointID // "" before Reserve
	since  time.Time
}

const (
	// maxMovesFrom and maxMovesTo bound the concurrent migrations of one router from an engine and
	// to one, maxMoves those of one router. A copy takes bandwidth of the engines, and the peers of
	// the router have as many.
	maxMovesFrom, maxMovesTo, maxMoves = 2, 2, 4
	// maxMovesPerRun is how often a stream is migrated, and maxFailuresPerRun after how many failed
	// attempts it stays: each time, it may pause.
	maxMovesPerRun, maxFailuresPerRun = 2, 3
	// failedPause is how long a stream is not migrated after a failed attempt, noTargetPause after
	// no target was found. Nothing was copied then, and a target may be free within the time in which
	// some calls end.
	failedPause, noTargetPause = 2 * time.Second, 500 * time.Millisecond
	// confirmTime is for how long a stream must have lost by staying at a slow engine before it is
	// migrated, so that one wrong figure moves nothing.
	confirmTime = 150 * time.Millisecond
)

// init makes the maps of a Planner that has not been used. The lock must be held.
func (pl *Planner) init() {
	if pl.runs == nil {
		pl.runs, pl.moves, pl.counts = map[uint64]*listedRun{}, map[uint64]*move{}, map[Reason]*Counts{}
	}
}

// countsOf returns the counts of migrations for a reason. The lock must be held.
func (pl *Planner) countsOf(re Reason) *Counts {
	co := pl.counts[re]
	if co == nil {
		co = &Counts{}
		pl.counts[re] = co
	}
	return co
}

// Add lists a stream that has begun. A stream with the ID of a listed one replaces it and its history.
func (pl *Planner) Add(_ time.Time, run Run) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.init()
	pl.runs[run.ID] = &listedRun{Run: run}
}

// Update replaces what is known of a listed stream, also where it runs: after Done with ok, the run
// must have the target as its Endpoint. Streams that are not listed are ignored.
func (pl *Planner) Update(_ time.Time, run Run) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	lr := pl.runs[run.ID]
	if lr == nil {
		return
	}
	if lr.Endpoint != run.Endpoint {
		lr.slowSince = time.Time{}
	}
	lr.Run = run
}

// Remove removes a stream that has ended. A migration of it counts until Done.
func (pl *Planner) Remove(_ time.Time, id uint64) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	delete(pl.runs, id)
}

// Due returns the streams to migrate now, most urgent first. Each counts as begun until Done is
// called.
func (pl *Planner) Due(now time.Time) []Plan {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	from := map[core.EndpointID]int{}
	for _, mo := range pl.moves {
		from[mo.run.Endpoint]++
	}
	var plans []Plan
	for _, ca := range pl.candidates(now) {
		if len(pl.moves) >= maxMoves {
			break
		}
		run := ca.lr.Run
		if from[run.Endpoint] >= maxMovesFrom {
			continue
		}
		from[run.Endpoint]++
		pl.moves[run.ID] = &move{run: run, reason: ca.reason, since: now}
		pl.countsOf(ca.reason).Begun++
		plans = append(plans, Plan{Run: run, Reason: ca.reason, Basis: ca.basis(now)})
	}
	return plans
}

// candidates returns the streams that should be migrated, most urgent first, whatever the limits.
func (pl *Planner) candidates(now time.Time) []candidate {
	sources := map[core.EndpointID]Source{}
	var list []candidate
	for id, lr := range pl.runs {
		if pl.moves[id] != nil || lr.moved >= maxMovesPerRun || len(lr.failed) >= maxFailuresPerRun {
			continue
		}
		src, known := sources[lr.Endpoint]
		if !known {
			src = pl.Source(now, lr.Endpoint)
			sources[lr.Endpoint] = src
		}
		ca, due := assess(now, lr, src, pl.DrainTime)
		if !due || ca.reason != Slow {
			lr.slowSince = time.Time{}
		} else if lr.slowSince.IsZero() {
			lr.slowSince = now
		}
		if due && !now.Before(lr.notBefore) && (ca.reason != Slow || now.Sub(lr.slowSince) >= confirmTime) {
			list = append(list, ca)
		}
	}
	slices.SortFunc(list, compareUrgency)
	return list
}

// Excluded returns the engines that must not be the target of a stream's migration: its own, those
// to which it could not be migrated, and those that receive as many copies as they may.
func (pl *Planner) Excluded(_ time.Time, id uint64) []core.EndpointID {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.excluded(id)
}

// excluded is Excluded for callers that hold the lock.
func (pl *Planner) excluded(id uint64) []core.EndpointID {
	var list []core.EndpointID
	if mo := pl.moves[id]; mo != nil {
		list = append(list, mo.run.Endpoint)
	}
	if lr := pl.runs[id]; lr != nil {
		list = append(list, lr.failed...)
	}
	to := map[core.EndpointID]int{}
	for other, mo := range pl.moves {
		if other == id || mo.target == "" {
			continue
		}
		if to[mo.target]++; to[mo.target] == maxMovesTo {
			list = append(list, mo.target)
		}
	}
	return list
}

// Reserve records the target of a migration that has begun, before the copy. It returns false if the
// engine is one of those excluded, or if no migration of the stream has begun.
func (pl *Planner) Reserve(_ time.Time, id uint64, target core.EndpointID) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	mo := pl.moves[id]
	if mo == nil || slices.Contains(pl.excluded(id), target) {
		return false
	}
	mo.target = target
	return true
}

// Done records how a migration ended. The target is "" if there was none, in which case the
// migration does not count as an attempt unless Reserve has recorded one. A stream that was migrated
// is listed at its target, which must be given or reserved. Calls for a stream without a migration are
// ignored.
func (pl *Planner) Done(now time.Time, id uint64, target core.EndpointID, ok bool) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	mo := pl.moves[id]
	if mo == nil {
		return
	}
	delete(pl.moves, id)
	if target == "" {
		target = mo.target
	}
	co, lr := pl.countsOf(mo.reason), pl.runs[id]
	if lr == nil {
		lr = &listedRun{} // the stream has ended
	}
	lr.slowSince = time.Time{}
	switch {
	case ok:
		co.Done++
		lr.moved++
		lr.Endpoint, lr.EventGap = target, 0
	case target == "":
		co.NoTarget++
		lr.notBefore = now.Add(noTargetPause)
	default:
		co.Failed++
		lr.notBefore = now.Add(failedPause)
		lr.failed = append(lr.failed, target)
	}
}

// Counts are numbers of migrations since the start.
type Counts struct {
	// Begun were planned, Done succeeded, Failed did not, and NoTarget found no engine to go to.
	Begun, Done, Failed, NoTarget uint64
}

// Move is a migration in progress, for operators.
type Move struct {
	ID     uint64
	Reason Reason
	// Target is "" until it is reserved.
	Source, Target core.EndpointID
	Since          time.Time
}

// Snapshot is the state of a Planner, for operators.
type Snapshot struct {
	// Runs is the number of streams listed, Running the number of migrations in progress.
	Runs, Running int
	// Moves lists the migrations in progress by the IDs of their streams.
	Moves    []Move
	ByReason map[Reason]Counts
}

// Snapshot returns the current state.
func (pl *Planner) Snapshot(_ time.Time) Snapshot {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	sn := Snapshot{Runs: len(pl.runs), Running: len(pl.moves), ByReason: map[Reason]Counts{}}
	for id, mo := range pl.moves {
		sn.Moves = append(sn.Moves, Move{ID: id, Reason: mo.reason, Source: mo.run.Endpoint, Target: mo.target, Since: mo.since})
	}
	slices.SortFunc(sn.Moves, func(a, b Move) int { return cmp.Compare(a.ID, b.ID) })
	for re, co := range pl.counts {
		sn.ByReason[re] = *co
	}
	return sn
}
