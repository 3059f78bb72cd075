package admit

import (
	"time"

	"almondrill/core"
)

// SetUntracked sets the work that the engine reports beyond what this gate admitted, because it
// reached the engine by another path. It counts towards the load until the next report.
func (ga *Gate) SetUntracked(wo core.Work) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	wo = max(0, wo)
	ga.addLoad(wo - ga.untracked)
	ga.untracked = wo
	ga.admitCapWaiters()
}

// TrackedLoad returns the load that was admitted through this gate.
func (ga *Gate) TrackedLoad() core.Work {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.load - ga.untracked
}

// Stats is a snapshot of a gate's state.
type Stats struct {
	Load       core.Work
	Mean       core.Work
	Throughput core.Work
	Running    int
	Queued     int
}

// Stats returns the gate's state. Throughput is the recently finished work per second.
func (ga *Gate) Stats() Stats {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.updateThroughput()
	return Stats{
		Load: ga.load, Mean: ga.Loads.Mean(ga.load), Throughput: core.Work(ga.throughput),
		Running: ga.running, Queued: ga.queued,
	}
}

// throughputInterval is the minimum time between updates of the throughput.
const throughputInterval = 500 * time.Millisecond

// updateThroughput averages the throughput with the rate of finished work since the last update.
func (ga *Gate) updateThroughput() {
	now := ga.Clock.Now()
	past := now.Sub(ga.throughputAt)
	if past < throughputInterval {
		return
	}
	rate := float64(ga.finishedWork) / past.Seconds()
	ga.throughput = (ga.throughput + rate) / 2
	ga.finishedWork = 0
	ga.throughputAt = now
}

// EstimateWait estimates how long a call of that priority would wait for a slot.
func (ga *Gate) EstimateWait(pr core.Priority) time.Duration {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.updateThroughput()
	ahead := ga.queue.workFrom(pr)
	if ahead == 0 || ga.throughput < 1 {
		return 0
	}
	return time.Duration(float64(ahead) / ga.throughput * float64(time.Second))
}

// EstimatePrefill estimates how long prefilling that much work takes on another endpoint, assuming
// that it has the recent throughput of this one.
func (ga *Gate) EstimatePrefill(wo core.Work) time.Duration {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.throughput < 1 {
		return 0
	}
	return time.Duration(float64(wo) / ga.throughput * float64(time.Second))
}

// LessLoaded returns at most maxAlternatives peers whose load is below the pool's mean.
func (ga *Gate) LessLoaded() []core.VMID {
	ga.mu.Lock()
	limit := ga.Loads.Mean(ga.load)
	ga.mu.Unlock()
	return ga.Loads.LessLoaded(limit, maxAlternatives, ga.Rand)
}

func (ga *Gate) loadCapRefusal(wo core.Work) *core.Refusal {
	mean := ga.Loads.Mean(ga.load)
	limit := core.Work(ga.limits.LoadFactor*float64(mean)) - wo
	return &core.Refusal{
		Outcome: core.NotRun, Reason: core.ReasonLoadCap, Step: "admit", Peer: string(ga.VM),
		Detail:       "the endpoint is at its multiple of the pool's mean load",
		Alternatives: ga.Loads.LessLoaded(max(limit, mean), maxAlternatives, ga.Rand),
		RetryAfter:   minRetryAfter,
	}
}

func (ga *Gate) queueFullRefusal(ti *Ticket) *core.Refusal {
	re := &core.Refusal{
		Outcome: core.NotRun, Reason: core.ReasonQueueFull, Step: "admit", Peer: string(ga.VM),
		Detail:       "the endpoint's queue is full",
		Alternatives: ga.Loads.LessLoaded(ga.load, maxAlternatives, ga.Rand),
		RetryAfter:   ga.retryAfter(),
	}
	if float64(ti.account.queuedWork)*ga.activeWeight > float64(ga.queue.work)*ti.account.flow.Weight {
		re.Reason = core.ReasonShareExceeded
		re.Detail = "the queue is full and the customer is over its share of it"
	}
	return re
}

// retryAfter estimates when about half of the queued work will be done, within the bounds of
// RetryAfter. It is 1 s if the throughput is unknown.
func (ga *Gate) retryAfter() time.Duration {
	if ga.throughput < 1 {
		return time.Second
	}
	half := float64(ga.queue.work) / 2 / ga.throughput
	return min(maxRetryAfter, max(minRetryAfter, time.Duration(half*float64(time.Second))))
}

// Load returns the current load: remaining work of admitted tickets plus untracked work.
func (ga *Gate) Load() core.Work {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.load
}

// LoadCapRefusal returns the refusal for a ticket that does not fit under the load cap.
func (ga *Gate) LoadCapRefusal(ti *Ticket) *core.Refusal {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.loadCapRefusal(ti.Work)
}
