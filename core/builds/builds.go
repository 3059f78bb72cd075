// Package builds tracks which software versions serve each pool, and at which of them streams began.
//
// # Concepts
//
// A build is a software version of a pool's endpoints. Several may serve side by side, and a stream
// that one began cannot be continued by another. A History holds the builds that a router has seen in
// each pool. While a pool has one build, all its streams began there. Otherwise the build of each stream
// is recorded, in the Origins of the router that forwards it and of some of its peers.
//
// # Invariants
//
//   - A build counts for a pool until Retention after its last endpoint was removed: streams that broke
//     off there may be resumed until then.
//   - Origins hold at most MaxOrigins streams. The oldest are dropped first: their resumptions are
//     refused, and none continues at another build.
//
// # Usage
//
//	hi := &builds.History{}
//	hi.Register(now, id, pool, version)
//	if all := hi.Recent(now, pool); len(all) > 1 { origins.Begin(now, stream, build, ttl) }
package builds

import (
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

// History holds the builds that have served each pool. The zero value is ready for use.
type History struct {
	mu        sync.Mutex // guards all below
	began     time.Time  // when the first endpoint registered
	endpoints map[core.EndpointID]core.Build
	builds    map[core.Build]*served
	changes   uint64
}

// served is what is known of a build.
type served struct {
	pool core.PoolID
	// endpoints counts those registered, goneAt is when the last one was removed.
	endpoints int
	goneAt    time.Time
}

// Register records that an endpoint is registered with a version of its software.
func (hi *History) Register(now time.Time, id core.EndpointID, pool core.PoolID, version core.SoftwareVersion) {
	hi.mu.Lock()
	defer hi.mu.Unlock()
	if hi.endpoints == nil {
		hi.began, hi.endpoints, hi.builds = now, map[core.EndpointID]core.Build{}, map[core.Build]*served{}
	}
	build := Of(pool, version)
	if hi.endpoints[id] == build {
		return
	}
	hi.remove(now, id)
	if hi.builds[build] == nil {
		hi.dropForgotten(now)
		hi.builds[build] = &served{pool: pool}
		hi.changes++
	}
	hi.endpoints[id] = build
	hi.builds[build].endpoints++
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
		if !se.recent(now) {
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
