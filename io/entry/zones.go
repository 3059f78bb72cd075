package entry

import (
	"time"

	"go.uber.org/zap"

	"almondrill/core"
)

// evacuationMargin is the part of EvacuateMs that is not used: for the store's answer on its way,
// and what is on its way to endpoints.
const evacuationMargin = 1500 * time.Millisecond

// evacuations are what the store says of evacuations and may not hold, as it came back from a copy. The view's
// lock guards it.
type evacuations struct {
	// ended is when evacuations last ended.
	ended map[core.Zone]time.Time
	// missing are those in force that the store does not have, back those that had ended and that it has.
	missing    map[core.Zone]bool
	reappeared map[core.Zone]seenItem
}

// seenItem is an item's version and when it was heard of.
type seenItem struct {
	rev core.Version
	at  time.Time
}

func newEvacuations() evacuations {
	return evacuations{ended: map[core.Zone]time.Time{}, missing: map[core.Zone]bool{}, reappeared: map[core.Zone]seenItem{}}
}

// applyEvacuation puts the evacuation of a zone in force, or ends it. What a restore of the store took away or
// brought back is settled once the operator has had time to write it again.
func (vi *view) applyEvacuation(ev Evacuation, rev core.Version) {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	si := seenItem{rev, time.Now()}
	uncertain := vi.pr.reader.MaybeRolledBack(rev)
	fields := []zap.Field{zap.String("Zone", string(ev.Zone)), zap.Stringer("Rev", rev), zap.Duration("Age", vi.pr.reader.Age())}
	switch {
	case ev.Ended && uncertain:
		vi.evacuations.missing[ev.Zone] = true
		vi.log.Info("The evacuation of a zone is missing.", fields...)
	case ev.Ended:
		vi.endEvacuation(ev.Zone)
	case uncertain && si.at.Sub(vi.evacuations.ended[ev.Zone]) < removalTTL:
		vi.evacuations.reappeared[ev.Zone] = si
		vi.log.Info("The evacuation of a zone is back, perhaps from a copy of the store.", fields...)
	default:
		vi.beginEvacuation(ev.Zone, si)
	}
}

func (vi *view) beginEvacuation(zone core.Zone, si seenItem) {
	delete(vi.evacuations.missing, zone)
	delete(vi.evacuations.reappeared, zone)
	now, age := time.Now(), vi.pr.reader.Age()
	// What is believed was confirmed age ago without it, so that it was accepted since.
	until := si.at.Add(max(0, vi.pr.evacuationWindow()-evacuationMargin-age))
	if !vi.pr.placer.Evacuate(now, zone, until) {
		return
	}
	open := vi.pr.placer.Open()
	fields := []zap.Field{
		zap.String("Zone", string(zone)), zap.Stringer("Rev", si.rev), zap.Duration("Age", age),
		zap.Duration("Within", max(0, until.Sub(now))), zap.Int("EndpointsLeft", open),
	}
	vi.log.Warn("A zone is evacuated.", fields...)
	if open == 0 {
		vi.log.Error("All endpoints are in evacuated zones; every request is refused.", fields...)
	}
}

func (vi *view) endEvacuation(zone core.Zone) {
	delete(vi.evacuations.missing, zone)
	delete(vi.evacuations.reappeared, zone)
	now := time.Now()
	vi.evacuations.ended[zone] = now
	if vi.pr.placer.Restore(now, zone) {
		vi.log.Info("The evacuation of a zone has ended.", zap.String("Zone", string(zone)), zap.Duration("Age", vi.pr.reader.Age()))
	}
}

// settleEvacuations ends the evacuations that were not written again, and puts those in force that are
// back and have stayed.
func (vi *view) settleEvacuations() {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	for zone := range vi.evacuations.missing {
		vi.endEvacuation(zone)
	}
	for zone, si := range vi.evacuations.reappeared {
		vi.beginEvacuation(zone, si)
	}
}
