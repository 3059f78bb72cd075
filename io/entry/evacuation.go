package entry

import (
	"time"

	"go.uber.org/zap"

	"almondrill/core"
)

// evacuationMargin is the part of EvacuateMs that is reserved for the transit of the store's response
// and of requests on their way to endpoints.
const evacuationMargin = 1500 * time.Millisecond

// evacuations records when evacuations ended, and which changes of evacuations may be wrong because
// the store was restored from a backup. The view's lock guards it.
type evacuations struct {
	// ended is when evacuations last ended.
	ended map[core.Zone]time.Time
	// missing are those in force that the store has lost; reappeared are those that had ended and
	// that the store has again.
	missing    map[core.Zone]bool
	reappeared map[core.Zone]seenItem
}

// seenItem is an item's version and when it was received.
type seenItem struct {
	rev core.Version
	at  time.Time
}

func newEvacuations() evacuations {
	return evacuations{ended: map[core.Zone]time.Time{}, missing: map[core.Zone]bool{}, reappeared: map[core.Zone]seenItem{}}
}

// applyEvacuation puts the evacuation of a zone in force, or ends it. What a restore of the store
// removed or brought back is settled after the operator has had time to write it again.
func (vi *view) applyEvacuation(ev Evacuation, rev core.Version) {
	vi.mu.Lock()
	defer vi.mu.Unlock()
	si := seenItem{rev, time.Now()}
	uncertain := vi.pr.reader.MaybeRolledBack(rev)
	fields := []zap.Field{zap.String("Zone", string(ev.Zone)), zap.Stringer("Rev", rev), zap.Duration("Age", vi.pr.reader.Age())}
	switch {
	case ev.Ended && uncertain:
		vi.evacuations.missing[ev.Zone] = true
		vi.log.Info("The evacuation of a zone is missing in the store; keeping it until the grace period ends.", fields...)
	case ev.Ended:
		vi.endEvacuation(ev.Zone)
	case uncertain && si.at.Sub(vi.evacuations.ended[ev.Zone]) < removalTTL:
		vi.evacuations.reappeared[ev.Zone] = si
		vi.log.Info("The evacuation of a zone reappeared, perhaps by a restore of the store from a backup.", fields...)
	default:
		vi.beginEvacuation(ev.Zone, si)
	}
}

func (vi *view) beginEvacuation(zone core.Zone, si seenItem) {
	delete(vi.evacuations.missing, zone)
	delete(vi.evacuations.reappeared, zone)
	now, age := time.Now(), vi.pr.reader.Age()
	// The view was last confirmed age ago, without the evacuation, which was accepted after that.
	until := si.at.Add(max(0, vi.pr.evacuationWindow()-evacuationMargin-age))
	if !vi.pr.placer.Evacuate(now, zone, until) {
		return
	}
	open := vi.pr.placer.Open()
	fields := []zap.Field{
		zap.String("Zone", string(zone)), zap.Stringer("Rev", si.rev), zap.Duration("Age", age),
		zap.Duration("Within", max(0, until.Sub(now))), zap.Int("EndpointsLeft", open),
	}
	vi.log.Warn("Zone evacuated.", fields...)
	if open == 0 {
		vi.log.Error("All endpoints are in evacuated zones; rejecting all requests.", fields...)
	}
}

func (vi *view) endEvacuation(zone core.Zone) {
	delete(vi.evacuations.missing, zone)
	delete(vi.evacuations.reappeared, zone)
	now := time.Now()
	vi.evacuations.ended[zone] = now
	if vi.pr.placer.Restore(now, zone) {
		vi.log.Info("Evacuation of a zone ended.", zap.String("Zone", string(zone)), zap.Duration("Age", vi.pr.reader.Age()))
	}
}

// settleEvacuations ends the missing evacuations, which were not written again, and puts the
// reappeared ones in force, which were not removed again.
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
