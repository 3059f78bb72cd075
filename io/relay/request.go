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
	"almondrill/io/stats"
)

// request is one caller's request on its way.
type request struct {
	re      *Relay
	wr      http.ResponseWriter
	hr      *http.Request
	control *http.ResponseController
	id      string
	began   time.Time
	// deadline is when the caller, or the route, stops waiting.
	deadline time.Time

	table       *route.Table
	route       *route.Route
	customer    *route.Customer
	pool        core.PoolID
	promptParts []place.Part
	body        []byte
	// heldBytes is how many bytes of Relay.Memory it takes.
	heldBytes int64
	// fingerprint tells that attempts of the caller are the same request.
	fingerprint core.Fingerprint

	// tried are the endpoints that failed the request or refused it.
	tried []core.EndpointID
	// sends counts the endpoints that the request was sent to.
	sends int
	// countAsked is set if an endpoint's calls were asked for, and told, before a choice.
	countAsked bool
	// mayHaveRun is how an attempt ended that may have run, nil if none may have.
	mayHaveRun *core.Refusal
	// failure is what an endpoint answered when it failed the request.
	failure *failureResponse
	// headSent is set once the caller has the answer's head, first when, status which.
	headSent   bool
	firstWrite time.Time
	status     int
	// lastEvent is the id of the last event that the caller has, wrote when it got
	// something last, and gap the longest pause so far.
	lastEvent  string
	lastWrite  time.Time
	longestGap time.Duration
	ticket     *place.Ticket
	// notice is what the last endpoint that answered announced.
	notice Notice
	// reserved is reserved for the next attempt, nil if none is.
	reserved *place.Ticket
	// lastSend is where it was sent last, for tellRunning.
	lastSend atomic.Pointer[sendRecord]
}

// failureResponse is an endpoint's own answer that is no success.
type failureResponse struct {
	status int
	header http.Header
	body   []byte
}

// maxDials bounds the endpoints that a request is offered to in vain: each costs
// up to a dial's timeout.
const maxDials = 4

