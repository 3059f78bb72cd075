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
	pollInterval = time.Second
	pollTimeout  = 2 * time.Second
	// maxLoadSamples is how many of the gate's own past loads a lagging report is
	// compared with: its figure may be as old as that many rounds.
	maxLoadSamples = 5
)

// Poller follows an engine's cache events and load reports. Set the exported
// fields before Run.
type Poller struct {
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
func (po *Poller) Run(ctx context.Context) error {
	for po.Clock.Sleep(ctx, pollInterval) == nil {
		err := po.Poll(ctx)
		if err != nil && !po.failing && po.Failed != nil && ctx.Err() == nil {
			po.Failed(err)
		}
		po.failing = err != nil
	}
	return nil
}

// Poll takes in what is new once.
func (po *Poller) Poll(ctx context.Context) error {
	if err := po.pollEvents(ctx); err != nil {
		return err
	}
	return po.pollLoad(ctx)
}

type cacheEvent struct {
	Seq  uint64
	Kind string
	Key  string
}

// pollEvents applies new cache events, and a whole listing after a gap: events that
// were lost may have been evictions, and the chats would be sent here in vain.
func (po *Poller) pollEvents(ctx context.Context) error {
	if !po.synced {
		return po.resync(ctx)
	}
	var page []cacheEvent
	if err := po.getJSON(ctx, "/cache/events?after="+strconv.FormatUint(po.seq, 10), &page); err != nil {
		return err
	}
	for _, ev := range page {
		po.seq = max(po.seq, ev.Seq)
		key := uint64(0)
		if ev.Kind == "Evicted" {
			key, _ = strconv.ParseUint(ev.Key, 16, 64)
		}
		if !po.Book.ApplyEviction(po.Endpoint.ID, ev.Seq, key) {
			return po.resync(ctx)
		}
	}
	return nil
}

func (po *Poller) resync(ctx context.Context) error {
	var listing struct {
		Seq  uint64
		Keys []string
	}
	if err := po.getJSON(ctx, "/cache", &listing); err != nil {
		return err
	}
	keys := make(map[uint64]bool, len(listing.Keys))
	for _, text := range listing.Keys {
		if key, err := strconv.ParseUint(text, 16, 64); err == nil {
			keys[key] = true
		}
	}
	po.Book.Resync(po.Endpoint.ID, listing.Seq, keys)
	po.seq = max(po.seq, listing.Seq)
	po.synced = true
	return nil
}

// pollLoad compares the engine's report with the most that the gate has had inside
// lately, since the report lags: only what is beyond that came past the gate.
func (po *Poller) pollLoad(ctx context.Context) error {
	po.samples = append(po.samples, po.Gate.TrackedLoad())
	if len(po.samples) > maxLoadSamples {
		po.samples = po.samples[1:]
	}
	var report struct{ Work core.Work }
	if err := po.getJSON(ctx, "/load", &report); err != nil {
		return err
	}
	po.Gate.SetUntracked(report.Work - max(po.Gate.TrackedLoad(), slices.Max(po.samples)))
	return nil
}

func (po *Poller) getJSON(ctx context.Context, path string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	oo := oops.In("follow engine").With("peer", po.Endpoint.ID)
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, po.Endpoint.URL+path, nil)
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
