package inmem

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/agent"
	"almondrill/core/board"
	"almondrill/core/bucket"
	"almondrill/core/claim"
	"almondrill/core/ctxdir"
	"almondrill/core/decl"
	"almondrill/core/order"
	"almondrill/core/retry"
	"almondrill/core/revlog"
	"almondrill/core/router"
	"almondrill/core/syncer"
	"almondrill/io/clock"
	"almondrill/io/deny"
	"almondrill/io/fakes/kvsrv"
	"almondrill/io/fakes/vmlist"
	"almondrill/io/stats"
)

// Member is a router or agent of a Fleet.
type Member struct {
	ID          core.VMID
	VM          core.VM
	Board       *board.Board
	Log         *revlog.Log
	Syncer      *syncer.Syncer
	Bucket      *bucket.Bucket
	Router      *router.Router // nil on agents
	Tracker     *deny.Tracker  // nil on agents
	Agent       *agent.Agent   // nil on routers
	ClaimWriter *claim.Writer  // nil on routers
	Keys        *claim.Keys
	Executor    *order.Executor // nil on routers
	// Controller issues orders; nil on agents.
	Controller *order.Controller
	Engines    []*Engine

	// KVUnreachable cuts the member off from the KV store, except for writing claims.
	KVUnreachable atomic.Bool

	// OrdersRefused counts orders issued by this member that agents refused.
	OrdersRefused atomic.Int64

	mu      sync.Mutex // guards adopted
	adopted []core.Revision

	incarnation core.Incarnation
	ctx         context.Context
	kill        context.CancelFunc
}

// AdoptedRevisions returns the configuration revisions that the member adopted, in order.
func (me *Member) AdoptedRevisions() []core.Revision {
	me.mu.Lock()
	defer me.mu.Unlock()
	return slices.Clone(me.adopted)
}

func (me *Member) dead() bool { return me.ctx.Err() != nil }

// Kill ends the member abruptly, as the loss of its VM does.
func (me *Member) Kill() { me.kill() }

func (me *Member) digest() *core.Digest {
	if me.Agent != nil {
		return me.Agent.Digest(agent.MaxEntries)
	}
	return &core.Digest{From: me.ID, Incarnation: me.incarnation, Revision: me.Log.Revision()}
}

func (me *Member) handleExchange(di *core.Digest) *core.Digest {
	me.Syncer.NotePeerRevision(di.From, di.Revision)
	own := me.digest()
	if len(di.Loads) == 0 {
		own.Loads = nil
	}
	me.Bucket.Spend(agent.DigestSize(own))
	if me.Agent != nil {
		me.Agent.ApplyDigest(di)
	}
	return own
}

// Fleet is a set of members on one Net, with fakes of the platform. Set the exported fields before
// Start.
type Fleet struct {
	Seed     uint64
	Routers  int
	Agents   int
	Document *decl.Document
	// Pool is the pool that all agents serve.
	Pool core.PoolID
	// Engine creates the endpoint of agent ix.
	Engine func(ix int) *Engine
	// Zones is the number of zones; 0 means 3.
	Zones int
	// VMListLag is the delay with which every second member sees changes of the VM list.
	VMListLag time.Duration
	// ControlBudget is how many bytes of control messages a member may send per second; 0 means 2500.
	ControlBudget core.Bytes

	Clock       clock.Wall
	Rand        *clock.Rand
	Net         *Net
	Store       *kvsrv.Store
	List        *vmlist.List
	laggingList *vmlist.List
	ctx         context.Context

	mu      sync.Mutex // guards members
	members []*Member
}

// Start creates the platform's fakes and the members, and waits long enough for all of them to
// learn of each other and of the configuration. Members end with ctx.
func (fl *Fleet) Start(ctx context.Context) error {
	fl.ctx = ctx
	fl.Rand = clock.NewRand(fl.Seed)
	fl.Net = &Net{Clock: fl.Clock, Rand: fl.Rand, Latency: 500 * time.Microsecond}
	fl.Store = &kvsrv.Store{Clock: fl.Clock, Rand: fl.Rand, Latency: 2 * time.Millisecond}
	fl.List = &vmlist.List{Clock: fl.Clock}
	fl.laggingList = &vmlist.List{Clock: fl.Clock, Lag: fl.VMListLag}
	if fl.ControlBudget == 0 {
		fl.ControlBudget = 2500
	}
	lo := &revlog.Log{KV: fl.Store, Clock: fl.Clock, Rand: fl.Rand}
	if _, err := lo.Commit(ctx, 0, fl.Document, revlog.Meta{ID: "start", Author: "test"}); err != nil {
		return err
	}
	for ix := range fl.Agents {
		fl.AddAgent(fmt.Sprintf("agent-%04d", ix), ix)
	}
	for ix := range fl.Routers {
		fl.AddRouter(fmt.Sprintf("router-%04d", ix), ix)
	}
	settle := 3*time.Second + fl.VMListLag
	return fl.Clock.Sleep(ctx, settle)
}

