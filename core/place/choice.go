package place

import (
	"time"

	"almondrill/core"
)

// choice is what one Pick weighs the endpoints with.
type choice struct {
	poolStats
	now      time.Time
	rq       *Request
	prefixes []uint64
	// chatKey is by what homes are found; members are all of the pool to which the request may go,
	// also leaving ones.
	chatKey uint64
	members []*state
	// homes are those of the endpoints that may be picked, first is that of all, and former
	// where the home was before endpoints joined and left of late. A router that has no
	// record of the prompt finds it there, as its peers sent it.
	homes      homes
	firstHome  *state
	formerHome *state
	// holder is the endpoint believed to hold most of the prompt, held how much; recorded
	// and recordedHeld go by the own record alone.
	holder        *state
	heldTokens    core.Tokens
	ownHolder     *state
	ownHeldTokens core.Tokens
	// cheapestBase is the endpoint that costs least but for the prompt.
	cheapestBase candidate
	// loadMsByCalls is loadMs by calls.
	loadMsByCalls [loadTableSize]float64
}

// candidate is the cheapest endpoint so far. Among equals each router draws its own.
type candidate struct {
	st   *state
	cost float64
	ties int
}

func (ca *candidate) consider(pl *Placer, st *state, cost float64) {
	switch {
	case ca.st == nil || cost < ca.cost:
		ca.st, ca.cost, ca.ties = st, cost, 1
	case cost == ca.cost:
		if ca.ties++; pl.oneIn(ca.ties) {
			ca.st = st
		}
	}
}

// newChoice finds out what the choice goes by.
func (pl *Placer) newChoice(now time.Time, rq *Request, routers int) *choice {
	pl.initMaps()
	pl.reports.expire(now)
	ch := &choice{now: now, rq: rq, prefixes: prefixHashes(rq.Parts), members: pl.eligibleMembers(rq)}
	ch.pool, ch.routers = rq.Pool, routers
	ch.typicalMs = pl.callDurations[rq.Pool].typicalMs()
	if len(ch.prefixes) > 0 {
		ch.chatKey = chatKey(ch.prefixes)
	}
	ch.survey(pl)
	ch.collectUsable(pl)
	if ch.usableCount > 0 && rq.Engine && rq.FetchTokensPerMs > 0 {
		ch.findHolder(pl)
	}
	return ch
}

// findHolder finds the endpoint that probably holds most: by the own record, by
// what peers told, or where the home was. A record of no more than the beginning,
// which many prompts have, does not hide the others.
func (ch *choice) findHolder(pl *Placer) {
	ch.ownHolder, ch.ownHeldTokens = ch.cacheHolder(pl)
	ch.holder, ch.heldTokens = ch.ownHolder, ch.ownHeldTokens
	if st, held := pl.reportedHolder(ch); held > ch.heldTokens {
		ch.holder, ch.heldTokens = st, held
	}
	if ch.formerHome == nil || len(ch.prefixes) < 2 {
		return
	}
	shared := promptTokens(ch.rq.Parts[:len(ch.rq.Parts)-1])
	if held := core.Tokens(homeCachedFraction * float64(shared)); held > ch.heldTokens {
		ch.holder, ch.heldTokens = ch.formerHome, held
	}
}

// assumedCached is the part of the prompt that peers have probably sent there.
func (ch *choice) assumedCached(st *state) float64 {
	rank, home := ch.homes.rank(st)
	if !home {
		return 0
	}
	part := homeCachedFraction
	for range rank {
		part *= nextHomeFactor
	}
	return part
}

// prefillAndFetch tells how many of the prompt's tokens the endpoint would have to read, and
// how many it would fetch from the holder.
func (ch *choice) prefillAndFetch(st *state) (prefill, fetched core.Tokens) {
	uncached := st.uncached(ch.rq.Parts, ch.prefixes, ch.assumedCached(st))
	if ch.holder == nil || ch.holder == st {
		return uncached, 0
	}
	return ch.splitFetch(uncached)
}

// splitFetch is reads for an endpoint that is not the holder and lacks that many tokens.
func (ch *choice) splitFetch(uncached core.Tokens) (prefill, fetched core.Tokens) {
	known := promptTokens(ch.rq.Parts) - uncached
	fetched = ch.heldTokens - known
	if fetched < minFetchTokens {
		return uncached, 0
	}
	return uncached - fetched, fetched
}

