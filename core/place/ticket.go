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
	CostMs float64
	Calls  int
	Others int
	Mean   float64
	Usable int
	Full   int
	// BackingOff endpoints were left out as they want no requests for a time.
	BackingOff int
	ColdFull   int
	Of         int
	Cold       bool
	Prompt     core.Tokens
	Uncached   core.Tokens
	// Chat names the parts that return, 0 if there are none; Home is set if the
	// endpoint is the one on which all routers agree for them.
	Chat uint64
	Home bool
	// FetchFrom is the address of an endpoint from which this one may take over
	// kept tokens, "" if none is known; Fetched of them are thought to be needed.
	FetchFrom string
	Fetched   core.Tokens
	// Hash names the endpoint and its start to peers. Said is how many calls it said that it
	// had when it answered, this one included; -1 if it did not tell.
	Hash uint64
	Said int

	pl     *Placer
	st     *state
	toRead core.Tokens
	done   bool
	// ask is what was chosen for, and chain its parts; away is set for another endpoint than
	// their home.
	ask   *Ask
	chain []uint64
	away  bool
	// reserved is set while the call has a place within the limit of a cold endpoint. Its prompt
	// is recorded as sent there once it is.
	reserved bool
	// use counts the call for its customer.
	use      *use
	customer core.CustomerID
}

// Send is to be called right before the call is sent. It returns why it must not be, as the
// endpoint was closed to new calls, or became cold, after it was chosen; "" if it may.
func (tk *Ticket) Send(now time.Time) core.Reason {
	tk.pl.mu.Lock()
	defer tk.pl.mu.Unlock()
	st := tk.st
	switch {
	case st.evacuated.over(now):
		return core.ReasonEvacuated
	case st.Draining || st.removed:
		return core.ReasonDraining
	case now.Before(st.backoffUntil):
		return core.ReasonBackoff
	case !tk.reserved && tk.ask.ColdRate > 0 && st.isCold(now, tk.ask.ColdFor):
		return core.ReasonColdLimit // it was not granted
	}
	if tk.reserved {
		st.cold.window.Send(now)
		tk.reserved = false
		tk.record(now)
	}
	return ""
}

// record notes that the endpoint has the prompt from now on, and that this is a move if it is
// away from its home.
func (tk *Ticket) record(now time.Time) {
	if len(tk.chain) > 1 && !tk.st.seen.has(tk.Chat) && tk.away {
		tk.pl.noteMove(now, tk.Chat, tk.st.hash)
	}
	tk.st.seen.note(tk.ask.Parts, tk.chain, tk.ask.Memory)
}

// Heard tells that something came from the endpoint. The first time, its prompt
// has been read.
func (tk *Ticket) Heard(now time.Time) {
	tk.pl.mu.Lock()
	defer tk.pl.mu.Unlock()
	st := tk.st
	st.stir()
	st.health.hear(now)
	if st.cold.lost {
		st.cold.lost, st.cold.since = false, now
	}
	tk.read()
}

func (tk *Ticket) read() {
	tk.st.toRead -= tk.toRead
	tk.toRead = 0
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
	st.stir()
	tk.read()
	if tk.reserved {
		st.cold.window.Cancel()
		tk.reserved = false
	}
	tk.use.add(tk.customer, -1)
	st.calls--
	st.reading.Add(now, -1)
	if st.calls == 0 {
		st.health.busySince = time.Time{}
	}
	switch re {
	case Served:
		st.health.served(now)
		took := float64(now.Sub(tk.Started)) / float64(time.Millisecond)
		at := tk.pl.answerTimeOf(st.Pool)
		st.health.answered(took, at.typicalMs())
		at.note(took)
	case Failed:
		st.health.failed(now)
	case Full:
		st.fullUntil = now.Add(fullFor)
	case Unreached:
		st.cold.lost = true
		st.health.count(now, 1)
		st.health.down(now)
	case Silent:
		st.health.count(now, 1)
		st.health.down(now)
	case Replaced:
		tk.pl.close(st)
	}
}
