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
	// maxHeadBytes is the size from which a head is moved to a segment. A larger one
	// costs bytes with every write, a smaller one more writes.
	maxHeadBytes = 2 << 10
	// maxBatchClaims bounds the claims of one write.
	maxBatchClaims = 1000
	// segmentLeaseInterval is how long one lease serves new segments.
	segmentLeaseInterval = time.Minute
	// batchTimeout bounds the attempts at one batch while the KV fails.
	batchTimeout = 2 * time.Second
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

// Writer writes claims. Set the exported fields before use.
type Writer struct {
	KV     core.KV
	Clock  core.Clock
	Rand   core.Rand
	Shards int
	// Window is how long claims are kept.
	Window time.Duration
	// WriteInterval is the time that each write to a shard's entries takes up, head or
	// segment; it bounds the KV's writes by Shards/Pace however many claims there
	// are.
	WriteInterval time.Duration

	mu       sync.Mutex // guards all below
	shards   map[int]*shard
	lease    core.LeaseID
	leasedAt time.Time
}

// Claim asks for a key and waits for the verdict, ErrUnsettled or ctx's end.
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

// segmentLease is a lease that outlives Window, shared by a minute's segments.
// It is not renewed: segments lapse by themselves, without a call each.
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

// heldClaim is who claimed a key and when, in few bytes: there is one for every claim
// of the window.
type heldClaim struct {
	by uint32 // index into claimants
	at uint32 // Unix seconds
}

// unixSeconds is good until 2106.
func unixSeconds(at time.Time) uint32 { return uint32(at.Unix()) }

// pendingClaim is one waiting claim.
type pendingClaim struct {
	claim *core.Claim
	done  chan result
}

type result struct {
	reply *core.ClaimReply
	err   error
}

// shard is a keeper's view of one shard.
type shard struct {
	writer  *Writer
	shardNo int

	mu sync.Mutex // guards all up to busy
	// recent holds the claims learnt since turned, old those of the window before:
	// dropping a map whole costs nothing for the claims in it.
	recent        map[core.KeyHash]heldClaim
	previous      map[core.KeyHash]heldClaim
	rotatedAt     time.Time
	claimants     []core.Claimant
	claimantIndex map[core.Claimant]uint32
	queue         []*pendingClaim
	busy          bool

	// The rest belongs to the one worker that runs while busy.
	head    head
	version core.Version
	synced  bool
	// nextWriteAt is when the writes so far have used up their time.
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

// knownReply answers from what is known, nil if the key is not. Called locked.
func (sh *shard) knownReply(cl *core.Claim) *core.ClaimReply {
	he, known := sh.find(cl.Hash)
	if !known {
		return nil
	}
	by := sh.claimants[he.by]
	return &core.ClaimReply{Granted: by == cl.By, Holder: by}
}

// find looks a claim up that is not older than the window. Called locked.
func (sh *shard) find(hash core.KeyHash) (heldClaim, bool) {
	he, known := sh.recent[hash]
	if !known {
		he, known = sh.previous[hash]
	}
	limit := unixSeconds(sh.writer.Clock.Now().Add(-sh.writer.Window))
	return he, known && he.at >= limit
}

// indexOf is the claimant's index. Called locked.
func (sh *shard) indexOf(by core.Claimant) uint32 {
	ix, known := sh.claimantIndex[by]
	if !known {
		ix = uint32(len(sh.claimants))
		sh.claimants = append(sh.claimants, by)
		sh.claimantIndex[by] = ix
	}
	return ix
}

// run writes batches until nothing waits.
func (sh *shard) run() {
	for !sh.stopIfIdle() {
		sh.waitForWrite()
		sh.processBatch(sh.nextBatch())
	}
}

// stopIfIdle ends the worker if nothing waits.
func (sh *shard) stopIfIdle() bool {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.busy = len(sh.queue) > 0
	return !sh.busy
}

// waitForWrite waits until the writes so far have used up their time. What arrives
// meanwhile joins the next batch; the first claim after a quiet time does not
// wait.
func (sh *shard) waitForWrite() {
	if wait := sh.nextWriteAt.Sub(sh.writer.Clock.Now()); wait > 0 {
		_ = sh.writer.Clock.Sleep(context.Background(), wait)
	}
}

// chargeWrite takes a write's time.
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
	// A copy, so that answered asks do not stay in memory behind the others.
	sh.queue = slices.Clone(sh.queue[count:])
	return batch
}

// rotate drops the claims of the window before last. Called locked.
func (sh *shard) rotate() {
	now := sh.writer.Clock.Now()
	if now.Sub(sh.rotatedAt) <= sh.writer.Window {
		return
	}
	sh.rotatedAt = now
	sh.previous = sh.recent
	sh.recent = map[core.KeyHash]heldClaim{}
}

// processBatch brings each ask of a batch to its answer: read if needed, answer what is
// known, swap the rest in; on any doubt, start over from reading. Time bounds it.
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

// replyKnown answers the asks whose keys are known and returns the others.
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
