package revlog

import (
	"context"
	"fmt"

	"almondrill/core"
	"almondrill/core/decl"
)

// DocumentAt rebuilds the document of an earlier revision from the KV's newest snapshot at or below
// it and the deltas that follow.
func (lo *Log) DocumentAt(ctx context.Context, rev core.Revision) (*decl.Document, error) {
	if doc, own := lo.Document(); own == rev {
		return doc, nil
	}
	past := &Log{KV: lo.KV, Clock: lo.Clock, Rand: lo.Rand}
	snaps, err := lo.KV.List(ctx, snapPrefix, snapKey(rev+1), 0)
	if err != nil {
		return nil, fmt.Errorf("list snapshots: %w", err)
	}
	ch := &core.Changes{}
	if len(snaps) > 0 {
		newest := snaps[len(snaps)-1]
		if ch.SnapshotAt, err = snapRevision(newest.Key); err != nil {
			return nil, err
		}
		ch.Snapshot = newest.Value
	}
	deltas, err := lo.KV.List(ctx, logKey(ch.SnapshotAt+1), logKey(rev+1), 0)
	if err != nil {
		return nil, fmt.Errorf("list log: %w", err)
	}
	for _, en := range deltas {
		ch.Deltas = append(ch.Deltas, en.Value)
	}
	if err = past.Apply(ch); err != nil {
		return nil, err
	}
	doc, got := past.Document()
	if got != rev {
		return nil, fmt.Errorf("revision %d is not kept any more", rev)
	}
	return doc, nil
}

// History lists the newest accepted changes, newest first, from the KV or, if that cannot be read,
// from memory.
func (lo *Log) History(ctx context.Context, limit int) []decl.Delta {
	own := lo.Revision()
	from := core.Revision(1)
	if own > core.Revision(limit) {
		from = own - core.Revision(limit) + 1
	}
	page, err := lo.KV.List(ctx, logKey(from), logKey(own+1), limit)
	if err != nil {
		return lo.recentHistory(limit)
	}
	var found []decl.Delta
	for ix := len(page) - 1; ix >= 0; ix-- {
		if de, err := decl.DecodeDelta(page[ix].Value); err == nil {
			found = append(found, *de)
		}
	}
	return found
}

func (lo *Log) recentHistory(limit int) []decl.Delta {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	var found []decl.Delta
	for ix := len(lo.recent) - 1; ix >= 0 && len(found) < limit; ix-- {
		found = append(found, *lo.recent[ix])
	}
	return found
}
