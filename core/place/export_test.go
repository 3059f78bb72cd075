package place

import (
	"math"
	"time"

	"almondrill/core"
)

// Weighed is what a choice would go by, and what the cheapest endpoint costs in ms.
type Weighed struct {
	Mean          float64
	Usable, Full  int
	Calls, Places int
	Failing       float64
	CostMs        float64
}

// WeighAll looks at all endpoints in full, whatever earlier choices found, and weighs each
// that may be picked.
func (pl *Placer) WeighAll(now time.Time, as *Ask) Weighed {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, st := range pl.byID {
		st.quiet = false
	}
	ch := pl.look(now, as, max(1, pl.Routers()))
	we := Weighed{
		Mean: ch.mean, Usable: ch.usable, Full: ch.full, Calls: ch.calls, Places: ch.places, Failing: ch.failing,
		CostMs: math.Inf(1),
	}
	for _, st := range ch.members {
		if ch.usable > 0 && st.scratch.usable {
			we.CostMs = min(we.CostMs, pl.base(st, ch)+ch.readMs(ch.reads(st)))
		}
	}
	return we
}

// Look is what a choice goes by, without a call being placed.
func (pl *Placer) Look(now time.Time, as *Ask) Weighed {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	ch := pl.look(now, as, max(1, pl.Routers()))
	we := Weighed{Mean: ch.mean, Usable: ch.usable, Full: ch.full, Calls: ch.calls, Places: ch.places, Failing: ch.failing}
	if ch.usable > 0 {
		_, we.CostMs = pl.cheapest(ch)
	} else {
		we.CostMs = math.Inf(1)
	}
	return we
}

// Told is how many calls of other routers an endpoint has, as they told; false if it is not
// known.
func (pl *Placer) Told(now time.Time, id core.EndpointID) (int, bool) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.start()
	pl.words.lapse(now)
	st := pl.byID[id]
	if st == nil {
		return 0, false
	}
	return st.told, true
}

// Entries is how many parts are remembered to have been sent, of all endpoints.
func (pl *Placer) Entries() int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	count := 0
	for _, st := range pl.byID {
		count += st.seen.order.Len()
	}
	return count
}
