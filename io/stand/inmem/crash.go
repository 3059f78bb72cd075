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
	// UnderBody begins the bodies of calls that crash the engine After their prompt is read;
	// empty for none. OnVersion is a version whose loading crashes it.
	UnderBody string
	After     time.Duration
	OnVersion string
	// Loaded lets the version be loaded first; the engine crashes a moment later.
	Loaded bool
	// Away is how long it is gone; it is back with what it had loaded, its cache empty.
	Away time.Duration

	away  bool
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
	return !en.Crashes.away
}

// enter lets a call end when the engine crashes; false if it is away.
func (en *Engine) enter(ctx context.Context, ca *core.Call) (context.Context, bool) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.Crashes.away {
		return ctx, false
	}
	if en.Crashes.calls == nil {
		en.Crashes.calls = map[*core.Call]context.CancelCauseFunc{}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	en.Crashes.calls[ca] = cancel
	return ctx, true
}

func (en *Engine) exit(ca *core.Call) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if cancel := en.Crashes.calls[ca]; cancel != nil {
		cancel(nil)
		delete(en.Crashes.calls, ca)
	}
}

// crashesUnder tells whether the call crashes the engine.
func (en *Engine) crashesUnder(ca *core.Call) bool {
	under := en.Crashes.UnderBody
	return under != "" && strings.HasPrefix(string(ca.Body), under)
}

// Crash ends the engine, with all that it runs, for a while.
func (en *Engine) Crash() {
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.Crashes.away {
		return
	}
	en.Crashes.away = true
	en.Crashes.count++
	for _, cancel := range en.Crashes.calls {
		cancel(errCrashed)
	}
	en.cache, en.cached = nil, 0
	go func() {
		_ = en.Clock.Sleep(context.Background(), en.Crashes.Away) // only ends early with the program
		en.mu.Lock()
		defer en.mu.Unlock()
		en.Crashes.away = false
	}()
}

// interrupted tells how a call ended that could not go on.
func (en *Engine) interrupted(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), errCrashed) {
		return en.broken(core.Unknown, core.ReasonCutShort)
	}
	return en.broken(core.Unknown, core.ReasonCallerGone)
}
