package gossip

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"almondrill/core/elect"
)

// watcherSize is the size of a watcher in a message: four bytes of its hash, and two of the age of
// its last answer from the store in ms.
const watcherSize = 6

func packWatchers(now time.Time, watchers []elect.Watcher) []byte {
	var packed []byte
	for _, wa := range watchers {
		packed = binary.BigEndian.AppendUint32(packed, uint32(wa.Hash))
		packed = binary.BigEndian.AppendUint16(packed, uint16(min(math.MaxUint16, max(0, now.Sub(wa.At).Milliseconds()))))
	}
	return packed
}

func unpackWatchers(now time.Time, packed []byte) []elect.Watcher {
	var watchers []elect.Watcher
	for ; len(packed) >= watcherSize; packed = packed[watcherSize:] {
		age := time.Duration(binary.BigEndian.Uint16(packed[4:])) * time.Millisecond
		watchers = append(watchers, elect.Watcher{Hash: elect.Hash(binary.BigEndian.Uint32(packed)), At: now.Add(-minTransitDelay - age)})
	}
	return watchers
}

// watcherHash orders this router among the watchers.
func (gr *Group) watcherHash() elect.Hash { return elect.Hash(xxhash.Sum64String(gr.Addr) >> 32) }

// electedWatchers are the elected watchers of the store, as far as known here. The lock is held.
func (gr *Group) electedWatchers(now time.Time) []elect.Watcher {
	gr.watchers.Apply(now, []elect.Watcher{{Hash: gr.watcherHash(), At: now.Add(-gr.Feed.OwnAge())}})
	return gr.watchers.Elected(now)
}

// IsWatcher reports whether this router is to watch the store on behalf of all.
func (gr *Group) IsWatcher() bool {
	ownAge := gr.Feed.OwnAge()
	gr.mu.Lock()
	defer gr.mu.Unlock()
	now := time.Now()
	starting := gr.started.IsZero() || now.Sub(gr.started) < startGrace
	if starting && len(gr.members) > 0 && gr.announced.IsZero() && ownAge > startGrace {
		return false
	}
	return gr.watchers.IsElected(now, gr.watcherHash(), gr.healthyBefore(), ownAge)
}

// healthyBefore is how many live peers whose calls to the store do not fail precede this router.
func (gr *Group) healthyBefore() int {
	return gr.rank(func(me *member) bool { return !me.failing })
}

// TakeoverDelay is how much longer than the first standby routers this router waits for a
// confirmation by the store before it calls the store itself. An isolated router does not wait for
// others.
func (gr *Group) TakeoverDelay() time.Duration {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if gr.membership.SilentFor(time.Now()) > isolatedAfter {
		return 0
	}
	return elect.TakeoverDelay(gr.rank(anyMember))
}
