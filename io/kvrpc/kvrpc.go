// Package kvrpc implements core.KV over gRPC, as a client of and a server for the fake of the
// platform's key-value service. An adapter to another service would replace this package.
//
// # Concepts
//
// The errors that core.KV defines are sent as status codes. After any other error it is not known
// whether a write took effect, as documented at core.KV.
//
// # Usage
//
//	kv, err := kvrpc.Dial(addr)
//	kvrpc.Serve(grpcServer, store)
package kvrpc

import (
	"context"
	"errors"
	"time"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"almondrill/core"
)

const maxMessage = 8 << 20

// Client implements core.KV by calls to a server.
type Client struct {
	rpc  KVClient
	conn *grpc.ClientConn
	addr string
}

var _ core.KV = (*Client)(nil)

// Dial creates a client. The first call opens the connection.
func Dial(addr string) (*Client, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDisableRetry(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)),
	)
	if err != nil {
		return nil, oops.In("dial kv").With("peer", addr).Wrap(err)
	}
	return &Client{rpc: NewKVClient(conn), conn: conn, addr: addr}, nil
}

// Close closes the connection.
func (cl *Client) Close() error { return cl.conn.Close() }

// fromStatus converts status codes to the errors of core and adds step and peer to other errors.
func (cl *Client) fromStatus(step string, err error) error {
	switch status.Code(err) {
	case codes.OK:
		return nil
	case codes.NotFound:
		return core.ErrNotFound
	case codes.Aborted:
		return core.ErrConflict
	case codes.FailedPrecondition:
		return core.ErrLeaseExpired
	}
	return oops.In("kv "+step).With("peer", cl.addr).Wrap(err)
}

// Get returns an entry.
func (cl *Client) Get(ctx context.Context, key string) (core.Entry, error) {
	got, err := cl.rpc.Get(ctx, &GetCall{Key: key})
	if err != nil {
		return core.Entry{}, cl.fromStatus("get", err)
	}
	return fromWire(got), nil
}

// Put writes an entry and returns its new version.
func (cl *Client) Put(ctx context.Context, key string, value []byte, expect core.Version, le core.LeaseID) (core.Version, error) {
	got, err := cl.rpc.Put(ctx, &PutCall{Key: key, Value: value, Expect: uint64(expect), Lease: uint64(le)})
	if err != nil {
		return 0, cl.fromStatus("put", err)
	}
	return core.Version(got.Version), nil
}

// Delete removes an entry.
func (cl *Client) Delete(ctx context.Context, key string, expect core.Version) error {
	_, err := cl.rpc.Delete(ctx, &DeleteCall{Key: key, Expect: uint64(expect)})
	return cl.fromStatus("delete", err)
}

// List returns the entries of a key range.
func (cl *Client) List(ctx context.Context, from, to string, limit int) ([]core.Entry, error) {
	got, err := cl.rpc.List(ctx, &ListCall{From: from, To: to, Limit: int32(limit)})
	if err != nil {
		return nil, cl.fromStatus("list", err)
	}
	found := make([]core.Entry, 0, len(got.Entries))
	for _, en := range got.Entries {
		found = append(found, fromWire(en))
	}
	return found, nil
}

// Grant creates a lease.
func (cl *Client) Grant(ctx context.Context, ttl time.Duration) (core.LeaseID, error) {
	got, err := cl.rpc.Grant(ctx, &GrantCall{TTLMillis: ttl.Milliseconds()})
	if err != nil {
		return 0, cl.fromStatus("grant", err)
	}
	return core.LeaseID(got.ID), nil
}

// Renew extends a lease.
func (cl *Client) Renew(ctx context.Context, le core.LeaseID) error {
	_, err := cl.rpc.Renew(ctx, &Lease{ID: uint64(le)})
	return cl.fromStatus("renew", err)
}

// Watch waits for an entry under the prefix that is newer than a version.
func (cl *Client) Watch(ctx context.Context, prefix string, after core.Version) (core.Entry, error) {
	got, err := cl.rpc.Watch(ctx, &WatchCall{Prefix: prefix, After: uint64(after)})
	if err != nil {
		return core.Entry{}, cl.fromStatus("watch", err)
	}
	return fromWire(got), nil
}

func fromWire(en *Entry) core.Entry {
	return core.Entry{Key: en.Key, Value: en.Value, Version: core.Version(en.Version)}
}

func toWire(en core.Entry) *Entry {
	return &Entry{Key: en.Key, Value: en.Value, Version: uint64(en.Version)}
}

// Serve registers kv with a gRPC server.
func Serve(sr grpc.ServiceRegistrar, kv core.KV) { RegisterKVServer(sr, &server{kv: kv}) }

type server struct {
	UnimplementedKVServer
	kv core.KV
}

func toStatus(err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, core.ErrNotFound):
		return status.Error(codes.NotFound, err.Error())
	case errors.Is(err, core.ErrConflict):
		return status.Error(codes.Aborted, err.Error())
	case errors.Is(err, core.ErrLeaseExpired):
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	return status.Error(codes.Unavailable, err.Error())
}

func (se *server) Get(ctx context.Context, in *GetCall) (*Entry, error) {
	en, err := se.kv.Get(ctx, in.Key)
	return toWire(en), toStatus(err)
}

func (se *server) Put(ctx context.Context, in *PutCall) (*Entry, error) {
	ve, err := se.kv.Put(ctx, in.Key, in.Value, core.Version(in.Expect), core.LeaseID(in.Lease))
	return &Entry{Key: in.Key, Version: uint64(ve)}, toStatus(err)
}

func (se *server) Delete(ctx context.Context, in *DeleteCall) (*Entry, error) {
	return &Entry{Key: in.Key}, toStatus(se.kv.Delete(ctx, in.Key, core.Version(in.Expect)))
}

func (se *server) List(ctx context.Context, in *ListCall) (*ListReply, error) {
	found, err := se.kv.List(ctx, in.From, in.To, int(in.Limit))
	out := &ListReply{}
	for _, en := range found {
		out.Entries = append(out.Entries, toWire(en))
	}
	return out, toStatus(err)
}

func (se *server) Grant(ctx context.Context, in *GrantCall) (*Lease, error) {
	id, err := se.kv.Grant(ctx, time.Duration(in.TTLMillis)*time.Millisecond)
	return &Lease{ID: uint64(id)}, toStatus(err)
}

func (se *server) Renew(ctx context.Context, in *Lease) (*Lease, error) {
	return in, toStatus(se.kv.Renew(ctx, core.LeaseID(in.ID)))
}

func (se *server) Watch(ctx context.Context, in *WatchCall) (*Entry, error) {
	en, err := se.kv.Watch(ctx, in.Prefix, core.Version(in.After))
	return toWire(en), toStatus(err)
}
