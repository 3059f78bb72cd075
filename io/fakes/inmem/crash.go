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
	// OnBodyPrefix is the prefix of the bodies of calls that crash the engine, After their prefill;
	// empty for none. OnVersion is a model version that crashes the engine when it is loaded.
	OnBodyPrefix string
	After        time.Duration
	OnVersion    string
	// AfterLoading lets the order to load OnVersion succeed, although the engine crashes.
	AfterLoading bool
	// Downtime is how long the engine is down after a crash. It returns with what it had loaded and
	// an empty cache.
	Downtime time.Duration

	down  bool
	count int
	calls map[*core.Call]context.CancelCauseFunc
}

var errCrashed = errors.New("the engine crashed")

// CrashCount returns the number of crashes so far.
func (en *Engine) CrashCount() int {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.Crashes.count
}

// Alive reports whether the engine accepts connections.
func (en *Engine) Alive(context.Context) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return !en.Crashes.down
}

// registerCall returns a context that is cancelled when the engine crashes, and false if the engine
// is down.
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

// crashesOn reports whether the call crashes the engine.
func (en *Engine) crashesOn(ca *core.Call) bool {
	prefix := en.Crashes.OnBodyPrefix
	return prefix != "" && strings.HasPrefix(string(ca.Body), prefix)
}

// Crash takes the engine down for Crashes.Downtime and interrupts all running calls.
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
		_ = en.Clock.Sleep(context.Background(), en.Crashes.Downtime) // returns early only if the program ends
		en.mu.Lock()
		defer en.mu.Unlock()
		en.Crashes.down = false
	}()
}

// interruptionError returns the error of a call whose context has ended, by a crash or by the
// caller.
func (en *Engine) interruptionError(ctx context.Context) error {
	if errors.Is(context.Cause(ctx), errCrashed) {
		return en.refusal(core.Unknown, core.ReasonCutShort)
	}
	return en.refusal(core.Unknown, core.ReasonCallerGone)
}
