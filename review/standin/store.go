package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in of the platform's store. It keeps all of its history.
type store struct {
	addr string

	mu        sync.Mutex // guards all below
	rev       uint64
	lastLease uint64
	items     map[string]storeItem
	history   []storeItem
	leases    map[uint64]*storeLease
	changed   chan struct{}
	// downUntil is the end of an outage.
	downUntil time.Time
}

// storeLease ends, and removes its keys, when its timer fires.
type storeLease struct {
	timer *time.Timer
	ttl   time.Duration
}

// storeItem is an item, or its deletion.
type storeItem struct {
	Key     string
	Value   []byte `json:",omitempty"`
	Rev     uint64
	Created uint64 `json:",omitempty"`
	Lease   uint64 `json:",omitempty"`
	Deleted bool   `json:",omitempty"`
}

const (
	storePage       = 500
	maxWatchWait    = 30 * time.Second
	storeAnswerTime = 4 * time.Millisecond
	minLeaseTTL     = time.Second
)

// startStore serves a store on the address.
func startStore(addr string) (*store, error) {
	li, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	st := &store{addr: li.Addr().String(), items: map[string]storeItem{}, leases: map[uint64]*storeLease{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names.StorePath+"key", st.handleKey)
	mux.HandleFunc("GET "+names.StorePath+"range", st.handleRange)
	mux.HandleFunc("GET "+names.StorePath+"watch", st.handleWatch)
	mux.HandleFunc("POST "+names.StorePath+"txn", st.handleTxn)
	mux.HandleFunc("POST "+names.StorePath+"lease", st.handleLease)
	mux.HandleFunc("POST "+names.StorePath+"keep/{id}", st.handleKeep)
	mux.HandleFunc("DELETE "+names.StorePath+"lease-end/{id}", st.handleLeaseEnd)
	go func() {
		_ = http.Serve(li, http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
			time.Sleep(storeAnswerTime)
			wr.Header().Set("Store-Era", "1")
			if st.isDown() {
				wr.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			mux.ServeHTTP(wr, rq)
		}))
	}()
	return st, nil
}

// goDown makes the store answer all calls with 503 for a while. It loses nothing.
func (st *store) goDown(lasts time.Duration) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.downUntil = time.Now().Add(lasts)
	close(st.changed) // calls that wait end
	st.changed = make(chan struct{})
}

func (st *store) isDown() bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return time.Now().Before(st.downUntil)
}

// put writes a value as JSON, as the operator and the workers do.
func (st *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.write(storeItem{Key: key, Value: data})
}

// remove deletes a key.
func (st *store) remove(key string) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if _, known := st.items[key]; known {
		st.write(storeItem{Key: key, Deleted: true})
	}
}

// write gives the item the next revision. The lock is held.
func (st *store) write(it storeItem) {
	st.rev++
	it.Rev, it.Created = st.rev, st.rev
	if old, known := st.items[it.Key]; known {
		it.Created = old.Created
	}
	st.history = append(st.history, it)
	if it.Deleted {
		delete(st.items, it.Key)
	} else {
		st.items[it.Key] = it
	}
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *store) handleKey(wr http.ResponseWriter, rq *http.Request) {
	st.mu.Lock()
	defer st.mu.Unlock()
	it, known := st.items[rq.URL.Query().Get("Key")]
	if !known {
		wr.WriteHeader(http.StatusNotFound)
		return
	}
	respond(wr, http.StatusOK, struct {
		storeItem
		AsOf uint64
	}{it, st.rev})
}

