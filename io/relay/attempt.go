package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"almondrill/core"
	"almondrill/core/place"
	"almondrill/core/route"
	"almondrill/io/accept"
	"almondrill/io/conns"
	"almondrill/io/stats"
	"almondrill/io/strict"
)

// maxBuffered is how much of a response is buffered, in bytes, before any of it is forwarded: until
// then, another endpoint can be tried if it ends early. A router's memory fits some hundred of them.
const maxBuffered = 1 << 20

// exchange is one attempt to run a request at an endpoint.
type exchange struct {
	rq *request
	co *conns.Conn
	rs *http.Response
	tk *place.Ticket
	// stall may abandon the attempt for another. stopInterrupt disarms the interrupt at the
	// request's deadline and reports false if it has already fired.
	stall         stallTimer
	stopInterrupt func() bool
	// handedOver is set if the endpoint has answered that it stopped the stream, which continues from a
	// copy.
	handedOver bool
	// connRefused is set if the connection was refused: nothing listens at the address.
	connRefused bool
	// events counts those forwarded from this endpoint.
	events int
	// began is when the attempt began.
	began time.Time
	// answered is when the response was read completely, zero before.
	answered time.Time
}

// attempt sends the request to the ticket's endpoint and forwards the response. It returns nil if
// the response was forwarded completely.
func (rq *request) attempt(ctx context.Context, header http.Header) *core.Refusal {
	began := time.Now()
	ex := &exchange{rq: rq, tk: rq.ticket, began: began}
	rf, result := ex.run(ctx, header)
	ex.reportOutcome(began, rf)
	rq.reservedTicket = ex.stall.stop()
	ended := time.Now()
	if ex.answered.IsZero() {
		ex.answered = ended
	}
	rq.turn.recordRun(rf, ex.answered.Sub(began))
	ex.tk.Done(ended, result)
	if counts := rq.re.Counts; counts != nil && result == place.Unreachable {
		counts.ReportDown(ex.tk.Hash)
	}
	return rf
}

func (ex *exchange) run(ctx context.Context, header http.Header) (*core.Refusal, place.Result) {
	ex.rq.framing = ""
	co, err := ex.rq.re.Conns.Get(ctx, ex.tk.Endpoint.Addr)
	if errors.Is(err, conns.ErrNoDescriptors) {
		rf := ex.refusal(core.NotRun, core.ReasonDescriptors, "connect", err)
		rf.RetryAfter = memoryRetryAfter
		return rf, place.Neutral
	}
	if err != nil {
		ex.connRefused = isConnRefused(err)
		return ex.refusal(core.NotRun, core.ReasonEndpointDown, "connect", err), ex.unlessCallerGone(place.Unreachable)
	}
	ex.co = co
	if ex.rq.connClosed() {
		ex.returnUnusedConn()
		return ex.refusal(core.NotRun, core.ReasonCallerGone, "send", errCallerGone), place.Neutral
	}
	if reason := ex.beforeSend(); reason != "" {
		ex.returnUnusedConn()
		return ex.refusal(core.NotRun, reason, "send", errNoLongerOpen), place.Neutral
	}
	ex.rq.sends++
	if ex.rq.continuation != nil {
		ex.rq.continuedSends++
	}
	ex.rq.lastSend.Store(&sendRecord{ex.tk.Endpoint, time.Now(), ex.rq.sends})
	if ex.rq.sends == 1 {
		ex.rq.re.Latency.Record(stats.SentMs, time.Since(ex.rq.began))
	}
	ex.reportSending()
	defer ex.rq.re.Conns.WatchExpected(ex.tk.Endpoint.Addr)()
	co.SetDeadline(ex.rq.deadline)
	ex.stopInterrupt = context.AfterFunc(ctx, co.Interrupt)
	ex.stall.start(ex)
	defer func() {
		if ex.co != nil {
			ex.stopInterrupt()
			ex.co.Close()
		}
	}()
	ex.rs, err = co.Do(ex.head(header), ex.rq.body, ex.rq.hr.Method, ex.isOwn)
	if err != nil {
		return ex.classifyError(ctx, "send", err)
	}
	ex.rq.framing, ex.rq.unfinished = framingOf(ex.rs), 0
	if ex.rq.framing == byClose {
		defer ex.rq.re.Conns.Watch(ex.tk.Endpoint.Addr)()
	}
	ex.received()
	ex.handleNotice()
	if lo, reported := ex.rq.re.Dialect.Load(ex.rs.Header); reported {
		ex.recordLoad(lo)
	}
	return ex.handleHead(ctx)
}

