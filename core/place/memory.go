package place

import (
	"fmt"
	"math"
	"time"

	"almondrill/core"
)

// Load pattern: a load of more than twice the usual one fills the slots of all engines for seconds,
// and a part of the requests has long prompts. Where several of these meet on one engine, its
// memory is full before its slots are: the engine preempts running streams, and prefills their
// prompts again. An engine therefore gets a call only if it has memory for the prompt and the
// expected response, as long as another engine has that memory.

// memoryMeanSpan is the time over which the mean memory of a call is averaged. A router among
// hundreds has ten calls in progress, so that the current ones alone are too few.
const memoryMeanSpan = 5 * time.Second

// statusTooLarge is the status of a refusal of a request that no engine has memory for: 413, as in HTTP.
const statusTooLarge = 413

// engineMemory is what this router's calls in progress hold of an engine's memory.
type engineMemory struct {
	// tokens counts parts that several calls share once.
	tokens core.Tokens
	parts  map[uint64]heldPart // by the hash of the prefix
}

// heldPart is a prompt part that calls in progress hold.
type heldPart struct {
	tokens core.Tokens
	calls  int
}

// memoryUse is the memory that this router's calls in progress hold in a pool, and its course over
// time.
type memoryUse struct {
	tokens core.Tokens
	calls  int
	// tokenTime and callTime are integrals of tokens and calls over seconds, freed is the sum of the
	// tokens of ended calls, span the seconds covered, all up to at. Older seconds count less.
	tokenTime, callTime, freed, span float64
	at                               time.Time
}

func (pl *Placer) poolMemoryOf(pool core.PoolID) *memoryUse {
	us := pl.memories[pool]
	if us == nil {
		us = &memoryUse{}
		pl.memories[pool] = us
	}
	return us
}

// change adds calls and tokens after the integrals were brought up to now.
func (us *memoryUse) change(now time.Time, calls int, tokens core.Tokens) {
	us.advance(now)
	us.calls += calls
	us.tokens += tokens
	if calls < 0 {
		us.freed -= float64(tokens)
	}
}

func (us *memoryUse) advance(now time.Time) {
	past := now.Sub(us.at).Seconds()
	if us.at.IsZero() || past <= 0 {
		us.at = now
		return
	}
	keep := math.Exp(-past / memoryMeanSpan.Seconds())
	us.tokenTime = keep*us.tokenTime + past*float64(us.tokens)
	us.callTime = keep*us.callTime + past*float64(us.calls)
	us.freed *= keep
	us.span = keep*us.span + past
	us.at = now
}

// freedPerSecond returns how much memory ended calls of this router have freed per second, 0 if it
// is not known yet.
func (us *memoryUse) freedPerSecond(now time.Time) float64 {
	us.advance(now)
	if us.span <= 0 {
		return 0
	}
	return us.freed / us.span
}

// meanTokens returns the mean memory of a call in progress. Calls count by the time that they take,
// as they do in the counts of peers' calls that the mean is multiplied with.
func (us *memoryUse) meanTokens(now time.Time) float64 {
	us.advance(now)
	if us.callTime > 0 {
		return us.tokenTime / us.callTime
	}
	return float64(us.tokens) / float64(max(1, us.calls))
}

// memoryNeed is what a call takes of an engine's memory, apart from what it shares.
type memoryNeed struct {
	// limit is the memory of an engine, 0 if memory is not considered.
	limit core.Tokens
	// prompt and output are the tokens of the call, meanTokens is the mean of the pool's calls.
	prompt, output core.Tokens
	meanTokens     float64
}

// considersMemory reports whether the request says what it takes of an engine's memory.
func (rq *Request) considersMemory() bool {
	return rq.Engine && rq.EngineMemory > 0 && rq.output() > 0
}

// output returns how many tokens the response is expected to have in all, 0 if unknown.
func (rq *Request) output() core.Tokens { return max(rq.ExpectedOutput, rq.Produced) }

func (pl *Placer) memoryNeed(now time.Time, rq *Request) memoryNeed {
	if !rq.considersMemory() {
		return memoryNeed{}
	}
	return memoryNeed{
		limit:  rq.EngineMemory,
		prompt: promptTokens(rq.Parts), output: rq.output(),
		meanTokens: pl.poolMemoryOf(rq.Pool).meanTokens(now),
	}
}

// tooLarge reports whether the call fits no engine, even an empty one.
func (mn *memoryNeed) tooLarge() bool {
	return mn.limit > 0 && (mn.prompt > mn.limit || mn.output > mn.limit-mn.prompt)
}

// freeMemory returns how much of the endpoint's memory may still be filled, given the calls of
// peers. It is negative if a request that waits has reserved the endpoint and lacks memory.
func (ch *choice) freeMemory(st *state, peerCalls int) core.Tokens {
	free := ch.memory.limit - st.memory.tokens - ch.peerTokens(st, peerCalls)
	if st.reservedBy != nil {
		free -= st.reservedBy.need
	}
	return free
}

