// Package board combines what a process knows about the fleet into the snapshot that its request
// goroutines read.
//
// # Concepts
//
// One control goroutine, Run, owns membership and configuration. Controllers and request goroutines
// post typed events; Run applies them in order and publishes a new immutable Snapshot. Request
// goroutines read the latest Snapshot through an atomic pointer and never wait for the control
// goroutine.
//
// # Invariants
//
//   - Only Run writes. A published Snapshot is never changed, except for the Gauges that its members
//     point to, which are atomic.
//   - A configuration with a lower revision never replaces one with a higher revision.
//   - Post never blocks: when the queue is full the event is dropped and counted, as later requests
//     show the same again.
//
// # Usage
//
//	bo := &board.Board{Clock: clock, Rand: rand, Self: vm}
//	go bo.Run(ctx)
//	bo.Post(board.VMsChanged{VMs: vms})
//	sn := bo.Snapshot()
package board

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"almondrill/core"
	"almondrill/core/decl"
	"almondrill/core/loads"
	"almondrill/core/member"
	"almondrill/core/ring"
)

// Event is an observation of a controller or a request goroutine. Run applies it.
type Event interface {
	apply(bo *Board, now time.Time) bool
}

// VMsChanged reports changes of the platform's list of VMs.
type VMsChanged struct{ VMs []core.VM }

// ConfigAdopted reports a newly adopted configuration.
type ConfigAdopted struct{ Config *decl.Config }

// Reachability reports whether a call reached a VM.
type Reachability struct {
	VM      core.VMID
	Reached bool
}

// ProcessAnnounced reports what a process announced about itself.
type ProcessAnnounced struct {
	VM          core.VMID
	Incarnation core.Incarnation
	Draining    bool
}

type tick struct{}

// Pool is a pool in a Snapshot. Members and Ring have the same indices.
type Pool struct {
	Group   *decl.Group
	Members []Member
	// Ring holds the hashes and weights of Members for placement; SameRegion the indices of those in
	// the process's own region.
	Ring       []ring.Member
	SameRegion []int32
	// EqualWeights is set if all weights are equal.
	EqualWeights bool
	// Ramping is set if some member has an Allowance below 1.
	Ramping bool
}

// Member is one VM of a pool.
type Member struct {
	VM        core.VMID
	Zone      core.Zone
	Region    core.Region
	Allowance float64
	// Suspect is set on a member that could not be reached lately, and that stays listed because most
	// of its pool could not.
	Suspect     bool
	Incarnation core.Incarnation
	// Load is the load that its agent last reported; all snapshots share it.
	Load *loads.Gauge
}

// Index finds a VM among the members, which are sorted by name; -1 if it is not there.
func (po *Pool) Index(vm core.VMID) int {
	ix, found := slices.BinarySearchFunc(po.Members, vm, func(me Member, vm core.VMID) int {
		return strings.Compare(string(me.VM), string(vm))
	})
	if !found {
		return -1
	}
	return ix
}

// VMs lists the pool's members, sorted by name.
func (po *Pool) VMs() []core.VMID {
	vms := make([]core.VMID, len(po.Members))
	for ix := range po.Members {
		vms[ix] = po.Members[ix].VM
	}
	return vms
}

// Snapshot is the state of the fleet that request goroutines read. It is immutable.
type Snapshot struct {
	Config *decl.Config // nil until one is accepted
	Pools  map[core.PoolID]*Pool
	Addrs  map[core.VMID]string
	// Agents and Routers are the usable processes, sorted by name.
	Agents  []core.VMID
	Routers []core.VMID
	// AgentRing holds the hashes of Agents, for placement of items that belong to no pool.
	AgentRing []ring.Member
}

// Revision returns the revision of the configuration, 0 if there is none.
func (sn *Snapshot) Revision() core.Revision {
	if sn.Config == nil {
		return 0
	}
	return sn.Config.Revision
}

const (
	queueLength = 1024
	// TickInterval is the time between reevaluations of suspicions and ramps.
	TickInterval = 500 * time.Millisecond
)

// Board collects events and publishes Snapshots. Set the exported fields before Run.
type Board struct {
	Clock core.Clock
	Rand  core.Rand
	Self  core.VM
	// Published, if set, is called by the control goroutine after each change.
	Published func(sn *Snapshot)
	// OlderConfig, if set, is called when a configuration is refused because it is older.
	OlderConfig func(offered, inForce core.Revision)

	events  chan Event
	snap    atomic.Pointer[Snapshot]
	dropped atomic.Int64

	// Owned by Run.
	membership member.Table
	config     *decl.Config
	addrs      map[core.VMID]string
	gauges     map[gaugeKey]*loads.Gauge
}

type gaugeKey struct {
	vm   core.VMID
	pool core.PoolID
}

// Init prepares the board for events; Run may start later.
func (bo *Board) Init() {
	if bo.events != nil {
		return
	}
	bo.events = make(chan Event, queueLength)
	bo.membership.Rand = bo.Rand
	bo.addrs = map[core.VMID]string{}
	bo.gauges = map[gaugeKey]*loads.Gauge{}
	bo.snap.Store(&Snapshot{Pools: map[core.PoolID]*Pool{}, Addrs: map[core.VMID]string{}})
}

