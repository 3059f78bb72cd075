package waitq

import (
	"cmp"
	"slices"
	"time"

	"almondrill/core/demand"
)

// RecentSpan is the time that CustomerSnapshot.Recent covers.
const RecentSpan = 10 * time.Second

// recentSteps is the number of counters into which RecentSpan is divided.
const recentSteps = 10

// Counts counts decisions.
type Counts struct {
	// AdmittedAtOnce and AdmittedAfterWait are admitted requests, RefusedByShare and RefusedForTime
	// those refused as core.ReasonShareExceeded and core.ReasonQueueFull, Cancelled those whose
	// callers disconnected while they waited.
	AdmittedAtOnce, AdmittedAfterWait, RefusedByShare, RefusedForTime, Cancelled int
}

func (co *Counts) add(other *Counts) {
	co.AdmittedAtOnce += other.AdmittedAtOnce
	co.AdmittedAfterWait += other.AdmittedAfterWait
	co.RefusedByShare += other.RefusedByShare
	co.RefusedForTime += other.RefusedForTime
	co.Cancelled += other.Cancelled
}

// recentCounts is a ring of counters, of which those of the last RecentSpan are valid.
type recentCounts struct {
	steps [recentSteps]Counts
	step  int64 // number of the newest step
}

func (rc *recentCounts) at(now time.Time) *Counts {
	step := now.UnixNano() / int64(RecentSpan/recentSteps)
	if step-rc.step >= recentSteps {
		*rc = recentCounts{step: step}
	}
	for rc.step < step {
		rc.step++
		rc.steps[rc.step%recentSteps] = Counts{}
	}
	return &rc.steps[rc.step%recentSteps]
}

func (rc *recentCounts) sum(now time.Time) Counts {
	rc.at(now)
	var sum Counts
	for ix := range rc.steps {
		sum.add(&rc.steps[ix])
	}
	return sum
}

func (qu *Queue) count(now time.Time, cu *customer, record func(co *Counts)) {
	record(&qu.totals)
	record(cu.recent.at(now))
}

// Snapshot is the state of a Queue for operators.
type Snapshot struct {
	Running, Waiting int
	// Places is the number of calls that this router may have at the pool's endpoints, 0 if it is
	// not limited. It is below 1 where starts are spaced.
	Places float64
	// Limited is how Places was found: "level", "fallback", "provisional", or empty.
	Limited string
	// Level is the last level and LevelAge its age; LevelInForce says that it is still used.
	Level        demand.Level
	LevelAge     time.Duration
	LevelInForce bool
	// CallTime is the expected time of a call at its endpoint.
	CallTime time.Duration
	// Customers has what happened in the last RecentSpan by rank and customer.
	Customers []CustomerSnapshot
	// Totals counts since the start.
	Totals Counts
}

// CustomerSnapshot is the state of one customer at one rank.
type CustomerSnapshot struct {
	Customer demand.CustomerHash
	Rank     uint8
	// Waiting is the number of requests that wait now.
	Waiting int
	// Admit is the fraction that is admitted by the level in force.
	Admit float64
	// Recent counts the last RecentSpan.
	Recent Counts
}

// Snapshot returns the state for operators.
func (qu *Queue) Snapshot(now time.Time) Snapshot {
	vi := qu.look()
	qu.mu.Lock()
	defer qu.mu.Unlock()
	li := qu.limit(now, &vi)
	sn := Snapshot{
		Running: qu.running, Waiting: qu.waiting, Places: li.places, Limited: li.kind,
		Totals: qu.totals, Level: qu.le.Level,
	}
	if qu.le.known {
		sn.LevelAge = now.Sub(qu.le.at)
		sn.LevelInForce = sn.LevelAge <= demand.LevelTTL
		sn.CallTime = qu.callTime(&li)
	}
	for cr, cu := range qu.customers {
		sn.Customers = append(sn.Customers, CustomerSnapshot{
			Customer: cr.id, Rank: cr.rank, Waiting: cu.waiting, Admit: cu.admit, Recent: cu.recent.sum(now),
		})
	}
	slices.SortFunc(sn.Customers, func(one, two CustomerSnapshot) int {
		return cmp.Or(cmp.Compare(one.Rank, two.Rank), cmp.Compare(one.Customer, two.Customer))
	})
	return sn
}
