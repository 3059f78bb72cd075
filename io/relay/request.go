package relay

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/place"
	"almondrill/core/route"
	"almondrill/io/abort"
	"almondrill/io/logs"
	"almondrill/io/stats"
)

// request is the state of one caller's request.
type request struct {
	re      *Relay
	wr      http.ResponseWriter
	hr      *http.Request
	control *http.ResponseController
	id      string
	began   time.Time
	// deadline is the earlier of the caller's and the route's.
	deadline time.Time
	// budget is how long the caller said that it will wait, 0 if it did not.
	budget time.Duration

	table       *route.Table
	route       *route.Route
	customer    *route.Customer
	pool        core.PoolID
	promptParts []place.Part
	body        []byte
	// bodyRead is set once all of the body has arrived.
	bodyRead bool
	// heldBytes is how much of Relay.Memory the request has reserved.
	heldBytes int64
	// fingerprint is the same for all of the caller's attempts of a request.
	fingerprint core.Fingerprint
	// interruptedAt is where the last attempt was interrupted, until it was waited for whether that endpoint
	// has crashed.
	interruptedAt *core.EndpointRef
	// sharedParts identifies the parts of the prompt that other requests may share.
	sharedParts []core.Fingerprint

	// allowed is set while the crash detection has allowed an attempt that has not run yet.
	allowed bool
	// tried are the endpoints that have failed or refused the request.
	tried []core.EndpointID
	// sends counts how often the request was sent to an endpoint.
	sends int
	// continuedSends counts those of them that continued a run from a copy of its memory.
	continuedSends int
	// countAsked is set if an endpoint's calls in flight were requested before the choice, and
	// known.
	countAsked bool
	// mayHaveRunRefusal is the result of the last attempt that may have run, nil if there is none.
	mayHaveRunRefusal *core.Refusal
	// failure is the last failure response of an endpoint.
	failure *failureResponse
	// headSent is set once the response head, with this status, was written to the caller, at
	// firstWrite.
	headSent   bool
	firstWrite time.Time
	status     int
	// lastEvent is the id of the last event that was written to the caller, lastWrite the time of
	// the last write, and longestGap the longest time between two writes.
	// events were forwarded to the caller.
	events     int
	lastEvent  string
	lastWrite  time.Time
	longestGap time.Duration
	// build is the core.Build at which the stream began, 0 before its first event. A stall timer may
	// read it while events are forwarded.
	build atomic.Uint32
	// originKey is the key under which the build is recorded, 0 if it is not.
	originKey core.StreamKey
	// output is the expected length of the stream, and what was seen of it.
	output output
	// memoryWait is the request's wait for memory of an engine, nil if it did not wait.
	memoryWait *memoryWait
	ticket     *place.Ticket
	// notice is that of the last response.
	notice Notice
	// reservedTicket is the ticket reserved for the next attempt, nil if there is none.
	reservedTicket *place.Ticket
	// stream is the request's stream, nil if it may not migrate. taken is a continuation that has been
	// taken over from a migration, continuation the one that is sent; nil if there is none.
	stream              *runningStream
	taken, continuation *continuation
	// lastSend is read by logRunning.
	lastSend atomic.Pointer[sendRecord]
	// framing is that of the last answer, "" if there was none, and unfinished the number of bytes that
	// followed its last whole event.
	framing    framing
	unfinished int
	// turn is the request's use of its pool's queue, nil if it does not pass one.
	turn *turn
	// exactRetry is set if the refusal's RetryAfter is a reserved time, which jitter would spoil.
	exactRetry bool
}

// failureResponse is an endpoint's response that reports a failure.
type failureResponse struct {
	status int
	header http.Header
	body   []byte
}

// maxDials bounds the attempts, including those that do not reach an endpoint: each of these takes
// up to the dial timeout.
const maxDials = 4

