package core

import (
	"context"
	"errors"
	"time"
)

// Clock provides the time. Sleep returns ctx's error if ctx ends first.
type Clock interface {
	Now() time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Rand is a source of randomness that is safe for concurrent use.
type Rand interface {
	Uint64() uint64
	Float64() float64
}

// Errors of a KV. After any other error the call may or may not have taken effect.
var (
	// ErrNotFound: the entry does not exist.
	ErrNotFound = errors.New("kv: entry absent")
	// ErrConflict: the entry's version is not the expected one; nothing was written.
	ErrConflict = errors.New("kv: version conflict")
	// ErrLeaseExpired: the lease has expired; nothing was written.
	ErrLeaseExpired = errors.New("kv: lease gone")
)

// Entry is a KV entry. Version increases with every write to the store, so it also serves as a
// fencing number.
type Entry struct {
	Key     string
	Value   []byte
	Version Version
}

// KV is the platform's key-value service. Values are limited to a megabyte, and every call counts
// towards its rate limit.
type KV interface {
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes the entry if its version is still expect (0: it must not exist). An entry written
	// with a lease is removed when the lease expires.
	Put(ctx context.Context, key string, value []byte, expect Version, le LeaseID) (Version, error)
	// Delete removes the entry if its version is still expect.
	Delete(ctx context.Context, key string, expect Version) error
	// List returns at most limit entries with from <= key < to in key order.
	List(ctx context.Context, from, to string, limit int) ([]Entry, error)
	// Grant creates a lease; Renew extends it by its TTL.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	Renew(ctx context.Context, le LeaseID) error
	// Watch waits until an entry with the prefix has a version above after, and returns the entry.
	Watch(ctx context.Context, prefix string, after Version) (Entry, error)
}

// InFlightCounts shares among routers how many calls each endpoint has in flight, as endpoints
// report it to any router. Endpoints are identified by the hashes of their ids and incarnations.
type InFlightCounts interface {
	// InFlight returns the endpoint's number of calls, without the one that the asking router is
	// about to place; false if it is unknown or no reply arrived in time.
	InFlight(ctx context.Context, endpoint uint64) (calls int, known bool)
	// ReportInFlight shares the number of calls that an endpoint reported.
	ReportInFlight(endpoint uint64, calls int)
	// ReportDown shares that connecting to the endpoint failed, ReportDraining that the endpoint
	// announced its shutdown.
	ReportDown(endpoint uint64)
	ReportDraining(endpoint uint64)
}

// RateLimiter divides limits in requests per second among all routers.
type RateLimiter interface {
	// Grant asks for permission to send one request to the endpoint, which all routers together may
	// send perSecond requests a second. It returns false, and after what time to ask again, if the
	// limit is used up or no router could decide.
	Grant(ctx context.Context, endpoint uint64, perSecond int) (granted bool, after time.Duration)
}

// StreamOrigins shares among routers at which builds streams began, so that each router that a caller
// resumes a stream at can continue it there.
type StreamOrigins interface {
	// Begin records that a stream began at a build, for ttl. Peers learn of it at once if share is set,
	// and otherwise once the build's pool has another one.
	Begin(stream StreamKey, build Build, ttl time.Duration, share bool)
	// End records that a stream was forwarded completely.
	End(stream StreamKey)
	// Find searches for the build at which a stream began, here and then at peers.
	Find(ctx context.Context, stream StreamKey) OriginSearch
	// FindFirst searches for the only build at which a stream of the build's pool that is on record nowhere can have
	// begun: that which was alone until others registered. The routers that would have the record are asked.
	FindFirst(ctx context.Context, stream StreamKey, build Build) OriginSearch
	// Isolated reports whether records may not arrive at peers, as none of their messages arrives here.
	Isolated() bool
	// OthersSeen asks peers whether other builds than this one have served its pool recently.
	OthersSeen(ctx context.Context, build Build) OtherBuilds
}

// OriginSearch is the result of a search for the build at which a stream began.
type OriginSearch struct {
	// Build is 0 if the routers that answered do not know it.
	Build Build
	// Asked and Answered are how many peers were asked, and how many of them answered before one knew
	// the build or the time was up.
	Asked, Answered int
}

// OtherBuilds is what peers know of other builds of a pool, the sum of their answers.
type OtherBuilds uint8

const (
	// OthersNotAnswered: no peer has answered.
	OthersNotAnswered OtherBuilds = iota
	// OthersUnknown: the peers that answered have started too recently to know.
	OthersUnknown
	// OthersNone: a peer that would know has seen no other build.
	OthersNone
	// OthersServed: a peer has seen another build.
	OthersServed
)

// String returns the name used in logs.
func (ob OtherBuilds) String() string {
	return [...]string{"NotAnswered", "Unknown", "None", "Served"}[ob]
}

// BuildRecord is an entry of the platform's store for a build that serves its pool, or has served it until
// recently. It outlives the routers, and the registrations of the build's endpoints.
type BuildRecord struct {
	Build   Build
	Pool    PoolID
	Version SoftwareVersion
	// Rev is the entry's version; 0 if the entry does not exist yet.
	Rev Version
}

// BuildStore writes BuildRecord entries to the platform's store.
type BuildStore interface {
	// PutBuild creates the entry. It returns ErrConflict if there is one.
	PutBuild(ctx context.Context, br BuildRecord) error
	// DeleteBuild removes the entry if it still has version Rev, or returns ErrConflict.
	DeleteBuild(ctx context.Context, br BuildRecord) error
}

// EraStore marks eras of the platform's store: the first one, and those that have lasted for so long that what was
// lost by the restore that began them matters no more.
type EraStore interface {
	// PutEra marks the era. It returns ErrConflict if it is marked.
	PutEra(ctx context.Context, er Era) error
}

// StreamBuild is the build at which a stream began.
type StreamBuild struct {
	Stream StreamKey
	Build  Build
}

// StreamBatch holds streams that a router has forwarded, for TTL from then on.
type StreamBatch struct {
	TTL     time.Duration
	Streams []StreamBuild
}

// StreamStore writes batches of streams to the platform's store.
type StreamStore interface {
	// PutStreams writes a batch in place of the writer's earlier one of the same slot. It lasts for about a
	// minute.
	PutStreams(ctx context.Context, writer VMID, slot int, sb StreamBatch) error
}

// VMState is a VM's state in the platform's list.
type VMState uint8

const (
	// VMLive accepts work.
	VMLive VMState = iota
	// VMDraining finishes its work and accepts no more.
	VMDraining
	// VMGone no longer exists.
	VMGone
)

// Role is the role of a VM's process.
type Role string

// Roles of processes.
const (
	RoleRouter Role = "Router"
	RoleAgent  Role = "Agent"
)

// VM is an entry of the platform's list of VMs.
type VM struct {
	ID     VMID
	Addr   string
	Zone   Zone
	Region Region
	Role   Role
	// Pools are the pools of the VM's endpoints.
	Pools []PoolID
	// Weight is the VM's relative capacity; 0 counts as 1.
	Weight float64
	State  VMState
}

// VMList is the platform's list of VMs, which may lag behind. Changes returns the VMs that changed
// after mark and the new mark; mark 0 returns all VMs.
type VMList interface {
	Changes(ctx context.Context, mark uint64) ([]VM, uint64, error)
}

// Item is the latest state of a key in the platform's store.
type Item struct {
	Key     string
	Rev     Version
	Value   []byte
	Deleted bool
}

// ErrCompacted is returned if the store no longer has the requested changes.
var ErrCompacted = errors.New("kv: history compacted")

// ChangeFeed reports the contents and the changes of the platform's store.
type ChangeFeed interface {
	// List returns all items and the version up to which the list is complete; later changes may be
	// missing. onItems is called whenever a part of the response arrives, with the items completed by
	// it, if any; it may be called from any goroutine. With stale, parts of the list may be some
	// seconds old, at a fraction of the cost for the store. beforeNext is called before each page but
	// the first; List ends with the error that it returns.
	List(ctx context.Context, stale bool, onItems func(items []Item), beforeNext func() error) ([]Item, Version, error)
	// Changes waits until something changes after that version, at most for wait. It returns the
	// changes and the version up to which they are complete. After ErrCompacted the changes are no
	// longer available, and the caller has to call List again.
	Changes(ctx context.Context, after Version, wait time.Duration) ([]Item, Version, error)
	// Revision returns the version of the store. All that the store acknowledged before the call is part of it.
	Revision(ctx context.Context) (Version, error)
}
