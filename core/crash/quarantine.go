package crash

import (
	"bytes"
	"slices"
	"time"

	"almondrill/core"
)

// Delays before the first trial of a quarantined request at one endpoint, and before the second if
// the first crashed that endpoint. A wrongly quarantined request is served again when it returns
// after the delay; one that is the cause costs an endpoint each time. Where it is uncertain whether
// the request is the cause, the first trial comes before its caller gives up.
var (
	trialDelays = [maxTrials]time.Duration{20 * time.Second, 2 * time.Minute}
	// partTrialDelays apply to parts: a wrong quarantine refuses all requests that share the part.
	partTrialDelays      = [maxTrials]time.Duration{4 * time.Second, 30 * time.Second}
	uncertainTrialDelays = [maxTrials]time.Duration{time.Second, 20 * time.Second}
)

const (
	// maxCrashesForTrial is the highest crash count at which a quarantined request is tried again.
	// A request should cost at most three crashes beyond crashesToQuarantine, and a crash may be
	// unknown because its router stopped as well.
	maxCrashesForTrial = 4
	// maxTrials bounds the trials of a quarantined request.
	maxTrials = 2
	// trialSpacing separates the first trials of uncertain requests that share crashes.
	trialSpacing = 2 * time.Second
	// outageWindow is the time within which several endpoints may crash for one common reason,
	// such as a rack that loses power.
	outageWindow = 2 * time.Second
	// latePartTrialDelay applies to a part that has no other trial left. Requests that share it go on coming,
	// so that its quarantine would not expire, and the part may have become harmless by a release.
	latePartTrialDelay = 5 * time.Minute
	// jointTrialDelay is how much later a request is tried that holds something else that is suspected.
	jointTrialDelay = 4 * time.Second
	// maxTrialTurns bounds how many requests that share crashes are tried one after the other.
	maxTrialTurns = 4
)

// quarantine is the state of a request that is not sent to endpoints.
type quarantine struct {
	crashes []core.Crash
	// since is when this router learned of the quarantine, or of its last trial.
	since  time.Time
	trials int
	// storedCrashes is the crash count in the store's entry, which may exceed the crashes
	// known to this router.
	storedCrashes int
	rev           core.Version
	// entryLost is set while the store has lost the entry.
	entryLost bool
	// decidedHere is set if this router decided the quarantine; notifiedAt is when a peer last
	// sent it.
	decidedHere bool
	notifiedAt  time.Time
}

// add records a further crash and returns false if it is already known or there are too many.
func (qu *quarantine) add(cr core.Crash) bool {
	if containsCrash(qu.crashes, cr) || len(qu.crashes) >= maxListedCrashes {
		return false
	}
	qu.crashes = append(qu.crashes, cr)
	return true
}

// crashCount returns the number of crashes at which the request was running.
func (qu *quarantine) crashCount() int { return max(qu.storedCrashes, len(qu.crashes)) }

func (qu *quarantine) notice(fp core.Fingerprint) core.CrashNotice {
	return core.CrashNotice{Kind: core.NoticeQuarantined, Request: fp, Crashes: slices.Clone(qu.crashes)}
}

// ensureQuarantine returns the quarantine of a request, which it begins if there is none. It returns
// nil if there are too many.
func (ta *Table) ensureQuarantine(now time.Time, fp core.Fingerprint, ef *Effects) *quarantine {
	if qu := ta.quarantined[fp]; qu != nil {
		return qu
	}
	if ta.quarantined == nil {
		ta.quarantined = map[core.Fingerprint]*quarantine{}
	}
	if ta.full(fp) {
		return nil
	}
	qu := &quarantine{since: now, notifiedAt: now}
	ta.quarantined[fp] = qu
	ta.quarantineCount.Add(1)
	ef.Quarantined = append(ef.Quarantined, fp)
	return qu
}

// full reports whether there is no room for the quarantine of one more request, or of one more part.
func (ta *Table) full(fp core.Fingerprint) bool {
	if len(ta.quarantined) < maxQuarantined {
		return false
	}
	limit, count := maxQuarantined, 0
	if IsPart(fp) {
		limit = maxQuarantinedParts
	}
	for other := range ta.quarantined {
		if IsPart(other) == IsPart(fp) {
			count++
		}
	}
	return count >= limit
}

func (ta *Table) release(fp core.Fingerprint, ef *Effects) {
	if ta.quarantined[fp] != nil {
		delete(ta.quarantined, fp)
		ta.quarantineCount.Add(-1)
		ef.Released = append(ef.Released, fp)
	}
}

// uncertain reports whether a quarantined request may be a bystander: its crashes came all at once,
// or other quarantined requests were running at each of them as well. turn is the number of those
// requests that are tried before this one: two that are tried at the same time could meet again.
func (ta *Table) uncertain(fp core.Fingerprint, qu *quarantine) (turn int, unsure bool) {
	shared := make([]bool, len(qu.crashes))
	for other, qo := range ta.quarantined {
		if other == fp {
			continue
		}
		overlaps := false
		for ix, cr := range qu.crashes {
			if containsCrash(qo.crashes, cr) {
				shared[ix], overlaps = true, true
			}
		}
		if overlaps && bytes.Compare(other[:], fp[:]) < 0 {
			turn++
		}
	}
	unsure = len(qu.crashes) > 0 && (!slices.Contains(shared, false) || inOneOutage(qu.crashes))
	return min(turn, maxTrialTurns-1), unsure
}

// inOneOutage reports whether the crashes may belong to one outage.
func inOneOutage(crashes []core.Crash) bool {
	first := slices.MinFunc(crashes, byTime)
	last := slices.MaxFunc(crashes, byTime)
	return last.At.Sub(first.At) < outageWindow
}

func byTime(a, b core.Crash) int { return a.At.Compare(b.At) }

// trialDelay returns how long the request is quarantined before its next trial; false if there is
// none.
func (ta *Table) trialDelay(fp core.Fingerprint, qu *quarantine) (time.Duration, bool) {
	if qu.trials >= maxTrials || qu.crashCount() > maxCrashesForTrial {
		return latePartTrialDelay, IsPart(fp)
	}
	turn, unsure := ta.uncertain(fp, qu)
	switch {
	case !unsure && IsPart(fp):
		return partTrialDelays[qu.trials], true
	case !unsure:
		return trialDelays[qu.trials], true
	case qu.trials == 0:
		return uncertainTrialDelays[0] + time.Duration(turn)*trialSpacing, true
	}
	return uncertainTrialDelays[qu.trials], true
}

// entry returns the quarantine as it is to be stored.
func (qu *quarantine) entry(fp core.Fingerprint) core.Quarantine {
	return core.Quarantine{Request: fp, Trials: qu.trials, Crashes: qu.crashCount(), Rev: qu.rev}
}

// expired reports whether the quarantine has expired. Entries in the store expire there.
func (qu *quarantine) expired(now time.Time) bool {
	if qu.rev == 0 && !qu.decidedHere && !qu.entryLost {
		return now.Sub(qu.notifiedAt) > unstoredTTL
	}
	return now.Sub(qu.since) > recordTTL
}
