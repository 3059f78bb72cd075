// Package engine is a small stand-in for a model engine that speaks the
// OpenAI-style protocol, for the demo and for tests.
//
// # Concepts
//
// Running requests share the engine: a step yields one token for each, and takes
// longer the more there are. Prompts are prefilled first; a prompt whose chat is
// in the cache is prefilled only beyond what is cached. The cache holds whole
// chats and evicts the least recently used. Answers repeat the last message, so
// that a caller can tell its own from another's.
//
// Headers: X-Request-Id is sent back; X-Cache-Key names the chat; X-Priority and
// X-Resume-Position as their names say. Besides chats it serves /load (a lagging
// report), /cache (keys held, and the number of the last event), /cache/events
// (one page of events), /cache/export and /cache/import (one context), and
// /orders (what is loaded, and orders to change it).
//
// # Usage
//
//	en := &engine.Engine{Clock: clock, Model: "m", TokenEvery: time.Millisecond}
//	http.Serve(listener, en.Handler())
package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"almondrill/core"
	"almondrill/io/fakes/audit"
)

// Faults orders failures. The zero value is a healthy engine.
type Faults struct {
	// CutAfter ends a stream without its end mark after that many tokens.
	CutAfter int
	// StallAfter stops sending after that many tokens, until the caller leaves.
	StallAfter int
	// Crossed answers with another request's id.
	Crossed bool
	// LoseEvents drops every nth cache event; 0 drops none.
	LoseEvents int
	// Status answers with this HTTP status before running anything.
	Status int
	// CrashOn begins the last messages of requests that crash the engine, at token CrashAt.
	CrashOn string
	CrashAt int
}

// Engine is the stand-in. Set the exported fields before use.
type Engine struct {
	Clock core.Clock
	Model string
	// TokenEvery is the time of a step with one request; PerRequest is added for
	// each further one. PrefillEvery is the time for one uncached prompt token.
	TokenEvery   time.Duration
	PerRequest   time.Duration
	PrefillEvery time.Duration
	// CacheTokens is the size of the prefix cache; 0 is 100,000.
	CacheTokens int
	// ReportLag is how old the load in /load is.
	ReportLag time.Duration
	// ChecksFence makes it refuse orders with an old number.
	ChecksFence bool
	// Version is the model's at the start, LoadTime what loading takes, and
	// Weights, if set, the URL of the weight store to fetch from first.
	Version  string
	LoadTime time.Duration
	Weights  string
	Audit    *audit.Audit
	// Crash ends the engine's connections, and lets it take none for a while; needed for
	// Faults.CrashOn.
	Crash func()

	mu          sync.Mutex // guards all below
	faults      Faults
	running     int
	work        int
	cache       *simplelru.LRU[string, int]
	cached      int
	events      []Event
	eventSeq    uint64
	loadSamples []loadSample
	fence       core.Fence
	loaded      *core.EngineState
	loading     bool
	stats       Stats
}

// Event is one change of the cache. Kind is Stored or Evicted.
type Event struct {
	Seq  uint64
	Kind string
	Key  string
}

// Stats counts what the engine did, in requests and tokens.
type Stats struct {
	Requests, Whole, Tokens, PromptTokens, CachedTokens, Orders, RefusedOrders int
	// Interrupted counts requests that were running when a load began, or came
	// while it lasted.
	Interrupted int
	// Imports counts contexts taken in from elsewhere.
	Imports int
}

type loadSample struct {
	at   time.Time
	work int
}

type request struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
}

// SetFaults orders faults from now on.
func (en *Engine) SetFaults(fa Faults) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.faults = fa
}

// Stats is what the engine did so far.
func (en *Engine) Stats() Stats {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.stats
}

// Work is the work inside now, as later reports will show it.
func (en *Engine) Work() int {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.work
}

// Handler serves the engine's protocol.
func (en *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", en.handleChat)
	mux.HandleFunc("GET /load", en.handleLoad)
	mux.HandleFunc("GET /cache", en.handleListCache)
	mux.HandleFunc("GET /cache/events", en.handleCacheEvents)
	mux.HandleFunc("GET /cache/export", en.handleExport)
	mux.HandleFunc("PUT /cache/import", en.handleImport)
	mux.HandleFunc("POST /orders", en.handleOrder)
	mux.HandleFunc("GET /orders", en.handleState)
	return mux
}

const charsPerToken = 4

// defaultMaxTokens is the answer's length where the request names none.
const defaultMaxTokens = 16

