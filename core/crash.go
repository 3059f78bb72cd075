package core

import (
	"context"
	"encoding/hex"
	"time"
)

// Fingerprint names a request by what it asks: it is equal for all attempts at the same
// request of a customer, whichever router or connection they come by. It tells nothing of
// the request's content.
type Fingerprint [16]byte

// String is the first half in hexadecimal, which is enough to find a request in logs.
func (fp Fingerprint) String() string { return hex.EncodeToString(fp[:len(fp)/2]) }

// EndpointRef names one start of an endpoint.
type EndpointRef struct {
	ID   EndpointID
	Addr string
	// Hash is that of its id and start, by which routers tell each other of it.
	Hash uint64
}

// Crash is an endpoint's crash under a request.
type Crash struct {
	Endpoint uint64
	At       time.Time
}

// CrashNoticeKind is what a BlameNote tells.
type CrashNoticeKind uint8

const (
	// BlameSuspected: the request was running at an endpoint when that crashed.
	NoticeSuspected CrashNoticeKind = iota + 1
	// BlameQuarantined: it has crashed so many that it is not sent to any more.
	NoticeQuarantined
	// BlameCleared: an attempt at it has ended well, or it was lifted; it is not suspected any more.
	NoticeCleared
)

// CrashNotice is what routers tell each other about a request.
type CrashNotice struct {
	Kind    CrashNoticeKind
	Request Fingerprint
	Crashes []Crash
}

// Quarantine is an entry of the platform's store: a request that crashes endpoints and is
// not sent to any more. The entry lapses if it is not written again.
type Quarantine struct {
	Request Fingerprint
	// Trials is how often the request was sent since, to see whether it still does; Crashes at
	// how many crashes of endpoints it was running, as far as the writer knew.
	Trials  int
	Crashes int
	// Rev is the entry's revision; 0 if there is none yet.
	Rev Version
}

// QuarantineStore keeps entries in the platform's store.
type QuarantineStore interface {
	// PutQuarantine writes the entry if the store's is still of revision Rev, and returns
	// its new one. ErrConflict: it is not.
	PutQuarantine(ctx context.Context, qu Quarantine) (Version, error)
	// DeleteQuarantine removes the entry if it is still of revision Rev.
	DeleteQuarantine(ctx context.Context, qu Quarantine) error
}

// CrashTracker finds out which requests crash the endpoints that run them.
type CrashTracker interface {
	// Allowed tells whether the request may be sent to an endpoint now, or else when it might.
	Allowed(ctx context.Context, fp Fingerprint) (allowed bool, after time.Duration)
	// Succeeded tells that an attempt ended well.
	Succeeded(fp Fingerprint)
	// Crashed tells that an endpoint, named by a hash, crashed while it ran the request.
	Crashed(endpoint uint64, fp Fingerprint)
}

// CrashDetector is a Blame that finds out by itself whether endpoints crashed.
type CrashDetector interface {
	CrashTracker
	// Interrupted tells that an attempt broke off, or got no answer in its time.
	Interrupted(en EndpointRef, began time.Time, fp Fingerprint)
	// ConnRefused tells that the endpoint refused a connection.
	ConnRefused(en EndpointRef)
}