// beforeSend returns the reason why the request must not be sent, "" if it may.
func (ex *exchange) beforeSend() core.Reason {
	if co := ex.rq.continuation; co != nil && co.atSource {
		return "" // it is no new request there
	}
	return ex.tk.BeforeSend(time.Now())
}

// recordLoad records what the endpoint reported of its load.
func (ex *exchange) recordLoad(lo Load) {
	now, calls := time.Now(), lo.Running+lo.Waiting
	ex.tk.RecordLoad(now, calls)
	ex.tk.RecordSpeed(now, lo.TimePercent)
	if counts := ex.rq.re.Counts; counts != nil {
		counts.ReportInFlight(ex.tk.Hash, calls)
	}
}

// isOwn reports whether a response belongs to this request. One without an id follows another response if those
// before it on the connection had one: a rejection among such bytes would say that this request did not run.
func (ex *exchange) isOwn(hd http.Header) bool {
	echoed := hd.Get(ex.rq.re.Dialect.RequestID)
	if echoed == "" {
		if ex.co.EchoesIDs {
			ex.rq.re.Stats.Add(stats.UnnamedAnswers, 1)
		}
		return !ex.co.EchoesIDs
	}
	ex.co.EchoesIDs = true
	return echoed == ex.rq.id
}

// head returns the request head for this endpoint.
func (ex *exchange) head(header http.Header) []byte {
	di := &ex.rq.re.Dialect
	left := max(1, time.Until(ex.rq.deadline).Milliseconds())
	header.Set(di.Deadline, strconv.FormatInt(left, 10))
	header.Set(di.Expect, string(ex.tk.Endpoint.ID))
	header.Del(di.Fetch)
	if ex.tk.FetchFrom != "" && ex.rq.continuation == nil {
		header.Set(di.Fetch, ex.tk.FetchFrom)
	}
	if di.Copies != nil {
		header.Del(di.Copies.From)
		if co := ex.rq.continuation; co != nil {
			header.Set(di.Copies.From, co.from())
		}
	}
	if ex.rq.lastEvent != "" {
		header.Set(di.Resume, ex.rq.lastEvent)
	}
	hr := ex.rq.hr
	return conns.FormatHead(hr.Method, hr.RequestURI, hr.Host, header, len(ex.rq.body))
}

// received records that the endpoint has sent something, and returns when.
func (ex *exchange) received() time.Time {
	now := time.Now()
	ex.tk.RecordActivity(now)
	ex.stall.reset()
	return now
}

// handleHead handles the response according to its status and header.
func (ex *exchange) handleHead(ctx context.Context) (*core.Refusal, place.Result) {
	rs, di := ex.rs, &ex.rq.re.Dialect
	refused := rs.Header.Get(di.NotRun) != "" && rs.StatusCode != http.StatusBadRequest
	switch {
	case rs.StatusCode == http.StatusMisdirectedRequest:
		if err := ex.drainBody(ctx); err != nil {
			return ex.classifyError(ctx, "read", err)
		}
		return ex.refusal(core.NotRun, core.ReasonWrongPool, "send", errAddressReused), place.Replaced
	case refused:
		if err := ex.drainBody(ctx); err != nil {
			return ex.classifyError(ctx, "read", err)
		}
		return ex.refusal(core.NotRun, core.ReasonQueueFull, "send", errors.New(rs.Status)), ex.rejected()
	case rs.StatusCode >= http.StatusMultipleChoices:
		return ex.handleFailure(ctx)
	case rs.Header.Get("Content-Encoding") != "" || rs.Header.Get(di.Stamp) == "":
		return ex.refusal(core.Unknown, core.ReasonCrossed, "read", errNoStamp), place.Failed
	}
	ex.releaseBody()
	switch {
	case isEventStream(rs) && ex.rq.route.Kind == route.Stream:
		return ex.forwardStream(ctx)
	case ex.rq.headSent:
		return ex.refusal(core.Unknown, core.ReasonEndpointError, "read", errNoEventStream), place.Failed
	}
	return ex.forwardBuffered(ctx)
}

