package admit

import (
	"time"

	"almondrill/core"
)

// Beyond takes in how much the engine's own report shows beyond what this gate
// has given it: work that came past the gate. It counts as load until the next
// report.
func (ga *Gate) Beyond(wo core.Work) {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	wo = max(0, wo)
	ga.addLoad(wo - ga.alien)
	ga.alien = wo
	ga.admitPatient()
}

// Given is the work inside that came through this gate.
func (ga *Gate) Given() core.Work {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.load - ga.alien
}

// Standing is a gate's state for reports.
type Standing struct {
	Load    core.Work
	Mean    core.Work
	Drain   core.Work
	Running int
	Waiting int
}

// Standing reads the gate's state. Drain is the work a second finished lately.
func (ga *Gate) Standing() Standing {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.measureDrain()
	return Standing{
		Load: ga.load, Mean: ga.Loads.Mean(ga.load), Drain: core.Work(ga.drain),
		Running: ga.running, Waiting: ga.waiting,
	}
}

const drainEvery = 500 * time.Millisecond

func (ga *Gate) measureDrain() {
	now := ga.Clock.Now()
	past := now.Sub(ga.drainAt)
	if past < drainEvery {
		return
	}
	rate := float64(ga.finished) / past.Seconds()
	ga.drain = (ga.drain + rate) / 2
	ga.finished = 0
	ga.drainAt = now
}

// WaitFor estimates how long a call of that priority would wait for a slot.
func (ga *Gate) WaitFor(pr core.Priority) time.Duration {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	ga.measureDrain()
	ahead := ga.queue.workFrom(pr)
	if ahead == 0 || ga.drain < 1 {
		return 0
	}
	return time.Duration(float64(ahead) / ga.drain * float64(time.Second))
}

// PrefillTime estimates how long prefilling that work takes at the rate at which
// an endpoint like this one works.
func (ga *Gate) PrefillTime(wo core.Work) time.Duration {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	if ga.drain < 1 {
		return 0
	}
	return time.Duration(float64(wo) / ga.drain * float64(time.Second))
}

// Less names less loaded peers.
func (ga *Gate) Less() []core.VMID {
	ga.mu.Lock()
	limit := ga.Loads.Mean(ga.load)
	ga.mu.Unlock()
	return ga.Loads.LessLoaded(limit, instead, ga.Rand)
}

func (ga *Gate) refuseCap(wo core.Work) *core.Refusal {
	mean := ga.Loads.Mean(ga.load)
	limit := core.Work(ga.limits.LoadFactor*float64(mean)) - wo
	return &core.Refusal{
		Outcome: core.NotRun, Reason: core.ReasonLoadCap, Step: "admit", Peer: string(ga.VM),
		Detail:       "the endpoint is at its multiple of the pool's mean load",
		Alternatives: ga.Loads.LessLoaded(max(limit, mean), instead, ga.Rand),
		RetryAfter:   leastRetryAfter,
	}
}

func (ga *Gate) refuseQueue(ti *Ticket) *core.Refusal {
	re := &core.Refusal{
		Outcome: core.NotRun, Reason: core.ReasonQueueFull, Step: "admit", Peer: string(ga.VM),
		Detail:       "the endpoint's queue is full",
		Alternatives: ga.Loads.LessLoaded(ga.load, instead, ga.Rand),
		RetryAfter:   ga.retryAfter(),
	}
	if float64(ti.account.waiting)*ga.weights > float64(ga.queue.work)*ti.account.weight {
		re.Reason = core.ReasonShareExceeded
		re.Detail = "the queue is full and the customer is over its share of it"
	}
	return re
}

// retryAfter is when about half the queue will have been worked off.
func (ga *Gate) retryAfter() time.Duration {
	if ga.drain < 1 {
		return time.Second
	}
	half := float64(ga.queue.work) / 2 / ga.drain
	return min(mostRetryAfter, max(leastRetryAfter, time.Duration(half*float64(time.Second))))
}

// Load is the work inside now.
func (ga *Gate) Load() core.Work {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.load
}

// RefuseCap is the refusal of a ticket that found no room under the cap.
func (ga *Gate) RefuseCap(ti *Ticket) *core.Refusal {
	ga.mu.Lock()
	defer ga.mu.Unlock()
	return ga.refuseCap(ti.Work)
}
