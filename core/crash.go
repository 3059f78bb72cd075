package core

import (
	"context"
	"encoding/hex"
	"time"
)

// Fingerprint identifies a request by its content: it is equal for all attempts at the same request
// of a customer, whichever router or connection they arrive on. It does not reveal the content.
type Fingerprint [16]byte

// String returns the first half in hexadecimal, which is enough to find a request in logs.
func (fp Fingerprint) String() string { return hex.EncodeToString(fp[:len(fp)/2]) }

// EndpointRef identifies one incarnation of an endpoint.
type EndpointRef struct {
	ID   EndpointID
	Addr string
	// Hash is the hash of the id and the incarnation. Routers use it in messages to each other.
	Hash uint64
}

// Crash records that an endpoint crashed while it ran a request. Endpoint is the hash that identifies
// the endpoint.
type Crash struct {
	Endpoint uint64
	At       time.Time
}

// CrashNoticeKind is the kind of a CrashNotice.
type CrashNoticeKind uint8

const (
	// NoticeSuspected: the request was running at an endpoint when that endpoint crashed.
	NoticeSuspected CrashNoticeKind = iota + 1
	// NoticeQuarantined: the request crashed so many endpoints that it is no longer sent.
	NoticeQuarantined
	// NoticeCleared: the request is no longer suspected, because an attempt succeeded or an operator
	// lifted its quarantine.
	NoticeCleared
)

// CrashNotice is a message between routers about a request that may crash endpoints.
type CrashNotice struct {
	Kind    CrashNoticeKind
	Request Fingerprint
	Crashes []Crash
}

// Quarantine is an entry of the platform's store for a request that crashes endpoints and is no
// longer sent to any. The entry expires unless it is rewritten.
type Quarantine struct {
	Request Fingerprint
	// Trials is how often the request has been sent since it was quarantined, to test whether it
	// still crashes endpoints. Crashes is the number of endpoint crashes during the request that the writer
	// knew of.
	Trials  int
	Crashes int
	// Rev is the entry's version; 0 if the entry does not exist yet.
	Rev Version
}

// QuarantineStore reads and writes Quarantine entries in the platform's store.
type QuarantineStore interface {
	// PutQuarantine writes the entry if the stored one still has version Rev, and returns the new
	// version. Otherwise it returns ErrConflict.
	PutQuarantine(ctx context.Context, qu Quarantine) (Version, error)
	// DeleteQuarantine removes the entry if it still has version Rev.
	DeleteQuarantine(ctx context.Context, qu Quarantine) error
}

// CrashTracker attributes crashes of endpoints to the requests that cause them.
type CrashTracker interface {
	// Allowed reports whether the request may be sent to an endpoint now, and if not, after what
	// time to ask again.
	Allowed(ctx context.Context, fp Fingerprint) (allowed bool, after time.Duration)
	// Succeeded records that an attempt succeeded.
	Succeeded(fp Fingerprint)
	// Crashed records that an endpoint, identified by its hash, crashed while it ran the request.
	Crashed(endpoint uint64, fp Fingerprint)
}

// CrashDetector is a CrashTracker that detects by itself whether endpoints crashed.
type CrashDetector interface {
	CrashTracker
	// Interrupted records that an attempt begun at the given time was interrupted or timed out.
	Interrupted(en EndpointRef, began time.Time, fp Fingerprint)
	// ConnRefused records that the endpoint refused a connection.
	ConnRefused(en EndpointRef)
}
