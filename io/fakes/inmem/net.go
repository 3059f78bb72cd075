// Package inmem runs the real routers and agents of core in memory, over a fake network and fake
// endpoints, for tests and measurements on virtual time.
//
// # Concepts
//
// A Net carries calls between Members without sockets. It adds a latency and can partition members
// from each other, lose replies and delay orders. A Fleet builds members as io/node does. All waiting
// is on core.Clock, so in a testing/synctest bubble a minute passes at once.
//
// # Usage
//
//	fl := &inmem.Fleet{Seed: 1, Routers: 2, Agents: 12, Document: doc, Pool: pool, Engine: newEngine}
//	err := fl.Start(ctx)
//	rep, err := fl.RouterAt(0).Router.Route(ctx, request, sink)
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
	// Latency is the transit delay of a call in one direction.
	Latency time.Duration

	mu           sync.Mutex // guards all below
	members      map[core.VMID]*Member
	partitions   map[[2]core.VMID]bool
	replyLoss    float64
	orderDelays  map[core.VMID]time.Duration
	calls        int64
	fetchedBytes core.Bytes
}

var errUnreachable = errors.New("inmem: no way to the peer")

// SetPartition cuts the connection between two members in both directions, or restores it.
func (ne *Net) SetPartition(one, two core.VMID, cut bool) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	if ne.partitions == nil {
		ne.partitions = map[[2]core.VMID]bool{}
	}
	ne.partitions[[2]core.VMID{one, two}] = cut
	ne.partitions[[2]core.VMID{two, one}] = cut
}

// SetReplyLoss sets the fraction of calls that run but whose replies are lost.
func (ne *Net) SetReplyLoss(part float64) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	ne.replyLoss = part
}

// DelayOrders makes the orders that a member issues from now on leave that much later, even if
// their sender has ended meanwhile: as when a process is paused between its decision and the call.
func (ne *Net) DelayOrders(vm core.VMID, d time.Duration) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	if ne.orderDelays == nil {
		ne.orderDelays = map[core.VMID]time.Duration{}
	}
	ne.orderDelays[vm] = d
}

func (ne *Net) orderDelay(from core.VMID) time.Duration {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	return ne.orderDelays[from]
}

func (ne *Net) join(me *Member) {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	if ne.members == nil {
		ne.members = map[core.VMID]*Member{}
	}
	ne.members[me.ID] = me
}

// reach waits for the latency and returns the member that a call from one VM to another reaches.
func (ne *Net) reach(ctx context.Context, from, to core.VMID) (*Member, error) {
	if err := ne.Clock.Sleep(ctx, ne.Latency); err != nil {
		return nil, err
	}
	ne.mu.Lock()
	defer ne.mu.Unlock()
	ne.calls++
	me := ne.members[to]
	if me == nil || me.dead() || ne.partitions[[2]core.VMID{from, to}] {
		return nil, errUnreachable
	}
	return me, nil
}

func (ne *Net) replyLost(from, to core.VMID) bool {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	return ne.partitions[[2]core.VMID{from, to}] || (ne.replyLoss > 0 && ne.Rand.Float64() < ne.replyLoss)
}

// memberPeers is the network as one member sees it.
type memberPeers struct {
	net  *Net
	from core.VMID
}

var _ core.Peers = memberPeers{}

