package inmem

import (
	"context"
	"errors"
	"strings"
	"time"

	"almondrill/core"
)

// Crashes is the part of an Engine that makes it crash. Set the exported fields before use.
type Crashes struct {
	// OnBodyPrefix begins the bodies of calls that crash the engine After their prompt is read;
	// empty for none. OnVersion is a version whose loading crashes it.
	OnBodyPrefix string
	After        time.Duration
	OnVersion    string
	// AfterLoading lets the version be loaded first; the engine crashes a moment later.
	AfterLoading bool
	// Downtime is how long it is gone; it is back with what it had loaded, its cache empty.
	Downtime time.Duration

	down  bool
	count int
	calls map[*core.Call]context.CancelCauseFunc
}

var errCrashed = errors.New("the engine crashed")

// CrashCount is how often the engine crashed.
func (en *Engine) CrashCount() int {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.Crashes.count
}

// Alive tells whether the engine takes connections.
func (en *Engine) Alive(context.Context) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return !en.Crashes.down
}

// registerCall lets a call end when the engine crashes; false if it is away.
func (en *Engine) registerCall(ctx context.Context, ca *core.Call) (context.Context, bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.Crashes.down {
		return ctx, false
	}
	if en.Crashes.calls == nil {
		en.Crashes.calls = map[*core.Call]context.CancelCauseFunc{}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	en.Crashes.calls[ca] = cancel
	return ctx, true
}

func (en *Engine) unregisterCall(ca *core.Call) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if cancel := en.Crashes.calls[ca]; cancel != nil {
		cancel(nil)
		delete(en.Crashes.calls, ca)
	}
}

// crashesOn tells whether the call crashes the engine.
func (en *Engine) crashesOn(ca *core.Call) bool {
	prefix := en.Crashes.OnBodyPrefix
	return prefix != "" && strings.HasPrefix(string(ca.Body), prefix)
}

// Crash ends the engine, with all that it runs, for a while.
func (en *Engine) Crash() {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.Crashes.down {
		return
	}
	en.Crashes.down = true
	en.Crashes.count++
	for _, cancel := range en.Crashes.calls {
		cancel(errCrashed)
	}
	en.cache, en.cached = nil, 0
	go func() {
		_ = en.Clock.Sleep(context.Background(), en.Crashes.Downtime) // only ends early with the program
		en.mu.Lock()
		defer en.mu.Unlock()
		en.Crashes.down = false
	}()
}

// interruptionError tells how a call ended that could not go on.
func (en *Engine) interruptionError(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), errCrashed) {
		return en.refusal(core.Unknown, core.ReasonCutShort)
	}
	return en.refusal(core.Unknown, core.ReasonCallerGone)
}
