// Package revlog stores the accepted configuration: an append-only log of deltas with snapshots in
// the KV, and each process's copy of it.
//
// # Concepts
//
// Revision n is accepted once the KV holds log entry n, which is created only if absent: of two
// operators who commit at once, one gets the revision and the other a conflict. A process holds one
// document at one revision and receives later ones from the KV or from any peer. Either way, deltas
// are applied in order, and a lower revision changes nothing.
//
// # Invariants
//
//   - Commit reports success only when the KV holds this very delta. After a lost response it writes
//     the same entry again: the entry can be created only once, so the second write either creates
//     it or finds whose change it holds.
//   - A process never reverts to a lower revision, even if the KV does.
//   - Log entries are deleted only once retainedEntries more follow. A writer that was paused for
//     fewer changes finds its revision taken. One that was paused for more finds the entries before
//     its own deleted; Commit therefore reads the log before it writes and checks it afterwards, see
//     checkPredecessor.
//
// # Usage
//
//	lo := &revlog.Log{KV: kv, Clock: clock, Rand: rand, Adopt: adopt}
//	err := lo.Refresh(ctx)
//	rev, err := lo.Commit(ctx, planned, doc, revlog.Meta{ID: id, Author: who})
package revlog

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"

	"almondrill/core"
	"almondrill/core/decl"
)

const (
	logPrefix  = "config/log/"
	snapPrefix = "config/snap/"
	// prefixEnd sorts after every digit, so a prefix followed by it is an upper bound of the keys with
	// that prefix.
	prefixEnd = "~"
	// snapshotInterval is the number of revisions between snapshots.
	snapshotInterval = 100
	// retainedEntries is how many log entries are kept before the newest snapshot.
	retainedEntries = 1000
	// maxRecentDeltas is how many deltas a process keeps for its peers.
	maxRecentDeltas = 200
	pageSize        = 200
)

// Log is a process's copy of the accepted configuration. Set the exported fields
// before use.
type Log struct {
	KV    core.KV
	Clock core.Clock
	Rand  core.Rand
	// Adopt is called, in order, with each newly adopted configuration.
	Adopt func(cfg *decl.Config)
	// Behind, if set, is called when the KV is found to hold older content.
	Behind func(own core.Revision)

	mu        sync.Mutex // guards all below
	rev       core.Revision
	doc       *decl.Document
	recent    []*decl.Delta
	packed    []byte // the encoded document of revision packedRev, for peers
	packedRev core.Revision
}

// Revision returns the revision in force in this process, 0 if there is none.
func (lo *Log) Revision() core.Revision {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	return lo.rev
}

// Document returns the document in force in this process, which must not be modified, and its
// revision.
func (lo *Log) Document() (*decl.Document, core.Revision) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if lo.doc == nil {
		return &decl.Document{}, lo.rev
	}
	return lo.doc, lo.rev
}

func logKey(rev core.Revision) string  { return fmt.Sprintf("%s%020d", logPrefix, rev) }
func snapKey(rev core.Revision) string { return fmt.Sprintf("%s%020d", snapPrefix, rev) }

func snapRevision(key string) (core.Revision, error) {
	var rev core.Revision
	if _, err := fmt.Sscanf(key, snapPrefix+"%d", &rev); err != nil {
		return 0, fmt.Errorf("snapshot key %s: %w", key, err)
	}
	return rev, nil
}

// Refresh adopts the revisions in the KV above the own one.
func (lo *Log) Refresh(ctx context.Context) error {
	for {
		own := lo.Revision()
		// The entry of the own revision is read too: a KV that lacks it was reset.
		page, err := lo.KV.List(ctx, logKey(own), logPrefix+prefixEnd, pageSize)
		if err != nil {
			return fmt.Errorf("list log: %w", err)
		}
		if len(page) == 0 {
			return lo.checkBehind(ctx, own)
		}
		ch := &core.Changes{}
		for _, en := range page {
			ch.Deltas = append(ch.Deltas, en.Value)
		}
		if err = lo.Apply(ch); err != nil {
			if err = lo.loadSnapshot(ctx, own); err != nil {
				return err
			}
			continue
		}
		if len(page) < pageSize {
			return nil
		}
	}
}

// checkBehind handles a KV whose log holds no entry at or above the own revision.
func (lo *Log) checkBehind(ctx context.Context, own core.Revision) error {
	if own == 0 {
		return lo.loadSnapshot(ctx, own)
	}
	if lo.Behind != nil {
		lo.Behind(own)
	}
	return ErrKVBehind
}

