package place

import (
	"time"

	"almondrill/core"
)

// choice is what one Pick weighs the endpoints with.
type choice struct {
	view
	now   time.Time
	as    *Ask
	chain []uint64
	// key is by what homes are found; members are all of the pool to which the request may go,
	// also leaving ones.
	key     uint64
	members []*state
	// homes are those of the endpoints that may be picked, first is that of all, and former
	// where the home was before endpoints joined and left of late. A router that has no
	// record of the prompt finds it there, as its peers sent it.
	homes  homes
	first  *state
	former *state
	// holder is the endpoint believed to hold most of the prompt, held how much; recorded
	// and recordedHeld go by the own record alone.
	holder       *state
	held         core.Tokens
	recorded     *state
	recordedHeld core.Tokens
	// least is the endpoint that costs least but for the prompt.
	least lowest
	// byCalls is loadMs by calls.
	byCalls [mostByCalls]float64
}

// lowest is the cheapest endpoint so far. Among equals each router draws its own.
type lowest struct {
	st    *state
	cost  float64
	equal int
}

func (lo *lowest) offer(pl *Placer, st *state, cost float64) {
	switch {
	case lo.st == nil || cost < lo.cost:
		lo.st, lo.cost, lo.equal = st, cost, 1
	case cost == lo.cost:
		if lo.equal++; pl.oneOf(lo.equal) {
			lo.st = st
		}
	}
}

// look finds out what the choice goes by.
func (pl *Placer) look(now time.Time, as *Ask, routers int) *choice {
	pl.start()
	pl.words.lapse(now)
	ch := &choice{now: now, as: as, chain: chainOf(as.Parts), members: pl.allowed(as)}
	ch.pool, ch.routers = as.Pool, routers
	ch.typicalMs = pl.answerTimes[as.Pool].typicalMs()
	if len(ch.chain) > 0 {
		ch.key = homeKey(ch.chain)
	}
	ch.survey(pl)
	ch.allow(pl)
	if ch.usable > 0 && as.Engine && as.FetchPerMs > 0 {
		ch.findHolder(pl)
	}
	return ch
}

// findHolder finds the endpoint that probably holds most: by the own record, by
// what peers told, or where the home was. A record of no more than the beginning,
// which many prompts have, does not hide the others.
func (ch *choice) findHolder(pl *Placer) {
	ch.recorded, ch.recordedHeld = ch.holderOf(pl)
	ch.holder, ch.held = ch.recorded, ch.recordedHeld
	if st, held := pl.toldHolder(ch); held > ch.held {
		ch.holder, ch.held = st, held
	}
	if ch.former == nil || len(ch.chain) < 2 {
		return
	}
	shared := promptTokens(ch.as.Parts[:len(ch.as.Parts)-1])
	if held := core.Tokens(homeCached * float64(shared)); held > ch.held {
		ch.holder, ch.held = ch.former, held
	}
}

// assumed is the part of the prompt that peers have probably sent there.
func (ch *choice) assumed(st *state) float64 {
	rank, home := ch.homes.rank(st)
	if !home {
		return 0
	}
	part := homeCached
	for range rank {
		part *= nextCached
	}
	return part
}

// reads tells how many of the prompt's tokens the endpoint would have to read, and
// how many it would fetch from the holder.
func (ch *choice) reads(st *state) (read, fetched core.Tokens) {
	uncached := st.uncached(ch.as.Parts, ch.chain, ch.assumed(st))
	if ch.holder == nil || ch.holder == st {
		return uncached, 0
	}
	return ch.fetches(uncached)
}

// fetches is reads for an endpoint that is not the holder and lacks that many tokens.
func (ch *choice) fetches(uncached core.Tokens) (read, fetched core.Tokens) {
	known := promptTokens(ch.as.Parts) - uncached
	fetched = ch.held - known
	if fetched < leastFetch {
		return uncached, 0
	}
	return uncached - fetched, fetched
}

// source is the endpoint from which st is to take over what it lacks, nil if none is
// known. One is named also where st is thought to hold all: only what is lacking is
// fetched.
//
// The home of a chat is thought to hold the chat, which does not tell whether it holds
// the beginning that other chats have too. Taken over from wherever this router has sent
// that beginning, it is not read on each engine.
func (ch *choice) source(st *state) *state {
	if ch.holder != nil && ch.holder != st && ch.held >= leastFetch {
		return ch.holder
	}
	known := promptTokens(ch.as.Parts) - st.uncached(ch.as.Parts, ch.chain, 0)
	if ch.recorded == nil || ch.recorded == st || ch.recordedHeld-known < leastBeginning {
		return nil
	}
	return ch.recorded
}

// cheapest is the endpoint that costs least, and what it costs.
//
// Homes, the holder and the endpoints that were sent the chat are weighed first. Others
// hold no more than the beginning, so that one of them is weighed only if it may cost less:
// the answer is that of weighing them all, which takes milliseconds among thousands.
func (pl *Placer) cheapest(ch *choice) (*state, float64) {
	if !ch.as.Engine {
		return ch.least.st, ch.least.cost
	}
	var best lowest
	weigh := func(st *state) {
		if st != nil && ch.allows(pl, st) && st.scratch.usable && !st.scratch.weighed {
			st.scratch.weighed = true
			best.offer(pl, st, pl.base(st, ch)+ch.readMs(ch.reads(st)))
		}
	}
	for ix := range ch.homes.count {
		weigh(ch.homes.list[ix])
	}
	weigh(ch.holder)
	if len(ch.chain) > 0 {
		for _, st := range pl.sent.to(ch.chain[min(1, len(ch.chain)-1)]) {
			weigh(st)
		}
	}
	other := ch.leastReadMs()
	if best.st != nil && best.cost < ch.least.cost+other {
		return best.st, best.cost
	}
	for _, st := range ch.members {
		if st.scratch.usable && (best.st == nil || st.scratch.atLeast+other <= best.cost) {
			weigh(st)
		}
	}
	return best.st, best.cost
}

// take counts the call at the endpoint and makes its ticket.
func (pl *Placer) take(st *state, cost float64, ch *choice) *Ticket {
	as := ch.as
	read, fetched := ch.reads(st)
	tk := &Ticket{
		pl: pl, st: st, Endpoint: st.Endpoint, Started: ch.now, CostMs: cost,
		Calls: st.calls, Others: st.scratch.others, Mean: ch.mean, Usable: ch.usable, Full: ch.full, BackingOff: ch.backingOff, ColdFull: ch.coldFull, Of: ch.all,
		Prompt: promptTokens(as.Parts), Uncached: read, Home: ch.homes.count > 0 && st == ch.homes.list[0], toRead: read,
		Hash: st.hash, Said: -1,
	}
	if from := ch.source(st); from != nil {
		tk.FetchFrom = from.Addr
		tk.Fetched = fetched
	}
	if len(ch.chain) > 0 {
		tk.Chat = ch.key
	}
	tk.ask, tk.chain, tk.away = as, ch.chain, st != ch.first
	if tk.Cold = st.isCold(ch.now, as.ColdFor); tk.Cold && as.ColdRate > 0 {
		st.cold.window.Reserve()
		tk.reserved = true
	} else {
		tk.record(ch.now)
	}
	tk.use, tk.customer = pl.useOf(as.Pool), as.Customer
	tk.use.add(as.Customer, 1)
	st.stir()
	st.calls++
	st.reading.Add(ch.now, 1)
	st.toRead += tk.toRead
	st.health.begun(ch.now)
	return tk
}
