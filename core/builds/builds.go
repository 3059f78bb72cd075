// Package builds tracks which software versions serve each pool, and at which of them streams began.
//
// # Concepts
//
// A build is a software version of a pool's endpoints. Several may serve side by side, and a stream
// that one began cannot be continued by another. A History holds the builds that a router has seen in
// each pool. While a pool has one build, all its streams began there. Otherwise the build of each stream
// is recorded, in the Origins of the router that forwards it and of some of its peers.
//
// A History ends with its router. The platform's store therefore has a record of each build, from its first
// endpoint until well after its last one, from which a router that starts learns of the builds before.
//
// Streams that began before a second build registered may be on record nowhere, if their router is gone. As
// all others are, a stream without a record began at the first build. See First.
//
// # Invariants
//
//   - A build counts for a pool until Retention after its last endpoint was removed: streams that broke
//     off there may be resumed until then.
//   - Origins hold at most MaxOrigins streams. The oldest are dropped first: their resumptions are
//     refused, and none continues at another build.
//   - A record is removed later than the build stops counting at any router that has seen an endpoint of it.
//
// # Usage
//
//	hi := &builds.History{}
//	hi.Register(now, id, pool, version)
//	if all := hi.Recent(now, pool); len(all) > 1 { origins.Begin(now, stream, build, ttl) }
package builds

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"almondrill/core"
	"almondrill/core/decl"
	"almondrill/core/ring"
)

// Retention is how long a build counts for its pool after its last endpoint was removed. An endpoint
// may serve for some seconds longer, and callers resume their streams within seconds.
const Retention = time.Minute

// Of returns the build of a pool's endpoints that run a version of their software.
func Of(pool core.PoolID, version core.SoftwareVersion) core.Build {
	// 0 and the highest value mark an unknown build.
	return 1 + core.Build(ring.Mix(decl.HashName(string(pool)), decl.HashName(string(version)))%(1<<32-2))
}

// OfProcess returns a build that stands for the unknown version of a process, which has taken the place of the endpoint
// with that hash and has not registered yet. No history knows it.
func OfProcess(endpoint uint64) core.Build {
	return 1 + core.Build(ring.Mix(endpoint, decl.HashName("process"))%(1<<32-2))
}

// History holds the builds that have served each pool. The zero value is ready for use.
type History struct {
	mu        sync.Mutex // guards all below
	began     time.Time  // when the first endpoint registered
	endpoints map[core.EndpointID]core.Build
	builds    map[core.Build]*served
	changes   uint64
	// listed is set once all endpoints and records of the store are known, and no restore may have taken one. first
	// holds the build of each pool that was the only one until another began to serve, where that is known.
	listed bool
	first  map[core.PoolID]firstBuild
	// uncertainSince is when an endpoint of each pool was last found to run an unknown version.
	uncertainSince map[core.PoolID]time.Time
}

// firstBuild is the only build of a pool until another one began to serve it.
type firstBuild struct {
	build core.Build
	until time.Time
}

// recordRetention is how long the record of a build is kept in the store after its last endpoint was
// removed: a router that still counts the build may have seen that later.
const recordRetention = 2 * Retention

// served is what is known of a build.
type served struct {
	pool    core.PoolID
	version core.SoftwareVersion
	// endpoints counts those registered. goneAt is when the last one was removed, or, if this router has
	// seen none, when it read the record.
	endpoints int
	goneAt    time.Time
	seen      bool
	recorded  core.Version // of the record in the store, 0 if there is none
}

// Register records that an endpoint is registered with a version of its software.
func (hi *History) Register(now time.Time, id core.EndpointID, pool core.PoolID, version core.SoftwareVersion) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	if hi.endpoints == nil {
		hi.began, hi.endpoints = now, map[core.EndpointID]core.Build{}
	}
	build := Of(pool, version)
	if hi.endpoints[id] == build {
		return
	}
	hi.remove(now, id)
	se := hi.builds[build]
	if se != nil && !se.recent(now) {
		hi.recordChange(now, pool)
	}
	se = hi.ensure(now, build, pool, version)
	hi.endpoints[id] = build
	se.endpoints++
	se.seen = true
}

// ensure returns what is known of a build, which is made if nothing is.
func (hi *History) ensure(now time.Time, build core.Build, pool core.PoolID, version core.SoftwareVersion) *served {
	if hi.builds == nil {
		hi.builds = map[core.Build]*served{}
	}
	if hi.builds[build] == nil {
		hi.dropForgotten(now)
		hi.recordChange(now, pool)
		hi.builds[build] = &served{pool: pool, version: version, goneAt: now}
	}
	return hi.builds[build]
}

// recordChange records that another build is about to count for the pool.
func (hi *History) recordChange(now time.Time, pool core.PoolID) {
	hi.changes++
	before := hi.recent(now, pool)
	switch {
	case !hi.listed || len(before) == 0:
		delete(hi.first, pool)
	case len(before) == 1:
		if hi.first == nil {
			hi.first = map[core.PoolID]firstBuild{}
		}
		hi.first[pool] = firstBuild{before[0], now}
	}
}

// MarkListed records that all endpoints and records of the store are known, and that a build that has served
// recently is among them.
func (hi *History) MarkListed() {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	hi.listed = true
}

// Listed reports whether MarkListed was called.
func (hi *History) Listed() bool {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	return hi.listed
}

