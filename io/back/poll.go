package back

import (
	"context"
	"encoding/json"
	"io"
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
	// maxLoadSamples is how many past loads of the gate a load report is compared with: reports
	// lag, by up to that many poll intervals.
	maxLoadSamples = 5
)

// Poller polls an engine for cache events and load reports. Set the exported fields before Run.
type Poller struct {
	Endpoint *Endpoint
	Clock    core.Clock
	Book     *ctxdir.Directory
	Gate     *admit.Gate
	// Failed, if set, is called with the first error of each series of failed polls.
	Failed func(err error)

	seq     uint64
	synced  bool
	samples []core.Work
	failing bool
}

// Run polls the engine until ctx ends.
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

// Poll applies the engine's new cache events and its load report.
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

// pollEvents applies new cache events. After a gap it applies a complete listing: the lost events
// may have been evictions, and chats would be sent here although their context is gone.
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

// pollLoad compares the engine's load report with the highest recent load of the gate, since the
// report lags. Only load beyond that has bypassed the gate.
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
	return oo.Wrap(json.NewDecoder(io.LimitReader(rs.Body, maxReport)).Decode(out))
}