// fetchSource is the endpoint from which st is to take over what it lacks, nil if none is
// known. One is named also where st is thought to hold all: only what is lacking is
// fetched.
//
// The home of a chat is thought to hold the chat, which does not tell whether it holds
// the beginning that other chats have too. Taken over from wherever this router has sent
// that beginning, it is not read on each engine.
func (ch *choice) fetchSource(st *state) *state {
	if ch.holder != nil && ch.holder != st && ch.heldTokens >= minFetchTokens {
		return ch.holder
	}
	known := promptTokens(ch.rq.Parts) - st.uncached(ch.rq.Parts, ch.prefixes, 0)
	if ch.ownHolder == nil || ch.ownHolder == st || ch.ownHeldTokens-known < minPrefixTokens {
		return nil
	}
	return ch.ownHolder
}

// cheapest is the endpoint that costs least, and what it costs.
//
// Homes, the holder and the endpoints that were sent the chat are weighed first. Others
// hold no more than the beginning, so that one of them is weighed only if it may cost less:
// the answer is that of weighing them all, which takes milliseconds among thousands.
func (pl *Placer) cheapest(ch *choice) (*state, float64) {
	if !ch.rq.Engine {
		return ch.cheapestBase.st, ch.cheapestBase.cost
	}
	var best candidate
	weigh := func(st *state) {
		if st != nil && ch.eligible(pl, st) && st.scratch.usable && !st.scratch.weighed {
			st.scratch.weighed = true
			best.consider(pl, st, pl.baseMs(st, ch)+ch.prefillMs(ch.prefillAndFetch(st)))
		}
	}
	for ix := range ch.homes.count {
		weigh(ch.homes.list[ix])
	}
	weigh(ch.holder)
	if len(ch.prefixes) > 0 {
		for _, st := range pl.partIndex.endpoints(ch.prefixes[min(1, len(ch.prefixes)-1)]) {
			weigh(st)
		}
	}
	other := ch.minPrefillMs()
	if best.st != nil && best.cost < ch.cheapestBase.cost+other {
		return best.st, best.cost
	}
	for _, st := range ch.members {
		if st.scratch.usable && (best.st == nil || st.scratch.minBaseMs+other <= best.cost) {
			weigh(st)
		}
	}
	return best.st, best.cost
}

// issueTicket counts the call at the endpoint and makes its ticket.
func (pl *Placer) issueTicket(st *state, cost float64, ch *choice) *Ticket {
	rq := ch.rq
	prefill, fetched := ch.prefillAndFetch(st)
	tk := &Ticket{
		pl: pl, st: st, Endpoint: st.Endpoint, Started: ch.now, CostMs: cost,
		OwnCalls: st.ownCalls, PeerCalls: st.scratch.peerCalls, MeanCalls: ch.meanCalls, Usable: ch.usableCount, Full: ch.fullCount, BackingOff: ch.backingOffCount, ColdFull: ch.coldFullCount, PoolSize: ch.openCount,
		PromptTokens: promptTokens(rq.Parts), UncachedTokens: prefill, AtHome: ch.homes.count > 0 && st == ch.homes.list[0], prefill: prefill,
		Hash: st.hash, ReportedCalls: -1,
	}
	if from := ch.fetchSource(st); from != nil {
		tk.FetchFrom = from.Addr
		tk.FetchTokens = fetched
	}
	if len(ch.prefixes) > 0 {
		tk.ChatKey = ch.chatKey
	}
	tk.request, tk.prefixes, tk.awayFromHome = rq, ch.prefixes, st != ch.firstHome
	if tk.Cold = st.isCold(ch.now, rq.ColdDuration); tk.Cold && rq.ColdRate > 0 {
		st.cold.window.Reserve()
		tk.reserved = true
	} else {
		tk.recordSent(ch.now)
	}
	tk.use, tk.customer = pl.customerUseOf(rq.Pool), rq.Customer
	tk.use.add(rq.Customer, 1)
	st.markChanged()
	st.ownCalls++
	st.load.Add(ch.now, 1)
	st.pendingPrefill += tk.prefill
	st.health.callStarted(ch.now)
	return tk
}