func (st *store) handleRange(wr http.ResponseWriter, rq *http.Request) {
	st.mu.Lock()
	defer st.mu.Unlock()
	query := rq.URL.Query()
	entries := []storeItem{}
	for key, it := range st.items {
		if strings.HasPrefix(key, query.Get("PathPrefix")) && key > query.Get("After") {
			entries = append(entries, it)
		}
	}
	slices.SortFunc(entries, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	more := len(entries) > storePage
	respond(wr, http.StatusOK, struct {
		Entries   []storeItem
		MorePages bool
		AsOf      uint64
	}{entries[:min(len(entries), storePage)], more, st.rev})
}

func (st *store) handleWatch(wr http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	after, err := strconv.ParseUint(query.Get("After"), 10, 64)
	wait, werr := strconv.ParseInt(query.Get("WaitMs"), 10, 64)
	if err != nil || werr != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.NewTimer(min(maxWatchWait, time.Duration(wait)*time.Millisecond))
	defer end.Stop()
	for waiting := true; ; {
		events, asOf, changed := st.changesAfter(query.Get("PathPrefix"), after)
		if len(events) > 0 || !waiting {
			respond(wr, http.StatusOK, struct {
				Events []storeItem `json:"events"`
				AsOf   uint64
			}{events, asOf})
			return
		}
		select {
		case <-changed:
		case <-end.C:
			waiting = false
		case <-rq.Context().Done():
			return
		}
	}
}

func (st *store) changesAfter(prefix string, after uint64) (events []storeItem, asOf uint64, changed <-chan struct{}) {
	st.mu.Lock()
	defer st.mu.Unlock()
	events = []storeItem{}
	for _, it := range st.history {
		if it.Rev > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events, st.rev, st.changed
}

func (st *store) handleTxn(wr http.ResponseWriter, rq *http.Request) {
	var in struct {
		ExpectRev []struct {
			Key string
			Rev uint64
		}
		SetKeys []struct {
			Key   string
			Value []byte
			Lease uint64
		}
		Remove []string
	}
	if err := json.NewDecoder(rq.Body).Decode(&in); err != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, ex := range in.ExpectRev {
		if st.items[ex.Key].Rev != ex.Rev {
			respond(wr, http.StatusPreconditionFailed, struct{ Entries []storeItem }{[]storeItem{st.items[ex.Key]}})
			return
		}
	}
	for _, se := range in.SetKeys {
		if se.Lease != 0 && st.leases[se.Lease] == nil {
			wr.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(se.Key, "op/") || strings.HasPrefix(se.Key, names.ServersPrefix) {
			wr.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, se := range in.SetKeys {
		st.write(storeItem{Key: se.Key, Value: se.Value, Lease: se.Lease})
	}
	for _, key := range in.Remove {
		if _, known := st.items[key]; known {
			st.write(storeItem{Key: key, Deleted: true})
		}
	}
	respond(wr, http.StatusOK, struct{ Rev uint64 }{st.rev})
}

func (st *store) handleLease(wr http.ResponseWriter, rq *http.Request) {
	var in struct{ TtlMs int64 } //nolint:revive // the store's spelling
	if err := json.NewDecoder(rq.Body).Decode(&in); err != nil {
		wr.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := max(minLeaseTTL, time.Duration(in.TtlMs)*time.Millisecond)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lastLease++
	id := st.lastLease
	st.leases[id] = &storeLease{time.AfterFunc(ttl, func() { st.endLease(id) }), ttl}
	respond(wr, http.StatusOK, struct{ Lease, TtlMs int64 }{int64(id), ttl.Milliseconds()}) //nolint:revive // the store's spelling
}

func (st *store) handleKeep(wr http.ResponseWriter, rq *http.Request) {
	id, _ := strconv.ParseUint(rq.PathValue("id"), 10, 64)
	st.mu.Lock()
	defer st.mu.Unlock()
	le := st.leases[id]
	if le == nil {
		wr.WriteHeader(http.StatusNotFound)
		return
	}
	le.timer.Reset(le.ttl)
	respond(wr, http.StatusOK, struct{ TtlMs int64 }{le.ttl.Milliseconds()}) //nolint:revive // the store's spelling
}

func (st *store) handleLeaseEnd(wr http.ResponseWriter, rq *http.Request) {
	id, _ := strconv.ParseUint(rq.PathValue("id"), 10, 64)
	st.endLease(id)
	respond(wr, http.StatusOK, struct{}{})
}

func (st *store) endLease(id uint64) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.leases[id] == nil {
		return
	}
	st.leases[id].timer.Stop()
	delete(st.leases, id)
	for key, it := range st.items {
		if it.Lease == id {
			st.write(storeItem{Key: key, Deleted: true})
		}
	}
}

func respond(wr http.ResponseWriter, status int, body any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(status)
	_ = json.NewEncoder(wr).Encode(body)
}
