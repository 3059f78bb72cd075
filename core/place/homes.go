package place

import (
	"almondrill/core"
	"almondrill/core/ring"
)

// homes are the best endpoints for a chat by rendezvous hashing, in order. All routers agree on
// them without messages. Requests of a chat share all parts but the last, and these determine its
// homes. A prefix that several chats share is prefilled once on each endpoint: if chats with a
// common prefix were kept on a few endpoints, these would reach the load cap.
type homes struct {
	list  [maxHomes]*state
	count int
}

// insert adds the endpoint if it scores higher than one of the homes or there are fewer than
// maxHomes.
func (ho *homes) insert(st *state) {
	at := ho.count
	for at > 0 && ho.list[at-1].scratch.homeScore < st.scratch.homeScore {
		at--
	}
	if at == maxHomes {
		return
	}
	ho.count = min(ho.count+1, maxHomes)
	copy(ho.list[at+1:ho.count], ho.list[at:])
	ho.list[at] = st
}

// rank returns the endpoint's position among the homes, from 0, and false if it is none of them.
func (ho *homes) rank(st *state) (int, bool) {
	for ix := range ho.count {
		if ho.list[ix] == st {
			return ix, true
		}
	}
	return 0, false
}

// chatKey returns the key from which a prompt's homes are derived.
func chatKey(prefixes []uint64) uint64 { return prefixes[max(0, len(prefixes)-2)] }

// homeScore is the rendezvous hash of the endpoint for a key.
func (st *state) homeScore(key uint64) uint64 { return ring.Mix(st.idHash, key) }

func promptTokens(parts []Part) core.Tokens {
	var sum core.Tokens
	for _, pa := range parts {
		sum += pa.Tokens
	}
	return sum
}

// prefixHashes hashes each part with all parts before it: an engine can use a cached part only
// behind the same prefix.
func prefixHashes(parts []Part) []uint64 {
	prefixes := make([]uint64, len(parts))
	var key uint64
	for ix, pa := range parts {
		key = ring.Mix(key, pa.Hash)
		prefixes[ix] = key
	}
	return prefixes
}
