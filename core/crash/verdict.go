package crash

import (
	"bytes"
	"slices"
	"time"

	"almondrill/core"
)

// Check decides whether a request, given with the parts that it may share, may be sent to an endpoint.
//
// Failure: a part that crashes endpoints and a sound one that its requests hold too are quarantined together.
// A request with both shows nothing in favor of the sound one, and costs an endpoint; one with the sound
// part alone is tried first, and one with several only after jointTrialDelay, as none may come without the
// others.
func (ta *Table) Check(now time.Time, fps ...core.Fingerprint) Verdict {
	if ta.quarantineCount.Load() == 0 {
		return Verdict{}
	}
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var all Verdict
	for _, fp := range fps {
		qu := ta.quarantined[fp]
		if qu == nil || qu.expired(now) {
			continue
		}
		var extra time.Duration
		if ta.suspectBeside(fp, fps) {
			extra = jointTrialDelay
		}
		ve := ta.checkOne(now, fp, qu, extra)
		if all.Quarantined {
			ve.Trial = ve.Trial && all.Trial
			ve.RetryAfter = max(ve.RetryAfter, all.RetryAfter)
		}
		if all.Renew {
			ve.Renew, ve.Entry = true, all.Entry
		}
		all = ve
	}
	return all
}

// suspectBeside reports whether a request holds something else that is suspected or quarantined, so that its
// trial would not show which of them crashes endpoints.
func (ta *Table) suspectBeside(fp core.Fingerprint, fps []core.Fingerprint) bool {
	return slices.ContainsFunc(fps, func(other core.Fingerprint) bool {
		return other != fp && (ta.quarantined[other] != nil || IsPart(fp) && ta.suspectsLike(other)[other] != nil)
	})
}

// checkOne decides whether a quarantined request, or one with a quarantined part, may be sent to an endpoint.
// Its trial is due later by extra.
func (ta *Table) checkOne(now time.Time, fp core.Fingerprint, qu *quarantine, extra time.Duration) Verdict {
	ve := Verdict{Quarantined: true, Renew: qu.entryLost, Entry: qu.entry(fp)}
	age := now.Sub(qu.since)
	if delay, allowed := ta.trialDelay(fp, qu); allowed {
		ve.RetryAfter = max(0, delay+extra-age)
		ve.Trial = ve.RetryAfter == 0 && qu.rev != 0
		return ve
	}
	ve.RetryAfter = recordTTL - age
	ve.Renew = qu.entryLost || age > recordTTL/2 && qu.rev != 0
	return ve
}

// EntryStored applies an entry of the platform's store that is new or has changed.
func (ta *Table) EntryStored(now time.Time, en core.Quarantine) Effects {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var ef Effects
	known := ta.quarantined[en.Request] != nil // then earlier successes were weighed with the notice
	if en.Trials == 0 && !known && ta.successes.succeededSince(en.Request, now.Add(-unstoredTTL)) {
		// The entry was written while a peer or this router cleared the request.
		ef.Remove = append(ef.Remove, en)
		return ef
	}
	qu := ta.ensureQuarantine(now, en.Request, &ef)
	if qu == nil || en.Rev <= qu.rev {
		return ef
	}
	if qu.trials != en.Trials || qu.rev != 0 {
		qu.since = now
	}
	qu.trials, qu.storedCrashes, qu.rev, qu.entryLost = en.Trials, max(qu.storedCrashes, en.Crashes), en.Rev, false
	return ef
}

// EntryRemoved applies the removal of an entry from the platform's store: the entry expired, or a
// router cleared the request. An entry that is missing in a later store era than it was written in
// was lost when the store was restored from a backup. It is written again by the router that decided
// the quarantine, or by one to which the request returns.
func (ta *Table) EntryRemoved(fp core.Fingerprint, rev core.Version) Effects {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var ef Effects
	qu := ta.quarantined[fp]
	if qu == nil || qu.rev == 0 || qu.rev > rev {
		return ef
	}
	if rev.Era() > qu.rev.Era() {
		qu.rev, qu.entryLost = 0, true
		return ef
	}
	ta.release(fp, &ef)
	delete(ta.suspectsLike(fp), fp)
	return ef
}

// Decision is a quarantine that this router decided and that is not in the store yet.
type Decision struct {
	Notice core.CrashNotice
	Entry  core.Quarantine
}

// Tick drops expired quarantines. It returns in unstored those that have to be written into the
// store and sent to peers again.
func (ta *Table) Tick(now time.Time) (unstored []Decision, ef Effects) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	for fp, qu := range ta.quarantined {
		switch {
		case qu.expired(now):
			ta.release(fp, &ef)
		case qu.decidedHere && qu.rev == 0:
			unstored = append(unstored, Decision{qu.notice(fp), qu.entry(fp)})
		}
	}
	slices.SortFunc(unstored, func(a, b Decision) int { return bytes.Compare(a.Entry.Request[:], b.Entry.Request[:]) })
	return unstored, ef
}

// Report is a quarantine as it is shown to operators.
type Report struct {
	Request core.Fingerprint
	// Since is when this router learned of it, or of its last trial.
	Since   time.Time
	Crashes int
	Trials  int
	Stored  bool
}

// Reports lists the quarantined requests, most recent first.
func (ta *Table) Reports() []Report {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	all := make([]Report, 0, len(ta.quarantined))
	for fp, qu := range ta.quarantined {
		all = append(all, Report{fp, qu.since, qu.crashCount(), qu.trials, qu.rev != 0})
	}
	slices.SortFunc(all, func(a, b Report) int {
		if by := b.Since.Compare(a.Since); by != 0 {
			return by
		}
		return slices.Compare(a.Request[:], b.Request[:])
	})
	return all
}

// Len returns the numbers of quarantined and of suspected requests.
func (ta *Table) Len() (quarantined, suspected int) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return len(ta.quarantined), len(ta.suspects) + len(ta.parts)
}
