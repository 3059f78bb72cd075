package claim

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"almondrill/core"
	"almondrill/core/agent"
)

// maxStoredResponse bounds an answer that is kept for replay.
const maxStoredResponse = 256 << 10

// Keys is an agent's table of the idempotency keys it took. Set the exported
// fields before use.
type Keys struct {
	Clock core.Clock
	Self  core.Claimant
	// Window is how long a key is kept; MaxBytes bounds the answers kept.
	Window   time.Duration
	MaxBytes core.Bytes
	// ClaimTimeout bounds the time that a claim may take.
	ClaimTimeout time.Duration
	// Ask asks the key's keeper.
	Ask func(ctx context.Context, cl *core.Claim) (*core.ClaimReply, error)
	// Alive tells whether a claimant is, as far as known, still there.
	Alive func(by core.Claimant) bool
	// Replayed, if set, counts a replay.
	Replayed func()

	mu          sync.Mutex // guards all below and the records
	records     map[core.KeyHash]*record
	byAge       []*record // by time
	storedBytes core.Bytes
}

var _ agent.Keys = (*Keys)(nil)

type state uint8

const (
	// open: not run so far; the next call with the key may run.
	open state = iota
	running
	done
)

// record is one key's standing here.
type record struct {
	hash            core.KeyHash
	fingerprint     uint64 // of the request, to tell a key that was used for another
	at              time.Time
	state           state
	claimed         bool
	changed         chan struct{} // closed when state leaves running
	refusal         *core.Refusal // how it ended, nil for whole
	parts           []core.Part
	bytes           core.Bytes
	responseDropped bool // the answer was too large or had to make room
}

// Seen tells whether the key was taken here, so that a leaving agent still
// replays its outcome.
func (ke *Keys) Seen(ca *core.Call) bool {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	re := ke.records[Hash(ca.Customer, ca.Key)]
	return re != nil && re.state != open
}

// Begin lets one call of a key through at a time. Others wait for its end, then
// get the same outcome, or run if it was not run.
func (ke *Keys) Begin(ctx context.Context, ca *core.Call, si core.Sink) (agent.Execution, error) {
	hash := Hash(ca.Customer, ca.Key)
	fp := fingerprint(ca)
	for {
		re, wait := ke.acquire(hash, fp)
		switch {
		case re.fingerprint != fp:
			return nil, ke.refuse(core.NotRun, core.ReasonKeyReused, "the key was used for another request")
		case wait == nil && re.state == done:
			return nil, ke.replay(re, ca, si)
		case wait == nil:
			return &run{keys: ke, record: re, inner: si}, nil
		}
		select {
		case <-wait:
		case <-ctx.Done():
			// The run goes on; how it ends is not known to this caller.
			return nil, ke.refuse(core.Unknown, core.ReasonDeadline, "a call with the same key is still running")
		}
	}
}

// acquire finds or makes the key's record. With wait nil and state running it is the
// caller's to run; with wait nil and state done it is to be replayed.
func (ke *Keys) acquire(hash core.KeyHash, fp uint64) (*record, chan struct{}) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	ke.expire()
	if ke.records == nil {
		ke.records = map[core.KeyHash]*record{}
	}
	re := ke.records[hash]
	if re == nil {
		re = &record{hash: hash, fingerprint: fp, at: ke.Clock.Now()}
		ke.records[hash] = re
		ke.byAge = append(ke.byAge, re)
	}
	if re.fingerprint != fp || re.state == done {
		return re, nil
	}
	if re.state == running {
		return re, re.changed
	}
	re.state = running
	re.changed = make(chan struct{})
	return re, nil
}

// expire drops records older than Window. A running one stays: it is its call
// that ends it.
func (ke *Keys) expire() {
	limit := ke.Clock.Now().Add(-ke.Window)
	for len(ke.byAge) > 0 && ke.byAge[0].at.Before(limit) {
		re := ke.byAge[0]
		if re.state == running {
			return
		}
		ke.byAge = ke.byAge[1:]
		ke.storedBytes -= re.bytes
		delete(ke.records, re.hash)
	}
}

func fingerprint(ca *core.Call) uint64 {
	di := xxhash.New()
	_, _ = di.WriteString(string(ca.Pool) + "\n" + ca.Method + "\n" + ca.Path + "\n")
	_, _ = di.Write(ca.Body)
	return di.Sum64()
}