// Members returns all members, including dead ones, in the order in which they were added.
func (fl *Fleet) Members() []*Member {
	fl.mu.Lock()
	defer fl.mu.Unlock()
	return slices.Clone(fl.members)
}

// RouterAt returns the router with index ix, dead or not; nil if there is none.
func (fl *Fleet) RouterAt(ix int) *Member {
	for _, me := range fl.Members() {
		if me.Router != nil {
			if ix == 0 {
				return me
			}
			ix--
		}
	}
	return nil
}

// LiveAgent returns the agent with that id, or nil if it is dead or unknown.
func (fl *Fleet) LiveAgent(id core.VMID) *Member {
	for _, me := range fl.Members() {
		if me.ID == id && me.Agent != nil && !me.dead() {
			return me
		}
	}
	return nil
}

// AddAgent starts an agent and adds its VM to the list.
func (fl *Fleet) AddAgent(name string, ix int) *Member {
	me := fl.newMember(name, ix, core.RoleAgent, []core.PoolID{fl.Pool})
	en := fl.Engine(ix)
	me.Engines = append(me.Engines, en)
	self := core.Claimant{VM: me.ID, Incarnation: me.incarnation}
	me.ClaimWriter = &claim.Writer{
		KV: fl.Store, Clock: fl.Clock, Rand: fl.Rand, Shards: 8, Window: 15 * time.Minute, WriteInterval: 25 * time.Millisecond,
	}
	dispatcher := &claim.Dispatcher{
		Board: me.Board, Peers: memberPeers{fl.Net, me.ID}, Clock: fl.Clock, Writer: me.ClaimWriter, Self: self,
	}
	me.Keys = &claim.Keys{
		Clock: fl.Clock, Self: self, Window: 15 * time.Minute, MaxBytes: 1 << 20, ClaimTimeout: 3 * time.Second,
		Ask: dispatcher.Claim, Alive: dispatcher.Alive,
	}
	me.Agent = &agent.Agent{
		Clock: fl.Clock, Rand: fl.Rand, Board: me.Board, Self: me.ID, Incarnation: me.incarnation,
		Slots: []*agent.Slot{{ID: core.EndpointID(name), Pool: fl.Pool, Endpoint: en}},
		Book:  &ctxdir.Directory{Clock: fl.Clock, MaxCached: 20000, MaxPointers: 20000, TTL: time.Hour},
		Keys:  me.Keys, Peers: memberPeers{fl.Net, me.ID}, AllowSend: me.Bucket.Allow, RevisionSeen: me.Syncer.NotePeerRevision,
	}
	me.Agent.Init()
	me.Executor = &order.Executor{KV: memberKV{fl.Store, me}, Clock: fl.Clock, Self: me.ID}
	for _, sl := range me.Agent.Slots {
		me.Executor.Endpoints = append(me.Executor.Endpoints, &order.Endpoint{
			ID: sl.ID, Pool: sl.Pool, Engine: en, Drain: sl.Pause, Resume: sl.Resume,
		})
	}
	en.onEvict = func(key uint64) { me.Agent.Book.ApplyEviction(core.EndpointID(name), en.nextEvent(), key) }
	me.Board.Published = me.Agent.Adopt
	fl.startMember(me)
	go func() { _ = me.Agent.Run(me.ctx) }()
	return me
}

