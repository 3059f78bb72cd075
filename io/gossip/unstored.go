package gossip

import (
	"sync"
	"time"

	"almondrill/core"
)

// In a fleet of at most fewRouters, a fault may take all of them at once, and with them all that know at which
// builds the streams in progress began. There the records are written to the platform's store, too, many at a
// time. In larger fleets they would exceed what routers may write and mirror.

// maxUnstored bounds the records that wait to be written to the store, those of a minute at 60 streams a
// second.
const maxUnstored = 4096

// unstored holds the records that are to be written to the store.
type unstored struct {
	mu    sync.Mutex // guards batch
	batch core.StreamBatch
}

func (un *unstored) add(stream core.StreamKey, build core.Build, ttl time.Duration) {
	un.put(core.StreamBatch{TTL: ttl, Streams: []core.StreamBuild{{Stream: stream, Build: build}}})
}

// put adds records, and drops the oldest ones if there are too many.
func (un *unstored) put(sb core.StreamBatch) {
	un.mu.Lock()
	defer un.mu.Unlock()
	un.batch.TTL = max(un.batch.TTL, sb.TTL)
	un.batch.Streams = append(un.batch.Streams, sb.Streams...)
	if excess := len(un.batch.Streams) - maxUnstored; excess > 0 {
		un.batch.Streams = un.batch.Streams[excess:]
	}
}

// TakeUnstored returns the records that are to be written to the store, and forgets them.
func (gr *Group) TakeUnstored() core.StreamBatch {
	gr.unstored.mu.Lock()
	defer gr.unstored.mu.Unlock()
	taken := gr.unstored.batch
	gr.unstored.batch = core.StreamBatch{}
	return taken
}

// ReturnUnstored takes back records that could not be written.
func (gr *Group) ReturnUnstored(sb core.StreamBatch) { gr.unstored.put(sb) }

// RecordStored applies records of the store, which routers have written that may be gone.
func (gr *Group) RecordStored(now time.Time, sb core.StreamBatch) {
	for _, st := range sb.Streams {
		if build, _ := gr.origins.Get(now, st.Stream); build == 0 {
			gr.origins.Put(now, st.Stream, st.Build, sb.TTL)
		}
	}
}
