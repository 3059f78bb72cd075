package inmem

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"almondrill/core"
	"almondrill/core/ring"
	"almondrill/io/fakes/audit"
)

// Engine is a fake endpoint on virtual time. Running calls share it as a batch, prompts are
// prefilled except for what is cached, and the cache evicts the least recently used chats. Set the
// exported fields before use.
type Engine struct {
	Clock core.Clock
	// Step is the time to generate a token with one call running; each further call adds PerCall.
	Step    time.Duration
	PerCall time.Duration
	// Prefill is the time to prefill one uncached prompt token.
	Prefill time.Duration
	// CacheTokens is the capacity of the cache; 0 means no limit.
	CacheTokens core.Tokens
	// Chunk is the number of tokens sent in one part; 0 means 1.
	Chunk core.Tokens
	Audit *audit.Audit
	// CutAfter, if above 0, ends every response with an error after that many tokens.
	CutAfter core.Tokens
	// StallFor, if above 0, delays the first token of every call.
	StallFor time.Duration
	Orders   OrderHandling
	Crashes  Crashes

	mu        sync.Mutex // guards all below
	running   int
	cache     *simplelru.LRU[uint64, core.Tokens]
	cached    core.Tokens
	events    uint64
	onEvict   func(key uint64)
	callCount int
}

var _ core.Endpoint = (*Engine)(nil)

// HasContext reports whether the context with that key is cached.
func (en *Engine) HasContext(key uint64) bool {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.cache != nil && en.cache.Contains(key)
}

// CallCount returns the number of calls that the engine has started.
func (en *Engine) CallCount() int {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.callCount
}

func (en *Engine) nextEvent() uint64 {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.events++
	return en.events
}

// Do runs a call. The call's body identifies the request in the audit.
func (en *Engine) Do(ctx context.Context, ca *core.Call, si core.Sink) (core.Usage, error) {
	nonce := string(ca.Body)
	ctx, up := en.registerCall(ctx, ca)
	if !up {
		return core.Usage{}, en.refusal(core.NotRun, core.ReasonEndpointDown)
	}
	defer en.unregisterCall(ca)
	if en.Audit != nil {
		en.Audit.RecordExecution(nonce, executionKey(ca))
	}
	key := ring.Key(ca.Customer, ca.Pool, ca.Chat)
	hit := en.startPrompt(key, ca.Prompt)
	defer en.finishCall()
	wait := en.StallFor + time.Duration(ca.Prompt-hit)*en.Prefill
	if err := en.Clock.Sleep(ctx, wait); err != nil {
		return core.Usage{}, en.interruptionError(ctx)
	}
	if en.crashesOn(ca) {
		if en.Clock.Sleep(ctx, en.Crashes.After) == nil {
			en.Crash()
		}
		return core.Usage{}, en.interruptionError(ctx)
	}
	us := core.Usage{Prompt: ca.Prompt, Cached: hit, Output: ca.Output}
	if err := en.decode(ctx, ca, si, nonce); err != nil {
		return us, err
	}
	en.store(key, ca.Prompt+ca.Output)
	return us, nil
}

// executionKey returns a key that at most one execution may have: the caller's idempotency key, or
// the body of a non-idempotent call without one. It is empty for other calls.
func executionKey(ca *core.Call) string {
	switch {
	case ca.Key != "":
		return string(ca.Customer) + "/" + string(ca.Key)
	case !ca.MayRepeat:
		return "once/" + string(ca.Body)
	}
	return ""
}

func (en *Engine) decode(ctx context.Context, ca *core.Call, si core.Sink, nonce string) error {
	chunk := max(1, en.Chunk)
	pa := core.Part{Attempt: ca.Attempt, Status: 200, Data: []byte(nonce)}
	for sent := core.Tokens(0); sent < ca.Output; {
		if en.CutAfter > 0 && sent >= en.CutAfter {
			return en.refusal(core.Failed, core.ReasonCutShort)
		}
		step := min(chunk, ca.Output-sent)
		if en.Clock.Sleep(ctx, time.Duration(step)*en.stepTime()) != nil {
			return en.interruptionError(ctx)
		}
		sent += step
		pa.Position = int64(sent)
		pa.End = sent == ca.Output
		if pa.End && en.Audit != nil {
			en.Audit.RecordSent(nonce, nonce)
		}
		if si.Send(&pa) != nil {
			return en.refusal(core.Unknown, core.ReasonCallerGone)
		}
		pa.Data = nil
	}
	return nil
}

func (en *Engine) refusal(ou core.Outcome, reason core.Reason) error {
	return &core.Refusal{Outcome: ou, Reason: reason, Step: "endpoint", Peer: "engine", Detail: string(reason)}
}

func (en *Engine) stepTime() time.Duration {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.Step + time.Duration(en.running-1)*en.PerCall
}

func (en *Engine) startPrompt(key uint64, prompt core.Tokens) core.Tokens {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.initCache()
	en.running++
	en.callCount++
	cached, _ := en.cache.Get(key)
	return min(cached, prompt)
}

func (en *Engine) initCache() {
	if en.cache == nil {
		en.cache, _ = simplelru.NewLRU[uint64, core.Tokens](1<<20, nil)
	}
}

func (en *Engine) finishCall() {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.running--
}

func (en *Engine) store(key uint64, tokens core.Tokens) {
	en.mu.Lock()
	en.initCache()
	old, _ := en.cache.Peek(key)
	en.cache.Add(key, tokens)
	en.cached += tokens - old
	var victims []uint64
	for en.CacheTokens > 0 && en.cached > en.CacheTokens && en.cache.Len() > 1 {
		victim, size, _ := en.cache.RemoveOldest()
		en.cached -= size
		victims = append(victims, victim)
	}
	en.mu.Unlock()
	for _, victim := range victims {
		if en.onEvict != nil {
			en.onEvict(victim)
		}
	}
}
