package ledger_test

import (
	"math/rand/v2"
	"sync"
	"testing"

	"almondrill/core/ledger"
)

// Guards against bounds that depend on the number of connections: 4,000 clients that reserve all they can, in any
// order, hold no more than the shares of their classes, at each size of a VM.
func TestSharesHoldWithManyConnections(t *testing.T) {
	for _, mb := range []int64{64, 184, 284, 536} {
		for _, conns := range []int{1, 4000} {
			le := &ledger.Ledger{Shares: ledger.Bytes}
			most := ledger.ClientBytes(mb << 20)
			le.SetLimit(most)
			ra := rand.New(rand.NewPCG(uint64(mb), uint64(conns)))
			var held [3]int64
			for range conns {
				for cl, size := range []int64{32 << 10, ra.Int64N(1 << 20), ra.Int64N(4 << 20)} {
					if le.Reserve(ledger.Class(cl), size) {
						held[cl] += size
					}
				}
			}
			if total := le.Total(); total > most || total != held[0]+held[1]+held[2] {
				t.Errorf("%d MB, %d connections: %d bytes held of %d", mb, conns, total, most)
			}
			if most > mb<<20*6/10 {
				t.Errorf("%d MB: clients may take %d bytes", mb, most)
			}
			for cl, size := range held {
				le.Release(ledger.Class(cl), size)
			}
			if le.Total() != 0 {
				t.Errorf("%d bytes are held after all was released", le.Total())
			}
		}
	}
}

// Guards against a class that takes the share of another, and against reservations that are counted although they fail.
func TestClassesDoNotTakeEachOthersShares(t *testing.T) {
	le := &ledger.Ledger{Shares: ledger.Descriptors}
	le.SetLimit(90)
	for range 1000 {
		le.Reserve(ledger.Callers, 1)
	}
	if held := le.Held(ledger.Callers); held != 60 {
		t.Errorf("callers hold %d of 90, want 60", held)
	}
	if !le.Reserve(ledger.Endpoints, 30) || le.Reserve(ledger.Endpoints, 1) {
		t.Error("endpoints do not have the rest")
	}
}

// Guards against races: reservations from many goroutines never exceed the limit.
func TestConcurrentReservations(t *testing.T) {
	le := &ledger.Ledger{Shares: ledger.Bytes}
	le.SetLimit(1000)
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 2000 {
				if le.Reserve(ledger.Conns, 100) {
					le.Release(ledger.Conns, 100)
				}
			}
		})
	}
	all.Wait()
	if le.Total() != 0 {
		t.Errorf("%d are held after all was released", le.Total())
	}
}

// Guards against processes that keep nothing for their own work, however few descriptors they have.
func TestOwnDescriptorsComeFirst(t *testing.T) {
	for _, all := range []int64{60, 128, 1024, 3900, 65536} {
		own, clients := ledger.OwnDescriptors(all), ledger.ClientDescriptors(all)
		if own < 48 || own > 256 || own+clients > max(all, own+1) {
			t.Errorf("of %d: %d for the process, %d for clients", all, own, clients)
		}
	}
}
