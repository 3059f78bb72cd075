package rpc

import (
	"errors"
	"math"
	"time"

	"almondrill/core"
	"almondrill/io/wire"
)

// callToWire encodes the time until the deadline rather than the deadline, because the clocks of the
// two processes may differ.
func callToWire(ca *core.Call, now time.Time) *wire.Call {
	budget := int64(noDeadlineBudget)
	if !ca.Deadline.IsZero() {
		budget = max(0, ca.Deadline.Sub(now).Microseconds())
	}
	return &wire.Call{
		Attempt: uint64(ca.Attempt), Customer: string(ca.Customer), Pool: string(ca.Pool),
		Chat: string(ca.Chat), Key: string(ca.Key), MayRepeat: ca.MayRepeat,
		Priority: uint32(ca.Priority), BudgetMicros: budget, Stream: ca.Stream,
		Prompt: int64(ca.Prompt), Output: int64(ca.Output), Forced: ca.NoRedirect, Missed: string(ca.StaleHolder),
		Method: ca.Method, Path: ca.Path, ContentType: ca.ContentType, Body: ca.Body,
		Revision: uint64(ca.Revision),
	}
}

func callFromWire(ca *wire.Call, now time.Time) *core.Call {
	var deadline time.Time
	if ca.BudgetMicros != noDeadlineBudget {
		deadline = now.Add(time.Duration(min(ca.BudgetMicros, math.MaxInt64/int64(time.Microsecond))) * time.Microsecond)
	}
	return &core.Call{
		Attempt: core.AttemptID(ca.Attempt), Customer: core.CustomerID(ca.Customer), Pool: core.PoolID(ca.Pool),
		Chat: core.ChatID(ca.Chat), Key: core.IdemKey(ca.Key), MayRepeat: ca.MayRepeat,
		Priority: core.Priority(min(ca.Priority, uint32(core.PriorityCount-1))), Deadline: deadline,
		Stream: ca.Stream, Prompt: core.Tokens(ca.Prompt), Output: core.Tokens(ca.Output),
		NoRedirect: ca.Forced, StaleHolder: core.VMID(ca.Missed), Method: ca.Method, Path: ca.Path,
		ContentType: ca.ContentType, Body: ca.Body, Revision: core.Revision(ca.Revision),
	}
}

func partToWire(pa *core.Part, out *wire.Part) {
	out.Attempt = uint64(pa.Attempt)
	out.Position = pa.Position
	out.Status = int32(pa.Status)
	out.ContentType = pa.ContentType
	out.Data = pa.Data
	out.End = pa.End
	out.Unmarked = pa.Unmarked
}

func partFromWire(pa *wire.Part, out *core.Part) {
	*out = core.Part{
		Attempt: core.AttemptID(pa.Attempt), Position: pa.Position, Status: int(pa.Status),
		ContentType: pa.ContentType, Data: pa.Data, End: pa.End, Unmarked: pa.Unmarked,
	}
}

func refusalToWire(re *core.Refusal) *wire.Refusal {
	if re == nil {
		return nil
	}
	out := &wire.Refusal{
		Outcome: uint32(re.Outcome), Reason: string(re.Reason), Step: re.Step, Peer: re.Peer, Detail: re.Detail,
		RetryAfterMicros: re.RetryAfter.Microseconds(), Status: int32(re.Status),
	}
	for _, vm := range re.Alternatives {
		out.Instead = append(out.Instead, string(vm))
	}
	return out
}

// refusalFromWire returns an untyped nil error if there is no refusal. An outcome that this version
// does not know becomes Unknown.
func refusalFromWire(re *wire.Refusal) error {
	if re == nil {
		return nil
	}
	out := &core.Refusal{
		Outcome: core.Unknown, Reason: core.Reason(re.Reason), Step: re.Step, Peer: re.Peer, Detail: re.Detail,
		RetryAfter: time.Duration(re.RetryAfterMicros) * time.Microsecond, Status: int(re.Status),
	}
	if re.Outcome <= uint32(core.Unknown) {
		out.Outcome = core.Outcome(re.Outcome)
	}
	for _, vm := range re.Instead {
		out.Alternatives = append(out.Alternatives, core.VMID(vm))
	}
	return out
}

func reportToWire(re *core.Report) *wire.Report {
	return &wire.Report{
		VM: string(re.VM), Incarnation: uint64(re.Incarnation), Load: int64(re.Load), Mean: int64(re.Mean),
		Draining: re.Draining, Revision: uint64(re.Revision), Cached: int64(re.Cached), Tokens: int64(re.Tokens),
	}
}

func reportFromWire(re *wire.Report) *core.Report {
	return &core.Report{
		VM: core.VMID(re.VM), Incarnation: core.Incarnation(re.Incarnation), Load: core.Work(re.Load),
		Mean: core.Work(re.Mean), Draining: re.Draining, Revision: core.Revision(re.Revision),
		Cached: core.Tokens(re.Cached), Tokens: core.Tokens(re.Tokens),
	}
}

