package entry

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/io/logs"
)

const (
	// recordInterval is how often builds without a record are looked for. Streams begin at a new build from
	// its registration on.
	recordInterval = 100 * time.Millisecond
	// recordTakeover is how long the elected watchers of the store have to write a record before other
	// routers do, one after the other.
	recordTakeover = 2 * time.Second
	// recordTimeout bounds a call to the store, recordRetryDelay is the pause after any call for a build,
	// until which its record should have arrived.
	recordTimeout    = time.Second
	recordRetryDelay = 2 * time.Second
)

// buildRecorder keeps the records of builds in the platform's store up to date. Only the elected watchers
// write, unless they fail to.
type buildRecorder struct {
	pr  *Process
	log *zap.Logger
	// missingSince is when each build without a record was found, triedAt is the last call for a build.
	missingSince, triedAt map[core.Build]time.Time
}

// run checks the records until ctx ends.
func (br *buildRecorder) run(ctx context.Context) error {
	br.missingSince, br.triedAt = map[core.Build]time.Time{}, map[core.Build]time.Time{}
	tick := time.NewTicker(recordInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			if br.pr.mirror.AsOf() > 0 {
				br.check(ctx, now)
			}
		}
	}
}

// check writes records that are missing, and removes those that are obsolete.
func (br *buildRecorder) check(ctx context.Context, now time.Time) {
	missing, obsolete := br.pr.builds.Unrecorded(now), br.pr.builds.Obsolete(now)
	before := br.missingSince
	br.missingSince = map[core.Build]time.Time{}
	if len(missing)+len(obsolete) == 0 {
		clear(br.triedAt)
		return
	}
	watcher := br.pr.peers.IsWatcher()
	for _, rec := range missing {
		since, was := before[rec.Build]
		if !was {
			since = now
		}
		br.missingSince[rec.Build] = since
		if watcher || now.Sub(since) >= recordTakeover+br.pr.peers.TakeoverDelay() {
			br.call(ctx, now, rec, "Recorded a build in the store.", br.pr.Platform.PutBuild)
		}
	}
	for _, rec := range obsolete {
		if watcher {
			br.call(ctx, now, rec, "Removed the record of a build that is gone.", br.pr.Platform.DeleteBuild)
		}
	}
}

// call writes or removes a record, unless this was tried just before. A conflict shows that another router
// has done so.
func (br *buildRecorder) call(ctx context.Context, now time.Time, rec core.BuildRecord, done string, change func(context.Context, core.BuildRecord) error) {
	if tried, was := br.triedAt[rec.Build]; was && now.Sub(tried) < recordRetryDelay {
		return
	}
	br.triedAt[rec.Build] = now
	ctx, cancel := context.WithTimeout(ctx, recordTimeout)
	defer cancel()
	fields := []zap.Field{zap.String("Pool", string(rec.Pool)), zap.String("Software", string(rec.Version))}
	switch err := change(ctx, rec); {
	case err == nil:
		br.log.Info(done, fields...)
	case !errors.Is(err, core.ErrConflict):
		br.log.Warn("Writing the record of a build failed.", append(logs.ErrorFields(err), fields...)...)
	}
}
