package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/builds"
	"almondrill/io/logs"
)

// eraRecorder decides when what this router has read of the store says which builds have served. A restore from a
// backup takes records of builds away, which routers write again that have seen the builds; where all routers
// were lost, too, nobody does. So an era of the store is marked there, the first one at once, and a later one once
// it has lasted for as long as builds count. A router that starts trusts the records if the store's era is marked.
type eraRecorder struct {
	pr  *Process
	log *zap.Logger
	// era is the store's, since when this router saw it first, triedAt the last call to mark it.
	era            core.Era
	since, triedAt time.Time
}

// markedEras are the eras that are marked in the store.
type markedEras struct {
	mu   sync.Mutex // guards eras
	eras map[core.Era]bool
}

func (me *markedEras) add(era core.Era) {
	me.mu.Lock()
	defer me.mu.Unlock()
	if me.eras == nil {
		me.eras = map[core.Era]bool{}
	}
	me.eras[era] = true
}

// latest returns the latest marked era up to the store's current one; known is false if there is none. No router marks an
// era before it begins.
func (me *markedEras) latest(current core.Era) (era core.Era, known bool) {
	me.mu.Lock()
	defer me.mu.Unlock()
	for marked := range me.eras {
		if marked <= current {
			era, known = max(era, marked), true
		}
	}
	return era, known
}

// run checks the era until ctx ends.
func (er *eraRecorder) run(ctx context.Context) error {
	tick := time.NewTicker(recordInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			if asOf := er.pr.mirror.AsOf(); asOf > 0 {
				er.pr.listed.Store(true)
				er.check(ctx, now, asOf.Era())
			}
		}
	}
}

func (er *eraRecorder) check(ctx context.Context, now time.Time, era core.Era) {
	if er.since.IsZero() || er.era != era {
		er.era, er.since = era, now
	}
	latest, known := er.pr.lastingEras.latest(era)
	marked := known && latest == era
	lasting := !known || now.Sub(er.since) >= builds.Retention
	if marked || lasting {
		er.pr.builds.MarkListed()
	}
	if marked || !lasting || !er.pr.peers.IsWatcher() || now.Sub(er.triedAt) < recordRetryDelay {
		return
	}
	er.triedAt = now
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if err := er.pr.Platform.PutEra(ctx, era); err != nil && !errors.Is(err, core.ErrConflict) {
		er.log.Warn("Marking an era of the store failed.", logs.ErrorFields(err)...)
	}
}
