package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store. A removed key stays as an item without a value.
type item struct {
	Key     string
	Value   []byte
	Rev     uint64
	Created uint64
	Lease   uint64
	Deleted bool `json:",omitempty"`
}

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	mu      sync.Mutex // guards all below
	rev     uint64
	items   map[string]item
	events  []item
	leases  map[uint64]time.Time
	ttls    map[uint64]time.Duration
	lastID  uint64
	changed chan struct{}
	// away is closed when the store answers again; nil while it answers.
	away chan struct{}
	// delayed are the writes of workers and the operator while it does not.
	delayed []func()
}

// pause makes the store silent, or lets it answer again. Calls that come while it is silent get no answer and have no
// effect; what workers and the operator have to write is written when it is back.
func (st *store) pause(silent bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if silent {
		st.away = make(chan struct{})
		close(st.changed) // no watch is left waiting
		st.changed = make(chan struct{})
		return
	}
	close(st.away)
	st.away = nil
	for _, write := range st.delayed {
		write()
	}
	st.delayed = nil
}

// hang holds a call that comes while the store is silent, until its channel ends.
func (st *store) hang(next http.Handler) http.Handler {
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		st.mu.Lock()
		away := st.away
		st.mu.Unlock()
		if away != nil {
			<-rq.Context().Done()
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(wr, rq)
	})
}

func newStore() *store {
	return &store{
		rev: 100, items: map[string]item{}, leases: map[uint64]time.Time{},
		ttls: map[uint64]time.Duration{}, lastID: 7000, changed: make(chan struct{}),
	}
}

// serve answers calls at the address until the process ends.
func (st *store) serve(addr string) error {
	li, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+names.StorePath+"key", st.get)
	mux.HandleFunc("GET "+names.StorePath+"range", st.list)
	mux.HandleFunc("GET "+names.StorePath+"watch", st.watch)
	mux.HandleFunc("POST "+names.StorePath+"txn", st.txn)
	mux.HandleFunc("POST "+names.StorePath+"lease", st.grant)
	mux.HandleFunc("POST "+names.StorePath+"keep/{id}", st.keep)
	mux.HandleFunc("DELETE "+names.StorePath+"lease-end/{id}", st.end)
	go func() { _ = http.Serve(li, st.hang(mux)) }()
	go func() {
		for range time.Tick(100 * time.Millisecond) {
			st.expire()
		}
	}()
	return nil
}

// set writes a key as the operator or a worker does; nil removes it.
func (st *store) set(key string, value []byte) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.away != nil {
		st.delayed = append(st.delayed, func() { st.write(key, value, 0) })
		return
	}
	st.write(key, value, 0)
}

// write must be called with the lock held.
func (st *store) write(key string, value []byte, lease uint64) {
	old, was := st.items[key]
	if value == nil && !was {
		return
	}
	st.rev++
	it := item{Key: key, Value: value, Rev: st.rev, Created: st.rev, Lease: lease, Deleted: value == nil}
	if was {
		it.Created = old.Created
	}
	if it.Deleted {
		delete(st.items, key)
	} else {
		st.items[key] = it
	}
	st.events = append(st.events, it)
	close(st.changed)
	st.changed = make(chan struct{})
}

func (st *store) expire() {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.away != nil {
		return // leases pause
	}
	for id, until := range st.leases {
		if time.Now().After(until) {
			st.endLease(id)
		}
	}
}

// endLease must be called with the lock held.
func (st *store) endLease(id uint64) {
	delete(st.leases, id)
	for key, it := range st.items {
		if it.Lease == id {
			st.write(key, nil, 0)
		}
	}
}

func reply(wr http.ResponseWriter, status int, body any) {
	wr.Header().Set("Content-Type", "application/json")
	wr.Header().Set("Store-Era", "1")
	wr.WriteHeader(status)
	_ = json.NewEncoder(wr).Encode(body)
}

func (st *store) get(wr http.ResponseWriter, rq *http.Request) {
	st.mu.Lock()
	defer st.mu.Unlock()
	it, was := st.items[rq.URL.Query().Get("Key")]
	if !was {
		reply(wr, http.StatusNotFound, struct{ AsOf uint64 }{st.rev})
		return
	}
	reply(wr, http.StatusOK, it)
}

const pageSize = 500

