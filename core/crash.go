package core

import (
	"context"
	"encoding/hex"
	"time"
)

// Fingerprint identifies a request by its content: it is equal for all attempts at the same request
// of a customer, whichever router or connection they arrive on. It does not reveal the content. Other
// fingerprints identify parts of prompts, which requests share.
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

// SuspectRun is a run of a request that was running at a crash before and is not quarantined: its crash, or, without
// one, that it was sent to the endpoint.
type SuspectRun struct {
	Request  Fingerprint
	Endpoint uint64
	At       time.Time
	Crashed  bool
}

// SuspectStore writes runs of suspects to the platform's store, so that their crashes count on if all routers are lost.
type SuspectStore interface {
	// PutSuspectRuns writes runs in place of the writer's earlier ones of the same slot. They last for some minutes.
	PutSuspectRuns(ctx context.Context, writer VMID, slot int, runs []SuspectRun) error
}

// QuarantineStore reads and writes Quarantine entries in the platform's store.
type QuarantineStore interface {
	// PutQuarantine writes the entry if the stored one still has version Rev, and returns the new
	// version. Otherwise it returns ErrConflict.
	PutQuarantine(ctx context.Context, qu Quarantine) (Version, error)
	// DeleteQuarantine removes the entry if it still has version Rev.
	DeleteQuarantine(ctx context.Context, qu Quarantine) error
}

// CrashTracker attributes crashes of endpoints to what causes them: a request, or a part of prompts. A
// request is given by its own fingerprint and those of the parts that it may share.
type CrashTracker interface {
	// Blocked reports whether the request may not be sent to an endpoint now, and after what time to ask
	// again. A request that may be sent as a trial is not blocked.
	Blocked(fps ...Fingerprint) (blocked bool, after time.Duration)
	// Allowed reports whether the request may be sent to an endpoint now, and if not, after what
	// time to ask again. It claims a trial if the request needs one: a caller that is allowed sends it.
	Allowed(ctx context.Context, fps ...Fingerprint) (allowed bool, after time.Duration)
	// Succeeded records that these crash no endpoint: an attempt succeeded, or its answer went on under
	// the parts.
	Succeeded(fps ...Fingerprint)
	// Crashed records that an endpoint, identified by its hash, crashed while it ran the request.
	Crashed(endpoint uint64, fp Fingerprint)
}

// CrashDetector is a CrashTracker that detects by itself whether endpoints crashed.
type CrashDetector interface {
	CrashTracker
	// Sending records that the request is about to be sent to the endpoint.
	Sending(en EndpointRef, request Fingerprint)
	// Interrupted records that an attempt begun at the given time was interrupted or timed out. Of the
	// parts, only those are given under which no answer has begun.
	Interrupted(en EndpointRef, began time.Time, request Fingerprint, parts ...Fingerprint)
	// ConnRefused records that the endpoint refused a connection.
	ConnRefused(en EndpointRef)
	// Settle waits until it should be known whether an endpoint at which an attempt was interrupted has
	// crashed, and what peers conclude from that. The wait is bounded to some milliseconds.
	Settle(ctx context.Context, en EndpointRef)
}