// loadSnapshot adopts the newest snapshot above own. If there is none, a process without a
// configuration goes on without one; for any other that is an error.
func (lo *Log) loadSnapshot(ctx context.Context, own core.Revision) error {
	snaps, err := lo.KV.List(ctx, snapKey(own+1), snapPrefix+prefixEnd, 0)
	if err != nil {
		return fmt.Errorf("list snapshots: %w", err)
	}
	if len(snaps) == 0 {
		if own == 0 {
			return nil
		}
		return fmt.Errorf("the log misses revision %d and no snapshot covers it", own+1)
	}
	newest := snaps[len(snaps)-1]
	rev, err := snapRevision(newest.Key)
	if err != nil {
		return err
	}
	return lo.Apply(&core.Changes{SnapshotAt: rev, Snapshot: newest.Value})
}

// Apply adopts changes from the KV or a peer. Deltas at or below the own revision are skipped. A gap
// is an error; the deltas before it remain applied.
func (lo *Log) Apply(ch *core.Changes) error {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	if len(ch.Snapshot) > 0 && ch.SnapshotAt > lo.rev {
		doc, err := unpack(ch.Snapshot)
		if err != nil {
			return err
		}
		lo.adopt(doc, ch.SnapshotAt, nil)
	}
	for _, data := range ch.Deltas {
		de, err := decl.DecodeDelta(data)
		if err != nil {
			return err
		}
		if de.Revision <= lo.rev {
			continue
		}
		if de.Revision != lo.rev+1 {
			return fmt.Errorf("revision %d follows %d", de.Revision, lo.rev)
		}
		doc := lo.doc
		if doc == nil {
			doc = &decl.Document{}
		}
		lo.adopt(decl.Apply(doc, de), de.Revision, de)
	}
	return nil
}

// adopt replaces the document. The caller holds mu, so that Adopt is called with revisions in order.
func (lo *Log) adopt(doc *decl.Document, rev core.Revision, de *decl.Delta) {
	lo.doc = doc
	lo.rev = rev
	if de == nil {
		lo.recent = nil
	} else {
		lo.recent = append(lo.recent, de)
		if len(lo.recent) > maxRecentDeltas {
			lo.recent = slices.Clone(lo.recent[len(lo.recent)-maxRecentDeltas:])
		}
	}
	if lo.Adopt != nil {
		lo.Adopt(decl.Compile(doc, rev))
	}
}

// ChangesSince returns the changes that a peer at that revision lacks: the deltas if all are in
// memory, otherwise a snapshot.
func (lo *Log) ChangesSince(since core.Revision) (*core.Changes, error) {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	ch := &core.Changes{}
	if since >= lo.rev {
		return ch, nil
	}
	if len(lo.recent) == 0 || lo.recent[0].Revision > since+1 {
		packed, err := lo.pack()
		if err != nil {
			return nil, err
		}
		ch.SnapshotAt, ch.Snapshot = lo.rev, packed
		return ch, nil
	}
	for _, de := range lo.recent {
		if de.Revision <= since {
			continue
		}
		data, err := de.Encode()
		if err != nil {
			return nil, err
		}
		ch.Deltas = append(ch.Deltas, data)
	}
	return ch, nil
}

func (lo *Log) pack() ([]byte, error) {
	if lo.packedRev == lo.rev && lo.packed != nil {
		return lo.packed, nil
	}
	packed, err := pack(lo.doc)
	if err != nil {
		return nil, err
	}
	lo.packed, lo.packedRev = packed, lo.rev
	return packed, nil
}

func pack(doc *decl.Document) ([]byte, error) {
	var out bytes.Buffer
	zip := gzip.NewWriter(&out)
	if err := json.NewEncoder(zip).Encode(doc); err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	if err := zip.Close(); err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return out.Bytes(), nil
}

func unpack(data []byte) (*decl.Document, error) {
	zip, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	plain, err := io.ReadAll(zip)
	if err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	var doc decl.Document
	if err = json.Unmarshal(plain, &doc); err != nil {
		return nil, fmt.Errorf("decode snapshot: %w", err)
	}
	return &doc, nil
}

// compact writes a snapshot every snapshotInterval revisions and deletes the entries and snapshots
// that are more than retainedEntries revisions older. It may fail at any point: the next call
// writes a newer snapshot and deletes what is left.
func (lo *Log) compact(ctx context.Context, rev core.Revision) {
	if rev%snapshotInterval != 0 {
		return
	}
	lo.mu.Lock()
	packed, err := lo.pack()
	at := lo.packedRev
	lo.mu.Unlock()
	if err != nil || at != rev {
		return
	}
	if _, err = lo.KV.Put(ctx, snapKey(rev), packed, 0, 0); err != nil {
		return
	}
	if rev > retainedEntries {
		lo.prune(ctx, snapPrefix, snapKey(rev-retainedEntries))
		lo.prune(ctx, logPrefix, logKey(rev-retainedEntries))
	}
}

func (lo *Log) prune(ctx context.Context, from, to string) {
	old, err := lo.KV.List(ctx, from, to, pageSize)
	if err != nil {
		return
	}
	for _, en := range old {
		if lo.KV.Delete(ctx, en.Key, en.Version) != nil {
			return
		}
	}
}
