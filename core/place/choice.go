package place

import (
	"time"

	"almondrill/core"
)

// choice is the data that one Pick weighs endpoints by.
type choice struct {
	poolStats
	now      time.Time
	rq       *Request
	prefixes []uint64
	// chatKey determines the homes. members are all endpoints of the pool to which the request may
	// go, including draining ones.
	chatKey uint64
	members []*state
	// homes are the usable endpoints that score highest for the chat, firstHome is the one that
	// scores highest of all that are not closed. formerHome is the home before recent changes of
	// the pool: a router whose cache models lack the prompt finds it there, because its peers sent
	// it there.
	homes      homes
	firstHome  *state
	formerHome *state
	// holder is the endpoint that is assumed to have most of the prompt cached, and heldTokens how
	// much. ownHolder and ownHeldTokens are based on this router's cache models alone.
	holder        *state
	heldTokens    core.Tokens
	ownHolder     *state
	ownHeldTokens core.Tokens
	// cheapestBase is the endpoint with the least cost apart from the prompt.
	cheapestBase candidate
	// pace is how fast calls of the pool run, nil if unknown. fastest is the least slowness of the
	// usable endpoints.
	pace    *pace
	fastest float64
	// loadMsByCalls is a table of loadMs by the number of calls.
	loadMsByCalls [loadTableSize]float64
	// memory is what the call needs of an engine's memory. noRoomCount counts the endpoints that are
	// excluded only because they lack it, leastNeed is the least that the call needs at one of them.
	// freest is the one that has the most, freestTokens.
	memory       memoryNeed
	noRoomCount  int
	leastNeed    core.Tokens
	freest       *state
	freestTokens core.Tokens
}

// candidate is the cheapest endpoint so far. Each router breaks ties at random.
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

// newChoice collects the data for a choice.
func (pl *Placer) newChoice(now time.Time, rq *Request, routers int) *choice {
	if rq.PreferredBuild != 0 && rq.Build == 0 {
		preferred := *rq
		preferred.Build = rq.PreferredBuild
		if ch := pl.choiceOf(now, &preferred, routers); ch.usableCount > 0 {
			return ch
		}
	}
	return pl.choiceOf(now, rq, routers)
}

func (pl *Placer) choiceOf(now time.Time, rq *Request, routers int) *choice {
	pl.initMaps()
	pl.reports.expire(now)
	ch := &choice{now: now, rq: rq, prefixes: prefixHashes(rq.Parts), members: pl.eligibleMembers(rq)}
	ch.pool, ch.routers = rq.Pool, routers
	ch.typicalMs, ch.pace = pl.callDurations[rq.Pool].typicalMs(), pl.paces[rq.Pool]
	ch.memory = pl.memoryNeed(now, rq)
	if len(ch.prefixes) > 0 {
		ch.chatKey = chatKey(ch.prefixes)
	}
	ch.survey(pl)
	ch.collectUsable(pl)
	if ch.usableCount > 0 && rq.Engine && rq.FetchTokensPerMs > 0 && rq.MigrateFrom == "" {
		ch.findHolder(pl)
	}
	return ch
}

// findHolder finds the endpoint that probably has most of the prompt cached: according to the cache
// models, to moves reported by peers, or to the former home. A cache model that has only the shared
// prefix, which many prompts have in common, does not hide the others.
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

// assumedCached returns the fraction of the context that peers have probably sent to the endpoint.
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

// prefillAndFetch returns how many of the prompt's tokens the endpoint would prefill, and how many
// it would fetch from the holder.
func (ch *choice) prefillAndFetch(st *state) (prefill, fetched core.Tokens) {
	if ch.rq.MigrateFrom != "" {
		return 0, 0 // the copy contains the whole prompt
	}
	uncached := st.uncached(ch.rq.Parts, ch.prefixes, ch.assumedCached(st))
	if ch.holder == nil || ch.holder == st {
		return uncached, 0
	}
	return ch.splitFetch(uncached)
}

