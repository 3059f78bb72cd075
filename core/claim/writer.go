// Package claim ensures that a request with an idempotency key is executed at most once.
//
// # Concepts
//
// A key is claimed before its call reaches an endpoint. Claims are distributed over shards by the
// key's hash. A shard is a chain of compare-and-swap writes to one KV entry, its head; full heads
// are moved to segments, which expire with a lease. Any process may write to any shard: the swap
// decides who is first. So that many claims share a write, processes send them to the shard's owner,
// the agent that rendezvous hashing selects. If the processes' lists of agents differ, a shard has
// two owners for a moment; in each round one of them loses the swap, reads the head and tries again.
//
// Writer is the owner's side. Keys is the claimant's: the table of the keys that an agent accepted,
// which makes retries wait for an execution in progress and replays its outcome to them.
//
// # Invariants
//
//   - A claim counts only once a swap of a head that contains it has succeeded, and a swap succeeds
//     only on the version whose claims the writer has read completely. This depends on no clock, no
//     lease and no list of members.
//   - A claim is never withdrawn and expires only after Window.
//   - The same claimant is granted its key again when it repeats the claim, so a lost response does
//     no harm.
//
// # Usage
//
//	wr := &claim.Writer{KV: kv, Clock: clock, Rand: rand, Shards: 64, Window: window}
//	reply, err := wr.Claim(ctx, &core.Claim{Hash: claim.Hash(customer, key), By: self})
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
	"almondrill/core/ledger"
	"almondrill/core/retry"
)

const (
	// rollHeadBytes is the size from which a head is moved to a segment. A larger one costs more
	// bytes with every write, a smaller one more writes.
	rollHeadBytes = 2 << 10
	// maxBatchClaims bounds the claims of one write.
	maxBatchClaims = 1000
	// segmentLeaseInterval is how long one lease is used for new segments.
	segmentLeaseInterval = time.Minute
	// batchTimeout is how long a failing batch is retried.
	batchTimeout = 2 * time.Second
	segmentPage  = 400
)

// ErrUnsettled means that the KV did not confirm in time whether the claim was made.
var ErrUnsettled = errors.New("the key-value service did not settle the claim in time")

// ErrNoMemory means that the claim was not made, as others take the memory that there is for them.
var ErrNoMemory = errors.New("claims of other keys take the memory that there is for them")

// claimCost and claimantCost are what a claim and a claimant in memory cost, in bytes.
const (
	claimCost    = 80
	claimantCost = 400
)

// Hash is the hash that identifies a customer's key in claims.
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

// ShardOf is the number of the hash's shard, from 0 to shards-1.
func ShardOf(hash core.KeyHash, shards int) int {
	return int(binary.BigEndian.Uint64(hash[:8]) % uint64(shards))
}

// Writer writes claims to the KV in batches. Set the exported fields before use.
type Writer struct {
	KV     core.KV
	Clock  core.Clock
	Rand   core.Rand
	Shards int
	// Window is how long claims are kept.
	Window time.Duration
	// Memory is the process's account of bytes; claims in memory are ledger.Kept. nil bounds nothing.
	Memory *ledger.Ledger
	// WriteInterval is the shortest mean time between writes to a shard, whether to its head or to a
	// segment. It bounds the KV's load to Shards/WriteInterval writes, however many claims there are.
	WriteInterval time.Duration

	mu       sync.Mutex // guards all below
	shards   map[int]*shard
	lease    core.LeaseID
	leasedAt time.Time
}

// Claim claims a key and waits for the reply. It fails with ErrUnsettled or ErrNoMemory, or when ctx ends.
func (wr *Writer) Claim(ctx context.Context, cl *core.Claim) (*core.ClaimReply, error) {
	return wr.shard(ShardOf(cl.Hash, wr.Shards)).claim(ctx, cl)
}

func (wr *Writer) shard(number int) *shard {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	if wr.shards == nil {
		wr.shards = map[int]*shard{}
	}
	sh := wr.shards[number]
	if sh == nil {
		sh = &shard{
			writer: wr, shardNo: number, rotatedAt: wr.Clock.Now(),
			recent: map[core.KeyHash]heldClaim{}, claimantIndex: map[core.Claimant]uint32{},
		}
		wr.shards[number] = sh
	}
	return sh
}

