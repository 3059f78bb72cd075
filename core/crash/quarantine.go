package crash

import (
	"bytes"
	"slices"
	"time"

	"almondrill/core"
)

// Pauses before a quarantined request may be tried on one endpoint: a second time after the
// first trial crashed it. A request that is quarantined wrongly is served again at its first
// return after the pause; one that is not costs an endpoint each time. Where it is in doubt that
// the request is the cause, the first trial shows it before its caller gives up.
var (
	trialDelays          = [maxTrials]time.Duration{20 * time.Second, 2 * time.Minute}
	uncertainTrialDelays = [maxTrials]time.Duration{time.Second, 20 * time.Second}
)

const (
	// maxCrashesForTrial is at how many crashes a quarantined request may have been to be tried
	// again. Three beyond mostCrashes are to be the most that one costs, and a crash may be
	// unknown, as its router ended too.
	maxCrashesForTrial = 4
	// maxTrials bounds how often a quarantined request is tried.
	maxTrials = 2
	// trialSpacing is between the trials of requests of one doubt.
	trialSpacing = 2 * time.Second
	// outageWindow is within what time several endpoints may crash for one reason, such as a rack
	// that loses power.
	outageWindow = 2 * time.Second
	// maxTrialTurns bounds how many requests of one doubt are tried one after the other.
	maxTrialTurns = 4
)

// quarantine is a request that is not sent to endpoints.
type quarantine struct {
	crashes []core.Crash
	// since is when this router learned of it, or of its last trial.
	since  time.Time
	trials int
	// storedCrashes is at how many crashes it was as the store's entry tells, where this router knows
	// of fewer.
	storedCrashes int
	rev           core.Version
	// entryLost is set while the store has lost its entry.
	entryLost bool
	// decidedHere is set if this router decided it, told is when a peer last told of it.
	decidedHere bool
	notifiedAt  time.Time
}

// add notes a further crash; false if it is known.
func (qu *quarantine) add(cr core.Crash) bool {
	if containsCrash(qu.crashes, cr) || len(qu.crashes) >= maxListedCrashes {
		return false
	}
	qu.crashes = append(qu.crashes, cr)
	return true
}

// crashCount is at how many crashes it was.
func (qu *quarantine) crashCount() int { return max(qu.storedCrashes, len(qu.crashes)) }

func (qu *quarantine) note(fp core.Fingerprint) core.CrashNotice {
	return core.CrashNotice{Kind: core.NoticeQuarantined, Request: fp, Crashes: slices.Clone(qu.crashes)}
}

// ensureQuarantine is a request's quarantine, begun if there is none; nil if there are too many.
func (ta *Table) ensureQuarantine(now time.Time, fp core.Fingerprint, ef *Effects) *quarantine {
	if qu := ta.quarantined[fp]; qu != nil {
		return qu
	}
	if ta.quarantined == nil {
		ta.quarantined = map[core.Fingerprint]*quarantine{}
	}
	if len(ta.quarantined) >= maxQuarantined {
		return nil
	}
	qu := &quarantine{since: now, notifiedAt: now}
	ta.quarantined[fp] = qu
	ta.quarantineCount.Add(1)
	ef.Quarantined = append(ef.Quarantined, fp)
	return qu
}

func (ta *Table) release(fp core.Fingerprint, ef *Effects) {
	if ta.quarantined[fp] != nil {
		delete(ta.quarantined, fp)
		ta.quarantineCount.Add(-1)
		ef.Released = append(ef.Released, fp)
	}
}

// uncertain tells whether a quarantined request may be innocent: all its crashes came at once, or
// other quarantined requests were at each of them too. turn is how many of these come before
// it, as they are tried one after the other: two that are tried at a time could meet again.
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

// inOneOutage tells whether the crashes may be one outage.
func inOneOutage(crashes []core.Crash) bool {
	first := slices.MinFunc(crashes, byTime)
	last := slices.MaxFunc(crashes, byTime)
	return last.At.Sub(first.At) < outageWindow
}

func byTime(a, b core.Crash) int { return a.At.Compare(b.At) }

// trialDelay is how long the request is quarantined before it is tried; false if it is not.
func (ta *Table) trialDelay(fp core.Fingerprint, qu *quarantine) (time.Duration, bool) {
	if qu.trials >= maxTrials || qu.crashCount() > maxCrashesForTrial {
		return 0, false
	}
	turn, unsure := ta.uncertain(fp, qu)
	switch {
	case !unsure:
		return trialDelays[qu.trials], true
	case qu.trials == 0:
		return uncertainTrialDelays[0] + time.Duration(turn)*trialSpacing, true
	}
	return uncertainTrialDelays[qu.trials], true
}

// entry is what the store is to have of it.
func (qu *quarantine) entry(fp core.Fingerprint) core.Quarantine {
	return core.Quarantine{Request: fp, Trials: qu.trials, Crashes: qu.crashCount(), Rev: qu.rev}
}

// expired tells that a quarantine has lapsed. Entries of the store lapse there.
func (qu *quarantine) expired(now time.Time) bool {
	if qu.rev == 0 && !qu.decidedHere && !qu.entryLost {
		return now.Sub(qu.notifiedAt) > unstoredTTL
	}
	return now.Sub(qu.since) > recordTTL
}
