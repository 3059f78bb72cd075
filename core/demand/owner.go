package demand

import (
	"math"
	"sync"
	"time"
)

// Load pattern: one customer, or all, offer a pool more than its slots can run. The endpoints'
// queues are first come, first served, and each router sees its own calls only. Therefore one router
// computes for all how many calls are useful at the endpoints and what each customer may offer.

const (
	// reportsKept is over how many reports of a router its demand is averaged at most, and averageTime
	// over how long if that is less. Requests arrive in bursts; the mean of one interval of 200 ms
	// alone varies by a third. With many routers and longer intervals, their sum varies less.
	reportsKept = 5
	averageTime = time.Second
	// pauseTime is after how long without reports the earlier ones are forgotten: they are not part of
	// the present demand. Routers report only while the pool is busy.
	pauseTime = 3 * time.Second
	// surgeFactor is from which growth on a customer's demand is that of the latest reports alone, if it
	// is more than surgePart of all. Small customers' demand varies by more than that without a surge.
	surgeFactor = 1.3
	surgePart   = 0.2
	// expiryIntervals is after how many intervals without a report a router's demand is dropped.
	expiryIntervals = 3
	// settleIntervals is how long an owner collects reports before it publishes, unless the shortage
	// is evident.
	settleIntervals = 2
	// shortUse is the part of the slots in use above which a level is published, and calmTime how
	// long the use must be below it before publishing ends.
	shortUse = 0.5
	calmTime = time.Second
	// capacityTime is the time constant by which the estimate of the capacity follows measurements.
	// Calls that started in one interval end in the next one, so a single interval can be far off.
	capacityTime = time.Second
	// saturatedUse is from how many calls per slot on all slots are taken to be busy. With one call
	// per slot, a quarter of the slots are free, because routers choose endpoints independently.
	saturatedUse = 1.5
	// defaultRoundTrip is used where Owner.RoundTrip is not set.
	defaultRoundTrip = 2 * time.Millisecond
	// probeCapacity is the factor by which the estimate of the capacity grows per capacityTime, and up
	// to which it exceeds what is measured, while demand is refused although not all slots are busy:
	// what is not offered cannot be measured.
	probeCapacity = 1.25
	// probeTime is the time whose calls routers may start in each interval beyond the rate of ended
	// calls, while places are free. Without it, free places would stay free where starts
	// are spaced. The excess in calls is about that of places over slots, whatever the interval.
	probeTime = 100 * time.Millisecond
	// queueFraction is the part of the time left by the goal after the call itself that calls may
	// spend in endpoints' queues, on average. The rest covers waiting at the router and calls that
	// take longer than the mean.
	queueFraction = 0.6
)

// Owner computes the levels of the pools that this router owns. Set the exported fields before use.
// It may be used concurrently.
type Owner struct {
	// RoundTrip is the network time between the end of a call and the start of the next one; 0
	// stands for 2 ms.
	RoundTrip time.Duration
	// Weight returns a customer's declared weight; nil or a result of 0 counts as 1.
	Weight func(CustomerHash) float64

	mu    sync.Mutex // guards all below
	pools map[PoolHash]*pool
}

// pool is what the owner knows of one pool.
type pool struct {
	reporters map[string]*reporter
	first     time.Time // of the current sequence of reports
	last      time.Time
	// capacity is the smoothed estimate in calls per second; 0 before the first level.
	capacity   float64
	capacityAt time.Time
	shortAt    time.Time // when capacity was last short
}

type reporter struct {
	reports []Report // the latest last
	at      time.Time
}

// Apply records a router's report.
func (ow *Owner) Apply(now time.Time, from string, re Report) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	if ow.pools == nil {
		ow.pools = map[PoolHash]*pool{}
	}
	po := ow.pools[re.Pool]
	if po == nil || now.Sub(po.last) > pauseTime {
		po = &pool{reporters: map[string]*reporter{}, first: now}
		ow.pools[re.Pool] = po
	}
	po.last = now
	rp := po.reporters[from]
	if rp == nil || now.Sub(rp.at) > pauseTime {
		rp = &reporter{}
		po.reporters[from] = rp
	}
	if len(rp.reports) == reportsKept {
		rp.reports = append(rp.reports[:0], rp.reports[1:]...)
	}
	rp.reports = append(rp.reports, re)
	rp.at = now
}

