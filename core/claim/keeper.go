// Package claim lets work that must not repeat run at most once.
//
// # Concepts
//
// A key is claimed before its call reaches an endpoint. Claims are spread over
// shards by the key's hash. A shard is a chain of writes to one KV entry, its
// head, by compare-and-swap; full heads are moved to segments that lapse with a
// lease. Any process may write to any shard: the swap decides. So that many
// claims share a write, processes send them to the shard's keeper, the agent that
// rendezvous hashing names; if lists differ there are two keepers for a moment,
// one of whom loses each swap, reads, and tries again.
//
// Keeper is the keeper's side, Keys the claimant's: the table of keys that an
// agent took, which joins retries to a run in progress and replays its outcome.
//
// # Invariants
//
//   - A claim counts only once a swap of the head that contains it succeeded, and
//     a swap only succeeds on the version whose claims the keeper had all read.
//     No clock, lease or list of members takes part in that.
//   - A claim is never taken back and lapses only after Window.
//   - The same claimant asking again is granted again: a lost answer does no harm.
//
// # Usage
//
//	ke := &claim.Keeper{KV: kv, Clock: clock, Rand: rand, Shards: 64, Window: window}
//	verdict, err := ke.Claim(ctx, &core.Claim{Hash: claim.Hash(customer, key), By: self})
package claim

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"almondrill/core"
	"almondrill/core/retry"
)

const (
	// headBytes is the size from which a head is moved to a segment. A larger one
	// costs bytes with every write, a smaller one more writes.
	headBytes = 2 << 10
	// mostBatch bounds the claims of one write.
	mostBatch = 1000
	// leaseEvery is how long one lease serves new segments.
	leaseEvery = time.Minute
	// settleWithin bounds the attempts at one batch while the KV fails.
	settleWithin = 2 * time.Second
	segmentPage  = 400
)

// ErrUnsettled: the KV did not tell in time whether the claim was made.
var ErrUnsettled = errors.New("the key-value service did not settle the claim in time")

// Hash is a key's hash, which names it in claims.
func Hash(cu core.CustomerID, key core.IdemKey) core.KeyHash {
	var hash core.KeyHash
	one := xxhash.New()
	_, _ = fmt.Fprintf(one, "%d/%s/%s", len(cu), cu, key)
	binary.BigEndian.PutUint64(hash[:8], one.Sum64())
	two := xxhash.NewWithSeed(one.Sum64())
	_, _ = fmt.Fprintf(two, "%s/%s/%d", key, cu, len(cu))
	binary.BigEndian.PutUint64(hash[8:], two.Sum64())
	return hash
}

// ShardOf is the shard of a hash among that many.
func ShardOf(hash core.KeyHash, shards int) int {
	return int(binary.BigEndian.Uint64(hash[:8]) % uint64(shards))
}

// Keeper writes claims. Set the exported fields before use.
type Keeper struct {
	KV     core.KV
	Clock  core.Clock
	Rand   core.Rand
	Shards int
	// Window is how long claims are kept.
	Window time.Duration
	// Pace is the time that each write to a shard's entries takes up, head or
	// segment; it bounds the KV's writes by Shards/Pace however many claims there
	// are.
	Pace time.Duration

	mu     sync.Mutex // guards all below
	shards map[int]*shard
	lease  core.LeaseID
	leased time.Time
}

// Claim asks for a key and waits for the verdict, ErrUnsettled or ctx's end.
func (ke *Keeper) Claim(ctx context.Context, cl *core.Claim) (*core.ClaimReply, error) {
	return ke.shard(ShardOf(cl.Hash, ke.Shards)).claim(ctx, cl)
}

func (ke *Keeper) shard(number int) *shard {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	if ke.shards == nil {
		ke.shards = map[int]*shard{}
	}
	sh := ke.shards[number]
	if sh == nil {
		sh = &shard{
			keeper: ke, shardNo: number, turned: ke.Clock.Now(),
			young: map[core.KeyHash]held{}, numbers: map[core.Claimant]uint32{},
		}
		ke.shards[number] = sh
	}
	return sh
}

// Size is the number of claims in memory.
func (ke *Keeper) Size() int {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	sum := 0
	for _, sh := range ke.shards {
		sum += sh.size()
	}
	return sum
}

// segmentLease is a lease that outlives Window, shared by a minute's segments.
// It is not renewed: segments lapse by themselves, without a call each.
func (ke *Keeper) segmentLease(ctx context.Context) (core.LeaseID, error) {
	ke.mu.Lock()
	lease, leased := ke.lease, ke.leased
	ke.mu.Unlock()
	now := ke.Clock.Now()
	if lease != 0 && now.Sub(leased) < leaseEvery {
		return lease, nil
	}
	lease, err := ke.KV.Grant(ctx, ke.Window+2*leaseEvery)
	if err != nil {
		return 0, fmt.Errorf("grant segment lease: %w", err)
	}
	ke.mu.Lock()
	defer ke.mu.Unlock()
	ke.lease, ke.leased = lease, now
	return lease, nil
}

// held is who claimed a key and when, in few bytes: there is one for every claim
// of the window.
type held struct {
	by uint32 // index into claimants
	at uint32 // Unix seconds
}

// secondsOf is good until 2106.
func secondsOf(at time.Time) uint32 { return uint32(at.Unix()) }

