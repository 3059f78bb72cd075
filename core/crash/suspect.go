package crash

import (
	"slices"
	"time"

	"almondrill/core"
)

// attribution is a crash at which a quarantined request was, and at how many that was.
type attribution struct {
	at      time.Time
	crashes int
}

// suspect is a request that was running at endpoints that crashed.
type suspect struct{ crashes []core.Crash }

// ensureSuspect is what is held against a request, made if there is nothing yet.
func (ta *Table) ensureSuspect(now time.Time, fp core.Fingerprint) *suspect {
	su := ta.suspects[fp]
	if su != nil {
		su.crashes = slices.DeleteFunc(su.crashes, func(cr core.Crash) bool { return now.Sub(cr.At) > recordTTL })
		return su
	}
	if ta.suspects == nil {
		ta.suspects = map[core.Fingerprint]*suspect{}
	}
	if len(ta.suspects) >= maxSuspects {
		ta.evictSuspects()
	}
	su = &suspect{}
	ta.suspects[fp] = su
	return su
}

// evictSuspects makes room: those with a single crash go, and all if that is not enough.
func (ta *Table) evictSuspects() {
	for fp, su := range ta.suspects {
		if len(su.crashes) < 2 {
			delete(ta.suspects, fp)
		}
	}
	if len(ta.suspects) >= maxSuspects {
		ta.suspects = map[core.Fingerprint]*suspect{}
	}
}

// containsCrash tells whether the crash is one of them, that another router tells of.
func containsCrash(crashes []core.Crash, cr core.Crash) bool {
	return slices.ContainsFunc(crashes, func(other core.Crash) bool {
		return other.Endpoint == cr.Endpoint && cr.At.Sub(other.At).Abs() < sameCrashWindow
	})
}

// attribute notes the crashes at which a quarantined request was.
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

// unattributed is at how many crashes a suspect was that no quarantined request was at which
// was at more.
//
// Failure: with each endpoint that a request crashes, all others that were running there break
// off and come again, and may meet it at the next. Counted like it, they would be refused too.
// One that was at as many crashes may be the cause itself: only the trials can tell.
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