// Pools lists the pools with reports that may not have expired.
func (ow *Owner) Pools(now time.Time) []PoolHash {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	var all []PoolHash
	for id, po := range ow.pools {
		if now.Sub(po.last) <= pauseTime {
			all = append(all, id)
		}
	}
	return all
}

// Level returns the level to publish for a pool, given the number of live routers including this
// one. It returns false while reports are too few or capacity is not short.
func (ow *Owner) Level(now time.Time, id PoolHash, liveRouters int) (Level, bool) {
	ow.mu.Lock()
	defer ow.mu.Unlock()
	po := ow.pools[id]
	if po == nil {
		return Level{}, false
	}
	interval := Interval(liveRouters)
	po.expire(now, interval)
	if len(po.reporters) == 0 {
		delete(ow.pools, id)
		return Level{}, false
	}
	su := po.sum(interval)
	if su.slots == 0 || now.Sub(po.first) < settleIntervals*interval && !po.evident(&su, liveRouters) {
		return Level{}, false
	}
	// Routers that do not report are assumed to have the same demand as those that do.
	part := min(1, float64(len(po.reporters))/float64(max(1, liveRouters)))
	capacity := po.updateCapacity(now, &su, part)
	if su.running/part >= shortUse*su.slots || su.offered/part > capacity {
		po.shortAt = now
	}
	if capacity <= 0 || now.Sub(po.shortAt) > calmTime {
		return Level{}, false
	}
	places := ow.places(&su, capacity, liveRouters, part)
	probe := 1 + probeTime.Seconds()/interval.Seconds()
	le := Level{
		Pool: id, AtMs: uint64(now.UnixMilli()),
		Places: clamp16(math.Max(1, places*part)),
		CallMs: clamp16(math.Max(1, 1000*max(places/probe, su.runningNow/part)/capacity)),
	}
	shares := ow.allocate(su.customers, capacity*part-su.unlisted())
	le.Over, le.More = overShare(su.customers, ow.allocate(su.customers, yieldLoad*capacity*part-su.unlisted()), shares)
	le.OfferedPer10s = clamp32(10 * su.offered * (1 - cut(su.customers, le.Over)/max(su.listed, su.offered, 1e-9)))
	return le, true
}

// evident reports whether all routers have reported, and together more calls than slots. The owner
// then need not wait: until the first level, all calls are sent at once, and most are late.
func (po *pool) evident(su *sums, liveRouters int) bool {
	return len(po.reporters) >= liveRouters && su.running > su.slots
}

// expire drops the reports of routers that were not heard from for expiryIntervals.
func (po *pool) expire(now time.Time, interval time.Duration) {
	for from, rp := range po.reporters {
		if now.Sub(rp.at) > expiryIntervals*interval {
			delete(po.reporters, from)
		}
	}
}

// sums is the demand of all reporters. Rates are in calls per second.
type sums struct {
	running, offered, ended float64
	runningNow              float64 // by the latest reports alone
	slots                   float64
	call, goal              time.Duration
	customers               map[customerRank]float64
	// listed is what the customers offer that their routers listed. The others are the smallest ones.
	listed float64
}

func (su *sums) unlisted() float64 { return max(0, su.offered-su.listed) }

type customerRank struct {
	id   CustomerHash
	rank uint8
}

