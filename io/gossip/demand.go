package gossip

import (
	"cmp"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"almondrill/core/demand"
)

// Load pattern: for seconds, requests compete for a plain pool whose calls last tens of milliseconds.
// One router, the pool's owner, divides the pool's capacity. All routers agree on it by rendezvous
// hashing, as for endpoints' counts. Routers whose requests compete send it their demand, and it
// publishes a level, which is in force for seconds at most. A level has to reach all routers within
// that time, also where there are hundreds: the owner sends it to some at once, and each router
// forwards the newest level in its load reports.
//
// Each message repeats all the state, so that a lost one is made up for by the next. While nothing
// competes for a pool, nothing is sent about it.

const (
	// levelFanout is how many routers the owner sends a level to at once.
	levelFanout = 16
	// maxLevelBytes bounds the levels in a load report, in bytes: the rest of a datagram is for the
	// calls in progress and what else is exchanged. A level takes 20 to 160 bytes.
	maxLevelBytes = 400
	// maxLevels bounds the pools whose levels are held. Levels of unknown pools are held too, since
	// peers may know the pool.
	maxLevels = 64
	// forwardAge is the age up to which a level is forwarded. A router that receives it then drops
	// it soon after the others do, though it does not know the level's age.
	forwardAge = demand.LevelTTL / 2
	// restartedClock is the age of the held level from which an earlier one replaces it: its owner is
	// another one, whose clock is behind. Copies of the held level's predecessors are gone by then.
	restartedClock = 2 * demand.LevelTTL
	// demandBytesPerSecond bounds what reports and direct levels take of maxCallsBytesPerSecond, and
	// demandBurst what they take at once, so that load reports continue. A report of 24 customers
	// takes 300 bytes, five times a second.
	demandBytesPerSecond = 2000
	demandBurst          = 1000
	// debtShare is the part of a tick's bytes for load reports that repays what demand has taken. It
	// must be more than demandBytesPerSecond is of maxCallsBytesPerSecond.
	debtShare = 0.75
	// roundTrip is assumed between the end of a call and the start of the next: there and back
	// between two zones.
	roundTrip = 3 * time.Millisecond
)

// Demand is this router's demand for pools.
type Demand interface {
	// Reports returns a report for each pool for which requests compete. It is called once per
	// demand.Interval.
	Reports(now time.Time) []demand.Report
	// EarlyReports returns the reports that must not wait for the end of the interval, because
	// requests have begun to compete for a pool. It is called on each tick in between.
	EarlyReports(now time.Time) []demand.Report
	// ApplyLevel applies a pool's newest level.
	ApplyLevel(now time.Time, le demand.Level)
}

// heldLevel is the newest level of a pool, and when it was received.
type heldLevel struct {
	demand.Level
	at time.Time
}

// exchange is the part of a Group that reports demand, and owns and spreads levels.
type exchange struct {
	mu     sync.Mutex // guards all below
	owner  demand.Owner
	levels map[demand.PoolHash]heldLevel
	// lastReport is when the last reports were due.
	lastReport time.Time
	// lastLevel is when each router was last sent a level directly.
	lastLevel map[string]time.Time
	// credit is how many bytes may be sent, as of creditAt; debt is what is still to be taken from
	// the bytes for load reports.
	credit, debt float64
	creditAt     time.Time
}

// exchangeDemand reports this router's demand to the pools' owners, and publishes the levels of the
// pools that it owns.
func (gr *Group) exchangeDemand(now time.Time) {
	if gr.Demand == nil {
		return
	}
	routers := 1 + gr.Live()
	interval := demand.Interval(routers)
	reports := gr.Demand.EarlyReports
	if gr.demand.due(now, interval) {
		reports = gr.Demand.Reports
	}
	due := reports(now)
	for ix := range due {
		// The bytes may not suffice for all: each pool's turn comes.
		re := due[(ix+gr.ticks)%len(due)]
		re.Customers = re.Customers[:min(len(re.Customers), demand.MaxReportCustomers/len(due))]
		gr.reportDemand(now, &re)
	}
	for _, le := range gr.demand.ownLevels(now, routers, interval) {
		gr.applyLevel(now, le)
		gr.publish(now, le)
	}
}

