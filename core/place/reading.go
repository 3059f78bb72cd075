package place

import (
	"cmp"
	"slices"
	"time"
)

// Reading is how many calls an endpoint said that it had, running and waiting, and
// how long ago. Routers pass the latest ones on to each other, whoever got them:
// what each hears in a second is then the same however many routers there are.
type Reading struct {
	_ struct{} `cbor:",toarray"`
	// Endpoint is the hash of its id.
	Endpoint uint64
	Calls    uint32
	AgeMs    uint32
}

const (
	// readingFor is how long a reading is used: beyond it, calls of some hundred
	// milliseconds have come and gone unseen.
	readingFor = 1500 * time.Millisecond
	// mostReadings bounds those in a message: with 11 bytes each it stays within one
	// frame.
	mostReadings = 100
	// mostChanges bounds the own calls remembered since a reading.
	mostChanges = 256
)

// reading is an endpoint's own count of its calls at a time, and how the router's
// own have changed since.
type reading struct {
	calls int
	at    time.Time
	// since is the sum of changes.
	since   int
	changes []change
}

// change is the start or the end of an own call.
type change struct {
	at time.Time
	by int
}

// take keeps a newer count.
func (re *reading) take(calls int, at time.Time) {
	if !at.After(re.at) {
		return
	}
	re.calls, re.at = calls, at
	re.changes = slices.DeleteFunc(re.changes, func(ch change) bool { return !ch.at.After(at) })
	re.since = 0
	for _, ch := range re.changes {
		re.since += ch.by
	}
}

func (re *reading) note(at time.Time, by int) {
	if len(re.changes) >= mostChanges {
		for _, ch := range re.changes[:mostChanges/2] {
			re.since -= ch.by
		}
		re.changes = slices.Delete(re.changes, 0, mostChanges/2)
	}
	re.changes = append(re.changes, change{at, by})
	re.since += by
}

// old tells that there is no count that is used still.
func (re *reading) old(now time.Time) bool { return re.at.IsZero() || now.Sub(re.at) > readingFor }

// now is the count, brought forward by the own calls since; false if it is too old.
func (re *reading) now(now time.Time) (int, bool) {
	if re.old(now) {
		return 0, false
	}
	return max(0, re.calls+re.since), true
}

// Counted tells how many calls the endpoint said that it has, this one included.
func (tk *Ticket) Counted(now time.Time, calls int) {
	tk.pl.mu.Lock()
	defer tk.pl.mu.Unlock()
	tk.st.stir()
	tk.st.reading.take(calls, now)
}

// Readings are the latest that the router has, its own and those it heard.
func (pl *Placer) Readings(now time.Time) []Reading {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var all []Reading
	for _, st := range pl.byID {
		if age := now.Sub(st.reading.at); !st.reading.at.IsZero() && age < readingFor {
			all = append(all, Reading{Endpoint: st.hash, Calls: uint32(st.reading.calls), AgeMs: uint32(age.Milliseconds())})
		}
	}
	slices.SortFunc(all, func(a, b Reading) int { return cmp.Compare(a.AgeMs, b.AgeMs) })
	return all[:min(len(all), mostReadings)]
}

// HearReadings takes those of a peer; way is how long the message took at least.
func (pl *Placer) HearReadings(now time.Time, way time.Duration, heard []Reading) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, re := range heard {
		if st := pl.byHash[re.Endpoint]; st != nil {
			st.stir()
			st.reading.take(int(re.Calls), now.Add(-way-time.Duration(re.AgeMs)*time.Millisecond))
		}
	}
}