func (st *store) list(wr http.ResponseWriter, rq *http.Request) {
	st.mu.Lock()
	defer st.mu.Unlock()
	prefix, after := rq.URL.Query().Get("PathPrefix"), rq.URL.Query().Get("After")
	found := []item{}
	for key, it := range st.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	sort.Slice(found, func(one, two int) bool { return found[one].Key < found[two].Key })
	more := len(found) > pageSize
	reply(wr, http.StatusOK, struct {
		Entries   []item
		MorePages bool
		AsOf      uint64
	}{found[:min(pageSize, len(found))], more, st.rev})
}

func (st *store) watch(wr http.ResponseWriter, rq *http.Request) {
	query := rq.URL.Query()
	after, _ := strconv.ParseUint(query.Get("After"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("WaitMs"))
	until := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		st.mu.Lock()
		found := []item{}
		for _, it := range st.events {
			if it.Rev > after && strings.HasPrefix(it.Key, query.Get("PathPrefix")) {
				found = append(found, it)
			}
		}
		rev, changed, ahead, away := st.rev, st.changed, after > st.rev, st.away
		st.mu.Unlock()
		if away != nil {
			<-rq.Context().Done()
			return
		}
		body := struct {
			Events []item `json:"events"`
			AsOf   uint64
		}{found, rev}
		switch {
		case ahead:
			reply(wr, http.StatusGone, struct{}{})
			return
		case len(found) > 0:
			reply(wr, http.StatusOK, body)
			return
		}
		select {
		case <-changed:
		case <-until:
			reply(wr, http.StatusOK, body)
			return
		case <-rq.Context().Done():
			return
		}
	}
}

func (st *store) txn(wr http.ResponseWriter, rq *http.Request) {
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
		reply(wr, http.StatusBadRequest, struct{}{})
		return
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	for _, ex := range in.ExpectRev {
		if st.items[ex.Key].Rev != ex.Rev {
			reply(wr, http.StatusPreconditionFailed, struct{ Entries []item }{[]item{st.items[ex.Key]}})
			return
		}
	}
	for _, se := range in.SetKeys {
		if _, alive := st.leases[se.Lease]; se.Lease != 0 && !alive {
			reply(wr, http.StatusNotFound, struct{}{})
			return
		}
	}
	for _, se := range in.SetKeys {
		st.write(se.Key, se.Value, se.Lease)
	}
	for _, key := range in.Remove {
		st.write(key, nil, 0)
	}
	reply(wr, http.StatusOK, struct{ Rev uint64 }{st.rev})
}

func (st *store) grant(wr http.ResponseWriter, rq *http.Request) {
	var in struct{ TtlMs int64 } //nolint:revive // the store's spelling
	_ = json.NewDecoder(rq.Body).Decode(&in)
	ttl := time.Duration(in.TtlMs) * time.Millisecond
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lastID++
	st.leases[st.lastID], st.ttls[st.lastID] = time.Now().Add(ttl), ttl
	reply(wr, http.StatusOK, struct {
		Lease uint64
		TtlMs int64 //nolint:revive // the store's spelling
	}{st.lastID, in.TtlMs})
}

func (st *store) keep(wr http.ResponseWriter, rq *http.Request) {
	id, _ := strconv.ParseUint(rq.PathValue("id"), 10, 64)
	st.mu.Lock()
	defer st.mu.Unlock()
	if _, alive := st.leases[id]; !alive {
		reply(wr, http.StatusNotFound, struct{}{})
		return
	}
	st.leases[id] = time.Now().Add(st.ttls[id])
	reply(wr, http.StatusOK, struct{ TtlMs int64 }{st.ttls[id].Milliseconds()}) //nolint:revive // the store's spelling
}

func (st *store) end(wr http.ResponseWriter, rq *http.Request) {
	id, _ := strconv.ParseUint(rq.PathValue("id"), 10, 64)
	st.mu.Lock()
	defer st.mu.Unlock()
	st.endLease(id)
	reply(wr, http.StatusOK, struct{}{})
}

// registration is the value of a worker's entry.
func registration(service, addr, zone, version, state string, slots int, born int64) []byte {
	return fmt.Appendf(nil, `{"Service":%q,"Address":%q,"Zone":%q,"Version":%q,"Slots":%d,"State":%q,"ColdLeftMs":0,"SeqNo":1,"born":%d}`,
		service, addr, zone, version, slots, state, born)
}
