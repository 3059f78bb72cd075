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
	// kvEnd is the first key after those with the prefix.
	kvEnd = "quarantine0"
	// kvTTL is the lifetime of an entry that is not written again.
	kvTTL = 10 * time.Minute
	// maxEntries bounds a listing; a router holds no more quarantines.
	maxEntries = 256
	// fleetListsPerSecond bounds the listings of all routers together, to a hundredth of the KV's
	// reads. minListInterval bounds those of each router in small fleets.
	fleetListsPerSecond = 20
	minListInterval     = 2 * time.Second
)

// KVStore stores quarantines in the KV. Set KV before use.
type KVStore struct{ KV core.KV }

var _ core.QuarantineStore = (*KVStore)(nil)

// PutQuarantine implements core.QuarantineStore.
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

// DeleteQuarantine implements core.QuarantineStore.
func (ks *KVStore) DeleteQuarantine(ctx context.Context, qu core.Quarantine) error {
	return ks.KV.Delete(ctx, kvKey(qu.Request), qu.Rev)
}

func kvKey(fp core.Fingerprint) string { return kvPrefix + crash.EntryName(fp) }

// list reads all entries. One that cannot be decoded is logged and left out.
func (ks *KVStore) list(ctx context.Context, log *zap.Logger) (map[core.Fingerprint]core.Quarantine, error) {
	entries, err := ks.KV.List(ctx, kvPrefix, kvEnd, maxEntries)
	if err != nil {
		return nil, err
	}
	all := map[core.Fingerprint]core.Quarantine{}
	for _, en := range entries {
		qu, err := crash.DecodeEntry(strings.TrimPrefix(en.Key, kvPrefix), en.Value, en.Version)
		if err != nil {
			log.Warn("A quarantine entry cannot be decoded.", append(logs.ErrorFields(err), zap.String("Key", en.Key))...)
			continue
		}
		all[qu.Request] = qu
	}
	return all, nil
}

// Watch applies changes of the KV's entries to the Tracker until ctx ends. It lists the entries at
// once, and then at intervals in proportion to the number of routers, so that the fleet's total rate
// stays the same. This is how a router learns of a quarantine of which it received no notice.
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

// applyListing applies the differences between two successive listings.
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
