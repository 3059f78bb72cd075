package blame

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"almondrill/core"
)

const (
	// mostCrashes is how many endpoints a request may crash before it is quarantined. A
	// request that ran beside the cause by chance is rarely there three times.
	mostCrashes = 3
	// mostAtAll is at how many crashes a request may be that others explain: two causes
	// that run side by side would explain each other's.
	mostAtAll = 5
	// oneCrash is within what time two crashes of the same endpoint are one that several
	// routers tell of.
	oneCrash = 2 * time.Second
	// excuse is how long before a crash a request may have ended well, anywhere, to be
	// innocent of it: identical requests of which many run at a time have others that end.
	excuse = 5 * time.Second
	// keptFor is how long a request is suspected, or quarantined, that does not come again.
	keptFor = 10 * time.Minute
	// unstoredFor is how long a quarantine lasts at a router that was only told of it by a
	// peer. The peer tells again every second until the store has it.
	unstoredFor = 30 * time.Second
	// mostSuspects and mostQuarantined bound what is kept, 0.5 MB and 50 KB. A crash makes
	// suspects of some 20 requests; a request is quarantined once in three crashes at most.
	mostSuspects    = 4096
	mostQuarantined = 256
	// mostListed bounds the crashes that are kept, and told, of one request.
	mostListed = 8
	// mostExplained bounds the crashes that are remembered to have a cause.
	mostExplained = 1024
)

// Effects are what a router has to do for what it heard or saw.
type Effects struct {
	// ToKeepers are for the routers that count the crashes of the request, ToAll for all.
	ToKeepers []core.BlameNote
	ToAll     []core.BlameNote
	// Remove are entries of the platform's store that hold no longer.
	Remove []core.Quarantine
	// Began are requests that are quarantined from now on, Over those that are not any more.
	Began, Over []core.Fingerprint
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
	// quarantines is the number of quarantined requests, so that as a rule a request is
	// let through without the lock.
	quarantines atomic.Int32

	mu          sync.Mutex // guards all below
	ended       ended
	suspects    map[core.Fingerprint]*suspect
	quarantined map[core.Fingerprint]*quarantine
	// explained are crashes at which a quarantined request was, by endpoint.
	explained map[uint64]explanation
}

// Crashed takes that an endpoint crashed while it ran requests of this router.
func (ta *Table) Crashed(now time.Time, endpoint uint64, requests []core.Fingerprint) Effects {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var ef Effects
	cr := core.Crash{Endpoint: endpoint, At: now}
	for _, fp := range requests {
		if ta.ended.since(fp, now.Add(-excuse)) {
			continue
		}
		ef.ToKeepers = append(ef.ToKeepers, core.BlameNote{Kind: core.BlameSuspected, Request: fp, Crashes: []core.Crash{cr}})
		ta.count(now, fp, cr, &ef)
	}
	return ef
}

// Ended takes that an attempt ended well: the request does not crash endpoints.
func (ta *Table) Ended(now time.Time, fp core.Fingerprint) Effects {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.ended.note(fp, now)
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
	cleared := core.BlameNote{Kind: core.BlameCleared, Request: fp}
	if qu := ta.quarantined[fp]; qu != nil {
		ef.ToAll = append(ef.ToAll, cleared)
		if qu.rev != 0 {
			ef.Remove = append(ef.Remove, qu.entry(fp))
		}
		ta.release(fp, &ef)
	} else if ta.suspects[fp] != nil {
		ef.ToKeepers = append(ef.ToKeepers, cleared)
	}
	delete(ta.suspects, fp)
	return ef
}

// Hear takes a peer's note.
func (ta *Table) Hear(now time.Time, no core.BlameNote) Effects {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var ef Effects
	switch no.Kind {
	case core.BlameSuspected:
		for _, cr := range no.Crashes {
			ta.count(now, no.Request, cr, &ef)
		}
	case core.BlameCleared:
		ta.ended.note(no.Request, now)
		delete(ta.suspects, no.Request)
		ta.release(no.Request, &ef)
	case core.BlameQuarantined:
		if ta.innocent(no) {
			ef.ToAll = append(ef.ToAll, core.BlameNote{Kind: core.BlameCleared, Request: no.Request})
			break
		}
		qu := ta.take(now, no.Request, &ef)
		if qu == nil {
			break
		}
		qu.told = now
		for _, cr := range no.Crashes {
			qu.add(cr)
		}
		ta.explain(qu.crashes)
	}
	return ef
}

// innocent tells whether this router saw the request end around the time of its first crash.
func (ta *Table) innocent(no core.BlameNote) bool {
	if len(no.Crashes) == 0 {
		return false
	}
	first := slices.MinFunc(no.Crashes, byTime)
	return ta.ended.since(no.Request, first.At.Add(-excuse))
}

// count adds a crash to what is held against a request, and quarantines it with the last that
// is allowed.
func (ta *Table) count(now time.Time, fp core.Fingerprint, cr core.Crash, ef *Effects) {
	if qu := ta.quarantined[fp]; qu != nil {
		if qu.add(cr) {
			ta.explain(qu.crashes)
			ef.ToAll = append(ef.ToAll, qu.note(fp))
		}
		return
	}
	if ta.ended.since(fp, cr.At.Add(-excuse)) {
		return
	}
	su := ta.suspect(now, fp)
	if known(su.crashes, cr) || len(su.crashes) >= mostListed {
		return
	}
	su.crashes = append(su.crashes, cr)
	if ta.unexplained(su) < mostCrashes && len(su.crashes) < mostAtAll {
		return
	}
	qu := ta.take(now, fp, ef)
	if qu == nil {
		return
	}
	qu.own, qu.crashes = true, su.crashes
	delete(ta.suspects, fp)
	ta.explain(qu.crashes)
	ef.ToAll = append(ef.ToAll, qu.note(fp))
}
