// Package inmem runs routers and agents of the real core in memory, over a fake
// network and fake endpoints, for tests and measurements on virtual time.
//
// # Concepts
//
// A Net carries calls between Members without sockets, with a latency, cuts
// between members, and lost replies. A Fleet builds members as io/node does.
// Everything runs on core.Clock, so inside a testing/synctest bubble a minute
// takes no time.
//
// # Usage
//
//	fl := &inmem.Fleet{Seed: 1, Routers: 2, Agents: 12, Document: doc}
//	fl.Start(ctx)
//	rep, err := fl.Routers[0].Route(ctx, request, sink)
package inmem

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"almondrill/core"
	"almondrill/core/bucket"
)

// Net is the fake network. Set the exported fields before use.
type Net struct {
	Clock core.Clock
	Rand  core.Rand
	// Latency is one way's time.
	Latency time.Duration

	mu      sync.Mutex // guards all below
	members map[core.VMID]*Member
	cuts    map[[2]core.VMID]bool
	lose    float64
	paused  map[core.VMID]time.Duration
	calls   int64
	fetched core.Bytes
}

var errCut = errors.New("inmem: no way to the peer")

// Cut breaks the way between two members, or heals it.
func (ne *Net) Cut(one, two core.VMID, broken bool) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	if ne.cuts == nil {
		ne.cuts = map[[2]core.VMID]bool{}
	}
	ne.cuts[[2]core.VMID{one, two}] = broken
	ne.cuts[[2]core.VMID{two, one}] = broken
}

// Lose makes that part of answers be lost after the call has run.
func (ne *Net) Lose(part float64) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	ne.lose = part
}

// PauseOrders makes the orders that a member gives from now on leave that much
// later, whatever becomes of their sender meanwhile, as when a process is paused
// between deciding and sending.
func (ne *Net) PauseOrders(vm core.VMID, d time.Duration) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	if ne.paused == nil {
		ne.paused = map[core.VMID]time.Duration{}
	}
	ne.paused[vm] = d
}

func (ne *Net) pause(from core.VMID) time.Duration {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	return ne.paused[from]
}

func (ne *Net) join(me *Member) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	if ne.members == nil {
		ne.members = map[core.VMID]*Member{}
	}
	ne.members[me.ID] = me
}

// way finds the member that a call from one VM to another reaches.
func (ne *Net) way(ctx context.Context, from, to core.VMID) (*Member, error) {
	if err := ne.Clock.Sleep(ctx, ne.Latency); err != nil {
		return nil, err
	}
	ne.mu.Lock()
	defer ne.mu.Unlock()
	ne.calls++
	me := ne.members[to]
	if me == nil || me.dead() || ne.cuts[[2]core.VMID{from, to}] {
		return nil, errCut
	}
	return me, nil
}

func (ne *Net) lost(from, to core.VMID) bool {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	return ne.cuts[[2]core.VMID{from, to}] || (ne.lose > 0 && ne.Rand.Float64() < ne.lose)
}

// port is a member's own access to the net.
type port struct {
	net  *Net
	from core.VMID
}

var _ core.Peers = port{}