// hasRoom reports whether the endpoint has memory for the call. An endpoint without calls has room
// for each call that is not too large for any.
func (ch *choice) hasRoom(st *state) bool {
	mn := &ch.memory
	switch {
	case mn.limit == 0:
		return true
	case st.ownCalls+st.scratch.peerCalls == 0:
		return !mn.tooLarge()
	}
	need, free := mn.prompt+mn.output, ch.freeMemory(st, st.scratch.peerCalls)
	if need <= free {
		return true
	}
	if ch.rq.MigrateFrom != "" {
		return false // the copy shares nothing
	}
	return need-st.memory.sharedTokens(ch.rq.Parts, ch.prefixes) <= free
}

// sharedTokens returns how much of the prompt calls in progress hold already.
func (em *engineMemory) sharedTokens(parts []Part, prefixes []uint64) core.Tokens {
	var shared core.Tokens
	for ix, pa := range parts {
		if em.parts[prefixes[ix]].calls == 0 {
			break
		}
		shared += pa.Tokens
	}
	return shared
}

// hold adds a call's prompt and response, and returns by how much the memory in use grew.
func (em *engineMemory) hold(parts []Part, prefixes []uint64, output core.Tokens) core.Tokens {
	if em.parts == nil {
		em.parts = map[uint64]heldPart{}
	}
	grown := output
	for ix, pa := range parts {
		held := em.parts[prefixes[ix]]
		if held.calls == 0 {
			grown += pa.Tokens
			held.tokens = pa.Tokens
		}
		held.calls++
		em.parts[prefixes[ix]] = held
	}
	em.tokens += grown
	return grown
}

// release undoes hold, and returns by how much the memory in use shrank.
func (em *engineMemory) release(prefixes []uint64, output core.Tokens) core.Tokens {
	shrunk := output
	for _, prefix := range prefixes {
		held := em.parts[prefix]
		if held.calls--; held.calls > 0 {
			em.parts[prefix] = held
			continue
		}
		shrunk += held.tokens
		delete(em.parts, prefix)
	}
	em.tokens -= shrunk
	return shrunk
}

// holdMemory counts the memory of a call that was placed.
func (tk *Ticket) holdMemory(now time.Time) {
	rq := tk.request
	if !rq.considersMemory() {
		return
	}
	tk.heldOutput = rq.output()
	tk.pl.poolMemoryOf(rq.Pool).change(now, 1, tk.st.memory.hold(rq.Parts, tk.prefixes, tk.heldOutput))
}

// releaseMemory ends what holdMemory began.
func (tk *Ticket) releaseMemory(now time.Time) {
	if tk.heldOutput == 0 {
		return
	}
	tk.pl.poolMemoryOf(tk.request.Pool).change(now, -1, -tk.st.memory.release(tk.prefixes, tk.heldOutput))
	tk.heldOutput = 0
}

// RecordOutput records how many tokens of the response have arrived, including those that were
// produced before a migration. A response that becomes longer
// than expected holds more memory.
func (tk *Ticket) RecordOutput(now time.Time, tokens core.Tokens) {
	tk.pl.mu.Lock()
	defer tk.pl.mu.Unlock()
	if tk.heldOutput == 0 || tokens <= tk.heldOutput {
		return
	}
	more := tokens - tk.heldOutput
	tk.heldOutput = tokens
	tk.st.memory.tokens += more
	tk.pl.poolMemoryOf(tk.request.Pool).change(now, 0, more)
}

// refuseForMemory completes the refusal of a call that only lacks memory.
func (ch *choice) refuseForMemory(pl *Placer, re *core.Refusal) {
	need := ch.memory.prompt + ch.memory.output
	if ch.memory.tooLarge() {
		re.Reason, re.Status, re.RetryAfter = core.ReasonTooLarge, statusTooLarge, 0
		re.Detail = "the request needs more memory than an engine has"
		re.Basis = fmt.Sprintf("needs %d tokens, engines have %d", need, ch.rq.EngineMemory)
		return
	}
	re.Reason, re.RetryAfter = core.ReasonMemoryFull, ch.fullRetryAfter(pl)
	re.Detail = "no engine of the pool has memory for the request"
	re.Basis = fmt.Sprintf("needs %d tokens, at most %d free of %d; %d of %d endpoints lack memory, %d full; a call has %.0f",
		need, ch.freestTokens, ch.rq.EngineMemory, ch.noRoomCount, ch.openCount, ch.fullCount, ch.memory.meanTokens)
}

// addIfRoom marks an endpoint as usable if it has memory for the call, and otherwise counts it as
// one that has not.
func (ch *choice) addIfRoom(pl *Placer, st *state) {
	if ch.hasRoom(st) {
		ch.addUsable(pl, st)
		return
	}
	ch.noRoomCount++
	need := ch.memory.prompt + ch.memory.output - st.memory.sharedTokens(ch.rq.Parts, ch.prefixes)
	if ch.noRoomCount == 1 || need < ch.leastNeed {
		ch.leastNeed = need
	}
	if st.reservedBy != nil {
		return
	}
	if free := ch.freeMemory(st, st.scratch.peerCalls); ch.freest == nil || free > ch.freestTokens {
		ch.freest, ch.freestTokens = st, free
	}
}
