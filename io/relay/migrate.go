package relay

import (
	"context"
	"sync"
	"time"

	"almondrill/core"
	"almondrill/core/migr"
	"almondrill/core/route"
)

// Planner decides which running streams continue at another engine. *migr.Planner implements it.
type Planner interface {
	Add(now time.Time, run migr.Run)
	Update(now time.Time, run migr.Run)
	Remove(now time.Time, id uint64)
	Due(now time.Time) []migr.Plan
	Excluded(now time.Time, id uint64) []core.EndpointID
	Reserve(now time.Time, id uint64, target core.EndpointID) bool
	Done(now time.Time, id uint64, target core.EndpointID, ok bool)
	Snapshot(now time.Time) migr.Snapshot
}

var _ Planner = (*migr.Planner)(nil)

// migrations holds the running streams that may migrate.
type migrations struct {
	mu sync.Mutex // guards all below
	// planner is nil until a configuration has a pool whose engines copy running streams.
	planner Planner
	lastID  uint64
	streams map[uint64]*runningStream
}

// planInterval is how often the planner is asked for migrations: a few times within the time by which
// a stream may pause.
const planInterval = 50 * time.Millisecond

// preparePlanner creates the planner if engines of a pool copy running streams.
func (re *Relay) preparePlanner(ta *route.Table) {
	if re.NewPlanner == nil || re.Dialect.Copies == nil {
		return
	}
	ms := &re.migrations
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, po := range ta.Pools() {
		if ms.planner == nil && po.Engine && po.Moves {
			ms.planner, ms.streams = re.NewPlanner(), map[uint64]*runningStream{}
		}
	}
}

// currentPlanner returns the planner, nil if there is none.
func (ms *migrations) currentPlanner() Planner {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.planner
}

// RunMigrations begins migrations when they are due, until ctx ends.
func (re *Relay) RunMigrations(ctx context.Context) error {
	tick := time.NewTicker(planInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			re.beginMigrations()
		}
	}
}

// beginMigrations begins the migrations that are due. A router that shuts down begins none: its
// streams would end while they are copied.
func (re *Relay) beginMigrations() {
	planner := re.migrations.currentPlanner()
	if planner == nil || re.ShuttingDown() {
		return
	}
	for _, plan := range planner.Due(time.Now()) {
		re.migrations.mu.Lock()
		ru := re.migrations.streams[plan.Run.ID]
		re.migrations.mu.Unlock()
		if ru == nil || !ru.begin(plan) {
			planner.Done(time.Now(), plan.Run.ID, "", false)
		}
	}
}

// add assigns an id to a stream and lists it.
func (ms *migrations) add(ru *runningStream) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.lastID++
	ru.id = ms.lastID
	ms.streams[ru.id] = ru
}

func (ms *migrations) remove(ru *runningStream) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	delete(ms.streams, ru.id)
}
