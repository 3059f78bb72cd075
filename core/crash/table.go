package crash

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"almondrill/core"
)

const (
	// crashesToQuarantine is the number of crashes with which a request is quarantined. A
	// bystander of the cause is rarely there three times by chance.
	crashesToQuarantine = 3
	// totalCrashesToQuarantine is the number of crashes with which a request is quarantined even if
	// they are attributed to other requests: otherwise two causes that run side by side would clear
	// each other.
	totalCrashesToQuarantine = 5
	// sameCrashWindow is the time within which crashes of one endpoint, reported by several
	// routers, count as one.
	sameCrashWindow = 2 * time.Second
	// successWindow is how long before a crash a success of the request, at any endpoint, clears
	// it: when many identical requests run at a time, others of them succeed.
	successWindow = 5 * time.Second
	// recordTTL is how long a request that does not return stays suspected or quarantined.
	recordTTL = 10 * time.Minute
	// unstoredTTL is how long a router keeps a quarantine that it knows only from a peer. The
	// peer repeats it every second until the store has it.
	unstoredTTL = 30 * time.Second
	// maxSuspects and maxQuarantined bound the records of requests, to 0.5 MB and 50 KB. A crash makes some
	// 20 requests suspects; at most one request is quarantined for every three crashes.
	maxSuspects    = 4096
	maxQuarantined = 256
	// maxSuspectParts and maxQuarantinedParts bound those of parts, to 1 MB and 200 KB. A request has as many
	// as a hundred, and those that only come together are quarantined together.
	maxSuspectParts     = 8192
	maxQuarantinedParts = 1024
	// maxListedCrashes bounds the crashes that are kept, and sent to peers, for one request.
	maxListedCrashes = 8
	// maxAttributed bounds the crashes that are remembered as attributed.
	maxAttributed = 1024
)

// Effects are the actions that a router has to take after a change of the Table.
type Effects struct {
	// ToOwners are sent to the owners of the request, which count its crashes, ToAll to all
	// routers.
	ToOwners []core.CrashNotice
	ToAll    []core.CrashNotice
	// Remove are entries of the platform's store that are no longer valid.
	Remove []core.Quarantine
	// Runs are to be written to the store.
	Runs []core.SuspectRun
	// Quarantined are the newly quarantined requests, Released those whose quarantine has ended.
	Quarantined, Released []core.Fingerprint
}

// Verdict is the decision whether a request may be sent to an endpoint.
type Verdict struct {
	Quarantined bool
	// RetryAfter is the time until the request may be tried.
	RetryAfter time.Duration
	// Trial is set if the request may be sent once, by the router that replaces Entry in the
	// platform's store by one with a further trial.
	Trial bool
	// Renew is set if Entry has to be written again to keep it from expiring.
	Renew bool
	Entry core.Quarantine
}

// Table is what a router knows of requests that crash endpoints. It is safe for concurrent
// use; the zero value is ready.
type Table struct {
	// quarantineCount is the number of quarantined requests. While it is 0, which is usual,
	// requests pass without taking the lock.
	quarantineCount atomic.Int32

	mu          sync.Mutex // guards all below
	successes   recentSuccesses
	suspects    map[core.Fingerprint]*suspect // requests
	parts       map[core.Fingerprint]*suspect // parts of prompts that are suspects
	quarantined map[core.Fingerprint]*quarantine
	// unresolved are runs of suspects that routers have written which may be gone, until it is known whether their
	// endpoints crashed; unresolvedCount is their number.
	unresolved      []core.SuspectRun
	unresolvedCount atomic.Int32
	// attributed holds the latest crash attributed to a quarantined request, by endpoint.
	attributed map[uint64]attribution
}