// sum adds up the reporters' means over their latest reports.
func (po *pool) sum(interval time.Duration) sums {
	su := sums{customers: map[customerRank]float64{}}
	most := max(1, int(averageTime/interval))
	now := map[customerRank]float64{}
	var callSum, callWeight float64
	for _, rp := range po.reporters {
		latest := rp.reports[max(0, len(rp.reports)-most):]
		count := float64(len(latest))
		for ix := range latest {
			re := &latest[ix]
			su.running += float64(re.Running) / count
			su.ended += float64(re.EndedPer10s) / 10 / count
			for _, cu := range re.Customers {
				offered := float64(cu.OfferedPer10s) / 10 / count
				su.customers[customerRank{cu.ID, cu.Rank}] += offered
				su.listed += offered
			}
		}
		re := &rp.reports[len(rp.reports)-1]
		for _, cu := range re.Customers {
			now[customerRank{cu.ID, cu.Rank}] += float64(cu.OfferedPer10s) / 10
		}
		su.runningNow += float64(re.Running)
		su.offered += float64(re.OfferedPer10s) / 10
		su.slots = max(su.slots, float64(re.Slots))
		if re.CallMs > 0 {
			weight := 1 + float64(re.EndedPer10s)
			callSum += weight * float64(re.CallMs)
			callWeight += weight
		}
		if goal := time.Duration(re.GoalMs) * time.Millisecond; goal > 0 && (su.goal == 0 || goal < su.goal) {
			su.goal = goal
		}
	}
	su.raise(now)
	if callWeight > 0 {
		su.call = time.Duration(callSum / callWeight * float64(time.Millisecond))
	}
	return su
}

// raise replaces the mean demand of large customers, and that of all, by that of the latest reports if it
// has grown by far. Otherwise a surge is known only after a second, in which it makes all others late.
func (su *sums) raise(now map[customerRank]float64) {
	for cr, latest := range now {
		if mean := su.customers[cr]; latest > surgeFactor*mean && latest > surgePart*su.listed {
			su.customers[cr] = latest
			su.listed += latest - mean
		}
	}
	// OfferedPer10s is averaged over a second. While demand grows, routers' parts of it would add up to
	// more than the places.
	if su.listed > surgeFactor*su.offered {
		su.offered = su.listed
	}
}

// updateCapacity returns the smoothed capacity of the pool in calls per second. The measured value
// is the rate of ended calls, scaled to all slots if fewer are in use. It is a lower bound unless
// more calls than slots are in progress: some wait at one endpoint while slots are free at another.
// Until then the capacity is taken to be at least what the call time without queueing implies, and
// more if requests are refused.
func (po *pool) updateCapacity(now time.Time, su *sums, part float64) float64 {
	var nominal, measured float64
	if su.call > 0 {
		nominal = su.slots / su.call.Seconds()
	}
	running := su.running / part
	if su.ended > 0 && running > 0 {
		measured = su.ended / part * su.slots / min(running, su.slots)
	}
	target := measured
	if running < saturatedUse*su.slots {
		if nominal > 0 {
			measured = min(measured, 2*nominal)
		}
		target = max(nominal, measured)
		if su.offered/part > po.capacity {
			target = max(target, min(probeCapacity*po.capacity, probeCapacity*max(nominal, measured)))
		}
	}
	if po.capacity == 0 {
		po.capacity = max(nominal, measured)
	} else if target > 0 {
		po.capacity += (target - po.capacity) * (1 - math.Exp(-now.Sub(po.capacityAt).Seconds()/capacityTime.Seconds()))
	}
	po.capacityAt = now
	return po.capacity
}

// places returns how many calls are useful at the endpoints: one per slot; those that cover the
// network's delay between the end of a call and the start of the next one; two per router, because
// routers' places do not divide evenly among the endpoints, and some routers have no request while
// others have several; and two standard deviations of the calls in progress, because routers choose
// endpoints without knowing each other's latest choices. While fewer run, routers may use the free
// places in bursts, each of them at a different time. In no case do calls spend more than
// queueFraction of what the goal leaves in endpoints' queues, on average.
func (ow *Owner) places(su *sums, capacity float64, routers int, part float64) float64 {
	roundTrip := ow.RoundTrip
	if roundTrip == 0 {
		roundTrip = defaultRoundTrip
	}
	places := su.slots + capacity*roundTrip.Seconds() + 2*min(float64(routers), su.slots) + 2*math.Sqrt(su.slots)
	places += max(0, places-max(su.running, su.runningNow)/part)
	if su.goal > 0 {
		call := su.slots / capacity
		left := max(0, su.goal.Seconds()-call-roundTrip.Seconds())
		places = min(places, su.slots+queueFraction*capacity*left)
	}
	return min(places, MaxPerSlot*su.slots)
}

func clamp16(value float64) uint16 { return uint16(min(math.MaxUint16, max(0, math.Round(value)))) }

func clamp32(value float64) uint32 { return uint32(min(math.MaxUint32, max(0, math.Round(value)))) }
