package claim

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"almondrill/core"
	"almondrill/core/ledger"
)

// head is the value of a shard's head entry: the claims since the last segment.
type head struct {
	_ struct{} `cbor:",toarray"`
	// Segments counts the segments written so far; the next one gets that number.
	Segments uint64
	Batches  []batch
}

// batch holds the claims that one write added.
type batch struct {
	_ struct{} `cbor:",toarray"`
	// At is the writer's time, in Unix milliseconds.
	At        int64
	Claimants []claimant
	Claims    []claimEntry
}

type claimant struct {
	_           struct{} `cbor:",toarray"`
	VM          string
	Incarnation uint64
}

type claimEntry struct {
	_        struct{} `cbor:",toarray"`
	Hash     []byte
	Claimant int
}

func headKey(shard int) string { return fmt.Sprintf("claims/%04d/head", shard) }

func segmentKey(shard int, number uint64) string {
	return fmt.Sprintf("claims/%04d/seg/%020d", shard, number)
}

// sync reads the shard unless the copy in memory is current. The head is read before the segments,
// so that claims that move from the head to a segment in between are seen twice rather than not at
// all.
func (sh *shard) sync(ctx context.Context) error {
	if sh.synced {
		return nil
	}
	var he head
	en, err := sh.writer.KV.Get(ctx, headKey(sh.shardNo))
	if err != nil && !errors.Is(err, core.ErrNotFound) {
		return fmt.Errorf("read head: %w", err)
	}
	if err == nil {
		if err = cbor.Unmarshal(en.Value, &he); err != nil {
			return fmt.Errorf("decode head: %w", err)
		}
	}
	if err = sh.readSegments(ctx, sh.head.Segments, he.Segments); err != nil {
		return err
	}
	for _, ba := range he.Batches {
		sh.addBatch(ba)
	}
	sh.head, sh.version, sh.synced = he, en.Version, true
	return nil
}

// readSegments reads the segments whose numbers are at least from and less than to. Expired
// segments are absent; their claims are older than Window and no longer needed.
func (sh *shard) readSegments(ctx context.Context, from, to uint64) error {
	for from < to {
		page, err := sh.writer.KV.List(ctx, segmentKey(sh.shardNo, from), segmentKey(sh.shardNo, to), segmentPage)
		if err != nil {
			return fmt.Errorf("read segments: %w", err)
		}
		for _, en := range page {
			if err = sh.addSegment(en); err != nil {
				return err
			}
		}
		if len(page) < segmentPage {
			return nil
		}
		if _, err = fmt.Sscanf(page[len(page)-1].Key[len(segmentKey(sh.shardNo, 0))-20:], "%d", &from); err != nil {
			return fmt.Errorf("segment key: %w", err)
		}
		from++
	}
	return nil
}

func (sh *shard) addSegment(en core.Entry) error {
	var batches []batch
	if err := cbor.Unmarshal(en.Value, &batches); err != nil {
		return fmt.Errorf("decode segment %s: %w", en.Key, err)
	}
	for _, ba := range batches {
		sh.addBatch(ba)
	}
	return nil
}

// addBatch adds a batch's claims to memory. The first claim of a key stands: a later batch can only
// repeat it, as a writer claims only keys that it has not found.
func (sh *shard) addBatch(ba batch) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	at := unixSeconds(time.UnixMilli(ba.At))
	if at < unixSeconds(sh.writer.Clock.Now().Add(-sh.writer.Window)) {
		return
	}
	for _, cl := range ba.Claims {
		var hash core.KeyHash
		copy(hash[:], cl.Hash)
		if _, known := sh.find(hash); known {
			continue
		}
		by := ba.Claimants[cl.Claimant]
		claimant := core.Claimant{VM: core.VMID(by.VM), Incarnation: core.Incarnation(by.Incarnation)}
		sh.recent[hash] = heldClaim{by: sh.indexOf(claimant), at: at}
		sh.writer.Memory.Add(ledger.Kept, claimCost)
	}
}

// write adds the pending claims to the head by compare-and-swap. After any error of the swap the
// shard is read again before anything else is written: the head then shows this batch if the swap
// took effect after all, or the claims of another writer that was first.
func (sh *shard) write(ctx context.Context, pending []*pendingClaim) error {
	next, err := sh.rollHead(ctx)
	if err != nil {
		return err
	}
	added := newBatch(pending, sh.writer.Clock.Now())
	next.Batches = append(next.Batches, added)
	value, err := cbor.Marshal(next)
	if err != nil {
		return fmt.Errorf("encode head: %w", err)
	}
	sh.chargeWrite()
	version, err := sh.writer.KV.Put(ctx, headKey(sh.shardNo), value, sh.version, 0)
	if err != nil {
		sh.synced = false
		return fmt.Errorf("swap head: %w", err)
	}
	sh.head, sh.version = next, version
	sh.addBatch(added)
	return nil
}

// rollHead returns the head to add to. A full head is first written to a segment, whose entry is
// created only if absent. If another writer has already written the segment of that number, it did
// so from the same version of the head or from a later one: in the first case the content is the
// same, in the second this writer's swap of the head will fail.
func (sh *shard) rollHead(ctx context.Context) (head, error) {
	kept := head{Segments: sh.head.Segments, Batches: append([]batch(nil), sh.head.Batches...)}
	size := 0
	for _, ba := range kept.Batches {
		size += len(ba.Claims)*claimBytes + len(ba.Claimants)*claimantBytes
	}
	if size < rollHeadBytes {
		return kept, nil
	}
	value, err := cbor.Marshal(kept.Batches)
	if err != nil {
		return head{}, fmt.Errorf("encode segment: %w", err)
	}
	lease, err := sh.writer.segmentLease(ctx)
	if err != nil {
		return head{}, err
	}
	sh.chargeWrite()
	_, err = sh.writer.KV.Put(ctx, segmentKey(sh.shardNo, kept.Segments), value, 0, lease)
	if err != nil && !errors.Is(err, core.ErrConflict) {
		return head{}, fmt.Errorf("write segment: %w", err)
	}
	return head{Segments: kept.Segments + 1}, nil
}

// Approximate sizes of an encoded claim and an encoded claimant, in bytes.
const (
	claimBytes    = 20
	claimantBytes = 28
)

func newBatch(pending []*pendingClaim, now time.Time) batch {
	ba := batch{At: now.UnixMilli()}
	index := map[core.Claimant]int{}
	seen := map[core.KeyHash]bool{}
	for _, pc := range pending {
		if seen[pc.claim.Hash] {
			// Two claimants want the key at once: the first in the batch gets it.
			continue
		}
		seen[pc.claim.Hash] = true
		at, known := index[pc.claim.By]
		if !known {
			at = len(ba.Claimants)
			index[pc.claim.By] = at
			ba.Claimants = append(ba.Claimants, claimant{
				VM: string(pc.claim.By.VM), Incarnation: uint64(pc.claim.By.Incarnation),
			})
		}
		ba.Claims = append(ba.Claims, claimEntry{Hash: pc.claim.Hash[:], Claimant: at})
	}
	return ba
}
