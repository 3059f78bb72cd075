package core

import (
	"context"
	"errors"
	"time"
)

// Clock tells and waits for time. Sleep returns ctx's error when that ends
// first.
type Clock interface {
	Now() time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Rand is a source of randomness that is safe for concurrent use.
type Rand interface {
	Uint64() uint64
	Float64() float64
}

// Errors of a KV. Any other error means that the call may or may not have
// taken effect.
var (
	// ErrAbsent: no such entry.
	ErrNotFound = errors.New("kv: entry absent")
	// ErrConflict: the entry's version is not the expected one; nothing was written.
	ErrConflict = errors.New("kv: version conflict")
	// ErrLeaseGone: the lease has lapsed; nothing was written.
	ErrLeaseExpired = errors.New("kv: lease gone")
)

// Entry is a KV entry. Version grows with every write to the store, so it also
// serves as a fencing number.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
}

// KV is the platform's key-value service. Values hold at most a megabyte; every
// call counts against its rate.
type KV interface {
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes if the entry's version is still expect (0: must not exist).
	// With a lease, the entry goes when the lease does.
	Put(ctx context.Context, key string, value []byte, expect Version, le LeaseID) (Version, error)
	// Delete removes the entry if its version is still expect.
	Delete(ctx context.Context, key string, expect Version) error
	// List returns entries with from <= key < to in key order, at most limit.
	List(ctx context.Context, from, to string, limit int) ([]Entry, error)
	// Grant creates a lease; Renew prolongs it by its time to live.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	Renew(ctx context.Context, le LeaseID) error
	// Watch waits until an entry with the prefix has a version above after, and
	// returns it.
	Watch(ctx context.Context, prefix string, after Version) (Entry, error)
}

// InFlightCounts knows how many calls endpoints have, from what they said to any router.
// Endpoints are named by the hashes of their ids and starts.
type InFlightCounts interface {
	// InFlight tells how many calls the endpoint has, before the one that the asker is about to
	// place; false if that is unknown, or not told in time.
	InFlight(ctx context.Context, endpoint uint64) (calls int, known bool)
	// ReportInFlight passes on what an endpoint said.
	ReportInFlight(endpoint uint64, calls int)
	// ReportDown passes on that no connection to the endpoint could be made, Leaves that it has
	// announced that it leaves.
	ReportDown(endpoint uint64)
	ReportDraining(endpoint uint64)
}

// RateLimiter divides limits in requests a second among the routers that share them.
type RateLimiter interface {
	// Grant takes one of the requests a second that the endpoint gets from all routers; false,
	// and when to ask again, if there is none, or if nobody could tell.
	Grant(ctx context.Context, endpoint uint64, perSecond int) (granted bool, after time.Duration)
}

// VMState is a VM's state in the platform's list.
type VMState uint8

const (
	// VMLive may get work.
	VMLive VMState = iota
	// VMDraining finishes what it has.
	VMDraining
	// VMGone is no longer there.
	VMGone
)

// Role is what a VM's process does.
type Role string

// Roles of processes.
const (
	RoleRouter Role = "Router"
	RoleAgent  Role = "Agent"
)

// VM is one VM of the platform's list.
type VM struct {
	ID     VMID
	Addr   string
	Zone   Zone
	Region Region
	Role   Role
	// Pools are those that its endpoints belong to.
	Pools []PoolID
	// Weight is its relative capacity; 0 counts as 1.
	Weight float64
	State  VMState
}

// VMList is the platform's lagging list. Changes returns what changed after
// mark, with the new mark; mark 0 returns everything.
type VMList interface {
	Changes(ctx context.Context, mark uint64) ([]VM, uint64, error)
}

// Item is a key's newest state in the platform's store.
type Item struct {
	Key     string
	Rev     Version
	Value   []byte
	Deleted bool
}

// ErrCompacted: the store no longer has the changes that were asked for.
var ErrCompacted = errors.New("kv: history compacted")

// ChangeFeed tells what changes in the platform's store.
type ChangeFeed interface {
	// List lists every item, and the revision from which on changes may be missing. heard is
	// called whenever a part of the answer has arrived, with the items that became complete by
	// it, if any; it may be called from any goroutine. With stale, parts of the listing may be
	// some seconds old, at a fraction of what it costs the store otherwise.
	List(ctx context.Context, stale bool, heard func(some []Item)) ([]Item, Version, error)
	// Changes waits until something changed after that revision, or for wait. It
	// returns the changes and the revision up to which they are complete.
	// ErrCompacted: they are no longer known; list anew.
	Changes(ctx context.Context, after Version, wait time.Duration) ([]Item, Version, error)
}
