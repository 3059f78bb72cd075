package crash

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"almondrill/core"
)

const (
	// crashesToQuarantine is how many endpoints a request may crash before it is quarantined. A
	// request that ran beside the cause by chance is rarely there three times.
	crashesToQuarantine = 3
	// totalCrashesToQuarantine is at how many crashes a request may be that others explain: two causes
	// that run side by side would explain each other's.
	totalCrashesToQuarantine = 5
	// sameCrashWindow is within what time two crashes of the same endpoint are one that several
	// routers tell of.
	sameCrashWindow = 2 * time.Second
	// successWindow is how long before a crash a request may have ended well, anywhere, to be
	// innocent of it: identical requests of which many run at a time have others that end.
	successWindow = 5 * time.Second
	// recordTTL is how long a request is suspected, or quarantined, that does not come again.
	recordTTL = 10 * time.Minute
	// unstoredTTL is how long a quarantine lasts at a router that was only told of it by a
	// peer. The peer tells again every second until the store has it.
	unstoredTTL = 30 * time.Second
	// maxSuspects and mostQuarantined bound what is kept, 0.5 MB and 50 KB. A crash makes
	// suspects of some 20 requests; a request is quarantined once in three crashes at most.
	maxSuspects    = 4096
	maxQuarantined = 256
	// maxListedCrashes bounds the crashes that are kept, and told, of one request.
	maxListedCrashes = 8
	// maxAttributed bounds the crashes that are remembered to have a cause.
	maxAttributed = 1024
)

// Effects are what a router has to do for what it heard or saw.
type Effects struct {
	// ToOwners are for the routers that count the crashes of the request, ToAll for all.
	ToOwners []core.CrashNotice
	ToAll    []core.CrashNotice
	// Remove are entries of the platform's store that hold no longer.
	Remove []core.Quarantine
	// Quarantined are requests that are quarantined from now on, Over those that are not any more.
	Quarantined, Released []core.Fingerprint
}

// Verdict tells whether a request may be sent to an endpoint.
type Verdict struct {
	Quarantined bool
	// RetryAfter is when it might be tried.
	RetryAfter time.Duration
	// Trial is set if it may be sent once, by the router that replaces Entry in the
	// platform's store by one with a further trial.
	Trial bool
	// Renew is set if Entry is to be written again, or it will lapse.
	Renew bool
	Entry core.Quarantine
}

// Table is what a router knows of requests that crash endpoints. It is safe for concurrent
// use; the zero value is ready.
type Table struct {
	// quarantineCount is the number of quarantined requests, so that as a rule a request is
	// let through without the lock.
	quarantineCount atomic.Int32

	mu          sync.Mutex // guards all below
	successes   recentSuccesses
	suspects    map[core.Fingerprint]*suspect
	quarantined map[core.Fingerprint]*quarantine
	// attributed are crashes at which a quarantined request was, by endpoint.
	attributed map[uint64]attribution
}

// EndpointCrashed takes that an endpoint crashed while it ran requests of this router.
func (ta *Table) EndpointCrashed(now time.Time, endpoint uint64, requests []core.Fingerprint) Effects {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var ef Effects
	cr := core.Crash{Endpoint: endpoint, At: now}
	for _, fp := range requests {
		if ta.successes.succeededSince(fp, now.Add(-successWindow)) {
			continue
		}
		ef.ToOwners = append(ef.ToOwners, core.CrashNotice{Kind: core.NoticeSuspected, Request: fp, Crashes: []core.Crash{cr}})
		ta.recordCrash(now, fp, cr, &ef)
	}
	return ef
}

// Succeeded takes that an attempt ended well: the request does not crash endpoints.
func (ta *Table) Succeeded(now time.Time, fp core.Fingerprint) Effects {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.successes.record(fp, now)
	return ta.clear(fp)
}

// Lift ends the quarantine of a request; false if it has none.
func (ta *Table) Lift(fp core.Fingerprint) (Effects, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	_, was := ta.quarantined[fp]
	return ta.clear(fp), was
}

// clear takes back what is held against a request.
func (ta *Table) clear(fp core.Fingerprint) Effects {
	var ef Effects
	cleared := core.CrashNotice{Kind: core.NoticeCleared, Request: fp}
	if qu := ta.quarantined[fp]; qu != nil {
		ef.ToAll = append(ef.ToAll, cleared)
		if qu.rev != 0 {
			ef.Remove = append(ef.Remove, qu.entry(fp))
		}
		ta.release(fp, &ef)
	} else if ta.suspects[fp] != nil {
		ef.ToOwners = append(ef.ToOwners, cleared)
	}
	delete(ta.suspects, fp)
	return ef
}

// ApplyNote takes a peer's note.
func (ta *Table) ApplyNote(now time.Time, no core.CrashNotice) Effects {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var ef Effects
	switch no.Kind {
	case core.NoticeSuspected:
		for _, cr := range no.Crashes {
			ta.recordCrash(now, no.Request, cr, &ef)
		}
	case core.NoticeCleared:
		ta.successes.record(no.Request, now)
		delete(ta.suspects, no.Request)
		ta.release(no.Request, &ef)
	case core.NoticeQuarantined:
		if ta.succeededBefore(no) {
			ef.ToAll = append(ef.ToAll, core.CrashNotice{Kind: core.NoticeCleared, Request: no.Request})
			break
		}
		qu := ta.ensureQuarantine(now, no.Request, &ef)
		if qu == nil {
			break
		}
		qu.notifiedAt = now
		for _, cr := range no.Crashes {
			qu.add(cr)
		}
		ta.attribute(qu.crashes)
	}
	return ef
}

// succeededBefore tells whether this router saw the request end around the time of its first crash.
func (ta *Table) succeededBefore(no core.CrashNotice) bool {
	if len(no.Crashes) == 0 {
		return false
	}
	first := slices.MinFunc(no.Crashes, byTime)
	return ta.successes.succeededSince(no.Request, first.At.Add(-successWindow))
}

// recordCrash adds a crash to what is held against a request, and quarantines it with the last that
// is allowed.
func (ta *Table) recordCrash(now time.Time, fp core.Fingerprint, cr core.Crash, ef *Effects) {
	if qu := ta.quarantined[fp]; qu != nil {
		if qu.add(cr) {
			ta.attribute(qu.crashes)
			ef.ToAll = append(ef.ToAll, qu.note(fp))
		}
		return
	}
	if ta.successes.succeededSince(fp, cr.At.Add(-successWindow)) {
		return
	}
	su := ta.ensureSuspect(now, fp)
	if containsCrash(su.crashes, cr) || len(su.crashes) >= maxListedCrashes {
		return
	}
	su.crashes = append(su.crashes, cr)
	if ta.unattributed(su) < crashesToQuarantine && len(su.crashes) < totalCrashesToQuarantine {
		return
	}
	qu := ta.ensureQuarantine(now, fp, ef)
	if qu == nil {
		return
	}
	qu.decidedHere, qu.crashes = true, su.crashes
	delete(ta.suspects, fp)
	ta.attribute(qu.crashes)
	ef.ToAll = append(ef.ToAll, qu.note(fp))
}
