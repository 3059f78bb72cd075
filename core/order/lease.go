// Package order brings engines to the declared model versions, adapters and roles. It decides
// which router may issue orders to engines, which orders it issues, and which ones an agent accepts.
//
// # Concepts
//
// Any router may issue orders while it holds the single lease in the KV (Lease). The version of the
// entry that it created under the lease is its fencing number. The number is also written to an
// entry that outlives every lease, so that an agent that has just started can tell a past holder
// from the present one.
//
// The holder compares the declarations with the states that agents report of their engines
// (Controller), plans the next orders (Next) and issues them. It stores nothing: a new holder
// inspects the same engines and continues.
//
// The agent (Executor) reads the current fencing number from the KV before it passes an order to an
// engine, and executes one order at a time for each engine.
//
// # Invariants
//
//   - An engine receives orders by rising fencing number, even if its agent restarts, and even if
//     the engine does not check the numbers itself.
//   - No order is issued after the lease's end by the holder's own clock.
//   - Orders do not bring the number of a pool's serving engines below its Minimum.
//   - An order does not interrupt a call that an engine has begun.
//
// # Usage
//
//	co := &order.Controller{Lease: lease, Board: bo, Peers: peers, Clock: clock, Rand: rand}
//	go co.Run(ctx)
//
//	ex := &order.Executor{KV: kv, Clock: clock, Self: vm, Endpoints: endpoints}
//	err := ex.Order(ctx, or)
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
	// holderKey exists while a process holds the lease. fenceKey is permanent and holds the highest
	// fencing number under which orders may have been issued.
	holderKey = "orders/holder"
	fenceKey  = "orders/fence"
	// DefaultTTL is the lease's time to live.
	DefaultTTL = 12 * time.Second
	// The holder does not use the last TTL/marginDivisor of the lease, as its clock may run slower
	// than the KV's.
	marginDivisor = 4
)

// ErrLeaseHeld means that another process holds the lease.
var ErrLeaseHeld = errors.New("another process holds the lease")

// Lease is a process's handle on the lease under which orders are issued. Set the exported fields
// before use.
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

// Fence is the number to stamp orders with; false if the process does not hold the lease. The lease
// counts from the time before the call that granted or renewed it was sent: however late the
// response arrived, it ends here before it ends in the KV.
func (le *Lease) Fence() (core.Fence, bool) {
	le.mu.Lock()
	defer le.mu.Unlock()
	return le.fence, le.fence != 0 && le.Clock.Now().Before(le.validUntil)
}

// RenewOrAcquire renews the lease if it is held, and otherwise tries to acquire it.
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
	// After any other error the lease may have been renewed, but the old end stays in force.
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

// create creates the holder's entry. Each attempt writes a value of its own, so after a lost
// response the value read back shows whether this attempt created the entry.
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

// raiseFence writes the fencing number to the permanent entry. No order may be issued before that,
// as it is the only place where an agent that has just started finds the number. A higher number
// there means that the lease has expired in the meantime and another process holds it.
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

// currentFence is the highest number under which orders may have been issued, and the version of
// its entry; both are 0 if there is none.
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
