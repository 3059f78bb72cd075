package place

import (
	"time"

	"almondrill/core"
)

// Constants of the choice.
const (
	// prefillPerMs is how many prompt tokens an engine reads in a millisecond, assumed of
	// all. The choice hardly depends on it: before nine engines that read 57, as many
	// callers are served and as much is read again with either figure (twelve runs of
	// 34 s), and a fifth more is moved with 57.
	prefillPerMs = 140.0
	// runMs is what one more running call costs the first token of the next, in
	// ms: a decode step is some 2 to 8 ms and grows with what runs.
	runMs = 0.7
	// zoneMs is what leaving the zone costs, in ms: twice the way of 0.9 ms, and
	// the bytes.
	zoneMs = 3.0
	// readWeight is how much more a token to read counts than the reader's own wait:
	// the steps in which an engine reads delay every call that runs there, some six
	// as a rule.
	readWeight = 6.0
	// homeCached is the part of a context assumed to be at its home, of which this
	// router has no record of its own: peers send it there too. Each further
	// home is that much less likely to have it. With 0.9, a tenth of each long context
	// seems to be missing and is asked for from another engine: on two fleets of 9 and 12
	// engines under load, 517,000 tokens in place of 439,000 are read again in 34 s, and
	// 198 GB in place of 174 moved.
	homeCached = 0.98
	nextCached = 0.6
	// homes is how many endpoints, in an order on which all routers agree, take the
	// chats whose first home is under pressure.
	homes = 3
	// waitWeight is how much the wait for a place at an engine counts, which is one more
	// end of a call for each that is ahead. Counted by a tenth, 0.045 of the callers come
	// late at 0.9 times what a pool can run, as a fetch seems dearer than the wait; with
	// 0.2 to 0.5 fewer than 0.02. More would move contexts that are needed again.
	waitWeight = 0.3
	// pressureMs is what an endpoint costs, in ms, that has twice its pool's mean of
	// calls; it grows with the square of what is beyond the mean, so that chats that
	// are cheap to move leave first, before the cap has to move dear ones.
	// pressureFloor is added to the mean: differences of a call or two mean nothing.
	pressureMs    = 25.0
	pressureFloor = 2.0
	// spreadMs is what a plain endpoint costs, in ms, whose places are all taken, so that
	// calls spread before they have to wait.
	spreadMs = 10.0
	// coldMs is what an endpoint that has just started costs, in ms.
	coldMs = 20.0
	// failMs is what a failure rate of 1 costs, in ms: more than the time in which an
	// engine reads the longest context anew, 30,000 tokens at prefillPerMs.
	failMs = 400.0
	// fetchMs is what a fetch costs beside its transfer, in ms: a few to set it up, and
	// that the chat is then on one more engine, where it takes memory from others. At 12 ms, 1.4 times as much is moved among 47 engines, and 1.3 times as
	// much read again; at 100 ms as much as at 50.
	// fetchWeight counts its transfer more than once, since it takes the links of two
	// engines; leastFetch is, in tokens, the least that is fetched of a context.
	fetchMs     = 50.0
	fetchWeight = 2.0
	leastFetch  = 256
	// leastBeginning is, in tokens, what is fetched of a beginning. It takes as long as
	// reading it, but does not hold up what runs.
	leastBeginning = 64
	// settledAfter is how long after an endpoint's coming prompts are still looked for
	// where they were before: most return within it.
	settledAfter = 10 * time.Second
	// startTime is how long after the first endpoint others still count as there from
	// the start: all register within a few heartbeats when a deployment begins.
	startTime = 4 * time.Second
	// capSpare is the part of the cap that is used: the rest covers what peers
	// placed since their last message.
	capSpare = 0.9
	// capFloor is the number of calls below which the cap does not apply.
	capFloor = 3
	// engineRoom and plainRoom are how many calls an endpoint is given, running and
	// waiting, as a multiple of its places. A call of a plain service runs for some
	// 30 ms, so that behind three others of each place it still comes within 150 ms;
	// what peers told of such calls is older than they live, and refusing by less
	// meant 790 refusals for 8,300 requests while one of three endpoints was replaced.
	engineRoom = 2
	plainRoom  = 4
	// fullFor is how long an endpoint that refused is passed over: about the time
	// in which one of its calls ends.
	fullFor = 150 * time.Millisecond
)

// choice is what one Pick weighs the endpoints with.
type choice struct {
	as    *Ask
	chain []uint64
	homes []*state
	vi    *view
	// holder is the endpoint known to hold most of the prompt, held how much.
	holder *state
	held   core.Tokens
}