// AddRouter starts a router and adds its VM to the list.
func (fl *Fleet) AddRouter(name string, ix int) *Member {
	me := fl.newMember(name, ix, core.RoleRouter, nil)
	me.Router = &router.Router{
		Clock: fl.Clock, Rand: fl.Rand, Board: me.Board, Peers: memberPeers{fl.Net, me.ID}, Zone: me.VM.Zone,
		Budget: &retry.Budget{Ratio: 0.1}, RevisionSeen: me.Syncer.NotePeerRevision,
	}
	store := &deny.KVStore{KV: memberKV{fl.Store, me}}
	me.Tracker = &deny.Tracker{
		Peers: &deny.BoardPeers{Board: me.Board, Peers: memberPeers{fl.Net, me.ID}, Rand: fl.Rand, BytesSent: me.Bucket.Spend, Log: zap.NewNop()},
		Store: store, Stats: stats.New(), Log: zap.NewNop(),
	}
	me.Router.Crashes = me.Tracker
	me.Controller = &order.Controller{
		Lease: &order.Lease{
			KV: memberKV{fl.Store, me}, Clock: fl.Clock, TTL: order.DefaultTTL,
			Self: core.Claimant{VM: me.ID, Incarnation: me.incarnation},
		},
		Board: me.Board, Peers: memberPeers{fl.Net, me.ID}, Clock: fl.Clock, Rand: fl.Rand, AllowSend: me.Bucket.Allow,
		Refused: func(order.Assignment, *core.Refusal) { me.OrdersRefused.Add(1) },
	}
	fl.startMember(me)
	go func() { _ = me.Controller.Run(me.ctx) }()
	go func() { _ = me.Tracker.Run(me.ctx) }()
	go func() { _ = store.Watch(me.ctx, me.Tracker, fl.Clock, func() int { return fl.Routers }) }()
	return me
}

func (fl *Fleet) newMember(name string, ix int, ro core.Role, pools []core.PoolID) *Member {
	zones := fl.Zones
	if zones == 0 {
		zones = 3
	}
	vm := core.VM{
		ID: core.VMID(name), Addr: name, Zone: core.Zone(fmt.Sprint("zone-", ix%zones)), Region: "north",
		Role: ro, Pools: pools,
	}
	me := &Member{ID: vm.ID, VM: vm, incarnation: core.Incarnation(fl.Rand.Uint64() | 1)}
	me.ctx, me.kill = context.WithCancel(fl.ctx)
	me.Bucket = &bucket.Bucket{Clock: fl.Clock, PerSecond: fl.ControlBudget}
	me.Board = &board.Board{Clock: fl.Clock, Rand: fl.Rand, Self: vm}
	me.Board.Init()
	me.Log = &revlog.Log{KV: memberKV{fl.Store, me}, Clock: fl.Clock, Rand: fl.Rand, Adopt: func(cfg *decl.Config) {
		me.mu.Lock()
		me.adopted = append(me.adopted, cfg.Revision)
		me.mu.Unlock()
		_ = me.Board.Deliver(me.ctx, board.ConfigAdopted{Config: cfg})
		me.Syncer.NoteAdopted()
	}}
	me.Syncer = &syncer.Syncer{
		Log: me.Log, Board: me.Board, Peers: memberPeers{fl.Net, vm.ID}, Clock: fl.Clock, Rand: fl.Rand,
		Digest: me.digest, AllowSend: me.Bucket.Allow,
	}
	me.Syncer.Init()
	return me
}

// startMember connects a member to the network, adds its VM to the list and starts the loops of its
// control plane.
func (fl *Fleet) startMember(me *Member) {
	fl.Net.join(me)
	fl.mu.Lock()
	fl.members = append(fl.members, me)
	lagging := fl.VMListLag > 0 && len(fl.members)%2 == 0
	fl.mu.Unlock()
	fl.SetState(me, core.VMLive)
	list := fl.List
	if lagging {
		list = fl.laggingList
	}
	lister := &board.Lister{Board: me.Board, List: list, Draining: func() {
		if me.Agent != nil {
			me.Agent.StopAccepting()
		}
	}}
	for _, loop := range []func(context.Context) error{me.Board.Run, lister.Run, me.Syncer.Run} {
		go func() { _ = loop(me.ctx) }()
	}
}

// SetState sets the state of a member's VM in the platform's list.
func (fl *Fleet) SetState(me *Member, st core.VMState) {
	vm := me.VM
	vm.State = st
	fl.List.Set(vm)
	fl.laggingList.Set(vm)
}

// PeersOf returns the network as a member sees it, for calls that bypass its router.
func (fl *Fleet) PeersOf(me *Member) core.Peers { return memberPeers{fl.Net, me.ID} }

// LiveAgents returns the agents that are neither dead nor draining.
func (fl *Fleet) LiveAgents() []*Member {
	var live []*Member
	for _, me := range fl.Members() {
		if me.Agent != nil && !me.dead() && !me.Agent.Draining() {
			live = append(live, me)
		}
	}
	return live
}

// Shutdown marks an agent's VM as draining and shuts the agent down in the background. The agent
// hands over at most maxBytes of contexts and is removed afterwards.
func (fl *Fleet) Shutdown(me *Member, maxBytes core.Bytes) {
	const timeout = 20 * time.Second
	fl.SetState(me, core.VMDraining)
	go func() {
		_, _ = me.Agent.Shutdown(me.ctx, timeout, maxBytes)
		fl.SetState(me, core.VMGone)
		me.Kill()
	}()
}
