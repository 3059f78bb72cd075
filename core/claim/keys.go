package claim

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"almondrill/core"
	"almondrill/core/agent"
	"almondrill/core/ledger"
)

const (
	// maxStoredResponse bounds a response that is kept for replay.
	maxStoredResponse = 256 << 10
	// recordBytes is what the record of a key costs.
	recordBytes = 512
)

// Keys is an agent's table of the idempotency keys that it accepted. Set the exported
// fields before use.
type Keys struct {
	Clock core.Clock
	Self  core.Claimant
	// Window is how long a key is kept; MaxBytes bounds the responses kept.
	Window   time.Duration
	MaxBytes core.Bytes
	// Memory is the process's account of bytes; records are ledger.Kept. nil bounds nothing.
	Memory *ledger.Ledger
	// ClaimTimeout bounds the time that a claim may take.
	ClaimTimeout time.Duration
	// Ask sends a claim to the owner of the key's shard.
	Ask func(ctx context.Context, cl *core.Claim) (*core.ClaimReply, error)
	// Alive reports whether a claimant is, as far as known, still running.
	Alive func(by core.Claimant) bool
	// Replayed, if set, is called for each replay.
	Replayed func()

	mu          sync.Mutex // guards all below and the records
	records     map[core.KeyHash]*record
	byAge       []*record // by time
	storedBytes core.Bytes
}

var _ agent.Keys = (*Keys)(nil)

type state uint8

const (
	// open: no call with the key was executed so far; the next one may be.
	open state = iota
	running
	done
)

// record is the state of one key on this agent.
type record struct {
	hash            core.KeyHash
	fingerprint     uint64 // of the request, to detect a key that is reused for another one
	acceptedAt      time.Time
	state           state
	claimed         bool
	changed         chan struct{} // closed when state leaves running
	refusal         *core.Refusal // why the call failed, nil after success
	parts           []core.Part
	bytes           core.Bytes
	responseDropped bool // the response was too large or was evicted
}

// Seen reports whether the key was accepted here, so that an agent that shuts down still replays its
// outcome.
func (ke *Keys) Seen(ca *core.Call) bool {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	re := ke.records[Hash(ca.Customer, ca.Key)]
	return re != nil && re.state != open
}

// Begin admits one call of a key at a time. Other calls wait for its end; they then get the same
// outcome, or the next one is admitted if it was not executed.
func (ke *Keys) Begin(ctx context.Context, ca *core.Call, si core.Sink) (agent.Execution, error) {
	hash := Hash(ca.Customer, ca.Key)
	fp := fingerprint(ca)
	for {
		re, wait := ke.acquire(hash, fp)
		switch {
		case re == nil:
			return nil, ke.noMemory()
		case re.fingerprint != fp:
			return nil, ke.refuse(core.NotRun, core.ReasonKeyReused, "the key was used for another request")
		case wait == nil && re.state == done:
			return nil, ke.replay(re, ca, si)
		case wait == nil:
			return &execution{keys: ke, record: re, caller: si}, nil
		}
		select {
		case <-wait:
		case <-ctx.Done():
			// The execution continues; this caller does not learn its outcome.
			return nil, ke.refuse(core.Unknown, core.ReasonDeadline, "a call with the same key is still running")
		}
	}
}

