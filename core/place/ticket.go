package place

import (
	"time"

	"almondrill/core"
)

// Ticket is a placed call, with the figures that the choice was based on. Its methods must not be
// called concurrently.
type Ticket struct {
	Endpoint Endpoint
	Started  time.Time
	// CostMs is the predicted cost. OwnCalls and PeerCalls are the calls at the endpoint, this
	// router's and those of peers; MeanCalls is the pool's mean. Of PoolSize endpoints, Usable were
	// weighed, Full had no capacity, and ColdFull of these because their limit while cold was used
	// up. Cold tells whether the chosen endpoint is cold. Of PromptTokens, UncachedTokens are
	// expected to be prefilled.
	CostMs    float64
	OwnCalls  int
	PeerCalls int
	MeanCalls float64
	Usable    int
	Full      int
	// BackingOff is how many endpoints were excluded because they accept no requests for a time.
	BackingOff     int
	ColdFull       int
	PoolSize       int
	Cold           bool
	PromptTokens   core.Tokens
	UncachedTokens core.Tokens
	// ChatKey identifies the chat by the parts that its requests share, 0 if there are no parts.
	// AtHome is set if the endpoint is the chat's home.
	ChatKey uint64
	AtHome  bool
	// FetchFrom is the address of an endpoint from which this one may fetch cached tokens, "" if
	// none is known. FetchTokens is how many it is expected to fetch.
	FetchFrom   string
	FetchTokens core.Tokens
	// Hash names the endpoint and its incarnation to peers. ReportedCalls is how many calls the
	// endpoint reported in its response, this one included; -1 if it reported none.
	Hash          uint64
	ReportedCalls int
	// Build is the endpoint's build at the choice.
	Build core.Build
	// Slowness is the factor by which the endpoint was assumed to be slower than usual, and
	// ExpectedFirst the expected time until the first token; 0 if none is known.
	Slowness      float64
	ExpectedFirst time.Duration
	// SlownessLearned is set if the factor was learned from routers' streams, not reported.
	SlownessLearned bool

	pl      *Placer
	st      *state
	prefill core.Tokens
	done    bool
	// request is the request and prefixes are the hashes of its prefixes. awayFromHome is set if
	// the endpoint is not the chat's home.
	request      *Request
	prefixes     []uint64
	awayFromHome bool
	// reserved is set while the call holds a reservation within the limit of a cold endpoint.
	reserved bool
	// use counts the call for its customer.
	use      *customerUse
	customer core.CustomerID
	pacer    pacer
	// heldOutput is the memory counted for the response, 0 if none is counted for the call.
	heldOutput core.Tokens
	progress   progress
	// unrecorded is set until the prompt is added to the cache model.
	unrecorded bool
}

// BeforeSend must be called immediately before the call is sent. It returns "", or the reason why
// the call must not be sent: after it was chosen, the endpoint was closed to new calls, asked for
// none for a time, became cold, or registered another build.
func (tk *Ticket) BeforeSend(now time.Time) core.Reason {
	tk.pl.mu.Lock()
	defer tk.pl.mu.Unlock()
	st := tk.st
	switch {
	case st.evacuated.complete(now):
		return core.ReasonEvacuated
	case st.Draining || st.removed || st.build != tk.Build:
		return core.ReasonDraining
	case now.Before(st.backoffUntil):
		return core.ReasonBackoff
	case !tk.reserved && tk.request.ColdRate > 0 && st.isCold(now, tk.request.ColdDuration):
		return core.ReasonColdLimit // no grant was requested
	}
	if tk.reserved {
		st.cold.window.MarkSent(now)
		tk.reserved = false
	}
	if tk.unrecorded {
		tk.unrecorded = false
		tk.recordSent(now)
	}
	return ""
}

// recordSent adds the prompt to the endpoint's cache model, and records a move if the chat is new
// to the endpoint and this is not its home.
func (tk *Ticket) recordSent(now time.Time) {
	if len(tk.prefixes) > 1 && !tk.st.cache.has(tk.ChatKey) && tk.awayFromHome {
		tk.pl.recordMove(now, tk.ChatKey, tk.st.hash)
	}
	tk.st.cache.add(tk.request.Parts, tk.prefixes, tk.request.EngineMemory)
}

// RecordActivity records that data arrived from the endpoint. The first data means that the prompt
// is prefilled.
func (tk *Ticket) RecordActivity(now time.Time) {
	tk.pl.mu.Lock()
	defer tk.pl.mu.Unlock()
	st := tk.st
	st.markChanged()
	st.health.recordActivity(now)
	if st.cold.unreachable {
		st.cold.unreachable, st.cold.since = false, now
	}
	tk.pacer.activity(now, st.speed.current(now))
	tk.progress.activity(now, st.speed.lostUntil(now))
	tk.prefillDone()
}

func (tk *Ticket) prefillDone() {
	tk.st.pendingPrefill -= tk.prefill
	tk.prefill = 0
}

// Done records how the call ended. Only the first call of Done counts.
func (tk *Ticket) Done(now time.Time, re Result) {
	tk.pl.mu.Lock()
	defer tk.pl.mu.Unlock()
	if tk.done {
		return
	}
	tk.done = true
	st := tk.st
	st.markChanged()
	tk.prefillDone()
	if tk.reserved {
		st.cold.window.Cancel()
		tk.reserved = false
	}
	tk.use.add(tk.customer, -1)
	tk.releaseMemory(now)
	st.ownCalls--
	st.load.Add(now, -1)
	if st.ownCalls == 0 {
		st.health.silentSince = time.Time{}
		tk.pl.forgetDeparted(st)
	}
	defer tk.pl.serveWaits(now, st.Pool)
	switch re {
	case Served:
		st.health.recordSuccess(now)
		if tk.request.MigrateFrom != "" {
			break // only a part of the response was produced here
		}
		took := float64(now.Sub(tk.Started)) / float64(time.Millisecond)
		cd := tk.pl.callDurationOf(st.Pool)
		st.health.recordDuration(took, cd.typicalMs())
		cd.record(took)
		tk.recordPace(now)
	case Failed:
		st.health.recordFailure(now)
	case Rejected:
		st.fullUntil = now.Add(rejectedPause)
	case Unreachable:
		st.cold.unreachable = true
		st.health.recordOutcome(now, 1)
		st.health.markDown(now)
	case TimedOut:
		st.health.recordOutcome(now, 1)
		st.health.markDown(now)
	case Replaced:
		tk.pl.closeIncarnation(now, st)
	}
}
