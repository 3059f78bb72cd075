package entry_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/place"
	"almondrill/io/conf"
	"almondrill/io/entry"
	"almondrill/io/logs"
	"almondrill/io/relay"
	"almondrill/io/stats"
)

// faulty is a platform whose decoder has a fault for one item.
type faulty struct{}

func (faulty) All(context.Context, func([]core.Item)) ([]core.Item, core.Version, error) {
	return nil, 0, nil
}

func (faulty) Changes(context.Context, core.Version, time.Duration) ([]core.Item, core.Version, error) {
	return nil, 0, nil
}

func (faulty) PutQuarantine(context.Context, core.Quarantine) (core.Version, error) { return 0, nil }

func (faulty) DropQuarantine(context.Context, core.Quarantine) error { return nil }

func (faulty) Dialect() relay.Dialect { return relay.Dialect{} }

func (faulty) ReadyPath() string { return "/ready" }

func (faulty) Announce(context.Context, core.VMID, string, *zap.Logger) {}

func (faulty) Decode(it core.Item) (any, error) {
	if it.Key == "faulty" {
		var none []int
		return none[len(it.Value)], nil
	}
	return place.Endpoint{ID: core.EndpointID(it.Key), Addr: "127.0.0.1:1", Pool: "pool", Slots: 1}, nil
}

// Something writes an item into the store that brings a fault of the decoder about. All
// routers read it, now and at each start: without a guard all end together, again and again
// until somebody removes it, and callers find nobody. What else the store has is in force.
func TestItemThatTheDecoderFailsOnEndsNoRouter(t *testing.T) {
	pr := &entry.Process{Settings: &conf.RelaySettings{PeersAddr: "127.0.0.1:1"}, Platform: faulty{}, Logs: logs.Quiet()}
	pr.Settings.Defaults()
	pr.Build()
	for rev, key := range []string{"one", "faulty", "two"} {
		pr.Changed(core.Item{Key: key, Rev: core.Version(rev + 1)})
	}
	if known := pr.Endpoints(); known != 2 {
		t.Errorf("%d endpoints are known, want 2", known)
	}
	if got := pr.Stats.Value(stats.ItemsFailed); got != 1 {
		t.Errorf("%d items are counted, want 1", got)
	}
}
