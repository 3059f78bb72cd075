package crash

import (
	"maps"
	"slices"
	"time"

	"almondrill/core"
)

// attribution is a crash for which a quarantined request is held responsible, with the number of
// that request's crashes.
type attribution struct {
	at      time.Time
	crashes int
}

// suspect is a request that was running at endpoints when they crashed.
type suspect struct{ crashes []core.Crash }

// suspectsLike returns the suspects among which a request or a part is recorded.
func (ta *Table) suspectsLike(fp core.Fingerprint) map[core.Fingerprint]*suspect {
	if IsPart(fp) {
		return ta.parts
	}
	return ta.suspects
}

// ensureSuspect returns the record of a suspect, which it makes if there is none. Crashes older than
// recordTTL are dropped from it.
func (ta *Table) ensureSuspect(now time.Time, fp core.Fingerprint) *suspect {
	if ta.suspects == nil {
		ta.suspects, ta.parts = map[core.Fingerprint]*suspect{}, map[core.Fingerprint]*suspect{}
	}
	all, limit := ta.suspectsLike(fp), maxSuspects
	if IsPart(fp) {
		limit = maxSuspectParts
	}
	su := all[fp]
	if su != nil {
		su.crashes = slices.DeleteFunc(su.crashes, func(cr core.Crash) bool { return now.Sub(cr.At) > recordTTL })
		return su
	}
	if len(all) >= limit {
		evictSuspects(now, all, limit)
	}
	su = &suspect{}
	all[fp] = su
	return su
}

// evictSuspects frees capacity: first the suspects with a single crash, of those the ones of the latest crash
// last, and all if necessary. The cause of a crash is among the suspects that are being recorded.
func evictSuspects(now time.Time, all map[core.Fingerprint]*suspect, limit int) {
	single := func(_ core.Fingerprint, su *suspect) bool { return len(su.crashes) < 2 }
	for _, evict := range []func(fp core.Fingerprint, su *suspect) bool{
		func(fp core.Fingerprint, su *suspect) bool {
			return single(fp, su) && (len(su.crashes) == 0 || now.Sub(su.crashes[0].At) >= sameCrashWindow)
		},
		single,
		func(core.Fingerprint, *suspect) bool { return true },
	} {
		if len(all) >= limit {
			maps.DeleteFunc(all, evict)
		}
	}
}

// containsCrash reports whether the crash is among the given ones, perhaps as reported by another
// router.
func containsCrash(crashes []core.Crash, cr core.Crash) bool {
	return slices.ContainsFunc(crashes, func(other core.Crash) bool {
		return other.Endpoint == cr.Endpoint && cr.At.Sub(other.At).Abs() < sameCrashWindow
	})
}

// attribute records that a quarantined request was running at these crashes.
func (ta *Table) attribute(crashes []core.Crash) {
	if ta.attributed == nil || len(ta.attributed) >= maxAttributed {
		ta.attributed = map[uint64]attribution{}
	}
	for _, cr := range crashes {
		at, was := ta.attributed[cr.Endpoint]
		if !was || at.crashes < len(crashes) || cr.At.Sub(at.at) >= sameCrashWindow {
			ta.attributed[cr.Endpoint] = attribution{cr.At, len(crashes)}
		}
	}
}

// unattributed returns the number of a suspect's crashes that are not attributed to a quarantined
// request with more crashes.
//
// Failure: when a request crashes an endpoint, all other requests running there are interrupted and
// retried, and may meet it again at the next endpoint. If these crashes counted against them, they
// would be quarantined too. A request with as many crashes as the quarantined one may be the cause
// itself, which only trials can show.
func (ta *Table) unattributed(su *suspect) int {
	count := 0
	for _, cr := range su.crashes {
		at, attributed := ta.attributed[cr.Endpoint]
		if !attributed || cr.At.Sub(at.at).Abs() >= sameCrashWindow || at.crashes <= len(su.crashes) {
			count++
		}
	}
	return count
}
