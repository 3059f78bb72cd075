// Package kvsrv is a small fake of the platform's key-value service, for the demo and for tests.
// Store implements core.KV directly; io/kvrpc serves it over gRPC.
//
// # Concepts
//
// Every write gets the store's next version. Leases expire by the clock, and the entries attached to
// them are deleted. The injectable faults are an outage, slow calls, lost replies to writes that took
// effect, and stale reads.
//
// # Usage
//
//	st := &kvsrv.Store{Clock: clock, Rand: rand, WritesPerSecond: 300}
//	st.SetFaults(kvsrv.Faults{Down: true})
package kvsrv

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"time"

	"almondrill/core"
)

// MaxValue is the largest size of a value, in bytes.
const MaxValue = 1 << 20

// Errors of the fake in addition to those of core.
var (
	// ErrUnavailable means that the service is down; nothing was written.
	ErrUnavailable = errors.New("kv: service unavailable")
	// ErrReplyLost means that the reply was lost; the write may have taken effect.
	ErrReplyLost = errors.New("kv: answer lost")
	// ErrRateLimited means that there were too many calls; nothing was written.
	ErrRateLimited = errors.New("kv: rate limit")
	// ErrTooLarge means that the value exceeds MaxValue; nothing was written.
	ErrTooLarge = errors.New("kv: value too large")
)

// Faults selects the faults to inject. The zero value is a healthy service.
type Faults struct {
	Down bool
	// Delay is added to every call.
	Delay time.Duration
	// ReplyLoss is the fraction of writes that take effect although ErrReplyLost is returned.
	ReplyLoss float64
	// StaleReads makes reads see the store as it was when the fault was set.
	StaleReads bool
}

// Calls counts calls by kind. Watches counts the checks of watches, which are counted as reads too.
type Calls struct {
	Reads, Writes, Watches, Refused int64
}

// Store is the fake service. Set the exported fields before use.
type Store struct {
	Clock core.Clock
	Rand  core.Rand
	// Latency is the duration of a call without faults.
	Latency time.Duration
	// WritesPerSecond and ReadsPerSecond are the rate limits; 0 means none.
	WritesPerSecond int
	ReadsPerSecond  int

	mu      sync.Mutex // guards all below
	entries map[string]entry
	stale   map[string]entry
	leases  map[core.LeaseID]lease
	version core.Version
	faults  Faults
	calls   Calls
	reads   tokenBucket
	writes  tokenBucket
	changed chan struct{}
}

type entry struct {
	value   []byte
	version core.Version
	lease   core.LeaseID
}

type lease struct {
	ttl   time.Duration
	until time.Time
}

type tokenBucket struct {
	tokens float64
	last   time.Time
}

var _ core.KV = (*Store)(nil)

// SetFaults replaces the injected faults.
func (st *Store) SetFaults(fa Faults) {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.init()
	if fa.StaleReads && !st.faults.StaleReads {
		st.stale = make(map[string]entry, len(st.entries))
		for key, en := range st.entries {
			st.stale[key] = en
		}
	}
	st.faults = fa
}

// Calls returns the counts so far.
func (st *Store) Calls() Calls {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.calls
}

// Bytes returns the total size of all keys and values.
func (st *Store) Bytes() core.Bytes {
	st.mu.Lock()
	defer st.mu.Unlock()
	var sum core.Bytes
	for key, en := range st.entries {
		sum += core.Bytes(len(key) + len(en.value))
	}
	return sum
}

func (st *Store) init() {
	if st.entries == nil {
		st.entries = map[string]entry{}
		st.leases = map[core.LeaseID]lease{}
		st.changed = make(chan struct{})
	}
}