// findHolder finds the endpoint that probably holds most: by the own record, by
// what peers told, or where the home was. A record of no more than the beginning,
// which many prompts have, does not hide the others.
func (ch *choice) findHolder(pl *Placer, now time.Time, members []*state) {
	ch.holder, ch.held = pl.holderOf(now, members, ch.as.Parts, ch.chain)
	if st, held := pl.toldHolder(members, ch.as.Parts, ch.chain); held > ch.held {
		ch.holder, ch.held = st, held
	}
	if st, held := pl.formerHome(now, members, ch.as.Parts, ch.chain); held > ch.held {
		ch.holder, ch.held = st, held
	}
}

// assumed is the part of the prompt that peers have probably sent there.
func (ch *choice) assumed(st *state) float64 {
	part := homeCached
	for _, home := range ch.homes {
		if home == st {
			return part
		}
		part *= nextCached
	}
	return 0
}

// reads tells how many of the prompt's tokens the endpoint would have to read, and
// how many it would fetch from the holder.
func (ch *choice) reads(st *state) (read, fetched core.Tokens) {
	uncached := st.uncached(ch.as.Parts, ch.chain, ch.assumed(st))
	if ch.holder == nil || ch.holder == st {
		return uncached, 0
	}
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
// that beginning, it is not read on each engine: 122,000 tokens are read again in 34 s on
// 12 engines in place of 151,000, 46,000 on nine in place of 58,000.
func (ch *choice) source(pl *Placer, now time.Time, st *state, members []*state) *state {
	if ch.holder != nil && ch.holder != st && ch.held >= leastFetch {
		return ch.holder
	}
	if !ch.as.Engine || ch.as.FetchPerMs <= 0 {
		return nil
	}
	recorded := promptTokens(ch.as.Parts) - st.uncached(ch.as.Parts, ch.chain, 0)
	from, held := pl.holderOf(now, members, ch.as.Parts, ch.chain)
	if from == nil || from == st || held-recorded < leastBeginning {
		return nil
	}
	return from
}

// cost predicts, in ms, the wait for the first token there and what the call
// costs others.
func (pl *Placer) cost(now time.Time, st *state, ch *choice) float64 {
	calls := float64(st.calls + st.others)
	cost := failMs * max(0, st.health.rate(now)-ch.vi.failing)
	if st.Zone != pl.Zone {
		cost += zoneMs
	}
	if now.Before(st.ColdUntil) {
		cost += coldMs
	}
	if !ch.as.Engine {
		slots := float64(max(1, st.Slots))
		return cost + st.health.typicalMs()*max(0, calls+1-slots)/slots + spreadMs*calls/slots + pl.Rand.Float64()
	}
	if st.Slots > 0 {
		slots := float64(st.Slots)
		cost += waitWeight * st.health.typicalMs() * max(0, calls+1-slots) / slots
	}
	read, fetched := ch.reads(st)
	cost += (readWeight*float64(read)+float64(st.toRead))/prefillPerMs + runMs*calls
	beyond := max(0, (calls+1)/(ch.vi.mean+pressureFloor)-1)
	cost += pressureMs * beyond * beyond
	if fetched > 0 {
		cost += fetchMs + fetchWeight*float64(fetched)/ch.as.FetchPerMs
	}
	return cost
}

// take counts the call at the endpoint and makes its ticket.
func (pl *Placer) take(now time.Time, st *state, cost float64, ch *choice) *Ticket {
	as, vi := ch.as, ch.vi
	read, fetched := ch.reads(st)
	tk := &Ticket{
		pl: pl, st: st, Endpoint: st.Endpoint, Started: now, CostMs: cost,
		Calls: st.calls, Others: st.others, Mean: vi.mean, Usable: len(vi.usable), Full: vi.full, Of: vi.all,
		Prompt: promptTokens(as.Parts), Uncached: read, Home: len(ch.homes) > 0 && st == ch.homes[0], toRead: read,
	}
	if from := ch.source(pl, now, st, pl.pools[as.Pool]); from != nil {
		tk.FetchFrom = from.Addr
		tk.Fetched = fetched
	}
	if len(ch.chain) > 0 {
		tk.Chat = ch.chain[max(0, len(ch.chain)-2)]
	}
	if len(ch.chain) > 1 && !st.seen.has(tk.Chat) && st != homesOf(vi.members, ch.chain, 1)[0] {
		pl.noteMove(now, tk.Chat, st.hash)
	}
	tk.use, tk.customer = pl.useOf(as.Pool), as.Customer
	tk.use.add(as.Customer, 1)
	st.calls++
	st.reading.note(now, 1)
	st.toRead += tk.toRead
	st.seen.note(as.Parts, ch.chain, as.Memory)
	st.health.begun(now)
	return tk
}
