// Package engine is a small fake of a model engine that speaks the OpenAI-style protocol, for the
// demo and for tests.
//
// # Concepts
//
// Running requests are batched: one step generates a token for each of them and takes longer the
// more there are. The prompt is prefilled first, except for the part that the cache holds for its
// chat. The cache holds whole chats and evicts the least recently used one. The first token of a
// response is the request's last message, so that a caller can tell its own response from another's.
//
// Headers: X-Request-Id is echoed; X-Cache-Key names the chat's cache entry; X-Resume-Position is the
// number of tokens that a stream skips; X-Priority is ignored. Besides chats the engine serves /load
// (a load report that lags), /cache (the cached keys and the number of the last event),
// /cache/events (one page of events), /cache/export and /cache/import (one context), and /orders
// (GET: what is loaded; POST: an order to change it).
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

// Faults selects the faults to inject. The zero value is a healthy engine.
type Faults struct {
	// CutAfter aborts responses after that many tokens, without the end marker of a stream. Any
	// value above 0 also aborts exports of contexts halfway.
	CutAfter int
	// StallAfter stops sending after that many tokens until the caller disconnects.
	StallAfter int
	// Crossed sends another request's id in X-Request-Id.
	Crossed bool
	// LoseEvents drops every nth cache event; 0 drops none.
	LoseEvents int
	// Status, if not 0, is the HTTP status with which requests are refused before they run.
	Status int
	// CrashOn is the prefix of the last messages that crash the engine, at token CrashAt. Empty for
	// none.
	CrashOn string
	CrashAt int
}

// Engine is the fake engine. Set the exported fields before use.
type Engine struct {
	Clock core.Clock
	Model string
	// TokenEvery is the time of a step with one request; each further request adds PerRequest.
	// PrefillEvery is the time to prefill one uncached prompt token.
	TokenEvery   time.Duration
	PerRequest   time.Duration
	PrefillEvery time.Duration
	// CacheTokens is the capacity of the prefix cache; 0 means 100,000.
	CacheTokens int
	// ReportLag is the age of the work that /load reports.
	ReportLag time.Duration
	// ChecksFence makes the engine refuse orders whose fencing number is lower than one it has
	// seen.
	ChecksFence bool
	// Version is the model version at the start and LoadTime the time that a load takes. Weights,
	// if set, is the URL of the weight store that a load fetches from first.
	Version  string
	LoadTime time.Duration
	Weights  string
	Audit    *audit.Audit
	// Crash closes the engine's connections and lets it accept none for a while. Required for
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

// Stats counts requests, tokens, orders and imported contexts.
type Stats struct {
	Requests, Whole, Tokens, PromptTokens, CachedTokens, Orders, RefusedOrders int
	// Interrupted counts requests that were running when a load started, or that arrived during
	// one.
	Interrupted int
	// Imports counts contexts imported from other engines.
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

// SetFaults replaces the injected faults.
func (en *Engine) SetFaults(fa Faults) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.faults = fa
}

// Stats returns the counts so far.
func (en *Engine) Stats() Stats {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.stats
}

// Work returns the work of the running requests, which /load reports ReportLag later.
func (en *Engine) Work() int {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.work
}

// Handler returns the handler of the engine's protocol.
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

// defaultMaxTokens is the response length where the request names none.
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
	re := &response{en: en, rq: rq, wr: wr, fa: fa, nonce: nonce, tokens: tokens, prompt: prompt, hit: hit}
	re.resume, _ = strconv.Atoi(rq.Header.Get("X-Resume-Position"))
	if in.Stream {
		re.writeStream()
	} else {
		re.writeWhole()
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

// response generates the response to one request.
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

// tokenText returns the text of token n of the response, counted from 0.
func (re *response) tokenText(n int) string {
	if n == 0 {
		return re.nonce
	}
	return fmt.Sprintf(" w%d", n)
}

// generate waits for token n. It returns false if the caller disconnected or a fault aborts the
// response.
func (re *response) generate(n int) bool {
	if re.fa.CutAfter > 0 && n == re.fa.CutAfter {
		return false
	}
	if re.fa.StallAfter > 0 && n == re.fa.StallAfter {
		<-re.rq.Context().Done()
	}
	re.en.sleep(re.rq, re.en.stepTime())
	if re.fa.CrashOn != "" && n == re.fa.CrashAt && strings.HasPrefix(re.nonce, re.fa.CrashOn) {
		re.en.Crash()
		return false
	}
	if re.rq.Context().Err() != nil {
		return false
	}
	re.en.tokenDone()
	return true
}

func (re *response) writeStream() {
	re.wr.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(re.wr)
	var all strings.Builder
	for n := range re.tokens {
		if n < re.resume {
			all.WriteString(re.tokenText(n))
			continue
		}
		if !re.generate(n) {
			panic(http.ErrAbortHandler)
		}
		all.WriteString(re.tokenText(n))
		text, _ := json.Marshal(re.tokenText(n))
		fmt.Fprintf(re.wr, "data: {\"object\":\"chat.completion.chunk\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%s}}]}\n\n", text)
		_ = flush.Flush()
	}
	fmt.Fprintf(re.wr, "data: {\"object\":\"chat.completion.chunk\",\"choices\":[],\"usage\":%s}\n\n", re.usage())
	re.recordSent(all.String())
	fmt.Fprint(re.wr, "data: [DONE]\n\n")
	_ = flush.Flush()
}

func (re *response) writeWhole() {
	var all strings.Builder
	for n := range re.tokens {
		if !re.generate(n) {
			panic(http.ErrAbortHandler)
		}
		all.WriteString(re.tokenText(n))
	}
	text, _ := json.Marshal(all.String())
	re.recordSent(all.String())
	re.wr.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(re.wr, `{"object":"chat.completion","model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%s},"finish_reason":"stop"}],"usage":%s}`,
		re.en.Model, text, re.usage())
}

func (re *response) usage() string {
	return fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d,"prompt_tokens_details":{"cached_tokens":%d}}`,
		re.prompt, re.tokens, re.prompt+re.tokens, re.hit)
}

func (re *response) recordSent(answer string) {
	if re.en.Audit != nil {
		re.en.Audit.RecordSent(re.nonce, answer)
	}
	re.en.mu.Lock()
	re.en.stats.Whole++
	re.en.mu.Unlock()
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