// due reports whether the next reports are due. Ticks come a little early or late, which must not
// delay a report by a tick.
func (ex *exchange) due(now time.Time, interval time.Duration) bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if now.Sub(ex.lastReport) < interval-tickInterval/2 {
		return false
	}
	ex.lastReport = now
	return true
}

// reportDemand sends a report to the pool's owner.
func (gr *Group) reportDemand(now time.Time, re *demand.Report) {
	owner := gr.ownerOf(uint64(re.Pool))
	switch {
	case owner == nil:
	case owner.udpAddr == nil:
		gr.demand.apply(now, gr.Addr, re)
	default:
		gr.sendDemand(now, owner.udpAddr, &message{Count: lateReply(), Report: re})
	}
}

// lateReply makes builds that know neither reports nor levels drop the message: to them it is a
// reply to a query that has timed out. Without it they would take the message for a load report of a
// router that has no calls.
func lateReply() *countMessage { return &countMessage{Kind: countReply} }

// apply records a report of a router, perhaps this one.
func (ex *exchange) apply(now time.Time, from string, re *demand.Report) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.owner.RoundTrip = roundTrip
	ex.owner.Apply(now, from, *re)
}

// ownLevels returns the levels that this router publishes now: those of pools that had none for an
// interval. The first level of a pool does not wait for the end of an interval, since until then each
// router sends as much as it is asked for. Each level is later than all known ones of its pool, even
// if the clock of the previous owner was ahead of this one's.
func (ex *exchange) ownLevels(now time.Time, liveRouters int, interval time.Duration) []demand.Level {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	var all []demand.Level
	for _, pool := range ex.owner.Pools(now) {
		held, known := ex.levels[pool]
		if known && now.Sub(held.at) < interval-tickInterval/2 {
			continue
		}
		le, published := ex.owner.Level(now, pool, liveRouters)
		if !published {
			continue
		}
		if known {
			le.AtMs = max(le.AtMs, held.AtMs+1)
		}
		all = append(all, le)
	}
	return all
}

// publish sends a level to some routers at once, those first that were sent none for the longest
// time.
func (gr *Group) publish(now time.Time, le demand.Level) {
	all := gr.counts.candidates.Load()
	if all == nil {
		return
	}
	ms := &message{Count: lateReply(), Levels: []demand.Level{le}}
	for _, ca := range gr.demand.longestWithout(*all) {
		if !gr.sendDemand(now, ca.udpAddr, ms) {
			return
		}
		gr.demand.markLevelSent(now, ca.addr)
	}
}

// longestWithout returns at most levelFanout peers that were not sent a level for the longest time.
func (ex *exchange) longestWithout(all []candidate) []candidate {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	peers := slices.DeleteFunc(slices.Clone(all), func(ca candidate) bool { return ca.udpAddr == nil })
	slices.SortStableFunc(peers, func(a, b candidate) int {
		return cmp.Or(ex.lastLevel[a.addr].Compare(ex.lastLevel[b.addr]), cmp.Compare(a.hash, b.hash))
	})
	for addr := range ex.lastLevel {
		if !slices.ContainsFunc(peers, func(ca candidate) bool { return ca.addr == addr }) {
			delete(ex.lastLevel, addr)
		}
	}
	return peers[:min(levelFanout, len(peers))]
}

func (ex *exchange) markLevelSent(now time.Time, addr string) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if ex.lastLevel == nil {
		ex.lastLevel = map[string]time.Time{}
	}
	ex.lastLevel[addr] = now
}

// sendDemand sends a report or a level, unless demand has used up its bytes; it reports whether it
// was sent. A report that is not sent is followed by the next one, a level spreads in load reports.
func (gr *Group) sendDemand(now time.Time, to net.Addr, ms *message) bool {
	socket := gr.counts.socket.Load()
	if socket == nil {
		return false // the process is starting or stopping
	}
	data, err := cbor.Marshal(ms)
	if err != nil {
		gr.Log.Error("Encoding a message failed.", zap.Error(err))
		return false
	}
	if !gr.demand.take(now, len(data)) {
		gr.Log.Debug("A message about demand exceeds the budget.", zap.String("Addr", to.String()), zap.Int("Bytes", len(data)))
		return false
	}
	if _, err = socket.WriteTo(data, to); err != nil {
		gr.Log.Debug("Sending a message to a peer failed.", zap.String("Addr", to.String()), zap.Error(err))
	}
	return true
}

