package back

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/samber/oops"

	"almondrill/core"
	"almondrill/core/admit"
	"almondrill/core/ctxdir"
)

const (
	followEvery   = time.Second
	followTimeout = 2 * time.Second
	// samplesKept is how many of the gate's own past loads a lagging report is
	// compared with: its figure may be as old as that many rounds.
	samplesKept = 5
)

// Follower follows an engine's cache events and load reports. Set the exported
// fields before Run.
type Follower struct {
	Endpoint *Endpoint
	Clock    core.Clock
	Book     *ctxdir.Directory
	Gate     *admit.Gate
	// Failed, if set, is told when the engine stops answering, once each time.
	Failed func(err error)

	seq     uint64
	synced  bool
	samples []core.Work
	failing bool
}

// Run follows until ctx ends.
func (fo *Follower) Run(ctx context.Context) error {
	for fo.Clock.Sleep(ctx, followEvery) == nil {
		err := fo.Round(ctx)
		if err != nil && !fo.failing && fo.Failed != nil && ctx.Err() == nil {
			fo.Failed(err)
		}
		fo.failing = err != nil
	}
	return nil
}

// Round takes in what is new once.
func (fo *Follower) Round(ctx context.Context) error {
	if err := fo.events(ctx); err != nil {
		return err
	}
	return fo.load(ctx)
}

type cacheEvent struct {
	Seq  uint64
	Kind string
	Key  string
}

// events applies new cache events, and a whole listing after a gap: events that
// were lost may have been evictions, and the chats would be sent here in vain.
func (fo *Follower) events(ctx context.Context) error {
	if !fo.synced {
		return fo.resync(ctx)
	}
	var page []cacheEvent
	if err := fo.get(ctx, "/cache/events?after="+strconv.FormatUint(fo.seq, 10), &page); err != nil {
		return err
	}
	for _, ev := range page {
		fo.seq = max(fo.seq, ev.Seq)
		key := uint64(0)
		if ev.Kind == "Evicted" {
			key, _ = strconv.ParseUint(ev.Key, 16, 64)
		}
		if !fo.Book.ApplyEviction(fo.Endpoint.ID, ev.Seq, key) {
			return fo.resync(ctx)
		}
	}
	return nil
}

func (fo *Follower) resync(ctx context.Context) error {
	var listing struct {
		Seq  uint64
		Keys []string
	}
	if err := fo.get(ctx, "/cache", &listing); err != nil {
		return err
	}
	keys := make(map[uint64]bool, len(listing.Keys))
	for _, text := range listing.Keys {
		if key, err := strconv.ParseUint(text, 16, 64); err == nil {
			keys[key] = true
		}
	}
	fo.Book.Resync(fo.Endpoint.ID, listing.Seq, keys)
	fo.seq = max(fo.seq, listing.Seq)
	fo.synced = true
	return nil
}

// load compares the engine's report with the most that the gate has had inside
// lately, since the report lags: only what is beyond that came past the gate.
func (fo *Follower) load(ctx context.Context) error {
	fo.samples = append(fo.samples, fo.Gate.TrackedLoad())
	if len(fo.samples) > samplesKept {
		fo.samples = fo.samples[1:]
	}
	var report struct{ Work core.Work }
	if err := fo.get(ctx, "/load", &report); err != nil {
		return err
	}
	fo.Gate.SetUntracked(report.Work - max(fo.Gate.TrackedLoad(), slices.Max(fo.samples)))
	return nil
}

func (fo *Follower) get(ctx context.Context, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	oo := oops.In("follow engine").With("peer", fo.Endpoint.ID)
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, fo.Endpoint.URL+path, nil)
	if err != nil {
		return oo.Wrap(err)
	}
	rs, err := client.Do(rq)
	if err != nil {
		return oo.Wrap(err)
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return oo.Errorf("%s: status %s", path, rs.Status)
	}
	return oo.Wrap(json.NewDecoder(rs.Body).Decode(out))
}
