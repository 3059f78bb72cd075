package place

import (
	"time"

	"almondrill/core"
)

// Ticket is one placed call, with the beliefs on which it was placed. Its methods
// may be called from one goroutine at a time.
type Ticket struct {
	Endpoint Endpoint
	Started  time.Time
	// CostMs is what the choice predicted; Calls, Others and Mean are own calls
	// there, those told by peers, and the pool's mean; Usable endpoints of Of
	// were weighed, Full ones had no room, ColdFull of them as their limit while cold is used
	// up; Cold tells whether the chosen one is cold; of Prompt tokens, Uncached were thought to be read.
	CostMs    float64
	OwnCalls  int
	PeerCalls int
	MeanCalls float64
	Usable    int
	Full      int
	// BackingOff endpoints were left out as they want no requests for a time.
	BackingOff     int
	ColdFull       int
	PoolSize       int
	Cold           bool
	PromptTokens   core.Tokens
	UncachedTokens core.Tokens
	// ChatKey names the parts that return, 0 if there are none; Home is set if the
	// endpoint is the one on which all routers agree for them.
	ChatKey uint64
	AtHome  bool
	// FetchFrom is the address of an endpoint from which this one may take over
	// kept tokens, "" if none is known; Fetched of them are thought to be needed.
	FetchFrom   string
	FetchTokens core.Tokens
	// Hash names the endpoint and its start to peers. Said is how many calls it said that it
	// had when it answered, this one included; -1 if it did not tell.
	Hash          uint64
	ReportedCalls int

	pl      *Placer
	st      *state
	prefill core.Tokens
	done    bool
	// request is what was chosen for, and chain its parts; away is set for another endpoint than
	// their home.
	request      *Request
	prefixes     []uint64
	awayFromHome bool
	// reserved is set while the call has a place within the limit of a cold endpoint. Its prompt
	// is recorded as sent there once it is.
	reserved bool
	// use counts the call for its customer.
	use      *customerUse
	customer core.CustomerID
}

// BeforeSend is to be called right before the call is sent. It returns why it must not be, as the
// endpoint was closed to new calls, or became cold, after it was chosen; "" if it may.
func (tk *Ticket) BeforeSend(now time.Time) core.Reason {
	tk.pl.mu.Lock()
	defer tk.pl.mu.Unlock()
	st := tk.st
	switch {
	case st.evacuated.complete(now):
		return core.ReasonEvacuated
	case st.Draining || st.removed:
		return core.ReasonDraining
	case now.Before(st.backoffUntil):
		return core.ReasonBackoff
	case !tk.reserved && tk.request.ColdRate > 0 && st.isCold(now, tk.request.ColdDuration):
		return core.ReasonColdLimit // it was not granted
	}
	if tk.reserved {
		st.cold.window.MarkSent(now)
		tk.reserved = false
		tk.recordSent(now)
	}
	return ""
}

// recordSent notes that the endpoint has the prompt from now on, and that this is a move if it is
// away from its home.
func (tk *Ticket) recordSent(now time.Time) {
	if len(tk.prefixes) > 1 && !tk.st.cache.has(tk.ChatKey) && tk.awayFromHome {
		tk.pl.recordMove(now, tk.ChatKey, tk.st.hash)
	}
	tk.st.cache.add(tk.request.Parts, tk.prefixes, tk.request.EngineMemory)
}

// RecordActivity tells that something came from the endpoint. The first time, its prompt
// has been read.
func (tk *Ticket) RecordActivity(now time.Time) {
	tk.pl.mu.Lock()
	defer tk.pl.mu.Unlock()
	st := tk.st
	st.markChanged()
	st.health.recordActivity(now)
	if st.cold.unreachable {
		st.cold.unreachable, st.cold.since = false, now
	}
	tk.prefillDone()
}

func (tk *Ticket) prefillDone() {
	tk.st.pendingPrefill -= tk.prefill
	tk.prefill = 0
}

// Done tells how the call ended; only the first time counts.
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
	st.ownCalls--
	st.load.Add(now, -1)
	if st.ownCalls == 0 {
		st.health.silentSince = time.Time{}
	}
	switch re {
	case Served:
		st.health.recordSuccess(now)
		took := float64(now.Sub(tk.Started)) / float64(time.Millisecond)
		at := tk.pl.callDurationOf(st.Pool)
		st.health.recordDuration(took, at.typicalMs())
		at.record(took)
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
		tk.pl.closeIncarnation(st)
	}
}