// serve makes attempts until one succeeds or no other is allowed.
func (rq *request) serve(ctx context.Context) {
	defer rq.endTurn()
	if rf := rq.checkBlocked(ctx); rf != nil {
		rq.finishFailed(rf)
		return
	}
	if rf := rq.awaitTurn(ctx); rf != nil {
		rq.finishFailed(rf)
		return
	}
	rq.re.Budget.RecordFirst(rq.began, rq.pool)
	defer rq.releaseReserved()
	defer rq.releaseContinuation()
	rq.stream = rq.newRunningStream()
	defer rq.stream.end()
	header := rq.forwardedHeader()
	for dials := 0; ; dials++ {
		rf := rq.checkBlocked(ctx)
		if rf == nil {
			rf = rq.chooseEndpoint(ctx)
		}
		if rf == nil {
			rf = rq.checkQuarantine(ctx)
		}
		if rf != nil {
			rq.finishFailed(rf)
			return
		}
		rf = rq.attempt(ctx, header)
		if rf == nil {
			rq.finishServed()
			return
		}
		rq.allowed = rf.Outcome == core.NotRun
		if rq.nextContinuation(rf) {
			dials--
			continue
		}
		rq.tried = append(rq.tried, rq.ticket.Endpoint.ID)
		if rf.Outcome != core.NotRun {
			rq.mayHaveRunRefusal = rf
		}
		if !rq.mayRetry(ctx, rf, dials) {
			rq.finishFailed(rf)
			return
		}
		rq.re.Stats.CountRetry(rf.Reason)
		rq.logRetry(rf)
	}
}

// releaseReserved releases the ticket reserved for an attempt that is not made.
func (rq *request) releaseReserved() {
	if rq.reservedTicket != nil {
		rq.reservedTicket.Done(time.Now(), place.Neutral)
		rq.reservedTicket = nil
	}
}

// chooseEndpoint sets the ticket of the next attempt. Attempts after the first send are charged to
// the retry budget.
func (rq *request) chooseEndpoint(ctx context.Context) *core.Refusal {
	if rq.continuation != nil {
		rq.ticket = rq.continuation.ticket
		return nil
	}
	if rq.streamBuild() != 0 && rq.sends > 0 && rq.re.Origins != nil {
		within, cancel := context.WithTimeout(ctx, retryVerifyTimeout)
		rq.verifyView(within) // an endpoint may have become another process under its ID
		cancel()
	}
	if tk, build := rq.reservedTicket, rq.streamBuild(); tk != nil && build != 0 && tk.Build != build {
		rq.releaseReserved() // reserved before the first event arrived
	}
	if rq.reservedTicket != nil {
		rq.ticket, rq.reservedTicket = rq.reservedTicket, nil
		return nil
	}
	pr := rq.placementRequest()
	rq.refreshCount(ctx, pr)
	tk, rf := rq.pick(ctx, pr)
	if rf != nil && rf.Reason == core.ReasonMemoryFull {
		tk, rf = rq.awaitMemory(ctx, pr, rf)
	}
	if rf != nil {
		return rf
	}
	rq.ticket = tk
	if rq.sends > 0 && !rq.re.Budget.TryExtra(time.Now(), rq.pool) {
		tk.Done(time.Now(), place.Neutral)
		rq.re.Stats.CountRefusal(core.ReasonRetryBudget)
		return rq.notRun(core.ReasonRetryBudget, "retry", "the budget of further attempts is spent")
	}
	return nil
}

// maxGrantRequests bounds how many cold endpoints' grants are requested for a request: each takes
// some milliseconds.
const maxGrantRequests = 3

// pick chooses an endpoint. A cold one needs a grant. Once maxGrantRequests are denied, only warm
// endpoints are considered.
func (rq *request) pick(ctx context.Context, pr *place.Request) (*place.Ticket, *core.Refusal) {
	for range maxGrantRequests {
		tk, rf := rq.re.Placer.Pick(time.Now(), pr)
		if rf != nil {
			return nil, rf
		}
		limit := tk.GrantLimit()
		if limit == 0 || rq.re.Grants == nil {
			return tk, nil
		}
		granted, after := rq.re.Grants.Grant(ctx, tk.Hash, limit)
		if granted {
			return tk, nil
		}
		rq.re.Stats.Add(stats.ColdDenied, 1)
		tk.Deny(time.Now(), after)
	}
	pr.WarmOnly = true
	return rq.re.Placer.Pick(time.Now(), pr)
}

// refreshCount requests the calls in flight, from all routers, of the endpoint that would be
// chosen, if the count known here is uncertain. If the endpoint turns out to be full, the next one
// is chosen without another query.
func (rq *request) refreshCount(ctx context.Context, pr *place.Request) {
	if rq.re.Counts == nil {
		return
	}
	endpoint, uncertain := rq.re.Placer.NeedsCount(time.Now(), pr)
	if !uncertain {
		return
	}
	if calls, known := rq.re.Counts.InFlight(ctx, endpoint); known {
		rq.countAsked = true
		rq.re.Placer.ApplyCount(time.Now(), endpoint, calls)
	}
}

