package entry

import (
	"time"

	"go.uber.org/zap"

	"almondrill/core"
)

// evacuateMargin is the part of EvacuateMs that is not used: for the store's answer on its way,
// and what is on its way to endpoints.
const evacuateMargin = 1500 * time.Millisecond

// zones are what the store says of evacuations and may not hold, as it came back from a copy. The view's
// lock guards it.
type zones struct {
	// ended is when evacuations last ended.
	ended map[core.Zone]time.Time
	// missing are those in force that the store does not have, back those that had ended and that it has.
	missing map[core.Zone]bool
	back    map[core.Zone]heardOf
}

// heardOf is an item's version and when it was heard of.
type heardOf struct {
	rev core.Version
	at  time.Time
}

func newZones() zones {
	return zones{ended: map[core.Zone]time.Time{}, missing: map[core.Zone]bool{}, back: map[core.Zone]heardOf{}}
}

// evacuate puts the evacuation of a zone in force, or ends it. What a restore of the store took away or
// brought back is settled once the operator has had time to write it again.
func (vi *view) evacuate(ev Evacuation, rev core.Version) {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	he := heardOf{rev, time.Now()}
	doubted := vi.pr.reader.MaybeRolledBack(rev)
	fields := []zap.Field{zap.String("Zone", string(ev.Zone)), zap.Stringer("Rev", rev), zap.Duration("Age", vi.pr.reader.Age())}
	switch {
	case ev.Ended && doubted:
		vi.zones.missing[ev.Zone] = true
		vi.log.Info("The evacuation of a zone is missing.", fields...)
	case ev.Ended:
		vi.endEvacuation(ev.Zone)
	case doubted && he.at.Sub(vi.zones.ended[ev.Zone]) < departedFor:
		vi.zones.back[ev.Zone] = he
		vi.log.Info("The evacuation of a zone is back, perhaps from a copy of the store.", fields...)
	default:
		vi.beginEvacuation(ev.Zone, he)
	}
}

func (vi *view) beginEvacuation(zone core.Zone, he heardOf) {
	delete(vi.zones.missing, zone)
	delete(vi.zones.back, zone)
	now, age := time.Now(), vi.pr.reader.Age()
	// What is believed was confirmed age ago without it, so that it was accepted since.
	until := he.at.Add(max(0, vi.pr.evacuateTime()-evacuateMargin-age))
	if !vi.pr.placer.Evacuate(now, zone, until) {
		return
	}
	open := vi.pr.placer.Open()
	fields := []zap.Field{
		zap.String("Zone", string(zone)), zap.Stringer("Rev", he.rev), zap.Duration("Age", age),
		zap.Duration("Within", max(0, until.Sub(now))), zap.Int("EndpointsLeft", open),
	}
	vi.log.Warn("A zone is evacuated.", fields...)
	if open == 0 {
		vi.log.Error("All endpoints are in evacuated zones; every request is refused.", fields...)
	}
}

func (vi *view) endEvacuation(zone core.Zone) {
	delete(vi.zones.missing, zone)
	delete(vi.zones.back, zone)
	now := time.Now()
	vi.zones.ended[zone] = now
	if vi.pr.placer.Restore(now, zone) {
		vi.log.Info("The evacuation of a zone has ended.", zap.String("Zone", string(zone)), zap.Duration("Age", vi.pr.reader.Age()))
	}
}

// settleEvacuations ends the evacuations that were not written again, and puts those in force that are
// back and have stayed.
func (vi *view) settleEvacuations() {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	for zone := range vi.zones.missing {
		vi.endEvacuation(zone)
	}
	for zone, he := range vi.zones.back {
		vi.beginEvacuation(zone, he)
	}
}