// serve makes attempts until one ends the request.
func (rq *request) serve(ctx context.Context) {
	rq.re.Budget.RecordFirst(rq.began, rq.pool)
	defer rq.releaseReserved()
	header := rq.forwardedHeader()
	for dials := 0; ; dials++ {
		rf := rq.checkQuarantine(ctx)
		if rf == nil {
			rf = rq.chooseEndpoint(ctx)
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
		rq.tried = append(rq.tried, rq.ticket.Endpoint.ID)
		if rf.Outcome != core.NotRun {
			rq.mayHaveRun = rf
		}
		if !rq.mayRetry(ctx, rf, dials) {
			rq.finishFailed(rf)
			return
		}
		rq.re.Stats.Retry(rf.Reason)
		rq.logRetry(rf)
	}
}

// releaseReserved gives back what was reserved and is not needed.
func (rq *request) releaseReserved() {
	if rq.reserved != nil {
		rq.reserved.Done(time.Now(), place.Neutral)
		rq.reserved = nil
	}
}

// chooseEndpoint picks the endpoint of the next attempt. Further ones than the first to run cost a
// part of the budget.
func (rq *request) chooseEndpoint(ctx context.Context) *core.Refusal {
	if rq.reserved != nil {
		rq.ticket, rq.reserved = rq.reserved, nil
		return nil
	}
	as := rq.placementAsk()
	rq.refreshCount(ctx, as)
	tk, rf := rq.pick(ctx, as)
	if rf != nil {
		return rf
	}
	rq.ticket = tk
	if rq.sends > 0 && !rq.re.Budget.TryExtra(time.Now(), rq.pool) {
		tk.Done(time.Now(), place.Neutral)
		rq.re.Stats.Refuse(core.ReasonRetryBudget)
		return rq.notRun(core.ReasonRetryBudget, "retry", "the budget of further attempts is spent")
	}
	return nil
}

// maxGrantRequests bounds the cold endpoints that a request is tried to be granted for: each costs a
// question of some milliseconds.
const maxGrantRequests = 3

// pick chooses an endpoint. One that is cold needs a grant; without it the request goes
// elsewhere.
func (rq *request) pick(ctx context.Context, as *place.Request) (*place.Ticket, *core.Refusal) {
	for range maxGrantRequests {
		tk, rf := rq.re.Placer.Pick(time.Now(), as)
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
	as.WarmOnly = true
	return rq.re.Placer.Pick(time.Now(), as)
}

// refreshCount learns how many calls the endpoint has that the choice would fall on. Where it
// turns out to be full, the next is taken without another question.
func (rq *request) refreshCount(ctx context.Context, as *place.Request) {
	if rq.re.Counts == nil {
		return
	}
	endpoint, uncertain := rq.re.Placer.NeedsCount(time.Now(), as)
	if !uncertain {
		return
	}
	if calls, known := rq.re.Counts.InFlight(ctx, endpoint); known {
		rq.countAsked = true
		rq.re.Placer.ApplyCount(time.Now(), endpoint, calls)
	}
}

// placementAsk is what the choice of an endpoint goes by.
func (rq *request) placementAsk() *place.Request {
	as := &place.Request{Pool: rq.pool, Parts: rq.promptParts, Tried: rq.tried}
	if rq.customer != nil {
		as.Customer = rq.customer.ID
	}
	homes, all := route.HomeRegionsOf(rq.route, rq.customer)
	as.HomeRegions, as.RegionBound = homes, !all
	if po := rq.table.Pool(rq.pool); po != nil {
		as.MaxConns = po.MaxConns
		as.Engine = po.Engine
		as.EngineMemory = po.CacheTokens
		as.FetchTokensPerMs = po.FetchTokensPerMs
		as.ColdDuration, as.ColdRate = po.ColdDuration, po.ColdRate
	}
	return as
}

// mayRetry tells whether another attempt does no harm and may help.
func (rq *request) mayRetry(ctx context.Context, rf *core.Refusal, dials int) bool {
	if ctx.Err() != nil || rq.hr.Context().Err() != nil || rq.connClosed() || dials+1 >= maxDials {
		return false
	}
	if rq.sends >= rq.route.MaxAttempts {
		return false
	}
	if rf.Outcome == core.NotRun {
		return true
	}
	return rq.route.MayRepeat() && (!rq.headSent || rq.lastEvent != "")
}

// finishServed ends a request whose answer was passed on whole.
func (rq *request) finishServed() {
	now := time.Now()
	rq.re.Stats.Answer(core.Whole)
	rq.re.Latency.Note(stats.AnswerMs, now.Sub(rq.began))
	rq.re.Latency.Note(stats.FirstMs, rq.firstWrite.Sub(rq.began))
	if rq.lastEvent != "" {
		rq.re.Latency.Note(stats.GapMs, rq.longestGap)
	}
	rq.re.Log.Info("Served.", rq.logFields(zap.Int("Status", rq.status), zap.Duration("Took", now.Sub(rq.began)),
		zap.Duration("First", rq.firstWrite.Sub(rq.began)))...)
}

// finishFailed ends a request whose last attempt failed, or that found no endpoint.
func (rq *request) finishFailed(rf *core.Refusal) {
	if rq.hr.Context().Err() != nil {
		rq.finishCallerGone()
		return
	}
	if rq.headSent {
		rq.abortResponse(rf)
	}
	if rf.Outcome == core.NotRun && rq.mayHaveRun != nil {
		// An earlier attempt may have run; that is what counts for the caller.
		rf = rq.mayHaveRun
	}
	if rq.failure != nil && rf.Outcome != core.NotRun {
		rq.forwardFailure(rf)
		return
	}
	rq.refuse(rf)
}

func (rq *request) finishCallerGone() {
	rq.re.Stats.Refuse(core.ReasonCallerGone)
	rq.re.Log.Info("The caller left.", rq.logFields(zap.Duration("Took", time.Since(rq.began)))...)
	if rq.headSent {
		panic(http.ErrAbortHandler)
	}
}

// abortResponse breaks an answer off that has begun and will not be whole: the caller sees
// its connection end before the answer does.
func (rq *request) abortResponse(rf *core.Refusal) {
	rq.re.Stats.Refuse(rf.Reason)
	rq.re.Stats.Answer(rf.Outcome)
	rq.re.Latency.Note(stats.FailedMs, time.Since(rq.began))
	rq.re.Log.Warn("Cut an answer.", rq.refusalFields(rf)...)
	panic(http.ErrAbortHandler)
}

// logFields are what decided where the request went.
func (rq *request) logFields(more ...zap.Field) []zap.Field {
	fields := append(more, zap.String("Request", rq.id))
	if rq.route != nil {
		fields = append(fields, zap.String("Route", rq.route.Name), zap.Uint64("Version", uint64(rq.table.Version)))
	}
	if rq.customer != nil {
		fields = append(fields, zap.String("Customer", string(rq.customer.ID)))
	}
	if rq.fingerprint != (core.Fingerprint{}) {
		fields = append(fields, zap.Stringer("Fingerprint", rq.fingerprint))
	}
	if rq.sends > 0 {
		fields = append(fields, zap.Int("Sends", rq.sends), zap.Bool("Asked", rq.countAsked))
	}
	if rq.notice != (Notice{}) {
		fields = append(fields, zap.Bool("EndpointLeaves", rq.notice.Draining), zap.Int64("BackoffMs", rq.notice.Backoff.Milliseconds()))
	}
	if tk := rq.ticket; tk != nil {
		fields = append(fields, zap.String("Endpoint", string(tk.Endpoint.ID)), zap.Float64("CostMs", math.Round(tk.CostMs)),
			zap.Int("Calls", tk.OwnCalls), zap.Int("Others", tk.PeerCalls), zap.Int("Said", tk.ReportedCalls), zap.Float64("Mean", math.Round(10*tk.MeanCalls)/10),
			zap.Int("Usable", tk.Usable), zap.Int("Full", tk.Full), zap.Int("BackingOff", tk.BackingOff), zap.Int("ColdFull", tk.ColdFull), zap.Int("Of", tk.PoolSize), zap.Bool("Cold", tk.Cold))
		if tk.PromptTokens > 0 {
			fields = append(fields, zap.String("Chat", strconv.FormatUint(tk.ChatKey, 16)), zap.Bool("Home", tk.AtHome), zap.Int64("Prompt", int64(tk.PromptTokens)),
				zap.Int64("Uncached", int64(tk.UncachedTokens)), zap.Int64("Fetched", int64(tk.FetchTokens)), zap.String("FetchFrom", tk.FetchFrom))
		}
	}
	return append(fields, zap.Duration("Age", rq.re.ViewAge()))
}

func (rq *request) refusalFields(rf *core.Refusal) []zap.Field {
	basis := zap.Skip()
	if rf.Basis != "" {
		basis = zap.String("Basis", rf.Basis)
	}
	return rq.logFields(basis, zap.String("Outcome", rf.Outcome.String()), zap.String("Reason", string(rf.Reason)),
		zap.String("Step", rf.Step), zap.String("Peer", rf.Peer), zap.String("Detail", rf.Detail),
		zap.Duration("Took", time.Since(rq.began)))
}

func (rq *request) logRetry(rf *core.Refusal) {
	rq.re.Log.Info("Tries another endpoint.", rq.refusalFields(rf)...)
}
