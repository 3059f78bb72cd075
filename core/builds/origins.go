package builds

import (
	"container/list"
	"sync"
	"time"

	"almondrill/core"
)

// MaxOrigins bounds the streams of Origins, some 120 bytes each: at 60 new streams per second and
// router, each recorded at three routers for 20 s, there are 3,600.
const MaxOrigins = 16384

// Origins holds the builds at which streams began. The zero value is ready for use.
type Origins struct {
	mu      sync.Mutex // guards all below
	streams map[core.StreamKey]*list.Element
	// order lists the streams by when they were recorded, the oldest first.
	order list.List
	// unshared are the streams in progress of this router that no peer knows.
	unshared map[core.StreamKey]bool
	// droppedUntil is until when a stream was needed that was dropped as there were too many.
	droppedUntil time.Time
}

// origin is the build at which a stream began, known until a time.
type origin struct {
	stream core.StreamKey
	build  core.Build
	until  time.Time
	// ended is set once this router has forwarded the stream completely.
	ended bool
}

// Put records that a stream began at a build, for ttl.
func (or *Origins) Put(now time.Time, stream core.StreamKey, build core.Build, ttl time.Duration) {
	or.mu.Lock()
	defer or.mu.Unlock()
	if or.streams == nil {
		or.streams, or.unshared = map[core.StreamKey]*list.Element{}, map[core.StreamKey]bool{}
	}
	if el := or.streams[stream]; el != nil {
		or.order.Remove(el)
	}
	or.streams[stream] = or.order.PushBack(&origin{stream: stream, build: build, until: now.Add(ttl)})
	or.dropOld(now)
}

// dropOld drops streams that are not needed any more, and the oldest ones if there are too many.
func (or *Origins) dropOld(now time.Time) {
	for el := or.order.Front(); el != nil; el = or.order.Front() {
		old := el.Value.(*origin)
		if now.Before(old.until) {
			if or.order.Len() <= MaxOrigins {
				return
			}
			if old.until.After(or.droppedUntil) {
				or.droppedUntil = old.until
			}
		}
		or.order.Remove(el)
		delete(or.streams, old.stream)
		delete(or.unshared, old.stream)
	}
}

// Get returns the build at which a stream began, 0 if it is unknown, and how long it stays known.
func (or *Origins) Get(now time.Time, stream core.StreamKey) (core.Build, time.Duration) {
	or.mu.Lock()
	defer or.mu.Unlock()
	el := or.streams[stream]
	if el == nil {
		return 0, 0
	}
	known := el.Value.(*origin)
	if !now.Before(known.until) {
		return 0, 0
	}
	return known.build, known.until.Sub(now)
}

// Lacks reports whether a stream that is not on record may have been dropped as there were too many.
func (or *Origins) Lacks(now time.Time) bool {
	or.mu.Lock()
	defer or.mu.Unlock()
	return now.Before(or.droppedUntil)
}

// All returns the streams on record that have not ended, and the builds at which they began.
func (or *Origins) All(now time.Time) map[core.StreamKey]core.Build {
	or.mu.Lock()
	defer or.mu.Unlock()
	or.dropOld(now)
	all := make(map[core.StreamKey]core.Build, len(or.streams))
	for stream, el := range or.streams {
		if known := el.Value.(*origin); now.Before(known.until) && !known.ended {
			all[stream] = known.build
		}
	}
	return all
}

// Unshare marks a stream in progress as known to this router only.
func (or *Origins) Unshare(stream core.StreamKey) {
	or.mu.Lock()
	defer or.mu.Unlock()
	if or.streams[stream] != nil {
		or.unshared[stream] = true
	}
}

// End records that a stream was forwarded completely, so that it need not be shared any more.
func (or *Origins) End(stream core.StreamKey) {
	or.mu.Lock()
	defer or.mu.Unlock()
	delete(or.unshared, stream)
	if el := or.streams[stream]; el != nil {
		el.Value.(*origin).ended = true
	}
}

// Unshared returns the streams that only this router knows and that share accepts, and marks them as
// shared.
func (or *Origins) Unshared(share func(build core.Build) bool) []core.StreamKey {
	or.mu.Lock()
	defer or.mu.Unlock()
	var all []core.StreamKey
	for stream := range or.unshared {
		if share(or.streams[stream].Value.(*origin).build) {
			all = append(all, stream)
			delete(or.unshared, stream)
		}
	}
	return all
}