// ask is one waiting claim.
type ask struct {
	claim *core.Claim
	done  chan answer
}

type answer struct {
	verdict *core.ClaimReply
	err     error
}

// shard is a keeper's view of one shard.
type shard struct {
	keeper  *Keeper
	shardNo int

	mu sync.Mutex // guards all up to busy
	// young holds the claims learnt since turned, old those of the window before:
	// dropping a map whole costs nothing for the claims in it.
	young     map[core.KeyHash]held
	old       map[core.KeyHash]held
	turned    time.Time
	claimants []core.Claimant
	numbers   map[core.Claimant]uint32
	waiting   []*ask
	busy      bool

	// The rest belongs to the one worker that runs while busy.
	head    head
	version core.Version
	synced  bool
	// free is when the writes so far have used up their time.
	free time.Time
}

func (sh *shard) size() int {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return len(sh.young) + len(sh.old)
}

func (sh *shard) claim(ctx context.Context, cl *core.Claim) (*core.ClaimReply, error) {
	sh.mu.Lock()
	if ve := sh.verdict(cl); ve != nil {
		sh.mu.Unlock()
		return ve, nil
	}
	as := &ask{claim: cl, done: make(chan answer, 1)}
	sh.waiting = append(sh.waiting, as)
	if !sh.busy {
		sh.busy = true
		go sh.work()
	}
	sh.mu.Unlock()
	select {
	case an := <-as.done:
		return an.verdict, an.err
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for claim: %w", ctx.Err())
	}
}

// verdict answers from what is known, nil if the key is not. Called locked.
func (sh *shard) verdict(cl *core.Claim) *core.ClaimReply {
	he, known := sh.find(cl.Hash)
	if !known {
		return nil
	}
	by := sh.claimants[he.by]
	return &core.ClaimReply{Granted: by == cl.By, Holder: by}
}

// find looks a claim up that is not older than the window. Called locked.
func (sh *shard) find(hash core.KeyHash) (held, bool) {
	he, known := sh.young[hash]
	if !known {
		he, known = sh.old[hash]
	}
	limit := secondsOf(sh.keeper.Clock.Now().Add(-sh.keeper.Window))
	return he, known && he.at >= limit
}

// number is the claimant's index. Called locked.
func (sh *shard) number(by core.Claimant) uint32 {
	ix, known := sh.numbers[by]
	if !known {
		ix = uint32(len(sh.claimants))
		sh.claimants = append(sh.claimants, by)
		sh.numbers[by] = ix
	}
	return ix
}

// work writes batches until nothing waits.
func (sh *shard) work() {
	for !sh.idle() {
		sh.pace()
		sh.settle(sh.take())
	}
}

// idle ends the worker if nothing waits.
func (sh *shard) idle() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.busy = len(sh.waiting) > 0
	return !sh.busy
}

// pace waits until the writes so far have used up their time. What arrives
// meanwhile joins the next batch; the first claim after a quiet time does not
// wait.
func (sh *shard) pace() {
	if wait := sh.free.Sub(sh.keeper.Clock.Now()); wait > 0 {
		_ = sh.keeper.Clock.Sleep(context.Background(), wait)
	}
}

// spend takes a write's time.
func (sh *shard) spend() {
	now := sh.keeper.Clock.Now()
	if sh.free.Before(now) {
		sh.free = now
	}
	sh.free = sh.free.Add(sh.keeper.Pace)
}

func (sh *shard) take() []*ask {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.turn()
	count := min(mostBatch, len(sh.waiting))
	batch := sh.waiting[:count:count]
	// A copy, so that answered asks do not stay in memory behind the others.
	sh.waiting = slices.Clone(sh.waiting[count:])
	return batch
}

// turn drops the claims of the window before last. Called locked.
func (sh *shard) turn() {
	now := sh.keeper.Clock.Now()
	if now.Sub(sh.turned) <= sh.keeper.Window {
		return
	}
	sh.turned = now
	sh.old = sh.young
	sh.young = map[core.KeyHash]held{}
}

// settle brings each ask of a batch to its answer: read if needed, answer what is
// known, swap the rest in; on any doubt, start over from reading. Time bounds it.
func (sh *shard) settle(batch []*ask) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	until := sh.keeper.Clock.Now().Add(settleWithin)
	for try := 1; ; try++ {
		err := sh.sync(ctx)
		if err == nil {
			batch = sh.answerKnown(batch)
			if len(batch) == 0 {
				return
			}
			if err = sh.write(ctx, batch); err == nil {
				sh.answerKnown(batch)
				return
			}
		}
		if !sh.keeper.Clock.Now().Before(until) {
			sh.giveUp(batch, err)
			return
		}
		if !errors.Is(err, core.ErrConflict) {
			_ = sh.keeper.Clock.Sleep(ctx, retry.Backoff(try, sh.keeper.Rand))
		}
	}
}

func (sh *shard) giveUp(batch []*ask, err error) {
	for _, as := range batch {
		as.done <- answer{err: fmt.Errorf("%w: %w", ErrUnsettled, err)}
	}
}

// answerKnown answers the asks whose keys are known and returns the others.
func (sh *shard) answerKnown(batch []*ask) []*ask {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var rest []*ask
	for _, as := range batch {
		if ve := sh.verdict(as.claim); ve != nil {
			as.done <- answer{verdict: ve}
			continue
		}
		rest = append(rest, as)
	}
	return rest
}