// Serve runs a call on another member. A member that dies, or a way that is cut,
// while the call runs leaves its outcome unknown.
func (po port) Serve(ctx context.Context, to core.VMID, ca *core.Call, si core.Sink) (*core.Report, error) {
	me, err := po.net.way(ctx, po.from, to)
	if err != nil || me.Agent == nil {
		return nil, &core.Refusal{
			Outcome: core.NotRun, Reason: core.ReasonUnreachable, Step: "dial", Peer: string(to), Detail: errCut.Error(),
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(me.alive, cancel)()
	rep, err := me.Agent.Serve(ctx, ca, &dying{sink: si, member: me})
	if me.dead() || po.net.lost(po.from, to) {
		return nil, &core.Refusal{
			Outcome: core.Unknown, Reason: core.ReasonPeerLost, Step: "serve", Peer: string(to), Detail: "the answer was lost",
		}
	}
	return rep, err
}

// dying passes parts on while its member lives.
type dying struct {
	sink   core.Sink
	member *Member
}

// Send passes a part on.
func (dy *dying) Send(pa *core.Part) error {
	if dy.member.dead() {
		return errCut
	}
	return dy.sink.Send(pa)
}

// Exchange swaps digests.
func (po port) Exchange(ctx context.Context, to core.VMID, di *core.Digest) (*core.Digest, error) {
	me, err := po.net.way(ctx, po.from, to)
	if err != nil {
		return nil, err
	}
	return me.exchanged(di), nil
}

// Claim asks a keeper.
func (po port) Claim(ctx context.Context, to core.VMID, cl *core.Claim) (*core.ClaimReply, error) {
	me, err := po.net.way(ctx, po.from, to)
	if err != nil || me.Keeper == nil {
		return nil, errCut
	}
	return me.Keeper.Claim(ctx, cl)
}

// Fetch asks a peer for configuration.
func (po port) Fetch(ctx context.Context, to core.VMID, since core.Revision) (*core.Changes, error) {
	me, err := po.net.way(ctx, po.from, to)
	if err != nil {
		return nil, err
	}
	ch, err := me.Log.ChangesSince(since)
	if err == nil {
		po.net.countFetch(ch)
	}
	return ch, err
}

// countFetch adds up the configuration that travels between members.
func (ne *Net) countFetch(ch *core.Changes) {
	size := len(ch.Snapshot)
	for _, de := range ch.Deltas {
		size += len(de)
	}
	ne.mu.Lock()
	defer ne.mu.Unlock()
	ne.fetched += core.Bytes(size) + 2*bucket.Overhead
}

// Fetched is the configuration sent between members so far, with its overhead.
func (ne *Net) Fetched() core.Bytes {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	return ne.fetched
}

// UpdatePlacements tells a home.
func (po port) UpdatePlacements(ctx context.Context, to core.VMID, pls []core.Placement) error {
	me, err := po.net.way(ctx, po.from, to)
	if err != nil || me.Agent == nil {
		return errCut
	}
	me.Agent.ApplyPlacements(pls)
	return nil
}

// NotifyCrash tells another member's router of a request.
func (po port) NotifyCrash(ctx context.Context, to core.VMID, no *core.CrashNotice) error {
	me, err := po.net.way(ctx, po.from, to)
	if err != nil || me.Ledger == nil {
		return errCut
	}
	me.Ledger.ApplyNotice(time.Now(), string(po.from), *no)
	return nil
}

// Order hands an order to another member's agent.
func (po port) Order(ctx context.Context, to core.VMID, or *core.Order) error {
	ctx = context.WithoutCancel(ctx)
	_ = po.net.Clock.Sleep(ctx, po.net.pause(po.from))
	me, err := po.net.way(ctx, po.from, to)
	if err != nil || me.Orders == nil {
		return &core.Refusal{
			Outcome: core.NotRun, Reason: core.ReasonUnreachable, Step: "dial", Peer: string(to), Detail: errCut.Error(),
		}
	}
	return me.Orders.Order(ctx, or)
}

// Inspect asks another member's agent for its endpoints.
func (po port) Inspect(ctx context.Context, to core.VMID) ([]core.EndpointState, error) {
	me, err := po.net.way(ctx, po.from, to)
	if err != nil || me.Orders == nil {
		return nil, errCut
	}
	return me.Orders.States(ctx), nil
}

// HandOver moves a context to another member's agent.
func (po port) HandOver(ctx context.Context, to core.VMID, ha *core.Handover, rd io.Reader) error {
	me, err := po.net.way(ctx, po.from, to)
	if err != nil || me.Agent == nil {
		return &core.Refusal{
			Outcome: core.NotRun, Reason: core.ReasonUnreachable, Step: "dial", Peer: string(to), Detail: errCut.Error(),
		}
	}
	return me.Agent.ImportContext(ctx, ha, rd)
}
