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

// manualClock is a clock that stands until it is moved; who sleeps, sleeps until the
// context ends.
type manualClock struct {
	mu  sync.Mutex // guards now
	now time.Time
}

// Now is the time it was moved to.
func (ma *manualClock) Now() time.Time {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	return ma.now
}

// Sleep waits for ctx.
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

// polledEngine is an engine whose reports lag, with the gate before it.
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

// startChat starts a chat at the engine that lasts until the test ends, past the gate.
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

// poll moves the clock by a second and follows the engine once.
func (pe *polledEngine) poll(t *testing.T) {
	t.Helper()
	pe.clock.advance(time.Second)
	if err := pe.poller.Poll(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// An engine also serves somebody past its agent. Its report, three seconds late,
// shows more work than the agent gave it, and the cap counts the rest as load.
func TestUntrackedLoadCounts(t *testing.T) {
	pe := newPolledEngine(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	pe.startChat(ctx, t)
	const maxRounds = 1000
	for n := 0; pe.gate.Load() == 0; n++ {
		if n == maxRounds {
			t.Fatal("the work never showed in the gate's load")
		}
		pe.poll(t)
	}
	if pe.gate.TrackedLoad() != 0 {
		t.Errorf("%d counted as given", pe.gate.TrackedLoad())
	}
}

// An answer has ended, but the engine's report still shows it for three seconds.
// The agent knows that this work was its own: it is not counted as somebody
// else's, or the endpoint would refuse calls that it has room for.
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
		t.Errorf("load %d while it runs, of %d", pe.gate.Load(), ti.Work)
	}
	pe.gate.Release(ti)
	cancel()
	for pe.engine.Work() != 0 {
		time.Sleep(time.Millisecond)
	}
	for late := range 5 {
		pe.poll(t)
		if pe.gate.Load() != 0 {
			t.Errorf("load %d, %d s after the end", pe.gate.Load(), late+1)
		}
	}
}
