package place

import (
	"slices"
	"time"

	"almondrill/core"
)

// Load pattern: engines that do not report their speed become several times slower. Few calls begin
// at any one of them, but each running stream yields an event every 30 to 40 ms, so that all routers
// together notice longer pauses within a few hundred ms. The pauses are compared with those at the
// other engines of the pool, at the same number of calls.

const (
	// pausesSpan is the least time that the pauses of a figure cover: several steps of an engine at
	// its usual speed. A figure that is not complete after pausesMax is discarded, since it is from
	// different streams.
	pausesSpan = 200 * time.Millisecond
	pausesMax  = 2 * time.Second
	// confirmWindow is how long after a figure the next one confirms it. An engine counts as slow by
	// two successive figures: long prompts of other calls lengthen the pauses for one.
	confirmWindow = 2 * time.Second
	// slowFrom is the factor from which on an engine counts as slow, until it is below usualBelow.
	// Prompts of other calls and errors in the number of calls cause lower ones at any engine.
	slowFrom, usualBelow = 1.5, 1.25
	// usualWindow is how old an engine's figure may be to count in what is usual. A router among
	// hundreds has one stream at a time, and sees a few engines in this time.
	usualWindow = 20 * time.Second
	// usualInterval is how long the usual pause is used before it is computed again.
	usualInterval = 100 * time.Millisecond
	// minUsualEngines is the least number of engines by which the usual pause is known.
	minUsualEngines = 3
	// pausesDecay is the weight of past figures at each further one in the growth of pauses with the
	// number of calls. A router completes up to a hundred per second.
	pausesDecay = 0.9995
	// maxWriting is the time between two reads of a stream from which on its pause is not the
	// engine's: the caller or the router itself was slow.
	maxWriting = 5 * time.Millisecond
)

// figure is the time per event at an engine, in ms, at that number of calls. at is when it was
// complete, in Unix nanoseconds, 0 if there is none.
type figure struct {
	at           int64
	perEvent     float32
	runningCalls float32
}

// pauses observes the pauses between events of this router's streams at one engine.
type pauses struct {
	// since is when the first pause of the next figure began, in Unix nanoseconds; its pauses took
	// tookMs in total, for so many events.
	since  int64
	tookMs float32
	events int32
	// last and before are the latest figures.
	last, before figure
}

// usualPauses is what a router has learned of the pauses at the engines of a pool.
type usualPauses struct {
	// reported is set once an endpoint of the pool has reported its speed. Then nothing is learned.
	reported bool
	// perEvent is the usual time per event, in ms, at the mean number of calls; 0 if it is unknown.
	// It was computed at computedAt.
	perEvent   float64
	computedAt time.Time
	growth     growth
	// validFrom is the time from which on figures count, in Unix nanoseconds.
	validFrom int64
	sorted    []float64 // reused
}

// RecordEvents records that a number of complete events of a stream arrived now, for which the
// router had been waiting since the given time. The time before is that of the caller to whom the
// router was writing.
func (tk *Ticket) RecordEvents(waitingSince, now time.Time, events int) {
	if !tk.request.Engine || tk.request.GapGoal <= 0 || events <= 0 {
		return
	}
	last := tk.pacer.eventAt
	tk.pacer.eventAt = now
	switch {
	case last.IsZero():
		return
	case waitingSince.Sub(last) > maxWriting:
		// These events may have arrived earlier, so that the next pause is unknown, too.
		tk.pacer.eventAt = time.Time{}
		return
	}
	tk.pl.mu.Lock()
	defer tk.pl.mu.Unlock()
	tk.pl.recordPause(now, tk.st, now.Sub(last), events)
}

// recordPause adds a pause to the next figure of the engine.
func (pl *Placer) recordPause(now time.Time, st *state, took time.Duration, events int) {
	up, pu := &pl.paceOf(st.Pool).pauses, &st.pauses
	if up.reported || st.removed {
		return
	}
	// The clock may be set back.
	if age := now.UnixNano() - pu.since; pu.events == 0 || age < 0 || age > int64(pausesMax) {
		pu.since, pu.tookMs, pu.events = now.Add(-took).UnixNano(), 0, 0
	}
	pu.tookMs += float32(ms(took))
	pu.events += int32(events)
	if now.UnixNano()-pu.since < int64(pausesSpan) {
		return
	}
	calls := float64(st.ownCalls + st.estimatePeerCalls(now))
	if st.Slots > 0 {
		calls = min(calls, float64(st.Slots)) // calls that wait do not slow down the others
	}
	pu.before = pu.last
	pu.last = figure{now.UnixNano(), pu.tookMs / float32(pu.events), float32(calls)}
	pu.events = 0
	pl.learnSpeed(now, st, up)
}