func (en *Engine) handleChat(wr http.ResponseWriter, rq *http.Request) {
	var in request
	if err := json.NewDecoder(rq.Body).Decode(&in); err != nil || len(in.Messages) == 0 {
		http.Error(wr, `{"error":{"message":"malformed request"}}`, http.StatusBadRequest)
		return
	}
	fa := en.startRequest()
	if en.checkLoading() {
		http.Error(wr, `{"error":{"message":"a model is being loaded"}}`, http.StatusServiceUnavailable)
		return
	}
	if fa.Status != 0 {
		http.Error(wr, `{"error":{"message":"ordered fault"}}`, fa.Status)
		return
	}
	nonce := in.Messages[len(in.Messages)-1].Content
	if en.Audit != nil {
		en.Audit.RecordExecution(nonce, rq.Header.Get("Idempotency-Key"))
	}
	tokens := in.MaxTokens
	if tokens <= 0 {
		tokens = defaultMaxTokens
	}
	prompt := promptTokens(&in)
	hit := en.lookup(rq.Header.Get("X-Cache-Key"), prompt)
	en.addWork(int(core.WorkOf(core.Tokens(prompt-hit), core.Tokens(tokens))))
	defer en.finishRequest(tokens)
	en.sleep(rq, time.Duration(prompt-hit)*en.PrefillEvery)
	id := rq.Header.Get("X-Request-Id")
	if fa.Crossed {
		id = "0"
	}
	wr.Header().Set("X-Request-Id", id)
	an := &response{en: en, rq: rq, wr: wr, fa: fa, nonce: nonce, tokens: tokens, prompt: prompt, hit: hit}
	an.resume, _ = strconv.Atoi(rq.Header.Get("X-Resume-Position"))
	if in.Stream {
		an.writeStream()
	} else {
		an.writeWhole()
	}
	en.store(rq.Header.Get("X-Cache-Key"), prompt+tokens)
}

func promptTokens(in *request) int {
	sum := 0
	for _, me := range in.Messages {
		sum += len(me.Content)/charsPerToken + 1
	}
	return sum
}

// response is one request's way.
type response struct {
	en     *Engine
	rq     *http.Request
	wr     http.ResponseWriter
	fa     Faults
	nonce  string
	tokens int
	prompt int
	hit    int
	resume int
}

// tokenText is token number n of the answer, from 0.
func (an *response) tokenText(n int) string {
	if n == 0 {
		return an.nonce
	}
	return fmt.Sprintf(" w%d", n)
}

// generate waits for one token; false means that the caller left or a fault struck.
func (an *response) generate(n int) bool {
	if an.fa.CutAfter > 0 && n == an.fa.CutAfter {
		return false
	}
	if an.fa.StallAfter > 0 && n == an.fa.StallAfter {
		<-an.rq.Context().Done()
	}
	an.en.sleep(an.rq, an.en.stepTime())
	if an.fa.CrashOn != "" && n == an.fa.CrashAt && strings.HasPrefix(an.nonce, an.fa.CrashOn) {
		an.en.Crash()
		return false
	}
	if an.rq.Context().Err() != nil {
		return false
	}
	an.en.tokenDone()
	return true
}

func (an *response) writeStream() {
	an.wr.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(an.wr)
	var all strings.Builder
	for n := range an.tokens {
		if n < an.resume {
			all.WriteString(an.tokenText(n))
			continue
		}
		if !an.generate(n) {
			panic(http.ErrAbortHandler)
		}
		all.WriteString(an.tokenText(n))
		text, _ := json.Marshal(an.tokenText(n))
		fmt.Fprintf(an.wr, "data: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%s}}]}\n\n", text)
		_ = flush.Flush()
	}
	fmt.Fprintf(an.wr, "data: {\"object\":\"chat.completion.chunk\",\"choices\":[],\"usage\":%s}\n\n", an.usage())
	an.recordSent(all.String())
	fmt.Fprint(an.wr, "data: [DONE]\n\n")
	_ = flush.Flush()
}

func (an *response) writeWhole() {
	var all strings.Builder
	for n := range an.tokens {
		if !an.generate(n) {
			panic(http.ErrAbortHandler)
		}
		all.WriteString(an.tokenText(n))
	}
	text, _ := json.Marshal(all.String())
	an.recordSent(all.String())
	an.wr.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(an.wr, `{"object":"chat.completion","model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%s},"finish_reason":"stop"}],"usage":%s}`,
		an.en.Model, text, an.usage())
}

func (an *response) usage() string {
	return fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}`,
		an.prompt, an.tokens, an.prompt+an.tokens, an.hit)
}

func (an *response) recordSent(answer string) {
	if an.en.Audit != nil {
		an.en.Audit.RecordSent(an.nonce, answer)
	}
	an.en.mu.Lock()
	an.en.stats.Whole++
	an.en.mu.Unlock()
}

func (en *Engine) sleep(rq *http.Request, d time.Duration) {
	if d > 0 {
		_ = en.Clock.Sleep(rq.Context(), d)
	}
}

func (en *Engine) startRequest() Faults {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.stats.Requests++
	return en.faults
}

func (en *Engine) stepTime() time.Duration {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.TokenEvery + time.Duration(en.running-1)*en.PerRequest
}

func (en *Engine) addWork(work int) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.running++
	en.work += work
	en.recordLoad()
}

func (en *Engine) finishRequest(tokens int) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.running--
	if en.running == 0 {
		en.work = 0
	}
	en.stats.Tokens += tokens
	en.recordLoad()
}

func (en *Engine) tokenDone() {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.work = max(0, en.work-1)
}
