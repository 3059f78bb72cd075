package crash

import (
	"slices"
	"sync"
	"time"

	"almondrill/core"
)

// Evidence is how an endpoint was found to be gone.
type Evidence uint8

const (
	// Refused: the endpoint refuses connections.
	Refused Evidence = iota + 1
	// Replaced: another process has registered in the endpoint's place.
	Replaced
)

// String returns the name used in logs.
func (ev Evidence) String() string {
	if ev == Refused {
		return "Refused"
	}
	return "Replaced"
}

const (
	// refusedWindow is how long ago an endpoint that refuses a connection may have crashed.
	refusedWindow = time.Second
	// crashSpread is the longest time between attempts interrupted by the same crash: all
	// connections break at once, but a busy router notices some of them later.
	crashSpread = 200 * time.Millisecond
	// replacedWindow is how long ago an endpoint that is found to be replaced may have crashed: one
	// that stops responding is restarted within seconds.
	replacedWindow = 10 * time.Second
	// maxEndpoints and maxAttempts bound the endpoints with recent interruptions, and the
	// attempts remembered for each.
	maxEndpoints = 1024
	maxAttempts  = 256
)

// Attempt is an attempt to run a request at an endpoint. The endpoint is named by the hash of its
// ID and incarnation.
type Attempt struct {
	Endpoint uint64
	Request  core.Fingerprint
	// Parts are the shared parts of the prompt, if the answer had not begun.
	Parts     []core.Fingerprint
	StartedAt time.Time
}

// Interruptions keeps a router's interrupted attempts until it is known whether their endpoints
// are gone. It is safe for concurrent use; the zero value is ready.
type Interruptions struct {
	mu        sync.Mutex // guards all below
	endpoints map[uint64]*endpointRecord
}

// endpointRecord holds the interrupted attempts of one endpoint.
type endpointRecord struct {
	updatedAt time.Time
	// goneAt is when the endpoint was found to be gone, zero if it was not; crashedAt is the time
	// of the first interruption of that crash.
	goneAt, crashedAt time.Time
	attempts          []interruptedAttempt
}

type interruptedAttempt struct {
	request                  core.Fingerprint
	parts                    []core.Fingerprint
	startedAt, interruptedAt time.Time
}

// Add records an interrupted attempt. It returns true if the endpoint is already known to have
// crashed while the attempt was running.
func (in *Interruptions) Add(now time.Time, at Attempt) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	re := in.recordOf(now, at.Endpoint)
	if at.StartedAt.Before(re.goneAt) {
		return at.StartedAt.Before(re.crashedAt) && now.Sub(re.goneAt) <= refusedWindow
	}
	if len(re.attempts) < maxAttempts {
		re.attempts = append(re.attempts, interruptedAttempt{at.Request, at.Parts, at.StartedAt, now})
	}
	return false
}

// EndpointGone records that an endpoint is gone and returns the requests that were running there
// when it crashed, and the parts of those whose answers had not begun.
//
// Failure: half of the endpoints crash at once, and within milliseconds a request is sent from one
// to the next of them over kept-alive connections. It was not running at an endpoint that it
// reached after other attempts had been interrupted there, and must not be taken for the cause.
func (in *Interruptions) EndpointGone(now time.Time, endpoint uint64, ev Evidence) []core.Fingerprint {
	in.mu.Lock()
	defer in.mu.Unlock()
	re := in.endpoints[endpoint]
	if re == nil {
		return nil
	}
	since := now.Add(-replacedWindow)
	if ev == Refused {
		since = re.crashStart(now)
	}
	re.attempts = slices.DeleteFunc(re.attempts, func(at interruptedAttempt) bool { return at.interruptedAt.Before(since) })
	var crashed []core.Fingerprint
	for _, at := range re.attempts {
		// attempts[0] is the one that was interrupted first.
		if !at.startedAt.Before(re.attempts[0].interruptedAt) {
			continue
		}
		for _, fp := range at.identities() {
			if !slices.Contains(crashed, fp) {
				crashed = append(crashed, fp)
			}
		}
	}
	re.goneAt, re.crashedAt = now, now
	if len(re.attempts) > 0 {
		re.crashedAt = re.attempts[0].interruptedAt
	}
	re.attempts = nil
	return crashed
}

// identities returns what may have caused a crash of the attempt's endpoint.
func (at *interruptedAttempt) identities() []core.Fingerprint {
	return append([]core.Fingerprint{at.request}, at.parts...)
}

// crashStart returns the time from which on interruptions belong to a crash discovered now.
// Earlier ones, such as a lost response, are unrelated to it.
func (re *endpointRecord) crashStart(now time.Time) time.Time {
	since := now.Add(-refusedWindow)
	for _, at := range re.attempts {
		if moment := at.interruptedAt.Add(-crashSpread); moment.After(since) {
			since = moment
		}
	}
	return since
}

// RecentlyGone reports whether an endpoint was just found to be gone.
func (in *Interruptions) RecentlyGone(now time.Time, endpoint uint64) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	re := in.endpoints[endpoint]
	return re != nil && !re.goneAt.IsZero() && now.Sub(re.goneAt) <= refusedWindow
}

// Pending reports whether an endpoint has interrupted attempts of which it is not yet known
// whether the endpoint crashed.
func (in *Interruptions) Pending(endpoint uint64) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	re := in.endpoints[endpoint]
	return re != nil && len(re.attempts) > 0
}

// recordOf returns the record of an endpoint, which it makes if there is none, and empties if it was
// last used more than replacedWindow ago.
func (in *Interruptions) recordOf(now time.Time, endpoint uint64) *endpointRecord {
	re := in.endpoints[endpoint]
	if re == nil {
		in.evict(now)
		re = &endpointRecord{}
		in.endpoints[endpoint] = re
	}
	if now.Sub(re.updatedAt) > replacedWindow {
		*re = endpointRecord{}
	}
	re.updatedAt = now
	return re
}

// evict frees a slot for one more endpoint.
func (in *Interruptions) evict(now time.Time) {
	if in.endpoints == nil {
		in.endpoints = map[uint64]*endpointRecord{}
	}
	if len(in.endpoints) < maxEndpoints {
		return
	}
	for endpoint, re := range in.endpoints {
		if now.Sub(re.updatedAt) > replacedWindow {
			delete(in.endpoints, endpoint)
		}
	}
	if len(in.endpoints) >= maxEndpoints {
		// Crashes of so many endpoints at once are not caused by a single request.
		in.endpoints = map[uint64]*endpointRecord{}
	}
}