// Size is the number of claims in memory.
func (wr *Writer) Size() int {
	wr.mu.Lock()
	defer wr.mu.Unlock()
	sum := 0
	for _, sh := range wr.shards {
		sum += sh.size()
	}
	return sum
}

// segmentLease returns a lease that outlives Window. It is shared by the segments written within
// segmentLeaseInterval and not renewed, so that segments expire without a call for each.
func (wr *Writer) segmentLease(ctx context.Context) (core.LeaseID, error) {
	wr.mu.Lock()
	lease, leasedAt := wr.lease, wr.leasedAt
	wr.mu.Unlock()
	now := wr.Clock.Now()
	if lease != 0 && now.Sub(leasedAt) < segmentLeaseInterval {
		return lease, nil
	}
	lease, err := wr.KV.Grant(ctx, wr.Window+2*segmentLeaseInterval)
	if err != nil {
		return 0, fmt.Errorf("grant segment lease: %w", err)
	}
	wr.mu.Lock()
	defer wr.mu.Unlock()
	wr.lease, wr.leasedAt = lease, now
	return lease, nil
}

// heldClaim is who claimed a key and when. It is compact, as memory holds one for every claim of the
// window.
type heldClaim struct {
	by uint32 // index into claimants
	at uint32 // Unix seconds
}

// unixSeconds overflows in 2106.
func unixSeconds(at time.Time) uint32 { return uint32(at.Unix()) }

// pendingClaim is a claim that waits for its result.
type pendingClaim struct {
	claim *core.Claim
	done  chan result
}

type result struct {
	reply *core.ClaimReply
	err   error
}

// shard is a writer's copy of one shard and the queue of claims for it.
type shard struct {
	writer  *Writer
	shardNo int

	mu sync.Mutex // guards all up to busy
	// recent holds the claims added since rotatedAt, previous those of the window before. Expired
	// claims are dropped with their whole map, which needs no work per claim.
	recent        map[core.KeyHash]heldClaim
	previous      map[core.KeyHash]heldClaim
	rotatedAt     time.Time
	claimants     []core.Claimant
	claimantIndex map[core.Claimant]uint32
	queue         []*pendingClaim
	busy          bool

	// The rest is owned by the worker goroutine, of which one runs while busy is set.
	head    head
	version core.Version
	synced  bool
	// nextWriteAt is the time from which the next write may start.
	nextWriteAt time.Time
}

func (sh *shard) size() int {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return len(sh.recent) + len(sh.previous)
}

func (sh *shard) claim(ctx context.Context, cl *core.Claim) (*core.ClaimReply, error) {
	sh.mu.Lock()
	if rp := sh.knownReply(cl); rp != nil {
		sh.mu.Unlock()
		return rp, nil
	}
	sh.rotate() // the worker does not while no claim is queued
	if !sh.writer.Memory.HasRoom(ledger.Kept, claimCost+claimantCost) {
		sh.mu.Unlock()
		return nil, ErrNoMemory
	}
	pc := &pendingClaim{claim: cl, done: make(chan result, 1)}
	sh.queue = append(sh.queue, pc)
	if !sh.busy {
		sh.busy = true
		go sh.run()
	}
	sh.mu.Unlock()
	select {
	case rs := <-pc.done:
		return rs.reply, rs.err
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for claim: %w", ctx.Err())
	}
}

// knownReply replies from the claims in memory; nil if the key is not among them. The caller holds
// mu.
func (sh *shard) knownReply(cl *core.Claim) *core.ClaimReply {
	he, known := sh.find(cl.Hash)
	if !known {
		return nil
	}
	by := sh.claimants[he.by]
	return &core.ClaimReply{Granted: by == cl.By, Holder: by}
}

// find looks up a claim that is not older than the window. The caller holds mu.
func (sh *shard) find(hash core.KeyHash) (heldClaim, bool) {
	he, known := sh.recent[hash]
	if !known {
		he, known = sh.previous[hash]
	}
	limit := unixSeconds(sh.writer.Clock.Now().Add(-sh.writer.Window))
	return he, known && he.at >= limit
}

// indexOf is the claimant's index in claimants; a new one is added. The caller holds mu.
func (sh *shard) indexOf(by core.Claimant) uint32 {
	ix, known := sh.claimantIndex[by]
	if !known {
		ix = uint32(len(sh.claimants))
		sh.claimants = append(sh.claimants, by)
		sh.claimantIndex[by] = ix
		sh.writer.Memory.Add(ledger.Kept, claimantCost)
	}
	return ix
}

