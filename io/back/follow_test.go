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
	"almondrill/io/stand/engine"
)

// manual is a clock that stands until it is moved; who sleeps, sleeps until the
// context ends.
type manual struct {
	mu  sync.Mutex // guards now
	now time.Time
}

// Now is the time it was moved to.
func (ma *manual) Now() time.Time {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	return ma.now
}

// Sleep waits for ctx.
func (ma *manual) Sleep(ctx context.Context, _ time.Duration) error {
	<-ctx.Done()
	return ctx.Err()
}

func (ma *manual) move(d time.Duration) {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	ma.now = ma.now.Add(d)
}

const lag = 3 * time.Second

// followed is an engine whose reports lag, with the gate before it.
type followed struct {
	clock  *manual
	engine *engine.Engine
	gate   *admit.Gate
	fo     *back.Follower
	url    string
}

func follow(t *testing.T) *followed {
	cl := &manual{now: time.Unix(1e9, 0)}
	en := &engine.Engine{Clock: cl, Model: "m", TokenEvery: time.Second, ReportLag: lag}
	server := httptest.NewServer(en.Handler())
	t.Cleanup(server.Close)
	ga := &admit.Gate{
		Clock: cl, Rand: clock.NewRand(1), VM: "self",
		Loads: &loads.Table{Clock: cl, Pool: "chat", Self: "self"},
	}
	ga.SetLimits(decl.Limits{LoadFactor: 1.25, FloorWork: 1e6, Slots: 8, QueueCalls: 8, Headroom: decl.DefaultHeadroom})
	return &followed{clock: cl, engine: en, gate: ga, url: server.URL, fo: &back.Follower{
		Endpoint: &back.Endpoint{ID: "engine", URL: server.URL, Engine: true}, Clock: cl, Gate: ga,
		Book: &ctxdir.Directory{Clock: cl, MaxCached: 10, MaxPointers: 10, TTL: time.Hour},
	}}
}

// chat starts a chat at the engine that lasts until the test ends, past the gate.
func (fw *followed) chat(ctx context.Context, t *testing.T) {
	body := `{"model":"m","max_tokens":40,"messages":[{"role":"user","content":"x"}]}`
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, fw.url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	go func() {
		if rs, err := http.DefaultClient.Do(rq); err == nil {
			_ = rs.Body.Close()
		}
	}()
}

// round moves the clock by a second and follows the engine once.
func (fw *followed) round(t *testing.T) {
	t.Helper()
	fw.clock.move(time.Second)
	if err := fw.fo.Round(context.Background()); err != nil {
		t.Fatal(err)
	}
}

// An engine also serves somebody past its agent. Its report, three seconds late,
// shows more work than the agent gave it, and the cap counts the rest as load.
func TestWorkPastTheGateCounts(t *testing.T) {
	fw := follow(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	fw.chat(ctx, t)
	const most = 1000
	for n := 0; fw.gate.Load() == 0; n++ {
		if n == most {
			t.Fatal("the work never showed in the gate's load")
		}
		fw.round(t)
	}
	if fw.gate.TrackedLoad() != 0 {
		t.Errorf("%d counted as given", fw.gate.TrackedLoad())
	}
}

// An answer has ended, but the engine's report still shows it for three seconds.
// The agent knows that this work was its own: it is not counted as somebody
// else's, or the endpoint would refuse calls that it has room for.
func TestLateReportIsNotCountedTwice(t *testing.T) {
	fw := follow(t)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ti := &admit.Ticket{Customer: "c", Weight: 1, Work: core.WorkOf(1, 40)}
	if run, re := fw.gate.Offer(ti); !run || re != nil {
		t.Fatal(re)
	}
	fw.chat(ctx, t)
	for fw.engine.Working() == 0 {
		time.Sleep(time.Millisecond)
	}
	for range 5 {
		fw.round(t)
	}
	if fw.gate.Load() != ti.Work {
		t.Errorf("load %d while it runs, of %d", fw.gate.Load(), ti.Work)
	}
	fw.gate.Release(ti)
	cancel()
	for fw.engine.Working() != 0 {
		time.Sleep(time.Millisecond)
	}
	for late := range 5 {
		fw.round(t)
		if fw.gate.Load() != 0 {
			t.Errorf("load %d, %d s after the end", fw.gate.Load(), late+1)
		}
	}
}