// replay sends the outcome again, under the new attempt's id.
func (ke *Keys) replay(re *record, ca *core.Call, si core.Sink) error {
	if ke.Replayed != nil {
		ke.Replayed()
	}
	if re.refusal != nil {
		return re.refusal
	}
	ke.mu.Lock()
	parts, gone := re.parts, re.responseDropped
	ke.mu.Unlock()
	if gone {
		return ke.refuse(core.Unknown, core.ReasonAnswerGone, "it ran to its end, but the answer is no longer kept")
	}
	for ix := range parts {
		pa := parts[ix]
		pa.Attempt = ca.Attempt
		if err := si.Send(&pa); err != nil {
			return ke.refuse(core.Unknown, core.ReasonCallerGone, err.Error())
		}
	}
	return nil
}

func (ke *Keys) refuse(ou core.Outcome, reason core.Reason, detail string) *core.Refusal {
	return &core.Refusal{
		Outcome: ou, Reason: reason, Step: "claim", Peer: string(ke.Self.VM), Detail: detail,
	}
}

// Size is the number of keys kept and the bytes of their answers.
func (ke *Keys) Size() (int, core.Bytes) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	return len(ke.records), ke.storedBytes
}

// run is the permission to run a key's call.
type run struct {
	keys       *Keys
	record     *record
	inner      core.Sink
	parts      []core.Part
	bytes      core.Bytes
	tooLarge   bool
	callerGone bool
}

// Claim makes the claim in the KV, through the key's keeper. Once made it stands
// for as long as the record: a call that was then not run may try again without.
func (ru *run) Claim(ctx context.Context) *core.Refusal {
	ke := ru.keys
	if ru.record.claimed {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, ke.ClaimTimeout)
	defer cancel()
	rp, err := ke.Ask(ctx, &core.Claim{Hash: ru.record.hash, By: ke.Self})
	if err != nil {
		re := ke.refuse(core.NotRun, core.ReasonKVDown, "the key could not be claimed: "+err.Error())
		re.RetryAfter = time.Second
		return re
	}
	if rp.Granted {
		ru.record.claimed = true
		return nil
	}
	if rp.Holder.VM == ke.Self.VM || !ke.Alive(rp.Holder) {
		return ke.refuse(core.Unknown, core.ReasonClaimLost,
			"the key was claimed by a process that is gone: "+string(rp.Holder.VM))
	}
	re := ke.refuse(core.NotRun, core.ReasonHeldElsewhere, "the key was claimed by another agent")
	re.Alternatives = []core.VMID{rp.Holder.VM}
	return re
}

// Sink records the answer on its way to the caller.
func (ru *run) Sink() core.Sink { return ru }

// Send keeps a copy of the part. A caller that has left does not stop the run:
// its retry is to find the outcome.
func (ru *run) Send(pa *core.Part) error {
	if !ru.tooLarge {
		kept := *pa
		kept.Data = append([]byte(nil), pa.Data...)
		ru.parts = append(ru.parts, kept)
		ru.bytes += core.Bytes(len(pa.Data))
		ru.tooLarge = ru.bytes > maxStoredResponse
	}
	if !ru.callerGone {
		ru.callerGone = ru.inner.Send(pa) != nil
	}
	return nil
}

// End settles the key. Not run leaves it open for another try here.
func (ru *run) End(re *core.Refusal) {
	ke, rec := ru.keys, ru.record
	ke.mu.Lock()
	defer ke.mu.Unlock()
	defer close(rec.changed)
	if re != nil && re.Outcome == core.NotRun {
		rec.state = open
		return
	}
	rec.state = done
	rec.refusal = re
	rec.responseDropped = ru.tooLarge
	if re == nil && !ru.tooLarge {
		rec.parts, rec.bytes = ru.parts, ru.bytes
		ke.storedBytes += ru.bytes
		ke.evictResponses()
	}
}

// evictResponses drops the oldest answers while they take too much.
func (ke *Keys) evictResponses() {
	for _, re := range ke.byAge {
		if ke.storedBytes <= ke.MaxBytes {
			return
		}
		if re.bytes > 0 {
			ke.storedBytes -= re.bytes
			re.parts, re.bytes, re.responseDropped = nil, 0, true
		}
	}
}