// run processes batches until the queue is empty.
func (sh *shard) run() {
	for !sh.stopIfIdle() {
		sh.waitForWrite()
		sh.processBatch(sh.nextBatch())
	}
}

// stopIfIdle reports whether the queue is empty, and if so clears busy: the worker then ends.
func (sh *shard) stopIfIdle() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.busy = len(sh.queue) > 0
	return !sh.busy
}

// waitForWrite waits until the next write may start. Claims that arrive meanwhile join the next
// batch; the first claim after an idle time does not wait.
func (sh *shard) waitForWrite() {
	if wait := sh.nextWriteAt.Sub(sh.writer.Clock.Now()); wait > 0 {
		_ = sh.writer.Clock.Sleep(context.Background(), wait)
	}
}

// chargeWrite postpones the next write by WriteInterval.
func (sh *shard) chargeWrite() {
	now := sh.writer.Clock.Now()
	if sh.nextWriteAt.Before(now) {
		sh.nextWriteAt = now
	}
	sh.nextWriteAt = sh.nextWriteAt.Add(sh.writer.WriteInterval)
}

func (sh *shard) nextBatch() []*pendingClaim {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.rotate()
	count := min(maxBatchClaims, len(sh.queue))
	batch := sh.queue[:count:count]
	// The rest is copied, so that completed claims do not stay in memory with the queue's array.
	sh.queue = slices.Clone(sh.queue[count:])
	return batch
}

// rotate starts a new map of claims once the recent one spans Window, and drops the previous one.
// The caller holds mu.
func (sh *shard) rotate() {
	now := sh.writer.Clock.Now()
	age := now.Sub(sh.rotatedAt)
	if age <= sh.writer.Window {
		return
	}
	sh.rotatedAt = now
	sh.writer.Memory.Release(ledger.Kept, claimCost*int64(len(sh.previous)))
	sh.previous = sh.recent
	// A batch rotates before it adds claims, so that the last one is older than Window.
	if age > 3*sh.writer.Window {
		sh.writer.Memory.Release(ledger.Kept, claimCost*int64(len(sh.previous)))
		sh.previous = nil
	}
	sh.recent = map[core.KeyHash]heldClaim{}
	sh.forgetClaimants()
}

// forgetClaimants drops the claimants whose claims were all dropped. The caller holds mu.
func (sh *shard) forgetClaimants() {
	all := sh.claimants
	sh.writer.Memory.Release(ledger.Kept, claimantCost*int64(len(all)))
	sh.claimants, sh.claimantIndex = nil, map[core.Claimant]uint32{}
	for hash, he := range sh.previous {
		he.by = sh.indexOf(all[he.by])
		sh.previous[hash] = he
	}
}

// processBatch completes each claim of a batch. It reads the shard if needed, replies to the claims
// whose keys are known and writes the rest. After an error it starts again from reading, until
// batchTimeout has passed.
func (sh *shard) processBatch(batch []*pendingClaim) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	until := sh.writer.Clock.Now().Add(batchTimeout)
	for try := 1; ; try++ {
		err := sh.sync(ctx)
		if err == nil {
			batch = sh.replyKnown(batch)
			if len(batch) == 0 {
				return
			}
			if err = sh.write(ctx, batch); err == nil {
				sh.replyKnown(batch)
				return
			}
		}
		if !sh.writer.Clock.Now().Before(until) {
			sh.failBatch(batch, err)
			return
		}
		if !errors.Is(err, core.ErrConflict) {
			_ = sh.writer.Clock.Sleep(ctx, retry.Backoff(try, sh.writer.Rand))
		}
	}
}

func (sh *shard) failBatch(batch []*pendingClaim, err error) {
	for _, pc := range batch {
		pc.done <- result{err: fmt.Errorf("%w: %w", ErrUnsettled, err)}
	}
}

// replyKnown replies to the claims whose keys are known and returns the others.
func (sh *shard) replyKnown(batch []*pendingClaim) []*pendingClaim {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	var rest []*pendingClaim
	for _, pc := range batch {
		if rp := sh.knownReply(pc.claim); rp != nil {
			pc.done <- result{reply: rp}
			continue
		}
		rest = append(rest, pc)
	}
	return rest
}
