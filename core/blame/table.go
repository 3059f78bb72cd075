package blame

import (
	"bytes"
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
	// mostForTrial is at how many crashes a quarantined request may have been to be tried
	// again. Three beyond mostCrashes are to be the most that one costs, and a crash may be
	// unknown, as its router ended too.
	mostForTrial = 4
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

// Pauses before a quarantined request may be tried on one endpoint: a second time after the
// first trial crashed it. A request that is quarantined wrongly is served again at its first
// return after the pause; one that is not costs an endpoint each time. Where it is in doubt that
// the request is the cause, the first trial shows it before its caller gives up.
var (
	trialPauses = [mostTrials]time.Duration{20 * time.Second, 2 * time.Minute}
	doubtPauses = [mostTrials]time.Duration{time.Second, 20 * time.Second}
)

const (
	mostTrials = 2
	// turnPause is between the trials of requests of one doubt.
	turnPause = 2 * time.Second
	// oneOutage is within what time several endpoints may crash for one reason, such as a rack
	// that loses power.
	oneOutage = 2 * time.Second
	// mostTurns bounds how many requests of one doubt are tried one after the other.
	mostTurns = 4
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

// explanation is a crash at which a quarantined request was, and at how many that was.
type explanation struct {
	at    time.Time
	count int
}

// suspect is a request that was running at endpoints that crashed.
type suspect struct{ crashes []core.Crash }

// quarantine is a request that is not sent to endpoints.
type quarantine struct {
	crashes []core.Crash
	// since is when this router learned of it, or of its last trial.
	since  time.Time
	trials int
	// count is at how many crashes it was as the store's entry tells, where this router knows
	// of fewer.
	count int
	rev   core.Version
	// own is set if this router decided it, told is when a peer last told of it.
	own  bool
	told time.Time
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

// known tells whether the crash is one of them, that another router tells of.
func known(crashes []core.Crash, cr core.Crash) bool {
	return slices.ContainsFunc(crashes, func(other core.Crash) bool {
		return other.Endpoint == cr.Endpoint && cr.At.Sub(other.At).Abs() < oneCrash
	})
}

// add notes a further crash; false if it is known.
func (qu *quarantine) add(cr core.Crash) bool {
	if known(qu.crashes, cr) || len(qu.crashes) >= mostListed {
		return false
	}
	qu.crashes = append(qu.crashes, cr)
	return true
}

// total is at how many crashes it was.
func (qu *quarantine) total() int { return max(qu.count, len(qu.crashes)) }

func (qu *quarantine) note(fp core.Fingerprint) core.BlameNote {
	return core.BlameNote{Kind: core.BlameQuarantined, Request: fp, Crashes: slices.Clone(qu.crashes)}
}

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

// take is a request's quarantine, begun if there is none; nil if there are too many.
func (ta *Table) take(now time.Time, fp core.Fingerprint, ef *Effects) *quarantine {
	if qu := ta.quarantined[fp]; qu != nil {
		return qu
	}
	if ta.quarantined == nil {
		ta.quarantined = map[core.Fingerprint]*quarantine{}
	}
	if len(ta.quarantined) >= mostQuarantined {
		return nil
	}
	qu := &quarantine{since: now, told: now}
	ta.quarantined[fp] = qu
	ta.quarantines.Add(1)
	ef.Began = append(ef.Began, fp)
	return qu
}

func (ta *Table) release(fp core.Fingerprint, ef *Effects) {
	if ta.quarantined[fp] != nil {
		delete(ta.quarantined, fp)
		ta.quarantines.Add(-1)
		ef.Over = append(ef.Over, fp)
	}
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

// doubtful tells whether a quarantined request may be innocent: all its crashes came at once, or
// other quarantined requests were at each of them too. turn is how many of these come before
// it, as they are tried one after the other: two that are tried at a time could meet again.
func (ta *Table) doubtful(fp core.Fingerprint, qu *quarantine) (turn int, doubt bool) {
	shared := make([]bool, len(qu.crashes))
	for other, qo := range ta.quarantined {
		if other == fp {
			continue
		}
		meets := false
		for ix, cr := range qu.crashes {
			if known(qo.crashes, cr) {
				shared[ix], meets = true, true
			}
		}
		if meets && bytes.Compare(other[:], fp[:]) < 0 {
			turn++
		}
	}
	doubt = len(qu.crashes) > 0 && (!slices.Contains(shared, false) || atOnce(qu.crashes))
	return min(turn, mostTurns-1), doubt
}

// atOnce tells whether the crashes may be one outage.
func atOnce(crashes []core.Crash) bool {
	first := slices.MinFunc(crashes, byTime)
	last := slices.MaxFunc(crashes, byTime)
	return last.At.Sub(first.At) < oneOutage
}

func byTime(a, b core.Crash) int { return a.At.Compare(b.At) }
