package place

import (
	"math"
	"slices"
	"time"

	"almondrill/core"
)

// evacuation is a zone's: its endpoints get nothing new from until on. Chats leave them from
// then on when it was learned, in the order of their hashes, which is the same at all routers.
type evacuation struct {
	from, until time.Time
}

// Evacuate puts a zone under evacuation: from until on, no endpoint there gets new calls, also
// one that registers later. Until then its chats leave it one after the other, so that not all
// of them are moved at once. Calls in progress go on, and prompts may still be taken over from
// there. It returns false if the zone is under evacuation already.
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

// Restore ends a zone's evacuation. Its endpoints may be cold, which they tell later. It returns
// false if the zone is not under evacuation.
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

// EvacuatedZones are the zones under evacuation, in the order of their names.
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

// Open is the number of endpoints that neither drain nor are under evacuation.
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

// complete tells whether nothing new may be sent to the zone.
func (ev *evacuation) complete(now time.Time) bool { return ev != nil && !now.Before(ev.until) }

// moved tells whether calls of that key have left the zone.
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

// closedTo tells whether the endpoint gets no new calls like the one that is to be placed,
// whatever its load.
func (ch *choice) closedTo(st *state) bool {
	return st.Draining || st.evacuated != nil && st.evacuated.moved(ch.now, ch.chatKey)
}