// placementRequest returns the criteria for choosing an endpoint.
func (rq *request) placementRequest() *place.Request {
	pr := &place.Request{Pool: rq.pool, Parts: rq.promptParts, Tried: rq.tried, Route: rq.route.Name, Deadline: rq.deadline, GapGoal: rq.route.GapGoal, Build: rq.streamBuild()}
	if pr.Build == 0 {
		pr.PreferredBuild = rq.preferredBuild()
	}
	if rq.route.FirstByteGoal > 0 {
		pr.GoalAt = rq.began.Add(rq.route.FirstByteGoal)
	}
	if rq.customer != nil {
		pr.Customer = rq.customer.ID
	}
	homes, all := route.HomeRegionsOf(rq.route, rq.customer)
	pr.HomeRegions, pr.RegionBound = homes, !all
	if po := rq.table.Pool(rq.pool); po != nil {
		pr.MaxConns = po.MaxConns
		pr.Engine = po.Engine
		if limit := rq.re.Dialect.OutputLimit; po.Engine && limit != nil {
			pr.MaxOutput = limit(rq.hr.Header)
		}
		pr.EngineMemory = po.CacheTokens
		pr.FetchTokensPerMs = po.FetchTokensPerMs
		pr.ExpectedOutput = rq.expectedOutput(po)
		pr.ColdDuration, pr.ColdRate = po.ColdDuration, po.ColdRate
	}
	pr.OwnCallsOnly = rq.turn != nil && rq.turn.pq.levelInForce(time.Now())
	return pr
}

// mayRetry reports whether another attempt is safe and worth making.
func (rq *request) mayRetry(ctx context.Context, rf *core.Refusal, dials int) bool {
	if ctx.Err() != nil || rq.hr.Context().Err() != nil || rq.connClosed() || dials+1 >= maxDials {
		return false
	}
	if rq.attempts() >= rq.route.MaxAttempts {
		return false
	}
	if rf.Outcome == core.NotRun && !rq.headSent {
		return true
	}
	return rq.route.MayRepeat() && (!rq.headSent || rq.lastEvent != "")
}

// finishServed records a request whose response was forwarded completely.
func (rq *request) finishServed() {
	now := time.Now()
	if rq.originKey != 0 {
		rq.re.Origins.End(rq.originKey)
	}
	rq.re.Stats.CountOutcome(core.Whole)
	if rq.framing == byClose {
		rq.re.Stats.Add(stats.UnmarkedEnds, 1)
	}
	rq.re.Latency.Record(stats.AnswerMs, now.Sub(rq.began))
	rq.re.Latency.Record(stats.FirstMs, rq.firstWrite.Sub(rq.began))
	if rq.lastEvent != "" {
		rq.re.Latency.Record(stats.GapMs, rq.longestGap)
	}
	rq.recordOutput()
	// Most of these lines are left out by sampling: their fields are not worth collecting.
	if line := rq.re.Log.Check(zap.InfoLevel, "Served."); line != nil {
		line.Write(rq.logFields(zap.Int("Status", rq.status), zap.Duration("Took", now.Sub(rq.began)),
			zap.Duration("First", rq.firstWrite.Sub(rq.began)))...)
	}
}

// finishFailed ends a request that has no response or an incomplete one.
func (rq *request) finishFailed(rf *core.Refusal) {
	if rq.hr.Context().Err() != nil {
		rq.finishCallerGone()
		return
	}
	if rq.headSent {
		rq.abortResponse(rf)
	}
	if rf.Outcome == core.NotRun && rq.mayHaveRunRefusal != nil {
		// The caller has to know that an earlier attempt may have run.
		rf = rq.mayHaveRunRefusal
	}
	if rq.failure != nil && rf.Outcome != core.NotRun {
		rq.forwardFailure(rf)
		return
	}
	rq.refuse(rf)
}

func (rq *request) finishCallerGone() {
	rq.re.Stats.CountRefusal(core.ReasonCallerGone)
	rq.re.Log.Info("The caller disconnected.", rq.logFields(zap.Duration("Took", time.Since(rq.began)))...)
	if rq.headSent {
		abort.Response(rq.wr, rq.hr)
	}
}

