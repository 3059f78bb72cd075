package engine

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

const (
	defaultCacheTokens = 100_000
	maxCacheEntries    = 1 << 20
	maxEvents          = 10_000
	maxLoadSamples     = 1_000
	eventsPerPage      = 1_000
)

func (en *Engine) initCache() {
	if en.cache == nil {
		en.cache, _ = simplelru.NewLRU[string, int](maxCacheEntries, nil)
	}
}

// lookup returns how many of the prompt's tokens are cached for the chat.
func (en *Engine) lookup(key string, prompt int) int {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.initCache()
	cached, _ := en.cache.Get(key)
	hit := min(cached, prompt)
	en.stats.PromptTokens += prompt
	en.stats.CachedTokens += hit
	return hit
}

// store caches the chat's context and evicts others until the cache fits its limit.
func (en *Engine) store(key string, tokens int) {
	if key == "" {
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	en.initCache()
	limit := en.CacheTokens
	if limit == 0 {
		limit = defaultCacheTokens
	}
	if old, known := en.cache.Peek(key); known {
		en.cached -= old
	}
	en.cache.Add(key, tokens)
	en.cached += tokens
	en.publishEvent("Stored", key)
	for en.cached > limit && en.cache.Len() > 1 {
		evicted, size, _ := en.cache.RemoveOldest()
		en.cached -= size
		en.publishEvent("Evicted", evicted)
	}
}

// publishEvent records a cache event for readers, unless Faults.LoseEvents drops it.
func (en *Engine) publishEvent(kind, key string) {
	en.eventSeq++
	if every := en.faults.LoseEvents; every > 0 && en.eventSeq%uint64(every) == 0 {
		return
	}
	en.events = append(en.events, Event{Seq: en.eventSeq, Kind: kind, Key: key})
	if len(en.events) > maxEvents {
		en.events = en.events[1:]
	}
}

func (en *Engine) handleListCache(wr http.ResponseWriter, _ *http.Request) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.initCache()
	writeJSON(wr, struct {
		Seq  uint64
		Keys []string
	}{en.eventSeq, en.cache.Keys()})
}

func (en *Engine) handleCacheEvents(wr http.ResponseWriter, rq *http.Request) {
	after, err := strconv.ParseUint(rq.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(wr, "after: not a number", http.StatusBadRequest)
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	page := []Event{}
	for _, ev := range en.events {
		if ev.Seq > after && len(page) < eventsPerPage {
			page = append(page, ev)
		}
	}
	writeJSON(wr, page)
}

// recordLoad appends a sample of the current work, which handleLoad reports ReportLag later.
func (en *Engine) recordLoad() {
	en.loadSamples = append(en.loadSamples, loadSample{en.Clock.Now(), en.work})
	if len(en.loadSamples) > maxLoadSamples {
		en.loadSamples = en.loadSamples[1:]
	}
}

// handleLoad reports the work as it was ReportLag ago and the current number of requests.
func (en *Engine) handleLoad(wr http.ResponseWriter, _ *http.Request) {
	en.mu.Lock()
	defer en.mu.Unlock()
	asOf := en.Clock.Now().Add(-en.ReportLag)
	work := 0
	for _, re := range en.loadSamples {
		if re.at.After(asOf) {
			break
		}
		work = re.work
	}
	writeJSON(wr, struct{ Work, Running int }{work, en.running})
}

func writeJSON(wr http.ResponseWriter, value any) {
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(value)
}
