package entry_test

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/place"
	"almondrill/core/route"
	"almondrill/io/conf"
	"almondrill/io/entry"
	"almondrill/io/fakes/local"
	"almondrill/io/logs"
	"almondrill/io/relay"
	"almondrill/io/stats"
)

// faulty is a platform whose decoder panics for one item. The other items are endpoints at addr,
// draining if their value says so.
type faulty struct{ addr string }

func (faulty) List(context.Context, bool, func([]core.Item), func() error) ([]core.Item, core.Version, error) {
	return nil, 0, nil
}

func (faulty) Changes(context.Context, core.Version, time.Duration) ([]core.Item, core.Version, error) {
	return nil, 0, nil
}

func (faulty) Revision(context.Context) (core.Version, error) { return 0, nil }

func (faulty) PutQuarantine(context.Context, core.Quarantine) (core.Version, error) { return 0, nil }

func (faulty) DeleteQuarantine(context.Context, core.Quarantine) error { return nil }

func (faulty) Dialect() relay.Dialect { return relay.Dialect{} }

func (faulty) ReadyPath() string { return "/ready" }

func (faulty) Outranks(core.Item, core.Item) bool { return false }

func (faulty) PutBuild(context.Context, core.BuildRecord) error { return nil }

func (faulty) PutSuspectRuns(context.Context, core.VMID, int, []core.SuspectRun) error { return nil }

func (faulty) PutEra(context.Context, core.Era) error { return nil }

func (faulty) DeleteBuild(context.Context, core.BuildRecord) error { return nil }

func (faulty) PutStreams(context.Context, core.VMID, int, core.StreamBatch) error { return nil }

func (faulty) Announce(context.Context, core.VMID, string, *zap.Logger) {}

func (fa faulty) Decode(it core.Item) (any, error) {
	if it.Deleted {
		return entry.Deregistration{ID: core.EndpointID(it.Key)}, nil
	}
	if it.Key == "faulty" {
		var none []int
		return none[len(it.Value)], nil
	}
	if it.Key == "config" {
		return &route.Document{Version: 1, Pools: []route.Pool{{ID: "pool"}}}, nil
	}
	pool := core.PoolID("pool")
	if string(it.Value) == "other pool" {
		pool = "unnamed"
	}
	return place.Endpoint{
		ID: core.EndpointID(it.Key), Addr: fa.addr, Pool: pool, Slots: 1, Draining: string(it.Value) == "draining",
	}, nil
}

func newProcess(pf entry.Platform) *entry.Process {
	pr := &entry.Process{Settings: &conf.RelaySettings{PeersAddr: "127.0.0.1:1"}, Platform: pf, Logs: logs.Discard()}
	pr.Settings.Defaults()
	pr.Build()
	return pr
}

// Guards against a crash that is not noticed: an endpoint goes silent during a request, which times
// out, and seconds later another endpoint registers at its address. If the first was draining
// before, it was shut down and has not crashed.
func TestReplacedEndpointCountsAsCrashed(t *testing.T) {
	for _, draining := range []bool{false, true} {
		addr := local.Listen(t).Addr().String()
		pr := newProcess(faulty{addr})
		pr.ApplyItem(core.Item{Key: "one", Rev: 1})
		pr.Interrupted(core.EndpointRef{ID: "one", Addr: addr, Hash: place.EndpointHash("one", 0)}, time.Now().Add(-time.Second), core.Fingerprint{1})
		want := int64(1)
		if draining {
			pr.ApplyItem(core.Item{Key: "one", Rev: 2, Value: []byte("draining")})
			want = 0
		}
		pr.ApplyItem(core.Item{Key: "two", Rev: 3})
		pr.ApplyItem(core.Item{Key: "two", Rev: 4, Value: []byte("draining")})
		if got := pr.Stats.Value(stats.CrashedUnder); got != want {
			t.Errorf("draining %v: crashed under %d requests, want %d", draining, got, want)
		}
	}
}

// Guards against requests that are sent to endpoints which are gone, until their registrations
// expire: after a part of a pool had crashed and come back at the same addresses under other ids,
// callers were refused for as long as that takes.
func TestDisplacedEndpointGetsNoRequests(t *testing.T) {
	item := func(key string, rev core.Version, value string) core.Item {
		return core.Item{Key: key, Rev: rev, Value: []byte(value)}
	}
	for name, ca := range map[string]struct {
		items []core.Item
		want  core.EndpointID
	}{
		"registered later":                  {[]core.Item{item("a", 2, ""), item("b", 3, "")}, "b"},
		"listed first":                      {[]core.Item{item("a", 3, ""), item("b", 2, "")}, "a"},
		"registered again at its address":   {[]core.Item{item("a", 2, ""), item("b", 3, ""), item("a", 4, "again")}, "a"},
		"for a pool that is not configured": {[]core.Item{item("a", 2, ""), item("b", 3, "other pool")}, "a"},
		"three in succession":               {[]core.Item{item("a", 2, ""), item("b", 3, ""), item("c", 4, "")}, "c"},
		"the earlier one is deregistered":   {[]core.Item{item("a", 2, ""), item("b", 3, ""), {Key: "a", Rev: 4, Deleted: true}}, "b"},
		"the later one is deregistered":     {[]core.Item{item("a", 2, ""), item("b", 3, ""), {Key: "b", Rev: 4, Deleted: true}}, "a"},
		"the last of three is deregistered": {[]core.Item{item("a", 2, ""), item("b", 3, ""), item("c", 4, ""), {Key: "c", Rev: 5, Deleted: true}}, "b"},
		"two of three are deregistered":     {[]core.Item{item("a", 2, ""), item("b", 3, ""), item("c", 4, ""), {Key: "c", Rev: 5, Deleted: true}, {Key: "b", Rev: 6, Deleted: true}}, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			pr := newProcess(faulty{"127.0.0.1:1"})
			pr.ApplyItem(item("config", 1, ""))
			for _, it := range ca.items {
				pr.ApplyItem(it)
			}
			for range 40 {
				tk, rf := pr.Pick("pool")
				if rf != nil {
					t.Fatal(rf.Detail)
				}
				if tk.Endpoint.ID != ca.want {
					t.Fatalf("chose %s, want %s", tk.Endpoint.ID, ca.want)
				}
				tk.Done(time.Now(), place.Served)
			}
		})
	}
}

// Guards against an item of the store that makes the decoder panic. All routers read it, now and at
// each start: without a recover, all would crash together until somebody removes the item. The
// other items of the store must be applied.
func TestDecoderPanicDoesNotStopTheRouter(t *testing.T) {
	pr := newProcess(faulty{"127.0.0.1:1"})
	for rev, key := range []string{"one", "faulty", "two"} {
		pr.ApplyItem(core.Item{Key: key, Rev: core.Version(rev + 1)})
	}
	if known := pr.Endpoints(); known != 2 {
		t.Errorf("%d endpoints known, want 2", known)
	}
	if got := pr.Stats.Value(stats.ItemsFailed); got != 1 {
		t.Errorf("%d failed items counted, want 1", got)
	}
}