// abortResponse ends a response of which the caller has only a part.
func (rq *request) abortResponse(rf *core.Refusal) {
	rq.re.Stats.CountRefusal(rf.Reason)
	rq.re.Stats.CountOutcome(rf.Outcome)
	rq.re.Latency.Record(stats.FailedMs, time.Since(rq.began))
	rq.re.Log.Warn("Cut an answer.", rq.refusalFields(rf)...)
	abort.Response(rq.wr, rq.hr)
}

// maxLogFields is more than the number of fields of any line.
const maxLogFields = 48

// logFields returns the fields that identify the request and explain the choice of its endpoint.
func (rq *request) logFields(more ...zap.Field) []zap.Field {
	fields := append(make([]zap.Field, 0, maxLogFields), more...)
	fields = append(fields, zap.String("Request", logs.Short(rq.id)))
	if rq.route != nil {
		fields = append(fields, zap.String("Route", rq.route.Name), zap.Uint64("Version", uint64(rq.table.Version)))
	}
	if rq.customer != nil {
		fields = append(fields, zap.String("Customer", string(rq.customer.ID)))
	}
	if rq.fingerprint != (core.Fingerprint{}) {
		fields = append(fields, zap.Stringer("Fingerprint", rq.fingerprint))
	}
	if after := rq.resumedAfter(); after != "" {
		fields = append(fields, zap.String("Resumes", logs.Short(rq.resumes())), zap.String("After", logs.Short(after)))
	}
	if rq.sends > 0 {
		fields = append(fields, zap.Int("Sends", rq.sends), zap.Bool("Asked", rq.countAsked))
	}
	if rq.framing != "" {
		fields = append(fields, zap.String("Framing", string(rq.framing)), zap.Int("Unfinished", rq.unfinished))
	}
	if len(rq.sharedParts) > 0 {
		fields = append(fields, zap.Stringers("Parts", loggedParts(rq.sharedParts)), zap.Int("PartCount", len(rq.sharedParts)), zap.Int("Events", rq.events))
	}
	fields = append(append(fields, rq.output.fields()...), rq.memoryWait.fields()...)
	if rq.notice != (Notice{}) {
		fields = append(fields, zap.Bool("EndpointLeaves", rq.notice.Draining), zap.Int64("BackoffMs", rq.notice.Backoff.Milliseconds()))
	}
	if tk := rq.ticket; tk != nil {
		fields = append(fields, zap.String("Endpoint", string(tk.Endpoint.ID)), zap.String("Software", string(tk.Endpoint.Software)), zap.Float64("CostMs", math.Round(tk.CostMs)),
			zap.Int("Calls", tk.OwnCalls), zap.Int("Others", tk.PeerCalls), zap.Int("Said", tk.ReportedCalls), zap.Float64("Mean", math.Round(10*tk.MeanCalls)/10),
			zap.Int("Usable", tk.Usable), zap.Int("Full", tk.Full), zap.Int("BackingOff", tk.BackingOff), zap.Int("ColdFull", tk.ColdFull), zap.Int("Of", tk.PoolSize), zap.Bool("Cold", tk.Cold),
			zap.Float64("Speed", math.Round(100*tk.Slowness)/100), zap.Bool("SpeedLearned", tk.SlownessLearned), zap.Duration("ExpectedFirst", tk.ExpectedFirst))
		if tk.PromptTokens > 0 {
			fields = append(fields, zap.String("Chat", strconv.FormatUint(tk.ChatKey, 16)), zap.Bool("Home", tk.AtHome), zap.Int64("Prompt", int64(tk.PromptTokens)),
				zap.Int64("Uncached", int64(tk.UncachedTokens)), zap.Int64("Fetched", int64(tk.FetchTokens)), zap.String("FetchFrom", tk.FetchFrom))
		}
	}
	fields = append(fields, rq.turn.logFields()...)
	return append(fields, zap.Duration("Age", rq.re.ViewAge()))
}

func (rq *request) refusalFields(rf *core.Refusal) []zap.Field {
	basis := zap.Skip()
	if rf.Basis != "" {
		basis = zap.String("Basis", rf.Basis)
	}
	return rq.logFields(basis, zap.String("Outcome", rf.Outcome.String()), zap.String("Reason", string(rf.Reason)),
		zap.String("Step", rf.Step), zap.String("Peer", rf.Peer), zap.String("Detail", logs.Short(rf.Detail)),
		zap.Duration("Took", time.Since(rq.began)))
}

func (rq *request) logRetry(rf *core.Refusal) {
	rq.re.Log.Info("Retrying the request at another endpoint.", rq.refusalFields(rf)...)
}
