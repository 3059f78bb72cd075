package crash

import (
	"encoding/binary"
	"fmt"
	"math"
	"slices"
	"time"

	"almondrill/core"
)

// Crashes of a request that is not quarantined yet are known to the routers that saw them and to its owners. A fault that
// takes all routers takes these along, and the crashes of endpoints that run the request just then are seen by
// nobody. So the runs of suspects are written to the store as well; of parts of prompts, only the crashes. A router that starts counts the crashes among
// them, and those of the endpoints that are gone since.

const (
	// runTTL is how long after a suspect was sent to an endpoint it may have crashed it.
	runTTL = 20 * time.Second
	// MaxRuns bounds the runs in a batch, and maxUnresolved those whose end is not known.
	MaxRuns       = 512
	maxUnresolved = 4096
	// partCrashesToStore is with how many crashes those of a part are stored, the first one only if it makes at most
	// maxFirstParts suspects: one crash may make thousands. partRunTTL is how long they count: others do not learn of a success
	// of a part.
	partCrashesToStore = 2
	maxFirstParts      = 64
	partRunTTL         = 30 * time.Second
	// runSize is the size of an encoded run: the request, the endpoint, the age in ms and whether it crashed.
	runSize = len(core.Fingerprint{}) + 8 + 4 + 1
)

// Sent returns the run to be stored if the request is a suspect; false if it is not.
func (ta *Table) Sent(now time.Time, endpoint uint64, fp core.Fingerprint) (core.SuspectRun, bool) {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return core.SuspectRun{Request: fp, Endpoint: endpoint, At: now}, ta.suspects[fp] != nil
}

// Suspected reports whether a run still matters: its request is a suspect.
func (ta *Table) Suspected(run core.SuspectRun) bool {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	return ta.suspectsLike(run.Request)[run.Request] != nil
}

// storePart adds the crashes of a part, which has had one more, to those to be stored. first is set if its first one is.
func (ta *Table) storePart(fp core.Fingerprint, first bool, ef *Effects) {
	crashes := ta.parts[fp].crashes
	switch {
	case len(crashes) < partCrashesToStore && !first:
		return
	case len(crashes) > partCrashesToStore:
		crashes = crashes[len(crashes)-1:]
	}
	for _, cr := range crashes {
		ef.Runs = append(ef.Runs, core.SuspectRun{Request: fp, Endpoint: cr.Endpoint, At: cr.At, Crashed: true})
	}
}

// RunStored applies a run in the store. Those without a crash, and of parts, matter to a router that has just started,
// initial, only: others see the crash themselves, or get a notice.
func (ta *Table) RunStored(now time.Time, run core.SuspectRun, initial bool) Effects {
	ta.mu.Lock()
	defer ta.mu.Unlock()
	var ef Effects
	switch {
	case IsPart(run.Request) && (!initial || now.Sub(run.At) > partRunTTL):
	case run.Crashed:
		ta.recordStoredCrash(now, run, &ef)
	case initial && len(ta.unresolved) < maxUnresolved:
		ta.unresolved = append(ta.unresolved, run)
		ta.unresolvedCount.Store(int32(len(ta.unresolved)))
	}
	return ef
}

// recordStoredCrash records a crash unless one of the same endpoint is known: their times may differ.
func (ta *Table) recordStoredCrash(now time.Time, run core.SuspectRun, ef *Effects) {
	same := func(cr core.Crash) bool { return cr.Endpoint == run.Endpoint }
	if su := ta.suspectsLike(run.Request)[run.Request]; su != nil && slices.ContainsFunc(su.crashes, same) {
		return
	}
	// Crashes count in a quarantine's entry. Added alone, they would look like one outage, and a trial would follow early.
	if qu := ta.quarantined[run.Request]; qu != nil && (qu.rev != 0 || IsPart(run.Request) || slices.ContainsFunc(qu.crashes, same)) {
		return
	}
	ta.recordCrash(now, run.Request, core.Crash{Endpoint: run.Endpoint, At: run.At}, ef)
}

// ResolveRuns counts the crashes of endpoints that are gone since suspects were sent to them. known reports whether an
// endpoint is registered.
func (ta *Table) ResolveRuns(now time.Time, known func(endpoint uint64) bool) Effects {
	var ef Effects
	if ta.unresolvedCount.Load() == 0 {
		return ef
	}
	ta.mu.Lock()
	defer ta.mu.Unlock()
	ta.unresolved = slices.DeleteFunc(ta.unresolved, func(run core.SuspectRun) bool {
		if now.Sub(run.At) > runTTL {
			return true
		}
		if known(run.Endpoint) {
			return false
		}
		ta.recordStoredCrash(now, run, &ef)
		return true
	})
	ta.unresolvedCount.Store(int32(len(ta.unresolved)))
	return ef
}

// EncodeRuns returns the stored value of runs. Ages are stored, as the clocks of routers differ.
func EncodeRuns(now time.Time, runs []core.SuspectRun) []byte {
	value := make([]byte, 0, len(runs)*runSize)
	for _, run := range runs {
		age := min(math.MaxUint32, max(0, now.Sub(run.At).Milliseconds()))
		value = append(value, run.Request[:]...)
		value = binary.BigEndian.AppendUint64(value, run.Endpoint)
		value = binary.BigEndian.AppendUint32(value, uint32(age))
		crashed := byte(0)
		if run.Crashed {
			crashed = 1
		}
		value = append(value, crashed)
	}
	return value
}

// DecodeRuns decodes runs that arrive now.
func DecodeRuns(now time.Time, value []byte) ([]core.SuspectRun, error) {
	if len(value)%runSize != 0 || len(value) > MaxRuns*runSize {
		return nil, fmt.Errorf("decode runs of suspects: %d bytes", len(value))
	}
	var runs []core.SuspectRun
	for entry := range slices.Chunk(value, runSize) {
		run := core.SuspectRun{Request: core.Fingerprint(entry)}
		rest := entry[len(run.Request):]
		run.Endpoint = binary.BigEndian.Uint64(rest)
		run.At = now.Add(-time.Duration(binary.BigEndian.Uint32(rest[8:])) * time.Millisecond)
		run.Crashed = rest[12] == 1
		runs = append(runs, run)
	}
	return runs, nil
}
