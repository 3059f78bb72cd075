package relay

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/place"
	"almondrill/io/conns"
	"almondrill/io/logs"
)

// continuation is the send of a request whose stream continues from a copy.
type continuation struct {
	migration *migration
	ticket    *place.Ticket
	handle    Handle
	// sourceKeeps is set while the source has the memory and can continue the stream, atSource if it is
	// sent there.
	sourceKeeps, atSource bool
	// accepted is set once the endpoint has continued the stream.
	accepted bool
}

// from is the value of the header that names the copy.
func (co *continuation) from() string {
	return co.migration.source.Addr + "/" + string(co.handle)
}

// returnToSource makes the source the endpoint to send to.
func (co *continuation) returnToSource() {
	co.atSource, co.sourceKeeps = true, false
	co.ticket = co.migration.ex.tk.Again(time.Now(), co.migration.placement.Produced)
}

// accept records that the endpoint has continued the stream.
func (co *continuation) accept() {
	switch {
	case co == nil || co.accepted:
		return
	case co.atSource:
		co.migration.finish(false, "ContinuedAtSource", co.migration.detail)
	default:
		co.migration.finish(true, "Continued", "")
	}
	co.accepted = true
}

// cancel releases what is held for a send that is not made.
func (co *continuation) cancel(detail string) {
	co.ticket.Done(time.Now(), place.Neutral)
	co.fail(detail)
}

// fail records that the stream does not continue from the copy, and frees it. An endpoint that did not
// answer may have used it; then freeing it has no effect.
func (co *continuation) fail(detail string) {
	mi := co.migration
	go mi.re.freeHandle(mi.requestID, mi.source, co.handle)
	mi.finish(false, "Refused", detail)
}

// nextContinuation decides, after an attempt that ended with rf, whether the stream continues from a
// copy: at the target, or at the source if the target has provably not run the request.
func (rq *request) nextContinuation(rf *core.Refusal) bool {
	sent := rq.continuation
	rq.continuation, rq.taken = rq.taken, nil
	if rq.continuation != nil {
		rq.releaseReserved() // of an attempt that stalled before its source closed the stream
		return true
	}
	if sent == nil || sent.accepted {
		return false
	}
	if rf.Outcome == core.NotRun && sent.sourceKeeps {
		// Also if the budget is spent: the stream was stopped and would be cut.
		rq.re.Budget.RecordExtra(time.Now(), rq.pool)
		sent.migration.detail = "target: " + rf.Detail
		sent.returnToSource()
		rq.continuation = sent
		return true
	}
	sent.fail(rf.Detail)
	return false
}

// releaseContinuation releases a continuation that is not sent.
func (rq *request) releaseContinuation() {
	if rq.continuation != nil && !rq.continuation.accepted {
		rq.continuation.cancel("the request ended before it was sent on")
	}
	rq.continuation = nil
}

// attempts returns how often the request was sent to an endpoint, but for the sends that continue a run.
func (rq *request) attempts() int { return rq.sends - rq.continuedSends }

// maxCopyResponse bounds the response to a request for a copy, in bytes; it has some dozens.
const maxCopyResponse = 4 << 10

// copyStream asks the engine at addr to copy a stream's memory. Only a response with status 200 or 503
// has a Copy.
func (re *Relay) copyStream(addr string, cr CopyRequest) (status int, made Copy, err error) {
	di := re.Dialect.Copies
	status, body, err := re.callEngine(addr, http.MethodPost, di.Path, di.Format(cr))
	if err != nil || status != http.StatusOK && status != http.StatusServiceUnavailable {
		return status, Copy{}, err
	}
	made, err = di.Parse(body)
	if err != nil && status == http.StatusServiceUnavailable {
		err = nil // a refusal without a handle needs no body
	}
	return status, made, err
}

// freeHandle frees a copy that is not used, at the source and at the target.
func (re *Relay) freeHandle(requestID string, source place.Endpoint, ha Handle) {
	status, _, err := re.callEngine(source.Addr, http.MethodDelete, re.Dialect.Copies.HandlePath+url.PathEscape(string(ha)), nil)
	if err == nil && status >= http.StatusMultipleChoices && status != http.StatusNotFound {
		err = fmt.Errorf("free a copy at %s: status %d", source.Addr, status)
	}
	if err != nil {
		re.Log.Info("Cannot free the copy of a stream; it will expire.", append(logs.ErrorFields(err),
			zap.String("Request", requestID), zap.String("Endpoint", string(source.ID)))...)
	}
}

// callEngine sends a request of the router itself to an engine and reads the response. Neither has an
// id, so that a duplicate of this response could be taken for that of the next request on the
// connection, which is therefore not used again.
func (re *Relay) callEngine(addr, method, path string, body []byte) (status int, data []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), copyTimeout)
	defer cancel()
	co, err := re.Conns.Get(ctx, addr)
	if err != nil {
		return 0, nil, err
	}
	defer co.Close()
	deadline, _ := ctx.Deadline()
	co.SetDeadline(deadline)
	// Engines take any request that bears an id for one to run, whatever its path.
	hd := http.Header{"Content-Type": {"application/json"}}
	isOwn := func(rs http.Header) bool { return rs.Get(re.Dialect.RequestID) == "" }
	rs, err := co.Do(conns.FormatHead(method, path, addr, hd, len(body)), body, method, isOwn)
	if err != nil {
		return 0, nil, err
	}
	if data, err = io.ReadAll(io.LimitReader(rs.Body, maxCopyResponse)); err != nil {
		return 0, nil, fmt.Errorf("read answer of %s: %w", addr, err) // a response that breaks off says nothing
	}
	return rs.StatusCode, data, nil
}
