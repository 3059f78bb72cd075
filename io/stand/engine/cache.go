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
	eventsKept         = 10_000
	reportsKept        = 1_000
	eventPage          = 1_000
)

func (en *Engine) initCache() {
	if en.cache == nil {
		en.cache, _ = simplelru.NewLRU[string, int](maxCacheEntries, nil)
	}
}

// lookup is how many of the prompt's tokens are cached for the chat.
func (en *Engine) lookup(key string, prompt int) int {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.initCache()
	held, _ := en.cache.Get(key)
	hit := min(held, prompt)
	en.served.PromptTokens += prompt
	en.served.CachedTokens += hit
	return hit
}

// store keeps the chat, evicting others until it fits.
func (en *Engine) store(key string, tokens int) {
	if key == "" {
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	en.initCache()
	most := en.CacheTokens
	if most == 0 {
		most = defaultCacheTokens
	}
	if old, known := en.cache.Peek(key); known {
		en.cached -= old
	}
	en.cache.Add(key, tokens)
	en.cached += tokens
	en.event("Stored", key)
	for en.cached > most && en.cache.Len() > 1 {
		gone, size, _ := en.cache.RemoveOldest()
		en.cached -= size
		en.event("Evicted", gone)
	}
}

// event publishes a change, unless it is ordered to be lost.
func (en *Engine) event(kind, key string) {
	en.eventSeq++
	if lose := en.faults.LoseEvents; lose > 0 && en.eventSeq%uint64(lose) == 0 {
		return
	}
	en.events = append(en.events, Event{Seq: en.eventSeq, Kind: kind, Key: key})
	if len(en.events) > eventsKept {
		en.events = en.events[1:]
	}
}

func (en *Engine) listCache(wr http.ResponseWriter, _ *http.Request) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.initCache()
	writeJSON(wr, struct {
		Seq  uint64
		Keys []string
	}{en.eventSeq, en.cache.Keys()})
}

func (en *Engine) cacheEvents(wr http.ResponseWriter, rq *http.Request) {
	after, err := strconv.ParseUint(rq.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(wr, "after: not a number", http.StatusBadRequest)
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	page := []Event{}
	for _, ev := range en.events {
		if ev.Seq > after && len(page) < eventPage {
			page = append(page, ev)
		}
	}
	writeJSON(wr, page)
}

// note records the load for later reports.
func (en *Engine) note() {
	en.reports = append(en.reports, report{en.Clock.Now(), en.work})
	if len(en.reports) > reportsKept {
		en.reports = en.reports[1:]
	}
}

// load reports the work as it was ReportLag ago.
func (en *Engine) load(wr http.ResponseWriter, _ *http.Request) {
	en.mu.Lock()
	defer en.mu.Unlock()
	seen := en.Clock.Now().Add(-en.ReportLag)
	work := 0
	for _, re := range en.reports {
		if re.at.After(seen) {
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
