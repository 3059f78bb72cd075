package deny

import (
	"context"
	"strings"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/crash"
	"almondrill/io/logs"
)

const (
	kvPrefix = "quarantine/"
	// kvEnd is the first key behind those with the prefix.
	kvEnd = "quarantine0"
	// kvTTL is how long an entry lasts that is not written again.
	kvTTL = 10 * time.Minute
	// maxEntries bounds a listing; a router keeps no more.
	maxEntries = 256
	// fleetListsPerSecond is the whole fleet's pace of listing, a hundredth of the KV's reads;
	// leastPause is for small fleets.
	fleetListsPerSecond = 20
	minListInterval     = 2 * time.Second
)

// KVStore keeps quarantines in the KV. Set KV before use.
type KVStore struct{ KV core.KV }

var _ core.QuarantineStore = (*KVStore)(nil)

// PutQuarantine implements core.Quarantines.
func (ks *KVStore) PutQuarantine(ctx context.Context, qu core.Quarantine) (core.Version, error) {
	value, err := crash.EncodeEntry(qu)
	if err != nil {
		return 0, err
	}
	le, err := ks.KV.Grant(ctx, kvTTL)
	if err != nil {
		return 0, err
	}
	return ks.KV.Put(ctx, kvKey(qu.Request), value, qu.Rev, le)
}

// DeleteQuarantine implements core.Quarantines.
func (ks *KVStore) DeleteQuarantine(ctx context.Context, qu core.Quarantine) error {
	return ks.KV.Delete(ctx, kvKey(qu.Request), qu.Rev)
}

func kvKey(fp core.Fingerprint) string { return kvPrefix + crash.EntryName(fp) }

// list reads all entries. One that makes no sense is left out, and told.
func (ks *KVStore) list(ctx context.Context, log *zap.Logger) (map[core.Fingerprint]core.Quarantine, error) {
	entries, err := ks.KV.List(ctx, kvPrefix, kvEnd, maxEntries)
	if err != nil {
		return nil, err
	}
	all := map[core.Fingerprint]core.Quarantine{}
	for _, en := range entries {
		qu, err := crash.DecodeEntry(strings.TrimPrefix(en.Key, kvPrefix), en.Value, en.Version)
		if err != nil {
			log.Warn("An entry of a quarantine makes no sense.", append(logs.ErrorFields(err), zap.String("Key", en.Key))...)
			continue
		}
		all[qu.Request] = qu
	}
	return all, nil
}

// Watch tells the Ledger of the KV's entries until ctx ends: at once, and then at a pace that
// does not grow with the routers, of which there are so many. A router that was not told by a
// peer learns of a quarantine by it.
func (ks *KVStore) Watch(ctx context.Context, tr *Tracker, clock core.Clock, routers func() int) error {
	var known map[core.Fingerprint]core.Quarantine
	for {
		now, err := ks.list(ctx, tr.Log)
		switch {
		case err == nil:
			tr.applyListing(known, now)
			known = now
		case ctx.Err() == nil:
			tr.Log.Info("Listing quarantines failed.", logs.ErrorFields(err)...)
		}
		pause := max(minListInterval, time.Duration(routers())*time.Second/fleetListsPerSecond)
		if clock.Sleep(ctx, pause) != nil {
			return nil
		}
	}
}

// applyListing takes what is new in the store, and what is gone.
func (tr *Tracker) applyListing(before, now map[core.Fingerprint]core.Quarantine) {
	for fp, qu := range now {
		if before[fp].Rev != qu.Rev {
			tr.EntryStored(qu)
		}
	}
	for fp, qu := range before {
		if _, still := now[fp]; !still {
			tr.EntryRemoved(fp, qu.Rev)
		}
	}
}