// learnSpeed derives the factor of an engine from its latest figures. If they contradict each other,
// its factor stays as it is.
func (pl *Placer) learnSpeed(now time.Time, st *state, up *usualPauses) {
	pl.updateUsual(now, st, up)
	pu := &st.pauses
	if up.perEvent <= 0 {
		up.learnGrowth(&pu.last)
		return
	}
	factor, least := up.factor(&pu.last), slowFrom
	if st.speed.current(now) > 1 {
		least = usualBelow
	}
	if factor < usualBelow {
		up.learnGrowth(&pu.last)
		st.learnSpeed(now, 1)
		return
	}
	if pu.before.at == 0 || pu.last.at-pu.before.at > int64(confirmWindow) {
		return
	}
	if factor = min(factor, up.factor(&pu.before)); factor >= least {
		st.learnSpeed(now, factor)
	}
}

// learnSpeed records a learned factor, unless the engine is at its usual speed and was before.
func (st *state) learnSpeed(now time.Time, factor float64) {
	if factor < minSlowness && now.Sub(st.speed.at) > slownessMemory {
		return
	}
	st.updateSpeed(now, factor, true)
}

// factor returns the factor of an engine by one of its figures.
func (up *usualPauses) factor(fi *figure) float64 {
	return float64(fi.perEvent) / (up.perEvent * up.growth.factor(float64(fi.runningCalls)))
}

func (up *usualPauses) learnGrowth(fi *figure) {
	up.growth.addDecayed(pausesDecay, float64(fi.runningCalls), float64(fi.perEvent))
}

// updateUsual computes the usual pause: the median over the engines that this router has figures of.
// Figures of engines that are slow do not count.
func (pl *Placer) updateUsual(now time.Time, st *state, up *usualPauses) {
	if now.Sub(up.computedAt) < usualInterval {
		return
	}
	up.computedAt = now
	members := pl.pools[st.Pool]
	oldest, slow := max(up.validFrom, now.UnixNano()-int64(usualWindow)), 0
	usual := up.sorted[:0]
	for _, other := range members {
		fi := &other.pauses.last
		switch {
		case other.speed.learned && other.speed.current(now) > 1:
			slow++
		case fi.at > oldest && (other.speed.slowAt.IsZero() || fi.at > other.speed.slowAt.UnixNano()):
			usual = append(usual, float64(fi.perEvent)/up.growth.factor(float64(fi.runningCalls)))
		}
	}
	up.sorted, up.perEvent = usual, 0
	if 2*slow > len(members) {
		pl.restartLearning(now, st.Pool, up)
		return
	}
	if len(usual) >= min(minUsualEngines, len(members)) {
		slices.Sort(usual)
		up.perEvent = usual[len(usual)/2]
	}
}

// restartLearning discards what was learned of a pool most of whose engines are slower than before:
// that is now usual. A router with few streams compares engines with their past, and would otherwise
// consider all of them slow until it has seen enough of them again.
func (pl *Placer) restartLearning(now time.Time, pool core.PoolID, up *usualPauses) {
	up.validFrom, up.growth = now.UnixNano(), growth{}
	for _, st := range pl.pools[pool] {
		if st.speed.learned {
			st.speed = speed{}
			st.markChanged()
		}
	}
}

// markReported ends learning for a pool one of whose endpoints reported its speed, and discards what
// was learned: only reported figures are used from now on.
func (pl *Placer) markReported(now time.Time, st *state) {
	up := &pl.paceOf(st.Pool).pauses
	if up.reported {
		return
	}
	up.reported = true
	pl.restartLearning(now, st.Pool, up)
}

// reportsSpeed reports whether an endpoint of the pool has reported its speed to this router.
func (pl *Placer) reportsSpeed(pool core.PoolID) bool {
	pa := pl.paces[pool]
	return pa != nil && pa.pauses.reported
}

// relateSpeeds divides the learned factors by their median if most engines of the pool are slow. A
// router with few streams compares its engines with their past, and does not see that all became
// slow at once; the factors of all routers show it. It returns the slots that slowness takes away.
func (ch *choice) relateSpeeds() float64 {
	var current, ahead []float64
	for _, st := range ch.members {
		if !ch.closedTo(st) {
			current, ahead = append(current, st.scratch.slowness), append(ahead, st.scratch.slownessAhead)
		}
	}
	usual, usualAhead := medianOf(current), medianOf(ahead)
	var lost float64
	for _, st := range ch.members {
		sc := &st.scratch
		sc.slowness, sc.slownessAhead = max(1, sc.slowness/usual), max(1, sc.slownessAhead/usualAhead)
		if !ch.closedTo(st) && !sc.looksDead {
			lost += st.slotsLost()
		}
	}
	return lost
}

func medianOf(values []float64) float64 {
	slices.Sort(values)
	return values[len(values)/2]
}

// slotsLost returns how many slots fewer the engine has because it is slow: an engine whose calls
// take twice as long serves half as many.
func (st *state) slotsLost() float64 {
	return float64(st.Slots) * (1 - 1/st.scratch.slownessAhead)
}
