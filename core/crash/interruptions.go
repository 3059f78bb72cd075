package crash

import (
	"slices"
	"sync"
	"time"

	"almondrill/core"
)

// Evidence tells by what an endpoint was found to be gone.
type Evidence uint8

const (
	// Refused: it refuses connections.
	Refused Evidence = iota + 1
	// Replaced: another process has registered in its place.
	Replaced
)

// String is the name used in logs.
func (ev Evidence) String() string {
	if ev == Refused {
		return "Refused"
	}
	return "Replaced"
}

const (
	// refusedWindow is how long before an endpoint refused connections it may have crashed.
	refusedWindow = time.Second
	// crashSpread is how far attempts break off from each other that end with a crash: all
	// connections end at once, and a busy router reads that some time later.
	crashSpread = 200 * time.Millisecond
	// replacedWindow is the same for an endpoint that is replaced: one that went silent is
	// started again within seconds.
	replacedWindow = 10 * time.Second
	// maxEndpoints and mostRuns bound what is kept: endpoints at which attempts broke off
	// lately, and attempts at each.
	maxEndpoints = 1024
	maxAttempts  = 256
)

// Attempt is an attempt at an endpoint, which is named by the hash of its id and start.
type Attempt struct {
	Endpoint  uint64
	Request   core.Fingerprint
	StartedAt time.Time
}

// Interruptions keeps a router's attempts that broke off until it is known whether their endpoints
// are gone. It is safe for concurrent use; the zero value is ready.
type Interruptions struct {
	mu        sync.Mutex // guards all below
	endpoints map[uint64]*endpointRecord
}

// endpointRecord is what broke off at one endpoint.
type endpointRecord struct {
	updatedAt time.Time
	// goneAt is when it was found to be gone, the zero time if it was not; crashed is when the
	// first attempt had broken off then.
	goneAt, crashedAt time.Time
	attempts          []interruptedAttempt
}

type interruptedAttempt struct {
	request                  core.Fingerprint
	startedAt, interruptedAt time.Time
}

// Add notes that an attempt broke off. It returns true if its endpoint is known to be gone
// since, so that it was running there.
func (in *Interruptions) Add(now time.Time, at Attempt) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	re := in.recordOf(now, at.Endpoint)
	if at.StartedAt.Before(re.goneAt) {
		return at.StartedAt.Before(re.crashedAt) && now.Sub(re.goneAt) <= refusedWindow
	}
	if len(re.attempts) < maxAttempts {
		re.attempts = append(re.attempts, interruptedAttempt{at.Request, at.StartedAt, now})
	}
	return false
}

// EndpointGone notes that an endpoint is gone, and returns the requests that were running there when
// it crashed.
//
// Failure: half of the endpoints crash in one moment, and a request goes from one to the next
// of them on connections that are kept, within milliseconds. It was not running at those to
// which it came after others had broken off there, and would be taken for the cause.
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
	re.attempts = slices.DeleteFunc(re.attempts, func(ru interruptedAttempt) bool { return ru.interruptedAt.Before(since) })
	var crashed []core.Fingerprint
	for _, ru := range re.attempts {
		// The first of the runs is that which broke off first.
		if ru.startedAt.Before(re.attempts[0].interruptedAt) && !slices.Contains(crashed, ru.request) {
			crashed = append(crashed, ru.request)
		}
	}
	re.goneAt, re.crashedAt = now, now
	if len(re.attempts) > 0 {
		re.crashedAt = re.attempts[0].interruptedAt
	}
	re.attempts = nil
	return crashed
}

// crashStart is from when on attempts broke off with a crash that shows now. What broke off
// before, such as by a lost answer, has nothing to do with it.
func (re *endpointRecord) crashStart(now time.Time) time.Time {
	since := now.Add(-refusedWindow)
	for _, ru := range re.attempts {
		if moment := ru.interruptedAt.Add(-crashSpread); moment.After(since) {
			since = moment
		}
	}
	return since
}

// Pending tells whether attempts broke off at an endpoint of which it is not known whether it
// is gone.
func (in *Interruptions) Pending(endpoint uint64) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	re := in.endpoints[endpoint]
	return re != nil && len(re.attempts) > 0
}

// recordOf is what is kept of an endpoint.
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

// evict makes room for one more endpoint.
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
		// So many at once are no crash of one request.
		in.endpoints = map[uint64]*endpointRecord{}
	}
}
