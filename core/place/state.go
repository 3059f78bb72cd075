package place

import (
	"time"

	"almondrill/core"
	"almondrill/core/decl"
	"almondrill/core/gauge"
	"almondrill/core/ring"
)

// state is what the router believes of one endpoint. What each choice looks at comes
// first.
type state struct {
	// name is the hash of its id, by which routers agree on homes.
	name uint64
	// calls are the router's own in progress, told those that peers told of theirs.
	calls, told int
	// toRead are the prompt tokens of own calls whose first token is awaited.
	toRead core.Tokens
	// missing is set while the registration is missing, but may come back.
	missing bool
	// near is set in the router's own zone, removed once its registration is gone.
	near, removed bool
	// evacuated is its zone's evacuation, nil if there is none.
	evacuated *evacuation
	// quiet is set by a choice that finds nothing about the endpoint but what peers told: no
	// own calls, failures, counts or refusals, and no limit in time. The next choices pass
	// it in a few ns. Whoever changes any of these clears it with stir.
	quiet     bool
	fullUntil time.Time
	// backoffUntil is until when it wants no requests from this router.
	backoffUntil time.Time
	// lostUntil is until when it is taken to be down as peers told.
	lostUntil time.Time
	health    health
	cold      cold
	// reading is how many calls it said that it has, and the own ones begun and ended since.
	reading gauge.Count
	Endpoint

	// hash is that of its id and start, by which peers tell of it, so that their words of an
	// earlier start are not taken for this one.
	hash    uint64
	since   time.Time
	seen    *record
	scratch scratch
}

// scratch is what one choice works out of an endpoint.
type scratch struct {
	// others are calls of other routers, score its claim as a home of the chat.
	others int
	score  uint64
	// avoid is set if it looks dead, settled if it does not and has been there for a time,
	// usable if it may be picked.
	avoid, settled, usable bool
	// atLeast is a lower bound of the cost of a call there but for its prompt, in ms.
	atLeast float64
	// weighed is set once its cost is known.
	weighed bool
}

// HashOf names a start of an endpoint to peers.
func HashOf(id core.EndpointID, start core.Incarnation) uint64 {
	name := decl.HashName(string(id))
	if start == 0 {
		return name
	}
	return ring.Mix(name, uint64(start))
}

func (pl *Placer) newState(now time.Time, ep *Endpoint) *state {
	name, hash := decl.HashName(string(ep.ID)), HashOf(ep.ID, ep.Start)
	st := &state{name: name, hash: hash, since: now, told: pl.words.sums[short(hash)], near: ep.Zone == pl.Zone, backoffUntil: pl.backoffs[ep.ID]}
	st.seen = newRecord(st, pl.sent)
	return st
}

// stir lets the next choice look at the endpoint in full again.
func (st *state) stir() { st.quiet = false }

// settle makes the endpoint quiet if nothing is left that a choice has to look at.
func (st *state) settle(now time.Time, settled bool, coldFor time.Duration) {
	st.quiet = settled && !st.isCold(now, coldFor) && st.calls == 0 && !st.missing && st.toRead == 0 &&
		st.health.quiet(now) && st.reading.Expired(now) && !now.Before(st.fullUntil) && !now.Before(st.backoffUntil) &&
		!now.Before(st.lostUntil)
}

// failing is the endpoint's failure rate, 0 if it gets no calls.
func (st *state) failing(now time.Time) float64 {
	if st.Draining || st.evacuated != nil {
		return 0
	}
	return st.health.rate(now)
}