// take charges a message to the bytes for demand, and reports whether there were enough.
func (ex *exchange) take(now time.Time, size int) bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	if ex.creditAt.IsZero() {
		ex.credit = demandBurst
	} else {
		ex.credit = min(demandBurst, ex.credit+demandBytesPerSecond*now.Sub(ex.creditAt).Seconds())
	}
	ex.creditAt = now
	if ex.credit < float64(size) {
		return false
	}
	ex.credit -= float64(size)
	ex.debt += float64(size)
	return true
}

// repay returns what a tick's bytes for load reports, budget, are to be reduced by.
func (ex *exchange) repay(budget float64) float64 {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	part := min(ex.debt, debtShare*budget)
	ex.debt -= part
	return part
}

// handleReport handles a router's report. If it was meant for another owner, both publish: each
// divides the part of the places that its reporters stand for.
func (gr *Group) handleReport(now time.Time, from string, re *demand.Report) {
	if len(re.Customers) > demand.MaxReportCustomers {
		gr.Log.Warn("Dropped a report with too many customers.", zap.String("Addr", from), zap.Int("Customers", len(re.Customers)))
		return
	}
	gr.demand.apply(now, from, re)
}

// applyLevels applies the levels of a message.
func (gr *Group) applyLevels(now time.Time, levels []demand.Level) {
	for _, le := range levels {
		gr.applyLevel(now, le)
	}
}

func (gr *Group) applyLevel(now time.Time, le demand.Level) {
	if len(le.Over) <= demand.MaxOver && gr.demand.hold(now, le) && gr.Demand != nil {
		gr.Demand.ApplyLevel(now, le)
	}
}

// hold keeps a level if it is later than the one held, and reports whether it is.
func (ex *exchange) hold(now time.Time, le demand.Level) bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	held, known := ex.levels[le.Pool]
	if known && (le.AtMs == held.AtMs || le.AtMs < held.AtMs && now.Sub(held.at) < restartedClock) {
		return false
	}
	if !known && len(ex.levels) >= maxLevels {
		ex.dropOldest()
	}
	if ex.levels == nil {
		ex.levels = map[demand.PoolHash]heldLevel{}
	}
	ex.levels[le.Pool] = heldLevel{Level: le, at: now}
	return true
}

func (ex *exchange) dropOldest() {
	var oldest demand.PoolHash
	var at time.Time
	for pool, held := range ex.levels {
		if at.IsZero() || held.at.Before(at) {
			oldest, at = pool, held.at
		}
	}
	delete(ex.levels, oldest)
}

// toForward returns the levels for a load report, the newest first, as many as fit.
func (ex *exchange) toForward(now time.Time) []demand.Level {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	var recent []heldLevel
	for _, held := range ex.levels {
		if now.Sub(held.at) < forwardAge {
			recent = append(recent, held)
		}
	}
	slices.SortFunc(recent, func(a, b heldLevel) int { return cmp.Or(b.at.Compare(a.at), cmp.Compare(a.Pool, b.Pool)) })
	var all []demand.Level
	size := 0
	for _, held := range recent {
		if size += levelSize(&held.Level); size > maxLevelBytes {
			break
		}
		all = append(all, held.Level)
	}
	return all
}

// levelSize returns an upper bound of the encoded size of a level, in bytes.
func levelSize(le *demand.Level) int {
	const fixed, share = 30, 10
	return fixed + share*len(le.Over)
}

// DemandOwner returns the address of the router that owns the pool's level, "" before the first
// tick.
func (gr *Group) DemandOwner(pool demand.PoolHash) string {
	if owner := gr.ownerOf(uint64(pool)); owner != nil {
		return owner.addr
	}
	return ""
}