// rejected returns the result of an endpoint that refused the request. One that refuses a copy is not
// full.
func (ex *exchange) rejected() place.Result {
	if ex.rq.continuation != nil {
		return place.Neutral
	}
	return place.Rejected
}

var (
	errAddressReused = errors.New("another endpoint has the address")
	errNoLongerOpen  = errors.New("the endpoint was closed to new requests after it was chosen")
	errCallerGone    = errors.New("the caller's connection was closed before the request was sent")
	errNoEventStream = errors.New("the answer that continues an event stream is none")
	errNoStamp       = errors.New("the answer bears no stamp, or is encoded: it is not the endpoint's")
)

// handleFailure keeps an endpoint's failure response, to be forwarded if no other attempt succeeds.
// One that is too large to be buffered is forwarded at once.
func (ex *exchange) handleFailure(ctx context.Context) (*core.Refusal, place.Result) {
	body, complete, err := ex.readBuffered()
	if err != nil {
		return ex.classifyError(ctx, "read", err)
	}
	if !complete && !ex.rq.headSent && !notRunStatuses[ex.rs.StatusCode] {
		return ex.forwardUnbuffered(ctx, body, place.Failed)
	}
	if complete && ex.brokenOff(ctx) {
		return ex.classifyError(ctx, "read", errEndpointGone)
	}
	if complete {
		ex.returnConn()
	}
	if complete && !ex.rq.headSent {
		ex.rq.failure = &failureResponse{status: ex.rs.StatusCode, header: ex.rs.Header, body: body}
	}
	rf := ex.refusal(core.Failed, core.ReasonEndpointError, "read", errors.New(ex.rs.Status))
	rf.Status = ex.rs.StatusCode
	if ex.rs.StatusCode < http.StatusInternalServerError {
		return rf, place.Served
	}
	return rf, place.Failed
}

// forwardBuffered reads the complete response before it forwards it, so that the request can be
// retried if the response ends early. One that is too large is forwarded as it arrives.
func (ex *exchange) forwardBuffered(ctx context.Context) (*core.Refusal, place.Result) {
	body, complete, err := ex.readBuffered()
	if err != nil {
		return ex.classifyError(ctx, "read", err)
	}
	if !complete {
		return ex.forwardUnbuffered(ctx, body, place.Served)
	}
	if ex.brokenOff(ctx) {
		return ex.classifyError(ctx, "read", errEndpointGone)
	}
	ex.returnConn()
	// The endpoint is free now; a caller that reads slowly must not keep the place.
	ex.rq.turn.recordRun(nil, ex.answered.Sub(ex.began))
	ex.rq.endTurn()
	ex.rq.writeHead(ex.rs.StatusCode, ex.rs.Header, int64(len(body)))
	if _, err = ex.rq.wr.Write(body); err != nil {
		return ex.refusal(core.Unknown, core.ReasonCallerGone, "write", err), place.Served
	}
	return nil, place.Served
}

// forwardUnbuffered forwards a response that is too large to be buffered as it arrives, beginning
// with what was read of it. If it ends early, the caller's connection is closed, as the caller
// already has a part.
func (ex *exchange) forwardUnbuffered(ctx context.Context, start []byte, re place.Result) (*core.Refusal, place.Result) {
	// No other endpoint can continue once the caller has a part of this response.
	ex.rq.reservedTicket = ex.stall.stop()
	ex.rq.writeHead(ex.rs.StatusCode, ex.rs.Header, ex.rs.ContentLength)
	if _, err := ex.rq.wr.Write(start); err != nil {
		return ex.refusal(core.Unknown, core.ReasonCallerGone, "write", err), place.Neutral
	}
	buffer := readBuffers.Get().(*[readSize]byte)
	defer readBuffers.Put(buffer)
	for {
		count, err := ex.rs.Body.Read(buffer[:])
		if count > 0 {
			ex.received()
			if _, werr := ex.rq.wr.Write(buffer[:count]); werr != nil {
				return ex.refusal(core.Unknown, core.ReasonCallerGone, "write", werr), place.Neutral
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF) && ex.brokenOff(ctx):
			err = errEndpointGone
		case errors.Is(err, io.EOF):
			ex.returnConn()
			return nil, re
		}
		return ex.classifyError(ctx, "read", err)
	}
}