// splitFetch is prefillAndFetch for an endpoint that is not the holder and lacks that many tokens.
func (ch *choice) splitFetch(uncached core.Tokens) (prefill, fetched core.Tokens) {
	cached := promptTokens(ch.rq.Parts) - uncached
	fetched = ch.heldTokens - cached
	if fetched < minFetchTokens {
		return uncached, 0
	}
	return uncached - fetched, fetched
}

// fetchSource returns the endpoint from which st should fetch what it lacks, nil if none is known.
// A source is returned even if st is assumed to have everything: only missing tokens are fetched.
//
// The home of a chat is assumed to have the chat cached, but it may lack the prefix that other
// chats share. Fetched from any endpoint to which this router has sent it, the shared prefix is not
// prefilled on each engine.
func (ch *choice) fetchSource(st *state) *state {
	if ch.holder != nil && ch.holder != st && ch.heldTokens >= minFetchTokens {
		return ch.holder
	}
	cached := promptTokens(ch.rq.Parts) - st.uncached(ch.rq.Parts, ch.prefixes, 0)
	if ch.ownHolder == nil || ch.ownHolder == st || ch.ownHeldTokens-cached < minPrefixTokens {
		return nil
	}
	return ch.ownHolder
}

// cheapest returns the cheapest endpoint and its cost.
//
// Homes, the holder and the endpoints to which the chat was sent are weighed first. The others have
// no more than the shared prefix cached, so that each is weighed only if it can be cheaper. The
// result equals that of weighing all, which takes milliseconds for thousands of endpoints.
func (pl *Placer) cheapest(ch *choice) (*state, float64) {
	if ch.rq.MigrateFrom != "" {
		return pl.cheaperOfTwo(ch)
	}
	if !ch.rq.Engine {
		return ch.cheapestBase.st, ch.cheapestBase.cost
	}
	var best candidate
	weigh := func(st *state) {
		if st != nil && ch.eligible(pl, st) && st.scratch.usable && !st.scratch.weighed {
			st.scratch.weighed = true
			best.consider(pl, st, pl.costMs(st, ch))
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

// issueTicket counts the call at the endpoint and returns its ticket.
func (pl *Placer) issueTicket(st *state, cost float64, ch *choice) *Ticket {
	rq := ch.rq
	prefill, fetched := ch.prefillAndFetch(st)
	tk := &Ticket{
		pl: pl, st: st, Endpoint: st.Endpoint, Started: ch.now, CostMs: cost,
		OwnCalls: st.ownCalls, PeerCalls: st.scratch.peerCalls, MeanCalls: ch.meanCalls, Usable: ch.usableCount, Full: ch.fullCount, BackingOff: ch.backingOffCount, ColdFull: ch.coldFullCount, PoolSize: ch.openCount,
		PromptTokens: promptTokens(rq.Parts), UncachedTokens: prefill, AtHome: ch.homes.count > 0 && st == ch.homes.list[0], prefill: prefill,
		Hash: st.hash, Build: st.build, ReportedCalls: -1,
	}
	if from := ch.fetchSource(st); from != nil {
		tk.FetchFrom = from.Addr
		tk.FetchTokens = fetched
	}
	if len(ch.prefixes) > 0 {
		tk.ChatKey = ch.chatKey
	}
	tk.request, tk.prefixes, tk.awayFromHome = rq, ch.prefixes, st != ch.firstHome
	tk.recordSpeedAtChoice(ch, prefill, fetched)
	if tk.Cold = st.isCold(ch.now, rq.ColdDuration); tk.Cold && rq.ColdRate > 0 {
		st.cold.window.Reserve()
		tk.reserved = true
	}
	// A grant may be refused, and a copy may fail.
	if tk.unrecorded = tk.reserved || rq.MigrateFrom != ""; !tk.unrecorded {
		tk.recordSent(ch.now)
	}
	tk.progress.startLost = st.speed.lostUntil(ch.now)
	tk.use, tk.customer = pl.customerUseOf(rq.Pool), rq.Customer
	tk.use.add(rq.Customer, 1)
	tk.holdMemory(ch.now)
	st.markChanged()
	st.ownCalls++
	st.load.Add(ch.now, 1)
	st.pendingPrefill += tk.prefill
	st.health.callStarted(ch.now)
	return tk
}