// acquire finds or creates the key's record. If the returned channel is not nil, another call with
// the key is running. If it is nil, the caller replays the outcome of a record in state done, and
// executes the call of a record in state running. The caller has to compare the fingerprint first. The record is nil if
// there is no memory for it.
func (ke *Keys) acquire(hash core.KeyHash, fp uint64) (*record, chan struct{}) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	ke.expire()
	if ke.records == nil {
		ke.records = map[core.KeyHash]*record{}
	}
	re := ke.records[hash]
	if re == nil {
		if !ke.reserveRecord() {
			return nil, nil
		}
		re = &record{hash: hash, fingerprint: fp, acceptedAt: ke.Clock.Now()}
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

// expire drops records older than Window. It stops at one whose call is running; that record is
// dropped after its call has ended.
func (ke *Keys) expire() {
	limit := ke.Clock.Now().Add(-ke.Window)
	for len(ke.byAge) > 0 && ke.byAge[0].acceptedAt.Before(limit) {
		re := ke.byAge[0]
		if re.state == running {
			return
		}
		ke.byAge = ke.byAge[1:]
		ke.release(re)
		ke.Memory.Release(ledger.Kept, recordBytes)
		delete(ke.records, re.hash)
	}
}

func fingerprint(ca *core.Call) uint64 {
	di := xxhash.New()
	_, _ = di.WriteString(string(ca.Pool) + "\n" + ca.Method + "\n" + ca.Path + "\n")
	_, _ = di.Write(ca.Body)
	return di.Sum64()
}

// replay sends the stored outcome under the new attempt's ID.
func (ke *Keys) replay(re *record, ca *core.Call, si core.Sink) error {
	if ke.Replayed != nil {
		ke.Replayed()
	}
	if re.refusal != nil {
		return re.refusal
	}
	ke.mu.Lock()
	parts, dropped := re.parts, re.responseDropped
	ke.mu.Unlock()
	if dropped {
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

// Size is the number of keys kept and the bytes of their responses.
func (ke *Keys) Size() (int, core.Bytes) {
	ke.mu.Lock()
	defer ke.mu.Unlock()
	return len(ke.records), ke.storedBytes
}

// execution is the permission to execute the call of a key, and its recorded response.
type execution struct {
	keys       *Keys
	record     *record
	caller     core.Sink
	parts      []core.Part
	bytes      core.Bytes
	tooLarge   bool
	callerGone bool
}

// Claim claims the key in the KV, through the owner of its shard. A claim lasts as long as the
// record, so a call that was not executed may be tried again without a new claim.
func (ex *execution) Claim(ctx context.Context) *core.Refusal {
	ke := ex.keys
	if ex.record.claimed {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, ke.ClaimTimeout)
	defer cancel()
	rp, err := ke.Ask(ctx, &core.Claim{Hash: ex.record.hash, By: ke.Self})
	if err != nil {
		re := ke.refuse(core.NotRun, core.ReasonKVDown, "the key could not be claimed: "+err.Error())
		re.RetryAfter = time.Second
		return re
	}
	if rp.Granted {
		ex.record.claimed = true
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

// Sink returns the sink that records the response while it is sent to the caller.
func (ex *execution) Sink() core.Sink { return ex }

// Send keeps a copy of the part and forwards it. A caller that disconnects does not stop the
// execution, as its retry has to find the outcome.
func (ex *execution) Send(pa *core.Part) error {
	if !ex.tooLarge {
		kept := *pa
		kept.Data = append([]byte(nil), pa.Data...)
		ex.parts = append(ex.parts, kept)
		ex.bytes += core.Bytes(len(pa.Data))
		ex.tooLarge = ex.bytes > maxStoredResponse
	}
	if !ex.callerGone {
		ex.callerGone = ex.caller.Send(pa) != nil
	}
	return nil
}

// End records the outcome. If the call was not executed, the key stays open for another attempt on
// this agent.
func (ex *execution) End(re *core.Refusal) {
	ke, rec := ex.keys, ex.record
	ke.mu.Lock()
	defer ke.mu.Unlock()
	defer close(rec.changed)
	if re != nil && re.Outcome == core.NotRun {
		rec.state = open
		return
	}
	rec.state = done
	rec.refusal = re
	rec.responseDropped = ex.tooLarge
	if re == nil && !ex.tooLarge {
		rec.responseDropped = !ke.Memory.Reserve(ledger.Kept, int64(ex.bytes))
		if !rec.responseDropped {
			rec.parts, rec.bytes = ex.parts, ex.bytes
			ke.storedBytes += ex.bytes
			ke.evictResponses()
		}
	}
}

// reserveRecord reserves memory for a record, in place of the oldest responses if there is no other. Call it with the lock
// held.
func (ke *Keys) reserveRecord() bool {
	for !ke.Memory.Reserve(ledger.Kept, recordBytes) {
		at := slices.IndexFunc(ke.byAge, func(re *record) bool { return re.bytes > 0 })
		if at < 0 {
			return false
		}
		ke.release(ke.byAge[at])
		ke.byAge[at].responseDropped = true
	}
	return true
}

// release drops the stored response of a record. Call it with the lock held.
func (ke *Keys) release(re *record) {
	ke.storedBytes -= re.bytes
	ke.Memory.Release(ledger.Kept, int64(re.bytes))
	re.parts, re.bytes = nil, 0
}

// noMemory refuses a call as the keys of others take the memory that there is for them.
func (ke *Keys) noMemory() *core.Refusal {
	re := ke.refuse(core.NotRun, core.ReasonMemory, "idempotency keys of other calls take the memory that there is for them")
	re.RetryAfter = time.Second
	return re
}

// evictResponses drops the oldest responses while all together exceed MaxBytes.
func (ke *Keys) evictResponses() {
	for _, re := range ke.byAge {
		if ke.storedBytes <= ke.MaxBytes {
			return
		}
		if re.bytes > 0 {
			ke.release(re)
			re.responseDropped = true
		}
	}
}
