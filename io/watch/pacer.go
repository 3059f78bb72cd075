package watch

import (
	"context"
	"errors"
	"time"

	"almondrill/core"
)

// Load pattern: all routers of a large fleet start at once. Each lists thousands of registrations
// over the store's link, whose capacity is the same for ten routers as for hundreds: it is shared by
// all listings, so that none ends until seconds later. Until then, a router lacks the endpoints of
// small pools that are not on the first page. Therefore only the routers that take themselves for
// watchers, a fraction of them as each knows few peers yet, list on at once. The others fetch the
// packed contents from a peer that has them.

const (
	// maxPause is how long a router waits for a peer's contents before it requests its second page, and
	// minPause the least of the random times that it waits: what the first listings and one fetch take.
	maxPause = 2 * time.Second
	minPause = time.Second
	// pausePoll is how often a waiting router checks whether a peer has provided the contents.
	pausePoll = 10 * time.Millisecond
)

// errPeerProvided ends a listing whose contents a peer has provided.
var errPeerProvided = errors.New("a peer provided the contents")

// pacer delays the pages of one attempt to list the store after the first.
type pacer struct {
	rd *Reader
	// before is the revision of the mirror when the listing began.
	before core.Version
	// first is set for the first listing of a router. Later ones follow a loss of the store's history
	// and are read without a delay.
	first  bool
	paused bool
}

// awaitPeers waits before the second page, unless this router is a watcher. It returns errPeerProvided
// once a peer has provided the contents of the store, also before later pages.
func (pg *pacer) awaitPeers(ctx context.Context) error {
	rd := pg.rd
	if pg.first && !pg.paused && rd.Routers != nil && rd.Routers() > 1 {
		rd.partial.Store(true)
		until := rd.now() + int64(minPause) + int64(rd.Rand.Float64()*float64(maxPause-minPause))
		for !rd.IsWatcher() && rd.now() < until && rd.Mirror.AsOf() <= pg.before && ctx.Err() == nil {
			sleep(ctx, pausePoll)
			storeMax(&rd.lastPage, rd.now())
		}
	}
	pg.paused = true
	if rd.Mirror.AsOf() > pg.before {
		return errPeerProvided
	}
	return nil
}