// startCall waits for the call's latency and applies faults and rate limits.
func (st *Store) startCall(ctx context.Context, write bool) error {
	st.mu.Lock()
	st.init()
	wait := st.Latency + st.faults.Delay
	st.mu.Unlock()
	if wait > 0 {
		if err := st.Clock.Sleep(ctx, wait); err != nil {
			return err
		}
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.faults.Down {
		return ErrUnavailable
	}
	if !st.admit(write) {
		st.calls.Refused++
		return ErrRateLimited
	}
	return ctx.Err()
}

func (st *Store) admit(write bool) bool {
	if write {
		st.calls.Writes++
		return st.writes.take(st.Clock.Now(), st.WritesPerSecond)
	}
	st.calls.Reads++
	return st.reads.take(st.Clock.Now(), st.ReadsPerSecond)
}

func (bu *tokenBucket) take(now time.Time, perSecond int) bool {
	if perSecond == 0 {
		return true
	}
	capacity := float64(perSecond)
	if bu.last.IsZero() {
		bu.tokens = capacity
	} else {
		bu.tokens = min(capacity, bu.tokens+now.Sub(bu.last).Seconds()*capacity)
	}
	bu.last = now
	if bu.tokens < 1 {
		return false
	}
	bu.tokens--
	return true
}

// expireLeases deletes expired leases and the entries attached to them.
func (st *Store) expireLeases() {
	now := st.Clock.Now()
	for id, le := range st.leases {
		if now.Before(le.until) {
			continue
		}
		delete(st.leases, id)
		for key, en := range st.entries {
			if en.lease == id {
				delete(st.entries, key)
				st.version++
			}
		}
	}
}

// readable returns the entries that reads see.
func (st *Store) readable() map[string]entry {
	st.expireLeases()
	if st.faults.StaleReads {
		return st.stale
	}
	return st.entries
}

// Get implements core.KV.
func (st *Store) Get(ctx context.Context, key string) (core.Entry, error) {
	if err := st.startCall(ctx, false); err != nil {
		return core.Entry{}, err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	en, known := st.readable()[key]
	if !known {
		return core.Entry{}, core.ErrNotFound
	}
	return core.Entry{Key: key, Value: en.value, Version: en.version}, nil
}

// Put implements core.KV.
func (st *Store) Put(ctx context.Context, key string, value []byte, expect core.Version, le core.LeaseID) (core.Version, error) {
	if err := st.startCall(ctx, true); err != nil {
		return 0, err
	}
	if len(value) > MaxValue {
		return 0, ErrTooLarge
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expireLeases()
	if st.entries[key].version != expect {
		return 0, core.ErrConflict
	}
	if _, live := st.leases[le]; le != 0 && !live {
		return 0, core.ErrLeaseExpired
	}
	st.version++
	st.entries[key] = entry{value: slices.Clone(value), version: st.version, lease: le}
	st.notifyWatchers()
	return st.version, st.maybeLoseReply()
}

// Delete implements core.KV.
func (st *Store) Delete(ctx context.Context, key string, expect core.Version) error {
	if err := st.startCall(ctx, true); err != nil {
		return err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expireLeases()
	if en, known := st.entries[key]; !known || en.version != expect {
		return core.ErrConflict
	}
	st.version++
	delete(st.entries, key)
	st.notifyWatchers()
	return st.maybeLoseReply()
}

// maybeLoseReply returns ErrReplyLost for the fraction of writes that Faults.ReplyLoss selects.
func (st *Store) maybeLoseReply() error {
	if st.faults.ReplyLoss > 0 && st.Rand.Float64() < st.faults.ReplyLoss {
		return ErrReplyLost
	}
	return nil
}

func (st *Store) notifyWatchers() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// List implements core.KV.
func (st *Store) List(ctx context.Context, from, to string, limit int) ([]core.Entry, error) {
	if err := st.startCall(ctx, false); err != nil {
		return nil, err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	var found []core.Entry
	for key, en := range st.readable() {
		if key >= from && key < to {
			found = append(found, core.Entry{Key: key, Value: en.value, Version: en.version})
		}
	}
	slices.SortFunc(found, func(one, two core.Entry) int { return strings.Compare(one.Key, two.Key) })
	if limit > 0 && len(found) > limit {
		found = found[:limit]
	}
	return found, nil
}

// Grant implements core.KV.
func (st *Store) Grant(ctx context.Context, ttl time.Duration) (core.LeaseID, error) {
	if err := st.startCall(ctx, true); err != nil {
		return 0, err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.version++
	id := core.LeaseID(st.version)
	st.leases[id] = lease{ttl: ttl, until: st.Clock.Now().Add(ttl)}
	return id, nil
}

// Renew implements core.KV.
func (st *Store) Renew(ctx context.Context, le core.LeaseID) error {
	if err := st.startCall(ctx, true); err != nil {
		return err
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	st.expireLeases()
	current, live := st.leases[le]
	if !live {
		return core.ErrLeaseExpired
	}
	current.until = st.Clock.Now().Add(current.ttl)
	st.leases[le] = current
	return nil
}

// Watch implements core.KV. Each check of the store counts as a read.
func (st *Store) Watch(ctx context.Context, prefix string, after core.Version) (core.Entry, error) {
	for {
		if err := st.startCall(ctx, false); err != nil {
			return core.Entry{}, err
		}
		st.mu.Lock()
		st.calls.Watches++
		found := newest(st.readable(), prefix, after)
		changed := st.changed
		st.mu.Unlock()
		if found != nil {
			return *found, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return core.Entry{}, ctx.Err()
		}
	}
}

func newest(entries map[string]entry, prefix string, after core.Version) *core.Entry {
	var found *core.Entry
	for key, en := range entries {
		if !strings.HasPrefix(key, prefix) || en.version <= after {
			continue
		}
		if found == nil || en.version > found.Version {
			found = &core.Entry{Key: key, Value: en.value, Version: en.version}
		}
	}
	return found
}
