package claim_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"almondrill/core"
	"almondrill/core/claim"
	"almondrill/core/ledger"
	"almondrill/io/clock"
	"almondrill/io/fakes/kvsrv"
)

// manyKeys is how many keys a caller makes up, boundedBytes the memory for them.
const (
	manyKeys     = 4000
	boundedBytes = 1 << 20
)

func newBoundedLedger() *ledger.Ledger {
	le := &ledger.Ledger{Shares: ledger.Shares{ledger.Kept: 1}}
	le.SetLimit(boundedBytes)
	return le
}

// discard is a sink that drops what it gets.
type discard struct{}

func (discard) Send(*core.Part) error { return nil }

// Guards against an agent that keeps each idempotency key for the whole window, however many there are. Beyond its memory it
// refuses calls as not run, and it accepts keys again after the window.
func TestKeysAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		le := newBoundedLedger()
		ke := &claim.Keys{Clock: clock.Wall{}, Window: window, MaxBytes: 8 << 20, Memory: le}
		accepted := 0
		begin := func(key string) error {
			ex, err := ke.Begin(context.Background(), &core.Call{Customer: "c", Key: core.IdemKey(key)}, discard{})
			if ex != nil { // otherwise the outcome was replayed
				accepted++
				_ = ex.Sink().Send(&core.Part{Data: make([]byte, 1000), End: true})
				ex.End(nil)
			}
			return err
		}
		var last error
		for ix := range manyKeys {
			if err := begin(fmt.Sprint("key-", ix)); err != nil {
				last = err
			}
		}
		if kept, _ := ke.Size(); kept != accepted || accepted == 0 || accepted == manyKeys || le.Total() > boundedBytes {
			t.Errorf("%d keys are kept and %d of %d accepted; they hold %d bytes of %d", kept, accepted, manyKeys, le.Total(), boundedBytes)
		}
		if re := core.AsRefusal(last, "", ""); re.Outcome != core.NotRun || re.Reason != core.ReasonMemory || re.RetryAfter == 0 {
			t.Errorf("a key without memory: %v", last)
		}
		before := accepted
		if re := core.AsRefusal(begin("key-0"), "", ""); accepted != before || re.Outcome != core.Unknown || re.Reason != core.ReasonAnswerGone {
			t.Errorf("a key that was accepted, and whose response was dropped for other keys: %v", re)
		}
		time.Sleep(window + time.Second)
		if err := begin("new"); err != nil {
			t.Errorf("after the window: %v", err)
		}
		if kept, _ := ke.Size(); kept != 1 || le.Total() > 2000 {
			t.Errorf("%d keys are kept after the window, which hold %d bytes", kept, le.Total())
		}
	})
}

// Guards against stored responses that leave no memory for keys: the oldest are dropped for them.
func TestKeysComeBeforeResponses(t *testing.T) {
	const keys, size = 200, 100_000
	synctest.Test(t, func(t *testing.T) {
		le := newBoundedLedger()
		ke := &claim.Keys{Clock: clock.Wall{}, Window: window, MaxBytes: 8 << 20, Memory: le}
		for ix := range keys {
			ex, err := ke.Begin(context.Background(), &core.Call{Customer: "c", Key: core.IdemKey(fmt.Sprint("key-", ix))}, discard{})
			if err != nil {
				t.Fatalf("key %d: %v", ix, err)
			}
			_ = ex.Sink().Send(&core.Part{Data: make([]byte, size), End: true})
			ex.End(nil)
		}
		if le.Total() > boundedBytes {
			t.Errorf("keys and responses hold %d bytes of %d", le.Total(), boundedBytes)
		}
		_, err := ke.Begin(context.Background(), &core.Call{Customer: "c", Key: "key-0"}, discard{})
		if re := core.AsRefusal(err, "", ""); re.Outcome != core.Unknown || re.Reason != core.ReasonAnswerGone {
			t.Errorf("a key whose response was dropped: %v", err)
		}
	})
}

// Guards against an owner that keeps claims and claimants without bound.
func TestClaimsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		le, ra := newBoundedLedger(), clock.NewRand(1)
		wr := newWriter(&kvsrv.Store{Clock: clock.Wall{}, Rand: ra}, ra, 2)
		wr.Memory = le
		granted, refused := 0, 0
		for ix := range manyKeys {
			rp, err := wr.Claim(context.Background(), newClaim(fmt.Sprint("key-", ix), core.VMID(fmt.Sprint("vm-", ix)), 1))
			switch {
			case errors.Is(err, claim.ErrNoMemory):
				refused++
			case err != nil || !rp.Granted:
				t.Fatalf("%+v %v", rp, err)
			default:
				granted++
			}
		}
		if granted == 0 || refused == 0 || le.Total() > boundedBytes {
			t.Errorf("%d claims were granted and %d refused, which hold %d bytes of %d", granted, refused, le.Total(), boundedBytes)
		}
		if rp, err := wr.Claim(context.Background(), newClaim("key-0", "vm-0", 1)); err != nil || !rp.Granted {
			t.Errorf("a claim that was granted is not granted again: %+v %v", rp, err)
		}
		time.Sleep(3 * window)
		for range 2 { // claims are dropped with the maps of two windows
			for ix := range 10 {
				if _, err := wr.Claim(context.Background(), newClaim(fmt.Sprint("late-", time.Now().Unix(), ix), "vm", 1)); err != nil {
					t.Errorf("after the window: %v", err)
				}
			}
			time.Sleep(2 * window)
		}
		if le.Total() > boundedBytes/10 {
			t.Errorf("claims of earlier windows still hold %d bytes", le.Total())
		}
	})
}