// EndpointCrashed records that an endpoint crashed while it ran requests of this router, given with the
// parts under which no answer had begun.
func (ta *Table) EndpointCrashed(now time.Time, endpoint uint64, suspects []core.Fingerprint) Effects {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var ef Effects
	cr := core.Crash{Endpoint: endpoint, At: now}
	partCount := 0
	for _, fp := range suspects {
		if IsPart(fp) {
			partCount++
		}
	}
	for _, fp := range suspects {
		if ta.successes.succeededSince(fp, now.Add(-successWindow)) {
			continue
		}
		ef.ToOwners = append(ef.ToOwners, core.CrashNotice{Kind: core.NoticeSuspected, Request: fp, Crashes: []core.Crash{cr}})
		added := ta.recordCrash(now, fp, cr, &ef)
		if ta.suspects[fp] != nil {
			ef.Runs = append(ef.Runs, core.SuspectRun{Request: fp, Endpoint: endpoint, At: now, Crashed: true})
		}
		if added && IsPart(fp) {
			ta.storePart(fp, partCount <= maxFirstParts, &ef)
		}
	}
	return ef
}

// Succeeded records that an attempt succeeded, or that an answer went on under parts of its prompt, which
// shows that these crash no endpoint.
func (ta *Table) Succeeded(now time.Time, fps ...core.Fingerprint) Effects {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var ef Effects
	for _, fp := range fps {
		ta.successes.record(fp, now)
		ta.clear(fp, &ef)
	}
	return ef
}

// Lift ends the quarantine of a request and returns false if there was none.
func (ta *Table) Lift(fp core.Fingerprint) (Effects, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	_, was := ta.quarantined[fp]
	var ef Effects
	ta.clear(fp, &ef)
	return ef, was
}

// clear drops all suspicion against a request, and its quarantine.
func (ta *Table) clear(fp core.Fingerprint, ef *Effects) {
	cleared := core.CrashNotice{Kind: core.NoticeCleared, Request: fp}
	if qu := ta.quarantined[fp]; qu != nil {
		ef.ToAll = append(ef.ToAll, cleared)
		if qu.rev != 0 {
			ef.Remove = append(ef.Remove, qu.entry(fp))
		}
		ta.release(fp, ef)
	} else if ta.suspectsLike(fp)[fp] != nil {
		ef.ToOwners = append(ef.ToOwners, cleared)
	}
	delete(ta.suspectsLike(fp), fp)
}

// ApplyNotice applies a peer's notice.
func (ta *Table) ApplyNotice(now time.Time, no core.CrashNotice) Effects {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var ef Effects
	switch no.Kind {
	case core.NoticeSuspected:
		for _, cr := range no.Crashes {
			if ta.recordCrash(now, no.Request, cr, &ef) && IsPart(no.Request) {
				ta.storePart(no.Request, false, &ef)
			}
		}
	case core.NoticeCleared:
		ta.successes.record(no.Request, now)
		delete(ta.suspectsLike(no.Request), no.Request)
		ta.release(no.Request, &ef)
	case core.NoticeQuarantined:
		if ta.clearedBySuccess(no) {
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

// clearedBySuccess reports whether this router saw the request succeed after, or shortly before,
// the first crash in the notice.
func (ta *Table) clearedBySuccess(no core.CrashNotice) bool {
	if len(no.Crashes) == 0 {
		return false
	}
	first := slices.MinFunc(no.Crashes, byTime)
	return ta.successes.succeededSince(no.Request, first.At.Add(-successWindow))
}

// recordCrash adds a crash to the record of a request and quarantines the request once there are too
// many. It returns true if the request has one more crash and is a suspect still.
func (ta *Table) recordCrash(now time.Time, fp core.Fingerprint, cr core.Crash, ef *Effects) bool {
	if qu := ta.quarantined[fp]; qu != nil {
		if qu.add(cr) {
			ta.attribute(qu.crashes)
			ef.ToAll = append(ef.ToAll, qu.notice(fp))
		}
		return false
	}
	if ta.successes.succeededSince(fp, cr.At.Add(-successWindow)) {
		return false
	}
	su := ta.ensureSuspect(now, fp)
	if containsCrash(su.crashes, cr) || len(su.crashes) >= maxListedCrashes {
		return false
	}
	su.crashes = append(su.crashes, cr)
	if ta.unattributed(su) < crashesToQuarantine && len(su.crashes) < totalCrashesToQuarantine {
		return true
	}
	qu := ta.ensureQuarantine(now, fp, ef)
	if qu == nil {
		return true
	}
	qu.decidedHere, qu.crashes = true, su.crashes
	delete(ta.suspectsLike(fp), fp)
	ta.attribute(qu.crashes)
	ef.ToAll = append(ef.ToAll, qu.notice(fp))
	return false
}
