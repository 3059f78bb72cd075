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

// Conflict tells that another change was accepted since the plan was made.
type Conflict struct {
	Planned core.Revision
	Other   decl.Delta
}

// Error names the other change.
func (co *Conflict) Error() string {
	return fmt.Sprintf("planned on revision %d, but %s accepted revision %d (%s) at %s",
		co.Planned, co.Other.Author, co.Other.Revision, co.Other.ID, co.Other.At.Format(time.RFC3339))
}

// Uncertain tells that it could not be settled in time whether a change was
// accepted; ask again with its ID.
type Uncertain struct {
	ID    string
	Cause error
}

// Error tells the ID to ask by.
func (un *Uncertain) Error() string {
	return fmt.Sprintf("it is not known whether change %s was accepted: %v", un.ID, un.Cause)
}

// Unwrap is the last error of the KV.
func (un *Uncertain) Unwrap() error { return un.Cause }

// ErrBehind: the KV holds less than this process has adopted, so it was reset to
// older content; nothing is committed until it is repaired.
var ErrKVBehind = errors.New("the KV holds older configuration than is in force; restore it before applying")

// Meta describes a change to commit.
type Meta struct {
	ID     string
	Author string
	Source string
	Note   string
}

// Commit has doc accepted as the next revision after planned, or not at all. It
// returns the accepted revision, or a *Conflict, an *Uncertain, or another error
// that means not accepted. Sent again with the same ID it returns the same.
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

// createEntry creates the log entry. After an error that leaves its fate open it
// writes the same again until the KV tells, or ctx ends.
func (lo *Log) createEntry(ctx context.Context, de *decl.Delta, data []byte, planned core.Revision) error {
	for try := 1; ; try++ {
		_, err := lo.KV.Put(ctx, logKey(de.Revision), data, 0, 0)
		if err == nil {
			return lo.checkNewest(ctx, de)
		}
		if errors.Is(err, core.ErrConflict) {
			return lo.resolveConflict(ctx, de, planned)
		}
		if lo.Clock.Sleep(ctx, retry.Backoff(try, lo.Rand)) != nil {
			return &Uncertain{ID: de.ID, Cause: err}
		}
	}
}

// checkNewest makes sure that a log entry just created is the log's end. A writer
// that was paused while more than keepLog changes were accepted could create the
// entry of a number that has been deleted; it shows by later entries, and is
// taken back. Only such a writer pays for more than one read.
func (lo *Log) checkNewest(ctx context.Context, de *decl.Delta) error {
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

// resolveConflict finds out who holds the number that this change wanted.
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

// revisionOf is the revision that a change with that ID got, 0 if none is known.
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
