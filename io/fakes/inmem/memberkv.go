package inmem

import (
	"context"
	"time"

	"almondrill/core"
	"almondrill/io/fakes/kvsrv"
)

// memberKV is the KV store as one member reaches it: unavailable if the member is dead or cut off.
type memberKV struct {
	kv     *kvsrv.Store
	member *Member
}

var _ core.KV = memberKV{}

func (mk memberKV) check() error {
	if mk.member.KVUnreachable.Load() || mk.member.dead() {
		return kvsrv.ErrUnavailable
	}
	return nil
}

// Get implements core.KV.
func (mk memberKV) Get(ctx context.Context, key string) (core.Entry, error) {
	if err := mk.check(); err != nil {
		return core.Entry{}, err
	}
	return mk.kv.Get(ctx, key)
}

// Put implements core.KV.
func (mk memberKV) Put(ctx context.Context, key string, value []byte, expect core.Version, le core.LeaseID) (core.Version, error) {
	if err := mk.check(); err != nil {
		return 0, err
	}
	return mk.kv.Put(ctx, key, value, expect, le)
}

// Delete implements core.KV.
func (mk memberKV) Delete(ctx context.Context, key string, expect core.Version) error {
	if err := mk.check(); err != nil {
		return err
	}
	return mk.kv.Delete(ctx, key, expect)
}

// List implements core.KV.
func (mk memberKV) List(ctx context.Context, from, to string, limit int) ([]core.Entry, error) {
	if err := mk.check(); err != nil {
		return nil, err
	}
	return mk.kv.List(ctx, from, to, limit)
}

// Grant implements core.KV.
func (mk memberKV) Grant(ctx context.Context, ttl time.Duration) (core.LeaseID, error) {
	if err := mk.check(); err != nil {
		return 0, err
	}
	return mk.kv.Grant(ctx, ttl)
}

// Renew implements core.KV.
func (mk memberKV) Renew(ctx context.Context, le core.LeaseID) error {
	if err := mk.check(); err != nil {
		return err
	}
	return mk.kv.Renew(ctx, le)
}

// Watch implements core.KV.
func (mk memberKV) Watch(ctx context.Context, prefix string, after core.Version) (core.Entry, error) {
	if err := mk.check(); err != nil {
		return core.Entry{}, err
	}
	return mk.kv.Watch(ctx, prefix, after)
}