// readBuffered reads up to maxBuffered bytes of a response, or fewer if Relay.Memory is exhausted.
// complete reports whether the response ended there.
func (ex *exchange) readBuffered() (body []byte, complete bool, err error) {
	body, err = ex.rq.readBounded(io.LimitReader(ex.rs.Body, maxBuffered+1), ex.bodyLength())
	if errors.Is(err, accept.ErrNoMemory) {
		return body, false, nil
	}
	return body, len(body) <= maxBuffered, err
}

// bodyLength returns the length of the response's body, -1 if it is unknown or not buffered whole.
func (ex *exchange) bodyLength() int64 {
	if ex.rs.Body == http.NoBody || ex.rs.ContentLength > maxBuffered {
		return -1
	}
	return ex.rs.ContentLength
}

// drainBody reads the rest of a response that is not forwarded, so that its connection can be
// reused. It returns an error if the response was broken off: then its head says nothing either.
func (ex *exchange) drainBody(ctx context.Context) error {
	_, complete, err := ex.readBuffered()
	if complete && err == nil && ctx.Err() == nil {
		ex.returnConn()
	}
	return err
}

// returnConn returns the connection to the pool, unless it is being interrupted: that would
// interrupt the next request on it, too.
func (ex *exchange) returnConn() {
	ex.answered = time.Now()
	if ex.stall.stop() != nil || !ex.stopInterrupt() {
		return
	}
	ex.co.SetDeadline(time.Time{})
	ex.rq.re.Conns.Put(ex.co, ex.rs)
	ex.co = nil
}

// returnUnusedConn returns a connection to the pool on which nothing was sent.
func (ex *exchange) returnUnusedConn() {
	ex.rq.re.Conns.PutUnused(ex.co)
	ex.co = nil
}

// classifyError returns the refusal for an exchange that failed with an I/O error. If any byte of
// the request was sent, it may have run.
func (ex *exchange) classifyError(ctx context.Context, step string, err error) (*core.Refusal, place.Result) {
	switch {
	case ex.rq.hr.Context().Err() != nil:
		return ex.refusal(core.Unknown, core.ReasonCallerGone, step, err), place.Neutral
	case ctx.Err() != nil || !time.Now().Before(ex.rq.deadline):
		return ex.refusal(core.Unknown, core.ReasonDeadline, step, err), ex.unlessCallerGone(place.Neutral)
	case !ex.co.Sent():
		return ex.refusal(core.NotRun, core.ReasonEndpointDown, step, err), place.Failed
	case ex.stall.stop() != nil:
		return ex.refusal(core.Unknown, core.ReasonStalled, step, err), place.TimedOut
	case errors.Is(err, conns.ErrHeadTooLong):
		ex.rq.re.Stats.Add(stats.OversizedAnswers, 1)
		return ex.refusal(core.Unknown, core.ReasonEndpointError, step, err), place.Failed
	case errors.Is(err, strict.ErrMalformed):
		ex.rq.re.Stats.Add(stats.MalformedAnswers, 1)
		return ex.refusal(core.Unknown, core.ReasonEndpointError, step, err), place.Failed
	case errors.Is(err, conns.ErrStray):
		return ex.refusal(core.Unknown, core.ReasonCrossed, step, err), place.Failed
	}
	return ex.refusal(core.Unknown, core.ReasonCutShort, step, err), place.Failed
}

// unlessCallerGone returns the result, or place.Neutral if the caller has disconnected, for which
// the endpoint is not responsible.
func (ex *exchange) unlessCallerGone(re place.Result) place.Result {
	if ex.rq.hr.Context().Err() != nil {
		return place.Neutral
	}
	return re
}

func (ex *exchange) refusal(ou core.Outcome, re core.Reason, step string, err error) *core.Refusal {
	return &core.Refusal{
		Outcome: ou, Reason: re, Step: step, Peer: string(ex.tk.Endpoint.ID), Detail: err.Error(), RetryAfter: defaultRetryAfter,
	}
}

// defaultRetryAfter is the least Retry-After of a refusal, before jitter.
const defaultRetryAfter = 250 * time.Millisecond
