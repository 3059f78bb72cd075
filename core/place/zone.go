package place

import (
	"math"
	"slices"
	"time"

	"almondrill/core"
)

// evacuation is the evacuation of a zone. It becomes known at from; once until is reached, the
// zone's endpoints get no new calls. In between, chats leave them in the order of the chats'
// hashes, which is the same at all routers.
type evacuation struct {
	from, until time.Time
}

// Evacuate starts the evacuation of a zone: once until is reached, no endpoint there gets new
// calls, including those that register later. Before that, chats leave the zone one by one, so that
// not all of them move at once. Calls in progress continue, and cached contexts can still be
// fetched from there. Evacuate returns false if the zone is under evacuation already.
func (pl *Placer) Evacuate(now time.Time, zone core.Zone, until time.Time) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.initMaps()
	if pl.evacuations[zone] != nil {
		return false
	}
	pl.evacuations[zone] = &evacuation{from: now, until: until}
	for _, st := range pl.byID {
		if st.Zone == zone {
			st.markChanged()
			st.evacuated = pl.evacuations[zone]
		}
	}
	return true
}

// Restore ends a zone's evacuation. The endpoints may be cold and announce that only later. Restore
// returns false if the zone is not under evacuation.
func (pl *Placer) Restore(now time.Time, zone core.Zone) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.evacuations[zone] == nil {
		return false
	}
	delete(pl.evacuations, zone)
	for _, st := range pl.byID {
		if st.Zone == zone {
			st.markChanged()
			st.evacuated = nil
			st.cold.since = now
		}
	}
	return true
}

// EvacuatedZones returns the zones under evacuation, sorted by name.
func (pl *Placer) EvacuatedZones() []core.Zone {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	zones := make([]core.Zone, 0, len(pl.evacuations))
	for zone := range pl.evacuations {
		zones = append(zones, zone)
	}
	slices.Sort(zones)
	return zones
}

// Open returns how many endpoints are neither draining nor under evacuation.
func (pl *Placer) Open() int {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	count := 0
	for _, st := range pl.byID {
		if !st.Draining && st.evacuated == nil {
			count++
		}
	}
	return count
}

// complete reports whether no new calls may be sent to the zone.
func (ev *evacuation) complete(now time.Time) bool { return ev != nil && !now.Before(ev.until) }

// moved reports whether calls with the key have left the zone.
func (ev *evacuation) moved(now time.Time, key uint64) bool {
	if ev == nil {
		return false
	}
	if !now.Before(ev.until) {
		return true
	}
	fraction := float64(now.Sub(ev.from)) / float64(ev.until.Sub(ev.from))
	return float64(key) <= fraction*math.MaxUint64
}

// closedTo reports whether the endpoint gets no new calls like the one to be placed, whatever its
// load.
func (ch *choice) closedTo(st *state) bool {
	return st.Draining || st.evacuated != nil && st.evacuated.moved(ch.now, ch.chatKey)
}