// Serve runs a call on another member. The outcome is unknown if the reply is lost, or if that
// member dies or is partitioned from this one while the call runs.
func (mp memberPeers) Serve(ctx context.Context, to core.VMID, ca *core.Call, si core.Sink) (*core.Report, error) {
	me, err := mp.net.reach(ctx, mp.from, to)
	if err != nil || me.Agent == nil {
		return nil, &core.Refusal{
			Outcome: core.NotRun, Reason: core.ReasonUnreachable, Step: "dial", Peer: string(to), Detail: errUnreachable.Error(),
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(me.ctx, cancel)()
	rep, err := me.Agent.Serve(ctx, ca, &liveSink{sink: si, member: me})
	if me.dead() || mp.net.replyLost(mp.from, to) {
		return nil, &core.Refusal{
			Outcome: core.Unknown, Reason: core.ReasonPeerLost, Step: "serve", Peer: string(to), Detail: "the answer was lost",
		}
	}
	return rep, err
}

// liveSink forwards parts until its member is dead.
type liveSink struct {
	sink   core.Sink
	member *Member
}

// Send implements core.Sink.
func (ls *liveSink) Send(pa *core.Part) error {
	if ls.member.dead() {
		return errUnreachable
	}
	return ls.sink.Send(pa)
}

// Exchange exchanges digests with another member.
func (mp memberPeers) Exchange(ctx context.Context, to core.VMID, di *core.Digest) (*core.Digest, error) {
	me, err := mp.net.reach(ctx, mp.from, to)
	if err != nil {
		return nil, err
	}
	return me.handleExchange(di), nil
}

// Claim sends a claim to another member's claim writer.
func (mp memberPeers) Claim(ctx context.Context, to core.VMID, cl *core.Claim) (*core.ClaimReply, error) {
	me, err := mp.net.reach(ctx, mp.from, to)
	if err != nil || me.ClaimWriter == nil {
		return nil, errUnreachable
	}
	return me.ClaimWriter.Claim(ctx, cl)
}

// Fetch fetches configuration changes from another member.
func (mp memberPeers) Fetch(ctx context.Context, to core.VMID, since core.Revision) (*core.Changes, error) {
	me, err := mp.net.reach(ctx, mp.from, to)
	if err != nil {
		return nil, err
	}
	ch, err := me.Log.ChangesSince(since)
	if err == nil {
		mp.net.addFetched(ch)
	}
	return ch, err
}

// addFetched counts the bytes of configuration that one fetch sends.
func (ne *Net) addFetched(ch *core.Changes) {
	size := len(ch.Snapshot)
	for _, de := range ch.Deltas {
		size += len(de)
	}
	ne.mu.Lock()
	defer ne.mu.Unlock()
	ne.fetchedBytes += core.Bytes(size) + 2*bucket.Overhead
}

// FetchedBytes returns the size of the configuration fetched between members so far, including the
// overhead of the messages.
func (ne *Net) FetchedBytes() core.Bytes {
	ne.mu.Lock()
	defer ne.mu.Unlock()
	return ne.fetchedBytes
}

// UpdatePlacements sends placements to the agent of another member.
func (mp memberPeers) UpdatePlacements(ctx context.Context, to core.VMID, pls []core.Placement) error {
	me, err := mp.net.reach(ctx, mp.from, to)
	if err != nil || me.Agent == nil {
		return errUnreachable
	}
	me.Agent.ApplyPlacements(pls)
	return nil
}

// NotifyCrash sends a crash notice to the router of another member.
func (mp memberPeers) NotifyCrash(ctx context.Context, to core.VMID, no *core.CrashNotice) error {
	me, err := mp.net.reach(ctx, mp.from, to)
	if err != nil || me.Tracker == nil {
		return errUnreachable
	}
	me.Tracker.ApplyNotice(time.Now(), string(mp.from), *no)
	return nil
}

// Order sends an order to the agent of another member.
func (mp memberPeers) Order(ctx context.Context, to core.VMID, or *core.Order) error {
	ctx = context.WithoutCancel(ctx)
	_ = mp.net.Clock.Sleep(ctx, mp.net.orderDelay(mp.from))
	me, err := mp.net.reach(ctx, mp.from, to)
	if err != nil || me.Executor == nil {
		return &core.Refusal{
			Outcome: core.NotRun, Reason: core.ReasonUnreachable, Step: "dial", Peer: string(to), Detail: errUnreachable.Error(),
		}
	}
	return me.Executor.Order(ctx, or)
}

// Inspect returns the states of the endpoints of another member.
func (mp memberPeers) Inspect(ctx context.Context, to core.VMID) ([]core.EndpointState, error) {
	me, err := mp.net.reach(ctx, mp.from, to)
	if err != nil || me.Executor == nil {
		return nil, errUnreachable
	}
	return me.Executor.States(ctx), nil
}

// HandOver transfers a context to the agent of another member.
func (mp memberPeers) HandOver(ctx context.Context, to core.VMID, ha *core.Handover, rd io.Reader) error {
	me, err := mp.net.reach(ctx, mp.from, to)
	if err != nil || me.Agent == nil {
		return &core.Refusal{
			Outcome: core.NotRun, Reason: core.ReasonUnreachable, Step: "dial", Peer: string(to), Detail: errUnreachable.Error(),
		}
	}
	return me.Agent.ImportContext(ctx, ha, rd)
}