// First returns the only build of the pool, or the one that was the only one until others registered: streams that
// began then are not on record at the owners. It returns 0 if this router does not know it, and once such a stream
// cannot be resumed any more.
func (hi *History) First(now time.Time, pool core.PoolID) core.Build {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	recent := hi.recent(now, pool)
	fi, known := hi.first[pool]
	switch {
	case !hi.listed:
		return 0
	case len(recent) == 1:
		return recent[0]
	case known && now.Sub(fi.until) < Retention && slices.Contains(recent, fi.build):
		return fi.build
	}
	return 0
}

// RecordStored applies the record of a build in the store.
func (hi *History) RecordStored(now time.Time, br core.BuildRecord) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	hi.ensure(now, br.Build, br.Pool, br.Version).recorded = br.Rev
}

// RecordRemoved applies the removal of a build's record, as of a version of the store.
func (hi *History) RecordRemoved(build core.Build, rev core.Version) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	se := hi.builds[build]
	if se == nil || se.recorded > rev {
		return
	}
	if se.recorded = 0; !se.seen {
		delete(hi.builds, build)
	}
}

// Unrecorded returns the builds that count and have no record in the store, among those of which this router
// has seen endpoints.
func (hi *History) Unrecorded(now time.Time) []core.BuildRecord {
	return hi.records(func(se *served) bool { return se.recorded == 0 && se.seen && se.recent(now) })
}

// Obsolete returns the builds whose records are not needed any more.
func (hi *History) Obsolete(now time.Time) []core.BuildRecord {
	return hi.records(func(se *served) bool {
		return se.recorded != 0 && se.endpoints == 0 && now.Sub(se.goneAt) >= recordRetention
	})
}

// records returns the records of the builds that accept, in ascending order.
func (hi *History) records(accept func(se *served) bool) []core.BuildRecord {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	var all []core.BuildRecord
	for build, se := range hi.builds {
		if accept(se) {
			all = append(all, core.BuildRecord{Build: build, Pool: se.pool, Version: se.version, Rev: se.recorded})
		}
	}
	slices.SortFunc(all, func(a, b core.BuildRecord) int { return cmp.Compare(a.Build, b.Build) })
	return all
}

// Remove records that an endpoint is not registered any more.
func (hi *History) Remove(now time.Time, id core.EndpointID) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	hi.remove(now, id)
}

func (hi *History) remove(now time.Time, id core.EndpointID) {
	if se := hi.builds[hi.endpoints[id]]; se != nil {
		if se.endpoints--; se.endpoints == 0 {
			se.goneAt = now
		}
	}
	delete(hi.endpoints, id)
}

func (hi *History) dropForgotten(now time.Time) {
	for build, se := range hi.builds {
		if !se.recent(now) && se.recorded == 0 {
			delete(hi.builds, build)
		}
	}
}

func (se *served) recent(now time.Time) bool {
	return se.endpoints > 0 || now.Sub(se.goneAt) < Retention
}

// Recent returns the builds that serve the pools, or have until recently, in ascending order.
func (hi *History) Recent(now time.Time, pools ...core.PoolID) []core.Build {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	return hi.recent(now, pools...)
}

func (hi *History) recent(now time.Time, pools ...core.PoolID) []core.Build {
	var all []core.Build
	for build, se := range hi.builds {
		if se.recent(now) && slices.Contains(pools, se.pool) {
			all = append(all, build)
		}
	}
	slices.Sort(all)
	return all
}

// PoolOf returns the pool of a build, "" if the build is unknown.
func (hi *History) PoolOf(build core.Build) core.PoolID {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	if se := hi.builds[build]; se != nil {
		return se.pool
	}
	return ""
}

// Others reports whether another build than this one serves its pool, or has until recently.
func (hi *History) Others(now time.Time, build core.Build) bool {
	pool := hi.PoolOf(build)
	return pool != "" && len(hi.Recent(now, pool)) > 1
}

// MarkUncertain records that an endpoint of the pool may run a version that it has not registered. Streams that
// begin there are on record under OfProcess.
func (hi *History) MarkUncertain(now time.Time, pool core.PoolID) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	if hi.uncertainSince == nil {
		hi.uncertainSince = map[core.PoolID]time.Time{}
	}
	hi.uncertainSince[pool] = now
}

// Uncertain reports whether a stream of the pools may have begun at a version that was not registered.
func (hi *History) Uncertain(now time.Time, pools ...core.PoolID) bool {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	return slices.ContainsFunc(pools, func(pool core.PoolID) bool {
		since, was := hi.uncertainSince[pool]
		return was && now.Sub(since) < Retention
	})
}

// Several reports whether any pool has several builds.
func (hi *History) Several(now time.Time) bool {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	pools := map[core.PoolID]bool{}
	for _, se := range hi.builds {
		if se.recent(now) && pools[se.pool] {
			return true
		}
		pools[se.pool] = pools[se.pool] || se.recent(now)
	}
	return false
}

// Complete reports whether the history is long enough to contain each build that may have begun a
// stream that is resumed now.
func (hi *History) Complete(now time.Time) bool {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	return !hi.began.IsZero() && now.Sub(hi.began) >= Retention
}

// Changes counts the builds that began to serve a pool.
func (hi *History) Changes() uint64 {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	return hi.changes
}
