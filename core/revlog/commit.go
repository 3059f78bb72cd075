package revlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"almondrill/core"
	"almondrill/core/decl"
	"almondrill/core/retry"
)

// Conflict is the error of a commit when another change was accepted since it was planned.
type Conflict struct {
	Planned core.Revision
	Other   decl.Delta
}

// Error names the other change.
func (co *Conflict) Error() string {
	return fmt.Sprintf("planned on revision %d, but %s accepted revision %d (%s) at %s",
		co.Planned, co.Other.Author, co.Other.Revision, co.Other.ID, co.Other.At.Format(time.RFC3339))
}

// Uncertain is the error of a commit when the KV did not confirm in time whether the change was
// accepted. Commit it again with the same ID to find out.
type Uncertain struct {
	ID    string
	Cause error
}

// Error includes the ID to commit again with.
func (un *Uncertain) Error() string {
	return fmt.Sprintf("it is not known whether change %s was accepted: %v", un.ID, un.Cause)
}

// Unwrap returns the last error of the KV.
func (un *Uncertain) Unwrap() error { return un.Cause }

// ErrKVBehind means that the KV lacks revisions that this process has adopted, so it was reset to
// older content. Nothing is committed until it is repaired.
var ErrKVBehind = errors.New("the KV holds older configuration than is in force; restore it before applying")

// Meta describes a change to commit.
type Meta struct {
	ID     string
	Author string
	Source string
	Note   string
}

// Commit commits doc as the revision after planned. It returns the accepted revision or an error: a
// *Conflict; an *Uncertain; or another one, which means that the change was not accepted. Called
// again with the same ID after the change was accepted, it returns the same revision, provided that
// the change is still among the recent deltas in memory.
func (lo *Log) Commit(ctx context.Context, planned core.Revision, doc *decl.Document, me Meta) (core.Revision, error) {
	if err := lo.Refresh(ctx); err != nil {
		return 0, err
	}
	if rev := lo.revisionOf(me.ID); rev != 0 {
		return rev, nil
	}
	current, rev := lo.Document()
	if rev != planned {
		return 0, lo.conflict(planned)
	}
	de := decl.Diff(current, doc)
	de.Revision = rev + 1
	de.ID, de.Author, de.Source, de.Note = me.ID, me.Author, me.Source, me.Note
	de.At = lo.Clock.Now().UTC()
	data, err := de.Encode()
	if err != nil {
		return 0, err
	}
	if err = lo.createEntry(ctx, de, data, planned); err != nil {
		return 0, err
	}
	if err = lo.Apply(&core.Changes{Deltas: [][]byte{data}}); err != nil {
		return 0, err
	}
	lo.compact(ctx, de.Revision)
	return de.Revision, nil
}

// createEntry creates the log entry. After an error that leaves the result open it writes the same
// entry again, until the KV confirms the result or ctx ends.
func (lo *Log) createEntry(ctx context.Context, de *decl.Delta, data []byte, planned core.Revision) error {
	for try := 1; ; try++ {
		_, err := lo.KV.Put(ctx, logKey(de.Revision), data, 0, 0)
		if err == nil {
			return lo.checkPredecessor(ctx, de)
		}
		if errors.Is(err, core.ErrConflict) {
			return lo.resolveConflict(ctx, de, planned)
		}
		if lo.Clock.Sleep(ctx, retry.Backoff(try, lo.Rand)) != nil {
			return &Uncertain{ID: de.ID, Cause: err}
		}
	}
}

// checkPredecessor verifies that the entry before the one just created still exists. A writer that was
// paused while more than retainedEntries changes were accepted could create the entry of a revision
// whose entry has been deleted. The missing predecessor shows it, and the new entry is deleted again.
// Any other writer needs only the one read.
func (lo *Log) checkPredecessor(ctx context.Context, de *decl.Delta) error {
	page, err := lo.KV.List(ctx, logKey(de.Revision-1), logPrefix+prefixEnd, 3)
	if err != nil {
		return &Uncertain{ID: de.ID, Cause: err}
	}
	if len(page) > 0 && (de.Revision == 1 || page[0].Key == logKey(de.Revision-1)) {
		return nil
	}
	for _, en := range page {
		if en.Key == logKey(de.Revision) {
			_ = lo.KV.Delete(ctx, en.Key, en.Version)
		}
	}
	return &Conflict{Planned: de.Revision - 1, Other: decl.Delta{Author: "others", ID: "more changes than are kept"}}
}

// resolveConflict reads the entry that already has this change's revision. It returns nil if the
// entry is this change itself, written by an earlier attempt.
func (lo *Log) resolveConflict(ctx context.Context, de *decl.Delta, planned core.Revision) error {
	for try := 1; ; try++ {
		en, err := lo.KV.Get(ctx, logKey(de.Revision))
		if err == nil {
			held, err := decl.DecodeDelta(en.Value)
			if err != nil {
				return err
			}
			if held.ID == de.ID {
				return nil
			}
			return &Conflict{Planned: planned, Other: *held}
		}
		if lo.Clock.Sleep(ctx, retry.Backoff(try, lo.Rand)) != nil {
			return &Uncertain{ID: de.ID, Cause: err}
		}
	}
}

// revisionOf returns the revision of a recently accepted change with that ID, 0 if none is known.
func (lo *Log) revisionOf(id string) core.Revision {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	for _, de := range lo.recent {
		if de.ID == id {
			return de.Revision
		}
	}
	return 0
}

func (lo *Log) conflict(planned core.Revision) error {
	lo.mu.Lock()
	defer lo.mu.Unlock()
	for _, de := range lo.recent {
		if de.Revision == planned+1 {
			return &Conflict{Planned: planned, Other: *de}
		}
	}
	return &Conflict{Planned: planned, Other: decl.Delta{Revision: lo.rev, Author: "someone", ID: "unknown"}}
}
