package back_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/admit"
	"almondrill/core/ctxdir"
	"almondrill/core/decl"
	"almondrill/core/loads"
	"almondrill/io/back"
	"almondrill/io/clock"
	"almondrill/io/fakes/engine"
)

// manualClock is a clock that a test advances. Sleep ends only with the context.
type manualClock struct {
	mu  sync.Mutex // guards now
	now time.Time
}

// Now implements core.Clock.
func (ma *manualClock) Now() time.Time {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	return ma.now
}

// Sleep implements core.Clock.
func (ma *manualClock) Sleep(ctx context.Context, _ time.Duration) error {
	<-ctx.Done()
	return ctx.Err()
}

func (ma *manualClock) advance(d time.Duration) {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	ma.now = ma.now.Add(d)
}

const reportLag = 3 * time.Second

// polledEngine is a fake engine whose load reports lag, with the gate in front of it and its poller.
type polledEngine struct {
	clock  *manualClock
	engine *engine.Engine
	gate   *admit.Gate
	poller *back.Poller
	url    string
}

func newPolledEngine(t *testing.T) *polledEngine {
	cl := &manualClock{now: time.Unix(1e9, 0)}
	en := &engine.Engine{Clock: cl, Model: "m", TokenEvery: time.Second, ReportLag: reportLag}
	server := httptest.NewServer(en.Handler())
	t.Cleanup(server.Close)
	ga := &admit.Gate{
		Clock: cl, Rand: clock.NewRand(1), VM: "self",
		Loads: &loads.Table{Clock: cl, Pool: "chat", Self: "self"},
	}
	ga.SetLimits(decl.Limits{LoadFactor: 1.25, FloorWork: 1e6, Slots: 8, QueueCalls: 8, Headroom: decl.DefaultHeadroom})
	return &polledEngine{clock: cl, engine: en, gate: ga, url: server.URL, poller: &back.Poller{
		Endpoint: &back.Endpoint{ID: "engine", URL: server.URL, Engine: true}, Clock: cl, Gate: ga,
		Book: &ctxdir.Directory{Clock: cl, MaxCached: 10, MaxPointers: 10, TTL: time.Hour},
	}}
}

// startChat sends a chat directly to the engine, bypassing the gate. It lasts until ctx ends.
func (pe *polledEngine) startChat(ctx context.Context, t *testing.T) {
	body := `{"model":"m","max_tokens":40,"messages":[{"role":"user","content":"x"}]}`
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, pe.url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		if rs, err := http.DefaultClient.Do(rq); err == nil {
			_ = rs.Body.Close()
		}
	}()
}

// poll advances the clock by a second and polls the engine once.
func (pe *polledEngine) poll(t *testing.T) {
	t.Helper()
	pe.clock.advance(time.Second)
	if err := pe.poller.Poll(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// An engine also serves a chat that bypasses its agent. Its load report, three seconds late, shows
// more work than the agent sent it. The excess counts as load of the gate, but not as tracked load.
func TestUntrackedLoadCounts(t *testing.T) {
	pe := newPolledEngine(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	pe.startChat(ctx, t)
	const maxRounds = 1000
	for n := 0; pe.gate.Load() == 0; n++ {
		if n == maxRounds {
			t.Fatal("the untracked work never appeared in the gate's load")
		}
		pe.poll(t)
	}
	if pe.gate.TrackedLoad() != 0 {
		t.Errorf("tracked load %d, want 0", pe.gate.TrackedLoad())
	}
}

// A chat has ended, but the engine's load report shows it for three more seconds. This work came
// through the gate, so it must not count as untracked load: the endpoint would refuse calls for
// which it has capacity.
func TestLateReportIsNotCountedTwice(t *testing.T) {
	pe := newPolledEngine(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ti := &admit.Ticket{Customer: "c", Weight: 1, Work: core.WorkOf(1, 40)}
	if run, re := pe.gate.Offer(ti); !run || re != nil {
		t.Fatal(re)
	}
	pe.startChat(ctx, t)
	for pe.engine.Work() == 0 {
		time.Sleep(time.Millisecond)
	}
	for range 5 {
		pe.poll(t)
	}
	if pe.gate.Load() != ti.Work {
		t.Errorf("load %d while the chat runs, want %d", pe.gate.Load(), ti.Work)
	}
	pe.gate.Release(ti)
	cancel()
	for pe.engine.Work() != 0 {
		time.Sleep(time.Millisecond)
	}
	for late := range 5 {
		pe.poll(t)
		if pe.gate.Load() != 0 {
			t.Errorf("load %d, want 0, %d s after the chat ended", pe.gate.Load(), late+1)
		}
	}
}
