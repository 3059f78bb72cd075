package place

import (
	"math"
	"time"

	"almondrill/core"
)

// Load pattern: requests with long prompts meet at the homes of their chats. The memory of peers'
// calls there is far above the mean of the pool's calls, so that a count of calls does not show that
// an engine is full. Load reports therefore say how much memory the counted calls hold.

const (
	// tokenStep is the ratio of successive values of a byte that encodes tokens, so that the error
	// is at most 3 %, less than what changes between two reports. The first value is tokenUnit.
	tokenStep = 1.06
	tokenUnit = 64.0
	// maxTokenEntries is the largest number of entries of a report that contains memory: with a byte
	// more for each it fits a datagram. More engines at once are used only by a router that has most
	// of the traffic, and peers then use the mean.
	maxTokenEntries = 200
)

// peerMemory is the memory of peers' calls at an endpoint, as far as reported, and their number.
type peerMemory struct {
	tokens core.Tokens
	calls  int
}

func encodeTokens(tokens core.Tokens) byte {
	if tokens <= 0 {
		return 0
	}
	steps := math.Round(math.Log(float64(tokens)/tokenUnit)/math.Log(tokenStep)) + 1
	return byte(min(math.MaxUint8, max(1, steps)))
}

func decodeTokens(code byte) core.Tokens {
	if code == 0 {
		return 0
	}
	return core.Tokens(tokenUnit * math.Pow(tokenStep, float64(code)-1))
}

// LoadReportWithMemory returns what LoadReport does, and the memory of the calls of each entry in
// the same order; nil if no call considers memory.
func (pl *Placer) LoadReportWithMemory() (calls, memory []byte) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var held core.Tokens
	for _, st := range pl.byID {
		if st.ownCalls > 0 && len(calls) < maxReportEntries*reportEntrySize {
			calls = appendCalls(calls, st)
			memory = append(memory, encodeTokens(st.memory.tokens))
			held += st.memory.tokens
		}
	}
	if held == 0 || len(memory) > maxTokenEntries {
		return calls, nil
	}
	return calls, memory
}

// ApplyLoadReportWithMemory replaces the calls reported by a peer, and their memory, if it reports
// it.
func (pl *Placer) ApplyLoadReportWithMemory(now time.Time, from string, packed, memory []byte) {
	calls := decodeCalls(packed)
	if len(memory) == len(calls) {
		for ix := range calls {
			calls[ix].tokens, calls[ix].tokensKnown = decodeTokens(memory[ix]), true
		}
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.initMaps()
	pl.reports.apply(now, from, calls)
}

// addPeerMemory changes the reported memory of peers' calls at the endpoints with the short hash.
func (pl *Placer) addPeerMemory(endpoint uint16, by peerMemory) {
	for _, st := range pl.byShortHash[endpoint] {
		st.peerMemory.tokens += by.tokens
		st.peerMemory.calls += by.calls
	}
}

// peerTokens estimates the memory of peers' calls at the endpoint. Calls beyond those reported have
// the mean of the pool; if there are fewer by now, the reported memory shrinks with their number.
func (ch *choice) peerTokens(st *state, calls int) core.Tokens {
	known := st.peerMemory
	if known.calls == 0 || calls == 0 {
		return core.Tokens(ch.memory.meanTokens * float64(calls))
	}
	if calls < known.calls {
		return known.tokens * core.Tokens(calls) / core.Tokens(known.calls)
	}
	return known.tokens + core.Tokens(ch.memory.meanTokens*float64(calls-known.calls))
}