func digestToWire(di *core.Digest) *wire.Digest {
	out := &wire.Digest{
		From: string(di.From), Incarnation: uint64(di.Incarnation), Draining: di.Draining, Revision: uint64(di.Revision),
	}
	var pool *wire.PoolLoads
	for _, en := range di.Loads {
		if pool == nil || pool.Pool != string(en.Pool) {
			pool = &wire.PoolLoads{Pool: string(en.Pool)}
			out.Pools = append(out.Pools, pool)
		}
		pool.VMs = append(pool.VMs, string(en.VM))
		pool.Loads = append(pool.Loads, int64(en.Load))
		pool.Drains = append(pool.Drains, int64(en.Throughput))
		pool.AgeMillis = append(pool.AgeMillis, en.Age.Milliseconds())
		pool.Drainings = append(pool.Drainings, en.Draining)
	}
	return out
}

func crashNoticeToWire(now time.Time, no *core.CrashNotice) *wire.BlameCall {
	out := &wire.BlameCall{Kind: uint32(no.Kind), Request: no.Request[:]}
	for _, cr := range no.Crashes {
		out.Endpoints = append(out.Endpoints, cr.Endpoint)
		out.AgeMillis = append(out.AgeMillis, max(0, now.Sub(cr.At).Milliseconds()))
	}
	return out
}

var errBadCrashNotice = errors.New("this is no note of a request")

func crashNoticeFromWire(now time.Time, in *wire.BlameCall) (*core.CrashNotice, error) {
	no := &core.CrashNotice{Kind: core.CrashNoticeKind(in.Kind)}
	if len(in.Request) != len(no.Request) || in.Kind < uint32(core.NoticeSuspected) || in.Kind > uint32(core.NoticeCleared) {
		return nil, errBadCrashNotice
	}
	no.Request = core.Fingerprint(in.Request)
	for ix := range min(len(in.Endpoints), len(in.AgeMillis)) {
		age := time.Duration(min(maxCrashAgeMillis, max(0, in.AgeMillis[ix]))) * time.Millisecond
		no.Crashes = append(no.Crashes, core.Crash{Endpoint: in.Endpoints[ix], At: now.Add(-age)})
	}
	return no, nil
}

// maxCrashAgeMillis is the maximum age of a crash in a notice, one hour. Ages beyond some minutes
// make no difference.
const maxCrashAgeMillis = 3_600_000

// digestFromWire truncates columns of unequal length to the shortest one. No peer of this version
// sends such columns.
func digestFromWire(di *wire.Digest) *core.Digest {
	out := &core.Digest{
		From: core.VMID(di.From), Incarnation: core.Incarnation(di.Incarnation), Draining: di.Draining,
		Revision: core.Revision(di.Revision),
	}
	for _, pool := range di.Pools {
		count := min(len(pool.VMs), len(pool.Loads), len(pool.Drains), len(pool.AgeMillis), len(pool.Drainings))
		for ix := range count {
			out.Loads = append(out.Loads, core.LoadEntry{
				Pool: core.PoolID(pool.Pool), VM: core.VMID(pool.VMs[ix]), Load: core.Work(pool.Loads[ix]),
				Throughput: core.Work(pool.Drains[ix]), Age: time.Duration(pool.AgeMillis[ix]) * time.Millisecond,
				Draining: pool.Drainings[ix],
			})
		}
	}
	return out
}

func claimToWire(cl *core.Claim) *wire.ClaimCall {
	return &wire.ClaimCall{
		Hash: cl.Hash[:], VM: string(cl.By.VM), Incarnation: uint64(cl.By.Incarnation),
	}
}

func claimFromWire(cl *wire.ClaimCall) *core.Claim {
	out := &core.Claim{By: core.Claimant{
		VM: core.VMID(cl.VM), Incarnation: core.Incarnation(cl.Incarnation),
	}}
	copy(out.Hash[:], cl.Hash)
	return out
}

func claimReplyToWire(ve *core.ClaimReply) *wire.ClaimReply {
	return &wire.ClaimReply{
		Granted: ve.Granted, VM: string(ve.Holder.VM), Incarnation: uint64(ve.Holder.Incarnation),
	}
}

func claimReplyFromWire(ve *wire.ClaimReply) *core.ClaimReply {
	return &core.ClaimReply{Granted: ve.Granted, Holder: core.Claimant{
		VM: core.VMID(ve.VM), Incarnation: core.Incarnation(ve.Incarnation),
	}}
}

func changesToWire(ch *core.Changes) *wire.FetchReply {
	return &wire.FetchReply{SnapshotAt: uint64(ch.SnapshotAt), Snapshot: ch.Snapshot, Deltas: ch.Deltas}
}

func changesFromWire(ch *wire.FetchReply) *core.Changes {
	return &core.Changes{SnapshotAt: core.Revision(ch.SnapshotAt), Snapshot: ch.Snapshot, Deltas: ch.Deltas}
}

func placementsToWire(pls []core.Placement) *wire.PlaceCall {
	out := &wire.PlaceCall{}
	for _, pl := range pls {
		out.Placements = append(out.Placements, &wire.Placement{
			Customer: string(pl.Customer), Pool: string(pl.Pool), Chat: string(pl.Chat), VM: string(pl.VM), Gone: pl.Withdrawn,
		})
	}
	return out
}

func placementsFromWire(pc *wire.PlaceCall) []core.Placement {
	pls := make([]core.Placement, 0, len(pc.Placements))
	for _, pl := range pc.Placements {
		pls = append(pls, core.Placement{
			Customer: core.CustomerID(pl.Customer), Pool: core.PoolID(pl.Pool), Chat: core.ChatID(pl.Chat),
			VM: core.VMID(pl.VM), Withdrawn: pl.Gone,
		})
	}
	return pls
}
