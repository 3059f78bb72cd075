package place

import (
	"math"
	"time"

	"almondrill/core"
	"almondrill/core/migr"
)

// Load pattern: engines work several times slower for many seconds, or shut down, while streams run
// there. A stream whose run is copied continues only on an engine that is warm, at the usual speed, and
// has a free slot and memory from the first moment of the copy. Where none is, the stream stays, as
// moving it would delay others.

// takesMigration reports whether a stream may continue at the endpoint. Other requests may be sent
// to each endpoint.
func (ch *choice) takesMigration(st *state) bool {
	if ch.rq.MigrateFrom == "" {
		return true
	}
	sc := &st.scratch
	return sc.slowness <= 1 && sc.slownessAhead <= 1 && !st.isCold(ch.now, ch.rq.ColdDuration) && !ch.now.Before(st.unreachableUntil) &&
		(st.Slots == 0 || st.ownCalls+sc.peerCalls < st.Slots)
}

// fullRetryAfter returns the retry delay for a pool that is full for the request. A migration without
// a target is no sign of a surge: the pool may have capacity for all other requests.
func (ch *choice) fullRetryAfter(pl *Placer) time.Duration {
	if ch.rq.MigrateFrom != "" {
		return minFullRetryAfter
	}
	return pl.surgeRetryAfter(ch.now, ch.pool)
}

// cheaperOfTwo returns the cheaper of two usable endpoints picked at random, and its cost in ms. There
// must be a usable one. Routers that leave the same engine know the same loads, and have no home that
// spreads their requests: all would pick the one endpoint with the least load.
func (pl *Placer) cheaperOfTwo(ch *choice) (*state, float64) {
	var picked [2]*state
	count := uint64(0)
	for _, st := range ch.members {
		if !st.scratch.usable {
			continue
		}
		if count++; count <= 2 {
			picked[count-1] = st
		} else if at := pl.Rand.Uint64() % count; at < 2 {
			picked[at] = st
		}
	}
	var best candidate
	for _, st := range picked {
		if st != nil {
			best.consider(pl, st, pl.baseMs(st, ch))
		}
	}
	return best.st, best.cost
}

// forgetDeparted drops the state of a removed endpoint once its last call of this router has ended.
func (pl *Placer) forgetDeparted(st *state) {
	if pl.departed[st.ID] == st {
		delete(pl.departed, st.ID)
	}
}

// MigrationSource returns what is known about an engine on which streams run: the factor that lasts,
// and since when its shutdown is known. An engine whose registration was removed shuts down.
func (pl *Placer) MigrationSource(now time.Time, id core.EndpointID) migr.Source {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	st := pl.byID[id]
	if st == nil {
		if st = pl.departed[id]; st == nil {
			return migr.Source{Slowness: 1}
		}
		// Draining stays as it is: RecordShutdown must still close the endpoint if it registered again.
		if st.drainingSince.IsZero() {
			st.drainingSince = now
		}
	}
	return migr.Source{Slowness: st.speed.ahead(now), DrainingSince: st.drainingSince}
}

// progress is how much of a response has arrived when.
type progress struct {
	// startLost, firstLost and lastLost are what speed.lostUntil returned when the call began, and
	// when data first and last arrived.
	startLost, firstLost, lastLost float64
	firstAt, lastAt                time.Time
	arrivals                       int
}

// activity records that data arrived.
func (pr *progress) activity(now time.Time, lost float64) {
	if pr.arrivals++; pr.arrivals == 1 {
		pr.firstAt, pr.firstLost = now, lost
	}
	pr.lastAt, pr.lastLost = now, lost
}

// minPaceTime is the time over which a stream must have produced tokens before its own pace is used:
// some events. Until then, that of the pool is.
const minPaceTime = 250 * time.Millisecond

// msPerToken returns the time per token at the usual speed, 0 if it is not known. The tokens are
// those that arrived in this call. The first event holds as many as the others, and begins the span.
func (pr *progress) msPerToken(tokens core.Tokens) float64 {
	if pr.arrivals < 2 || tokens <= 0 || pr.lastAt.Sub(pr.firstAt) < minPaceTime {
		return 0
	}
	after := float64(tokens) * float64(pr.arrivals-1) / float64(pr.arrivals)
	return max(0, ms(pr.lastAt.Sub(pr.firstAt))-(pr.lastLost-pr.firstLost)) / after
}

// ExpectedLeft returns the expected time until the end of a stream that has produced that many
// tokens in all, at the usual speed of the pool's engines; 0 if nothing is known. It follows from the
// expected output and the pace of the stream or, if these are unknown or the response is longer than
// expected, from the duration of earlier answers of the route that were at least as long.
func (tk *Ticket) ExpectedLeft(now time.Time, produced core.Tokens) time.Duration {
	tk.pl.mu.Lock()
	defer tk.pl.mu.Unlock()
	rq := tk.request
	perToken := tk.progress.msPerToken(produced - rq.Produced)
	var left float64
	if perToken > 0 && produced < rq.ExpectedOutput {
		left = perToken * float64(rq.ExpectedOutput-produced)
	} else {
		left = tk.leftOfAnswer(now, perToken)
	}
	if perToken > 0 && rq.MaxOutput > 0 {
		left = min(left, perToken*float64(max(0, rq.MaxOutput-produced)))
	}
	return time.Duration(left * float64(time.Millisecond))
}

// leftOfAnswer returns the expected remainder of the answer, in ms, from how long answers of the
// route take.
func (tk *Ticket) leftOfAnswer(now time.Time, perToken float64) float64 {
	pa, rq := tk.pl.paces[tk.st.Pool], tk.request
	if pa == nil {
		return 0
	}
	an := pa.knownAnswers(rq.Route)
	scale := float64(max(1, rq.MaxOutput)) * an.growth.factor(float64(tk.OwnCalls+tk.PeerCalls))
	worked := max(0, ms(now.Sub(tk.Started))-(tk.st.speed.lostUntil(now)-tk.progress.startLost))
	worked += perToken * float64(rq.Produced) // at the engines before
	return scale * an.whole.meanExcess(worked/scale)
}

// meanExcess returns by how much samples above the value exceed it in the mean, 0 if too few samples
// are known.
func (sp *spread) meanExcess(value float64) float64 {
	switch {
	case sp.count < minMeanSamples:
		return 0
	case sp.count < minSpreadSamples:
		return sp.total / float64(sp.count) // as that of an exponential distribution
	}
	bucket, within := position(value)
	var weight, excess float64
	for ix := bucket; ix < spreadBuckets; ix++ {
		low, high := bucketBound(ix), bucketBound(ix+1)
		part := float64(sp.weights[ix])
		if ix == bucket {
			low, part = value, part*(1-within)
		}
		weight += part
		excess += part * max(0, (low+high)/2-value)
	}
	if weight <= 0 { // longer than all known ones
		return value * (math.Exp2(1.0/spreadSteps) - 1)
	}
	return excess / weight
}

// bucketBound returns the least value in a bucket.
func bucketBound(bucket int) float64 {
	return spreadLowest * math.Exp2(float64(bucket)/spreadSteps)
}
