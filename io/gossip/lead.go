package gossip

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"almondrill/core/elect"
)

// followerSize is the size of a follower in a message: four bytes of its hash, two of its last
// answer's age in ms.
const followerSize = 6

func packFollowers(now time.Time, followers []elect.Watcher) []byte {
	var packed []byte
	for _, fo := range followers {
		packed = binary.BigEndian.AppendUint32(packed, uint32(fo.Hash))
		packed = binary.BigEndian.AppendUint16(packed, uint16(min(math.MaxUint16, max(0, now.Sub(fo.At).Milliseconds()))))
	}
	return packed
}

func unpackFollowers(now time.Time, packed []byte) []elect.Watcher {
	var followers []elect.Watcher
	for ; len(packed) >= followerSize; packed = packed[followerSize:] {
		age := time.Duration(binary.BigEndian.Uint16(packed[4:])) * time.Millisecond
		followers = append(followers, elect.Watcher{Hash: elect.Hash(binary.BigEndian.Uint32(packed)), At: now.Add(-way - age)})
	}
	return followers
}

// hash orders this router among those that follow the store.
func (gr *Group) hash() elect.Hash { return elect.Hash(xxhash.Sum64String(gr.Addr) >> 32) }

// followers are the routers that ask the store, as far as is known here. The lock is held.
func (gr *Group) followers(now time.Time) []elect.Watcher {
	gr.leaders.Apply(now, []elect.Watcher{{Hash: gr.hash(), At: now.Add(-gr.Feed.OwnAge())}})
	return gr.leaders.Elected(now)
}

// Leads tells whether this router is to ask the store on behalf of all.
func (gr *Group) Leads() bool {
	followed := gr.Feed.OwnAge()
	gr.mu.Lock()
	defer gr.mu.Unlock()
	now := time.Now()
	starting := gr.began.IsZero() || now.Sub(gr.began) < startGrace
	if starting && len(gr.members) > 0 && gr.announced.IsZero() && followed > startGrace {
		return false
	}
	return gr.leaders.IsElected(now, gr.hash(), gr.wellBefore(), followed)
}

// wellBefore is how many live peers whose calls to the store do not fail come before this router.
func (gr *Group) wellBefore() int {
	return gr.rank(func(me *member) bool { return !me.failing })
}

// Patience is how much longer than the first ones this router waits for a confirmation of the store
// before it asks by itself. One that hears nobody does not wait for others.
func (gr *Group) Patience() time.Duration {
	gr.mu.Lock()
	defer gr.mu.Unlock()
	if gr.alive.SilentFor(time.Now()) > silentFor {
		return 0
	}
	return elect.AskDelay(gr.rank(anyMember))
}
