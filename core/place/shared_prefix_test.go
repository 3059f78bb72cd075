package place_test

import (
	"testing"
	"time"

	"almondrill/core"
	"almondrill/core/place"
)

// cache is what an engine has prefilled or fetched, by the hash of each part and all before it.
type cache map[uint64]bool

// missingTokens returns how many tokens of the prompt are not cached, from the first missing part
// on.
func (ca cache) missingTokens(parts []place.Part) core.Tokens {
	var missing core.Tokens
	held := true
	var key uint64
	for _, pa := range parts {
		key = key*31 + pa.Hash
		if held = held && ca[key]; !held {
			missing += pa.Tokens
		}
	}
	return missing
}

func (ca cache) add(parts []place.Part) {
	var key uint64
	for _, pa := range parts {
		key = key*31 + pa.Hash
		ca[key] = true
	}
}

// Load pattern: 120 chats with one of 30 shared prefixes return to nine engines through four
// routers, without pressure. Each chat stays at its home, and the shared prefixes are needed on all
// engines. Prefilled again on each, they delay the calls that run there: 20,400 tokens are
// prefilled that another engine has cached, against 7,800 if they are fetched.
func TestSharedPrefixesAreFetchedNotPrefilled(t *testing.T) {
	const routers, engines, chats, prefixes = 4, 9, 120, 30
	var fleet []*place.Placer
	for range routers {
		pl := newPlacer(routers)
		register(pl, engines)
		fleet = append(fleet, pl)
	}
	caches := map[string]cache{}
	for ix := range engines {
		caches[endpoint(ix).Addr] = cache{}
	}
	var prefilledAgain core.Tokens
	ra := newRand(7)
	for turn := range 1500 {
		now := begin.Add(time.Duration(turn) * 20 * time.Millisecond)
		id := uint64(ra.IntN(chats))
		parts := []place.Part{{Hash: 1 + id%prefixes, Tokens: 300}, {Hash: 1000 + id, Tokens: 4000}, {Hash: 1<<40 + uint64(turn), Tokens: 200}}
		tk := serve(t, fleet[ra.IntN(routers)], now, newRequest(parts))
		here := caches[tk.Endpoint.Addr]
		lacking := here.missingTokens(parts[:2])
		if from := caches[tk.FetchFrom]; from != nil {
			lacking = min(lacking, from.missingTokens(parts[:2]))
		}
		least := core.Tokens(4300)
		for _, other := range caches {
			least = min(least, other.missingTokens(parts[:2]))
		}
		prefilledAgain += lacking - least
		here.add(parts)
	}
	if prefilledAgain > 9000 {
		t.Errorf("%d tokens were prefilled that another engine has cached, want at most 9000", prefilledAgain)
	}
	t.Logf("%d tokens were prefilled that another engine has cached", prefilledAgain)
}
