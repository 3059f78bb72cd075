package place

import (
	"almondrill/core"
	"almondrill/core/ring"
)

// homes are the endpoints, in this order, on which all routers agree for a prompt,
// without a word. Prompts that return together are named by all parts but the last, which
// is the request's own. What several chats begin with is read once on each endpoint: kept
// together on a few endpoints, such chats would bring these to the load cap.
type homes struct {
	list  [maxHomes]*state
	count int
}

// insert puts the endpoint in, if it scores higher than one of them or there is room.
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

// rank is the endpoint's place among the homes, from 0; false if it is none.
func (ho *homes) rank(st *state) (int, bool) {
	for ix := range ho.count {
		if ho.list[ix] == st {
			return ix, true
		}
	}
	return 0, false
}

// chatKey is by what the homes of a prompt are found.
func chatKey(prefixes []uint64) uint64 { return prefixes[max(0, len(prefixes)-2)] }

// homeScore is the endpoint's claim on a key, by rendezvous hashing.
func (st *state) homeScore(key uint64) uint64 { return ring.Mix(st.idHash, key) }

func promptTokens(parts []Part) core.Tokens {
	var sum core.Tokens
	for _, pa := range parts {
		sum += pa.Tokens
	}
	return sum
}

// prefixHashes hashes each part with all before it: a part is of use to an engine
// only behind the same beginning.
func prefixHashes(parts []Part) []uint64 {
	prefixes := make([]uint64, len(parts))
	var key uint64
	for ix, pa := range parts {
		key = ring.Mix(key, pa.Hash)
		prefixes[ix] = key
	}
	return prefixes
}
