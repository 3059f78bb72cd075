// Package order has engines load what the declarations say: who may give orders,
// which ones, and when an agent takes them.
//
// # Concepts
//
// Any router may give orders while it holds the one lease in the KV (Lease). The
// version of the entry it created under the lease is its fencing number. The
// number also stands in an entry that outlives every lease, so that an agent that
// has just started can tell a past holder from the present one.
//
// The holder compares the declarations with what agents tell of their engines
// (Controller), plans the next orders (Next) and gives them. It keeps nothing: a
// new holder sees the same engines and goes on.
//
// The agent (Gate) reads the current number from the KV before it hands an order
// to an engine, and runs one order at a time for each engine.
//
// # Invariants
//
//   - An engine is given orders in the order of their fencing numbers, though
//     its agent restarts and though the engine does not check them itself.
//   - No order is given past the lease's end by the holder's own clock.
//   - A pool's serving engines do not fall below its Minimum through orders.
//   - A call that an engine has begun is not cut off by an order.
//
// # Usage
//
//	co := &order.Controller{Lease: lease, Board: bo, Peers: peers, Clock: clock, Rand: rand}
//	go co.Run(ctx)
//
//	ga := &order.Gate{KV: kv, Clock: clock, Self: vm, Seats: seats}
//	err := ga.Order(ctx, or)
package order

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/samber/oops"

	"almondrill/core"
)

const (
	// holderKey exists while somebody holds the lease; fenceKey stays and has the
	// highest number under which orders may have been given.
	holderKey = "orders/holder"
	fenceKey  = "orders/fence"
	// DefaultTTL is the lease's time to live.
	DefaultTTL = 12 * time.Second
	// marginDivisor is the part of the time to live that the holder does not use: its
	// clock may run slower than the KV's.
	marginDivisor = 4
)

// ErrHeld: another process holds the lease.
var ErrLeaseHeld = errors.New("another process holds the lease")

// Lease is a process's claim to give orders. Set the exported fields before use.
type Lease struct {
	KV    core.KV
	Clock core.Clock
	Self  core.Claimant
	TTL   time.Duration

	mu         sync.Mutex // guards all below
	id         core.LeaseID
	fence      core.Fence
	validUntil time.Time
	attempts   int
}

// Fence is the number to stamp orders with; false if the process may give none.
// The lease counts from before the call that granted or renewed it was sent, so
// that however late the answer came it ends here before it ends in the KV.
func (le *Lease) Fence() (core.Fence, bool) {
	le.mu.Lock()
	defer le.mu.Unlock()
	return le.fence, le.fence != 0 && le.Clock.Now().Before(le.validUntil)
}

// RenewOrAcquire renews the lease if it is held, else tries to get it.
func (le *Lease) RenewOrAcquire(ctx context.Context) error {
	if _, held := le.Fence(); held {
		return le.renew(ctx)
	}
	return le.acquire(ctx)
}

func (le *Lease) renew(ctx context.Context) error {
	sent := le.Clock.Now()
	err := le.KV.Renew(ctx, le.id)
	switch {
	case err == nil:
		le.extend(sent)
	case errors.Is(err, core.ErrLeaseExpired):
		le.drop()
	}
	// Any other error leaves the lease as it was: it may have been renewed, but
	// what is not known is not used.
	return wrap("renew", err)
}

func (le *Lease) acquire(ctx context.Context) error {
	le.drop()
	sent := le.Clock.Now()
	if _, err := le.KV.Get(ctx, holderKey); !errors.Is(err, core.ErrNotFound) {
		if err == nil {
			err = ErrLeaseHeld
		}
		return wrap("look", err)
	}
	id, err := le.KV.Grant(ctx, le.TTL)
	if err != nil {
		return wrap("grant", err)
	}
	version, err := le.create(ctx, id)
	if err != nil {
		return wrap("create", err)
	}
	if err = raiseFence(ctx, le.KV, core.Fence(version)); err != nil {
		return wrap("raise", err)
	}
	le.mu.Lock()
	le.id, le.fence = id, core.Fence(version)
	le.mu.Unlock()
	le.extend(sent)
	return nil
}

// create makes the holder's entry. If the answer is lost, the entry itself tells
// by its value, which no other try writes, whether it was made.
func (le *Lease) create(ctx context.Context, id core.LeaseID) (core.Version, error) {
	le.attempts++
	name := fmt.Appendf(nil, "%s/%d/%d", le.Self.VM, le.Self.Incarnation, le.attempts)
	version, err := le.KV.Put(ctx, holderKey, name, 0, id)
	if err == nil {
		return version, nil
	}
	if errors.Is(err, core.ErrConflict) {
		return 0, ErrLeaseHeld
	}
	en, seen := le.KV.Get(ctx, holderKey)
	if seen == nil && bytes.Equal(en.Value, name) {
		return en.Version, nil
	}
	return 0, err
}

// raiseFence puts the number into the entry that stays. Orders may only be given once
// it is there: an agent that starts reads it from nowhere else. A higher number
// there means that the lease has lapsed meanwhile and another has it.
func raiseFence(ctx context.Context, kv core.KV, to core.Fence) error {
	const tries = 3
	var err error
	for range tries {
		var now core.Fence
		var version core.Version
		if now, version, err = currentFence(ctx, kv); err != nil {
			return err
		}
		if now == to {
			return nil
		}
		if now > to {
			return ErrLeaseHeld
		}
		value := strconv.AppendUint(nil, uint64(to), 10)
		if _, err = kv.Put(ctx, fenceKey, value, version, 0); err == nil {
			return nil
		}
	}
	return err
}

// currentFence is the highest number under which orders may have been given, with its
// entry's version; 0 if there were none.
func currentFence(ctx context.Context, kv core.KV) (core.Fence, core.Version, error) {
	en, err := kv.Get(ctx, fenceKey)
	if errors.Is(err, core.ErrNotFound) {
		return 0, 0, nil
	}
	if err != nil {
		return 0, 0, err
	}
	number, err := strconv.ParseUint(string(en.Value), 10, 64)
	if err != nil {
		return 0, 0, oops.In("fence").With("peer", fenceKey).Wrap(err)
	}
	return core.Fence(number), en.Version, nil
}

func (le *Lease) extend(sent time.Time) {
	le.mu.Lock()
	defer le.mu.Unlock()
	le.validUntil = sent.Add(le.TTL - le.TTL/marginDivisor)
}

func (le *Lease) drop() {
	le.mu.Lock()
	defer le.mu.Unlock()
	le.id, le.fence, le.validUntil = 0, 0, time.Time{}
}

func wrap(step string, err error) error {
	if err == nil {
		return nil
	}
	return oops.In("lease "+step).With("peer", "kv").Wrap(err)
}
