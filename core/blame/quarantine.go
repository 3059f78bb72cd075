package blame

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
	trialPauses = [mostTrials]time.Duration{20 * time.Second, 2 * time.Minute}
	doubtPauses = [mostTrials]time.Duration{time.Second, 20 * time.Second}
)

const (
	// mostForTrial is at how many crashes a quarantined request may have been to be tried
	// again. Three beyond mostCrashes are to be the most that one costs, and a crash may be
	// unknown, as its router ended too.
	mostForTrial = 4
	// mostTrials bounds how often a quarantined request is tried.
	mostTrials = 2
	// turnPause is between the trials of requests of one doubt.
	turnPause = 2 * time.Second
	// oneOutage is within what time several endpoints may crash for one reason, such as a rack
	// that loses power.
	oneOutage = 2 * time.Second
	// mostTurns bounds how many requests of one doubt are tried one after the other.
	mostTurns = 4
)

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
	// lost is set while the store has lost its entry.
	lost bool
	// own is set if this router decided it, told is when a peer last told of it.
	own  bool
	told time.Time
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

// trialPause is how long the request is quarantined before it is tried; false if it is not.
func (ta *Table) trialPause(fp core.Fingerprint, qu *quarantine) (time.Duration, bool) {
	if qu.trials >= mostTrials || qu.total() > mostForTrial {
		return 0, false
	}
	turn, doubt := ta.doubtful(fp, qu)
	switch {
	case !doubt:
		return trialPauses[qu.trials], true
	case qu.trials == 0:
		return doubtPauses[0] + time.Duration(turn)*turnPause, true
	}
	return doubtPauses[qu.trials], true
}

// entry is what the store is to have of it.
func (qu *quarantine) entry(fp core.Fingerprint) core.Quarantine {
	return core.Quarantine{Request: fp, Trials: qu.trials, Crashes: qu.total(), Rev: qu.rev}
}

// over tells that a quarantine has lapsed. Entries of the store lapse there.
func (qu *quarantine) over(now time.Time) bool {
	if qu.rev == 0 && !qu.own && !qu.lost {
		return now.Sub(qu.told) > unstoredFor
	}
	return now.Sub(qu.since) > keptFor
}
