package blame

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
	// refusedWithin is how long before an endpoint refused connections it may have crashed.
	refusedWithin = time.Second
	// oneMoment is how far attempts break off from each other that end with a crash: all
	// connections end at once, and a busy router reads that some time later.
	oneMoment = 200 * time.Millisecond
	// replacedWithin is the same for an endpoint that is replaced: one that went silent is
	// started again within seconds.
	replacedWithin = 10 * time.Second
	// mostEndpoints and mostRuns bound what is kept: endpoints at which attempts broke off
	// lately, and attempts at each.
	mostEndpoints = 1024
	mostRuns      = 256
)

// Run is an attempt at an endpoint, which is named by the hash of its id and start.
type Run struct {
	Endpoint uint64
	Request  core.Fingerprint
	Began    time.Time
}

// Breaks keeps a router's attempts that broke off until it is known whether their endpoints
// are gone. It is safe for concurrent use; the zero value is ready.
type Breaks struct {
	mu        sync.Mutex // guards all below
	endpoints map[uint64]*broken
}

// broken is what broke off at one endpoint.
type broken struct {
	last time.Time
	// gone is when it was found to be gone, the zero time if it was not; crashed is when the
	// first attempt had broken off then.
	gone, crashed time.Time
	runs          []brokenRun
}

type brokenRun struct {
	request   core.Fingerprint
	began, at time.Time
}

// Broke notes that an attempt broke off. It returns true if its endpoint is known to be gone
// since, so that it was running there.
func (br *Breaks) Broke(now time.Time, ru Run) bool {
	br.mu.Lock()
	defer br.mu.Unlock()
	en := br.of(now, ru.Endpoint)
	if ru.Began.Before(en.gone) {
		return ru.Began.Before(en.crashed) && now.Sub(en.gone) <= refusedWithin
	}
	if len(en.runs) < mostRuns {
		en.runs = append(en.runs, brokenRun{ru.Request, ru.Began, now})
	}
	return false
}

// Gone notes that an endpoint is gone, and returns the requests that were running there when
// it crashed.
//
// Failure: half of the endpoints crash in one moment, and a request goes from one to the next
// of them on connections that are kept, within milliseconds. It was not running at those to
// which it came after others had broken off there, and would be taken for the cause.
func (br *Breaks) Gone(now time.Time, endpoint uint64, ev Evidence) []core.Fingerprint {
	br.mu.Lock()
	defer br.mu.Unlock()
	en := br.endpoints[endpoint]
	if en == nil {
		return nil
	}
	since := now.Add(-replacedWithin)
	if ev == Refused {
		since = en.crashedSince(now)
	}
	en.runs = slices.DeleteFunc(en.runs, func(ru brokenRun) bool { return ru.at.Before(since) })
	var crashed []core.Fingerprint
	for _, ru := range en.runs {
		// The first of the runs is that which broke off first.
		if ru.began.Before(en.runs[0].at) && !slices.Contains(crashed, ru.request) {
			crashed = append(crashed, ru.request)
		}
	}
	en.gone, en.crashed = now, now
	if len(en.runs) > 0 {
		en.crashed = en.runs[0].at
	}
	en.runs = nil
	return crashed
}

// crashedSince is from when on attempts broke off with a crash that shows now. What broke off
// before, such as by a lost answer, has nothing to do with it.
func (en *broken) crashedSince(now time.Time) time.Time {
	since := now.Add(-refusedWithin)
	for _, ru := range en.runs {
		if moment := ru.at.Add(-oneMoment); moment.After(since) {
			since = moment
		}
	}
	return since
}

// Waiting tells whether attempts broke off at an endpoint of which it is not known whether it
// is gone.
func (br *Breaks) Waiting(endpoint uint64) bool {
	br.mu.Lock()
	defer br.mu.Unlock()
	en := br.endpoints[endpoint]
	return en != nil && len(en.runs) > 0
}

// of is what is kept of an endpoint.
func (br *Breaks) of(now time.Time, endpoint uint64) *broken {
	en := br.endpoints[endpoint]
	if en == nil {
		br.shrink(now)
		en = &broken{}
		br.endpoints[endpoint] = en
	}
	if now.Sub(en.last) > replacedWithin {
		*en = broken{}
	}
	en.last = now
	return en
}

// shrink makes room for one more endpoint.
func (br *Breaks) shrink(now time.Time) {
	if br.endpoints == nil {
		br.endpoints = map[uint64]*broken{}
	}
	if len(br.endpoints) < mostEndpoints {
		return
	}
	for endpoint, en := range br.endpoints {
		if now.Sub(en.last) > replacedWithin {
			delete(br.endpoints, endpoint)
		}
	}
	if len(br.endpoints) >= mostEndpoints {
		// So many at once are no crash of one request.
		br.endpoints = map[uint64]*broken{}
	}
}
