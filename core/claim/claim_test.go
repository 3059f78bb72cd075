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

func ask(key string, vm core.VMID, in core.Incarnation) *core.Claim {
	return &core.Claim{Hash: claim.Hash("c", core.IdemKey(key)), By: core.Claimant{VM: vm, Incarnation: in}}
}

// An editor's draft is claimed; the write takes effect but its answer is lost.
// The keeper reads back, finds the claim there and grants it, once.
func TestLostReplyIsResolvedByReadingBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ra := clock.NewRand(1)
		store := &kvsrv.Store{Clock: clock.Wall{}, Rand: ra}
		wr := newWriter(store, ra, 1)
		store.SetFaults(kvsrv.Faults{ReplyLoss: 1})
		rp, err := wr.Claim(context.Background(), ask("draft", "a", 1))
		if err != nil || !rp.Granted {
			t.Fatalf("%+v %v", rp, err)
		}
		if writes := store.Calls().Writes; writes != 1 {
			t.Errorf("%d writes, want 1", writes)
		}
	})
}

// The KV is down when a draft comes. The claim is refused within two seconds and
// a little, so that the caller hears "not run" long before its deadline.
func TestOutageIsReportedInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ra := clock.NewRand(1)
		store := &kvsrv.Store{Clock: clock.Wall{}, Rand: ra}
		store.SetFaults(kvsrv.Faults{Down: true})
		start := time.Now()
		_, err := newWriter(store, ra, 1).Claim(context.Background(), ask("draft", "a", 1))
		if !errors.Is(err, claim.ErrUnsettled) {
			t.Fatal(err)
		}
		if took := time.Since(start); took > 4*time.Second {
			t.Errorf("told after %s", took)
		}
	})
}

// A claim was written during an outage's start and its answer never came. Its
// claimant asks again later: it is granted the claim it already has, while
// another agent is told who holds it.
func TestSameClaimantIsGrantedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ra := clock.NewRand(1)
		store := &kvsrv.Store{Clock: clock.Wall{}, Rand: ra}
		first, second := newWriter(store, ra, 1), newWriter(store, ra, 1)
		ctx := context.Background()
		for _, wr := range []*claim.Writer{first, second, first} {
			if rp, err := wr.Claim(ctx, ask("flag", "a", 1)); err != nil || !rp.Granted {
				t.Fatalf("%+v %v", rp, err)
			}
		}
		for _, other := range []*core.Claim{ask("flag", "b", 1), ask("flag", "a", 2)} {
			rp, err := second.Claim(ctx, other)
			if err != nil || rp.Granted || rp.Holder != (core.Claimant{VM: "a", Incarnation: 1}) {
				t.Errorf("%+v got %+v %v", other.By, rp, err)
			}
		}
	})
}

// A keeper's VM is replaced under load. The new one reads head and segments, of
// which there are several pages, and knows every key the old one granted; once
// the window has passed, segments are gone from the KV by themselves.
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
				if rp, err := old.Claim(ctx, ask(fmt.Sprint(n), "a", 1)); err != nil || !rp.Granted {
					t.Errorf("claim %d: %+v %v", n, rp, err)
				}
			})
		}
		all.Wait()
		fresh := newWriter(store, ra, 1)
		for n := range count {
			if rp, err := fresh.Claim(ctx, ask(fmt.Sprint(n), "b", 1)); err != nil || rp.Granted {
				t.Fatalf("claim %d granted twice: %+v %v", n, rp, err)
			}
		}
		before := store.Bytes()
		time.Sleep(window + 5*time.Minute)
		if rp, err := fresh.Claim(ctx, ask("0", "b", 1)); err != nil || !rp.Granted {
			t.Errorf("after the window: %+v %v", rp, err)
		}
		if after := store.Bytes(); after > before/4 || fresh.Size() > count+1 {
			t.Errorf("%d bytes before the window's end, %d after, %d claims in memory", before, after, fresh.Size())
		}
	})
}
