package blame

import (
	"slices"
	"time"

	"almondrill/core"
)

// explanation is a crash at which a quarantined request was, and at how many that was.
type explanation struct {
	at    time.Time
	count int
}

// suspect is a request that was running at endpoints that crashed.
type suspect struct{ crashes []core.Crash }

// suspect is what is held against a request, made if there is nothing yet.
func (ta *Table) suspect(now time.Time, fp core.Fingerprint) *suspect {
	su := ta.suspects[fp]
	if su != nil {
		su.crashes = slices.DeleteFunc(su.crashes, func(cr core.Crash) bool { return now.Sub(cr.At) > keptFor })
		return su
	}
	if ta.suspects == nil {
		ta.suspects = map[core.Fingerprint]*suspect{}
	}
	if len(ta.suspects) >= mostSuspects {
		ta.forgetSuspects()
	}
	su = &suspect{}
	ta.suspects[fp] = su
	return su
}

// forgetSuspects makes room: those with a single crash go, and all if that is not enough.
func (ta *Table) forgetSuspects() {
	for fp, su := range ta.suspects {
		if len(su.crashes) < 2 {
			delete(ta.suspects, fp)
		}
	}
	if len(ta.suspects) >= mostSuspects {
		ta.suspects = map[core.Fingerprint]*suspect{}
	}
}

// known tells whether the crash is one of them, that another router tells of.
func known(crashes []core.Crash, cr core.Crash) bool {
	return slices.ContainsFunc(crashes, func(other core.Crash) bool {
		return other.Endpoint == cr.Endpoint && cr.At.Sub(other.At).Abs() < oneCrash
	})
}

// explain notes the crashes at which a quarantined request was.
func (ta *Table) explain(crashes []core.Crash) {
	if ta.explained == nil || len(ta.explained) >= mostExplained {
		ta.explained = map[uint64]explanation{}
	}
	for _, cr := range crashes {
		ex, was := ta.explained[cr.Endpoint]
		if !was || ex.count < len(crashes) || cr.At.Sub(ex.at) >= oneCrash {
			ta.explained[cr.Endpoint] = explanation{cr.At, len(crashes)}
		}
	}
}

// unexplained is at how many crashes a suspect was that no quarantined request was at which
// was at more.
//
// Failure: with each endpoint that a request crashes, all others that were running there break
// off and come again, and may meet it at the next. Counted like it, they would be refused too.
// One that was at as many crashes may be the cause itself: only the trials can tell.
func (ta *Table) unexplained(su *suspect) int {
	count := 0
	for _, cr := range su.crashes {
		ex, explained := ta.explained[cr.Endpoint]
		if !explained || cr.At.Sub(ex.at).Abs() >= oneCrash || ex.count <= len(su.crashes) {
			count++
		}
	}
	return count
}
