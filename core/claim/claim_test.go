package claim_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"almondrill/core"
	"almondrill/core/claim"
	"almondrill/io/clock"
	"almondrill/io/fakes/kvsrv"
)

func newClaim(key string, vm core.VMID, in core.Incarnation) *core.Claim {
	return &core.Claim{Hash: claim.Hash("c", core.IdemKey(key)), By: core.Claimant{VM: vm, Incarnation: in}}
}

// The write of a claim takes effect but its response is lost. The writer must read the shard back,
// find the claim there and grant it, without a second write.
func TestLostReplyIsResolvedByReadingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ra := clock.NewRand(1)
		store := &kvsrv.Store{Clock: clock.Wall{}, Rand: ra}
		wr := newWriter(store, ra, 1)
		store.SetFaults(kvsrv.Faults{ReplyLoss: 1})
		rp, err := wr.Claim(context.Background(), newClaim("draft", "a", 1))
		if err != nil || !rp.Granted {
			t.Fatalf("%+v %v", rp, err)
		}
		if writes := store.Calls().Writes; writes != 1 {
			t.Errorf("%d writes, want 1", writes)
		}
	})
}

// The KV is down when a key is claimed. The claim must fail after little more than two seconds, so
// that the caller learns that the call was not run long before its deadline.
func TestOutageIsReportedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ra := clock.NewRand(1)
		store := &kvsrv.Store{Clock: clock.Wall{}, Rand: ra}
		store.SetFaults(kvsrv.Faults{Down: true})
		start := time.Now()
		_, err := newWriter(store, ra, 1).Claim(context.Background(), newClaim("draft", "a", 1))
		if !errors.Is(err, claim.ErrUnsettled) {
			t.Fatal(err)
		}
		if took := time.Since(start); took > 4*time.Second {
			t.Errorf("the claim failed only after %s", took)
		}
	})
}

// A claim was written as an outage began, and its response never arrived. When its claimant claims
// the key again, it must be granted the claim that it already has; another agent, or a restarted
// one, must get the holder's name instead.
func TestSameClaimantIsGrantedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ra := clock.NewRand(1)
		store := &kvsrv.Store{Clock: clock.Wall{}, Rand: ra}
		first, second := newWriter(store, ra, 1), newWriter(store, ra, 1)
		ctx := context.Background()
		for _, wr := range []*claim.Writer{first, second, first} {
			if rp, err := wr.Claim(ctx, newClaim("flag", "a", 1)); err != nil || !rp.Granted {
				t.Fatalf("%+v %v", rp, err)
			}
		}
		for _, other := range []*core.Claim{newClaim("flag", "b", 1), newClaim("flag", "a", 2)} {
			rp, err := second.Claim(ctx, other)
			if err != nil || rp.Granted || rp.Holder != (core.Claimant{VM: "a", Incarnation: 1}) {
				t.Errorf("%+v got %+v %v", other.By, rp, err)
			}
		}
	})
}

// An owner's VM is replaced under load. The new writer must read the head and the segments and know
// every key that the old one granted. Once the window has passed, the segments must have expired
// from the KV and the claims from memory.
func TestNewWriterKnowsOldClaims(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ra := clock.NewRand(1)
		store := &kvsrv.Store{Clock: clock.Wall{}, Rand: ra}
		ctx := context.Background()
		old := newWriter(store, ra, 1)
		const count = 3000
		var all sync.WaitGroup
		for n := range count {
			all.Go(func() {
				time.Sleep(time.Duration(n) * time.Millisecond)
				if rp, err := old.Claim(ctx, newClaim(fmt.Sprint(n), "a", 1)); err != nil || !rp.Granted {
					t.Errorf("claim %d: %+v %v", n, rp, err)
				}
			})
		}
		all.Wait()
		fresh := newWriter(store, ra, 1)
		for n := range count {
			if rp, err := fresh.Claim(ctx, newClaim(fmt.Sprint(n), "b", 1)); err != nil || rp.Granted {
				t.Fatalf("claim %d granted twice: %+v %v", n, rp, err)
			}
		}
		before := store.Bytes()
		time.Sleep(window + 5*time.Minute)
		if rp, err := fresh.Claim(ctx, newClaim("0", "b", 1)); err != nil || !rp.Granted {
			t.Errorf("after the window: %+v %v", rp, err)
		}
		if after := store.Bytes(); after > before/4 || fresh.Size() > count+1 {
			t.Errorf("%d bytes before the window's end, %d after, %d claims in memory", before, after, fresh.Size())
		}
	})
}
