package place

import (
	"slices"
	"time"

	"almondrill/core"
	"almondrill/core/ring"
)

// homesOf are the endpoints on which all routers agree for a prompt, without a word.
// Prompts that return together are named by all parts but the last, which is the
// request's own. What several chats begin with is read once on each endpoint: keeping
// such chats together on a few would save that, but a few of 47 endpoints are then at
// the cap all the time, and a sixth of the calls leave their homes.
func homesOf(members []*state, chain []uint64, most int) []*state {
	if len(chain) == 0 {
		return nil
	}
	return highest(members, chain[max(0, len(chain)-2)], most)
}

// highest are the count members that score highest for the key.
func highest(members []*state, key uint64, count int) []*state {
	best := make([]*state, 0, count+1)
	for _, st := range members {
		score := ring.Mix(st.name, key)
		at := len(best)
		for at > 0 && ring.Mix(best[at-1].name, key) < score {
			at--
		}
		if at < count {
			best = slices.Insert(best, at, st)
			best = best[:min(count, len(best))]
		}
	}
	return best
}

// holderOf is the endpoint, of those that can be reached, that is known to hold
// most of the prompt; one that is draining or full still hands its memory on.
func (pl *Placer) holderOf(now time.Time, members []*state, parts []Part, chain []uint64) (*state, core.Tokens) {
	var best *state
	var most core.Tokens
	equal := 0
	all := promptTokens(parts)
	for _, st := range members {
		if st.missing || st.health.avoid(now, st.calls) {
			continue
		}
		held := all - st.uncached(parts, chain, 0)
		switch {
		case held > most:
			best, most, equal = st, held, 1
		case held == most && best != nil:
			if equal++; pl.oneOf(equal) {
				best = st
			}
		}
	}
	return best, most
}

// formerHome is where a prompt's home was before endpoints joined and left of late.
// A router that has no record of the prompt finds it there, as its peers sent it.
func (pl *Placer) formerHome(now time.Time, members []*state, parts []Part, chain []uint64) (*state, core.Tokens) {
	if len(parts) < 2 {
		return nil, 0
	}
	var before []*state
	for _, st := range members {
		settled := now.Sub(st.since) > settledAfter || st.since.Sub(pl.began) < startTime
		if settled && !st.missing && !st.health.avoid(now, st.calls) {
			before = append(before, st)
		}
	}
	if len(before) == 0 {
		return nil, 0
	}
	shared := promptTokens(parts[:len(parts)-1])
	return homesOf(before, chain, 1)[0], core.Tokens(homeCached * float64(shared))
}

func promptTokens(parts []Part) core.Tokens {
	var sum core.Tokens
	for _, pa := range parts {
		sum += pa.Tokens
	}
	return sum
}

// chainOf hashes each part with all before it: a part is of use to an engine
// only behind the same beginning.
func chainOf(parts []Part) []uint64 {
	chain := make([]uint64, len(parts))
	var key uint64
	for ix, pa := range parts {
		key = ring.Mix(key, pa.Hash)
		chain[ix] = key
	}
	return chain
}