// Run is the control goroutine; it ends with ctx.
func (bo *Board) Run(ctx context.Context) error {
	bo.Init()
	go bo.ticks(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case ev := <-bo.events:
			bo.applyEvents(ev)
		}
	}
}

// applyEvents applies an event and all others in the queue, then publishes at most once: a burst of
// changes costs one snapshot.
func (bo *Board) applyEvents(ev Event) {
	now := bo.Clock.Now()
	changed := ev.apply(bo, now)
	for {
		select {
		case next := <-bo.events:
			changed = next.apply(bo, now) || changed
			continue
		default:
		}
		break
	}
	if changed {
		bo.publish(now)
	}
}

func (bo *Board) ticks(ctx context.Context) {
	for bo.Clock.Sleep(ctx, TickInterval) == nil {
		bo.Post(tick{})
	}
}

// Post queues an event for the control goroutine without waiting. If the queue is full, the event is
// dropped.
func (bo *Board) Post(ev Event) {
	select {
	case bo.events <- ev:
	default:
		bo.dropped.Add(1)
	}
}

// Deliver queues an event that must not be lost. It waits while the queue is full.
func (bo *Board) Deliver(ctx context.Context, ev Event) error {
	select {
	case bo.events <- ev:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Dropped returns the number of events dropped because the queue was full.
func (bo *Board) Dropped() int64 { return bo.dropped.Load() }

// Snapshot returns the latest snapshot; it is never nil.
func (bo *Board) Snapshot() *Snapshot { return bo.snap.Load() }

func (ev VMsChanged) apply(bo *Board, now time.Time) bool {
	for _, vm := range ev.VMs {
		if vm.State != core.VMGone {
			bo.addrs[vm.ID] = vm.Addr
		}
	}
	bo.membership.ApplyList(ev.VMs, now)
	return true
}

func (ev ConfigAdopted) apply(bo *Board, _ time.Time) bool {
	if bo.config != nil && ev.Config.Revision <= bo.config.Revision {
		if ev.Config.Revision < bo.config.Revision && bo.OlderConfig != nil {
			bo.OlderConfig(ev.Config.Revision, bo.config.Revision)
		}
		return false
	}
	bo.config = ev.Config
	return true
}

func (ev Reachability) apply(bo *Board, now time.Time) bool {
	return bo.membership.RecordReachability(ev.VM, ev.Reached, now)
}

func (ev ProcessAnnounced) apply(bo *Board, now time.Time) bool {
	return bo.membership.ApplyAnnouncement(ev.VM, ev.Incarnation, ev.Draining, now)
}

// apply requests a new snapshot only while something changes with time alone.
func (tick) apply(bo *Board, now time.Time) bool { return bo.membership.Pending(now) }

// publish builds and publishes a new Snapshot.
func (bo *Board) publish(now time.Time) {
	sn := &Snapshot{Config: bo.config, Pools: map[core.PoolID]*Pool{}, Addrs: map[core.VMID]string{}}
	for id, addr := range bo.addrs {
		sn.Addrs[id] = addr
	}
	for _, us := range bo.membership.Usable(now) {
		switch us.VM.Role {
		case core.RoleRouter:
			sn.Routers = append(sn.Routers, us.VM.ID)
		case core.RoleAgent:
			sn.Agents = append(sn.Agents, us.VM.ID)
			sn.AgentRing = append(sn.AgentRing, ring.Member{Hash: decl.HashName(string(us.VM.ID)), Weight: 1})
			bo.addToPools(sn, us)
		}
	}
	for _, po := range sn.Pools {
		po.EqualWeights = ring.UniformWeights(po.Ring)
	}
	bo.snap.Store(sn)
	if bo.Published != nil {
		bo.Published(sn)
	}
}

func (bo *Board) addToPools(sn *Snapshot, us member.Usable) {
	for _, id := range us.VM.Pools {
		po := sn.Pools[id]
		if po == nil {
			po = &Pool{}
			if bo.config != nil {
				po.Group = bo.config.Group(id)
			}
			sn.Pools[id] = po
		}
		po.add(us, Member{
			VM: us.VM.ID, Zone: us.VM.Zone, Region: us.VM.Region,
			Allowance: us.Allowance, Suspect: us.Suspect,
			Incarnation: bo.membership.Incarnation(us.VM.ID), Load: bo.gauge(us.VM.ID, id),
		}, us.VM.Region == bo.Self.Region)
	}
}

func (po *Pool) add(us member.Usable, me Member, sameRegion bool) {
	ix := len(po.Members)
	po.Members = append(po.Members, me)
	weight := us.VM.Weight
	if weight <= 0 {
		weight = 1
	}
	po.Ring = append(po.Ring, ring.Member{Hash: decl.HashName(string(me.VM)), Weight: weight})
	if sameRegion {
		po.SameRegion = append(po.SameRegion, int32(ix))
	}
	po.Ramping = po.Ramping || us.Allowance < 1
}

func (bo *Board) gauge(vm core.VMID, pool core.PoolID) *loads.Gauge {
	key := gaugeKey{vm, pool}
	if bo.gauges[key] == nil {
		bo.gauges[key] = &loads.Gauge{}
	}
	return bo.gauges[key]
}
