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
	"almondrill/io/conns"
	"almondrill/io/stats"
)

// mostKept bounds what is kept of an answer, in bytes, to be able to ask another
// endpoint if it breaks off. A router's memory holds some hundred of them.
const mostKept = 1 << 20

// exchange is one attempt at one endpoint.
type exchange struct {
	rq *request
	co *conns.Conn
	rs *http.Response
	tk *place.Ticket
	// silence may give the attempt up, and ended stops what interrupts it when the
	// request's time is over.
	silence silence
	ended   func() bool
	// refused is set if the endpoint refused the connection.
	refused bool
}

// attempt sends the request to the ticket's endpoint and passes the answer on.
// It returns nil if the answer was passed on whole.
func (rq *request) attempt(ctx context.Context, header http.Header) *core.Refusal {
	ex := &exchange{rq: rq, tk: rq.ticket}
	began := time.Now()
	rf, result := ex.run(ctx, header)
	ex.tellBlame(began, rf)
	rq.next = ex.silence.end()
	ex.tk.Done(time.Now(), result)
	if counts := rq.re.Counts; counts != nil && result == place.Unreached {
		counts.Down(ex.tk.Hash)
	}
	return rf
}

func (ex *exchange) run(ctx context.Context, header http.Header) (*core.Refusal, place.Result) {
	co, err := ex.rq.re.Conns.Get(ctx, ex.tk.Endpoint.Addr)
	if err != nil {
		ex.refused = isRefused(err)
		return ex.fail(core.NotRun, core.ReasonEndpointDown, "connect", err), ex.blame(place.Unreached)
	}
	ex.co = co
	if ex.rq.closed() {
		ex.keepUnused()
		return ex.fail(core.NotRun, core.ReasonCallerGone, "send", errClosed), place.Neutral
	}
	if reason := ex.tk.Send(time.Now()); reason != "" {
		ex.keepUnused()
		return ex.fail(core.NotRun, reason, "send", errWithdrawn), place.Neutral
	}
	ex.rq.sends++
	ex.rq.sent.Store(&sending{ex.tk.Endpoint, time.Now(), ex.rq.sends})
	if ex.rq.sends == 1 {
		ex.rq.re.Latency.Note(stats.SentMs, time.Since(ex.rq.began))
	}
	co.SetDeadline(ex.rq.end)
	ex.ended = context.AfterFunc(ctx, co.Interrupt)
	ex.silence.start(ex)
	defer func() {
		if ex.co != nil {
			ex.ended()
			ex.co.Close()
		}
	}()
	ex.rs, err = co.Do(ex.head(header), ex.rq.body, ex.rq.hr.Method, ex.own)
	if err != nil {
		return ex.broken(ctx, "send", err)
	}
	ex.heard()
	ex.takeNotice()
	if calls, told := ex.rq.re.Dialect.Calls(ex.rs.Header); told {
		ex.tk.Counted(time.Now(), calls)
		if counts := ex.rq.re.Counts; counts != nil {
			counts.Said(ex.tk.Hash, calls)
		}
	}
	return ex.judge(ctx)
}

// own tells whether an answer is for this request.
func (ex *exchange) own(hd http.Header) bool {
	echoed := hd.Get(ex.rq.re.Dialect.RequestID)
	return echoed == "" || echoed == ex.rq.id
}

// head is the request's head for this endpoint.
func (ex *exchange) head(header http.Header) []byte {
	di := &ex.rq.re.Dialect
	left := max(1, time.Until(ex.rq.end).Milliseconds())
	header.Set(di.Deadline, strconv.FormatInt(left, 10))
	header.Set(di.Expect, string(ex.tk.Endpoint.ID))
	header.Del(di.Fetch)
	if ex.tk.FetchFrom != "" {
		header.Set(di.Fetch, ex.tk.FetchFrom)
	}
	if ex.rq.lastEvent != "" {
		header.Set(di.Resume, ex.rq.lastEvent)
	}
	hr := ex.rq.hr
	return conns.FormatHead(hr.Method, hr.RequestURI, hr.Host, header, len(ex.rq.body))
}

// heard notes that something came from the endpoint.
func (ex *exchange) heard() {
	ex.tk.Heard(time.Now())
	ex.silence.heard()
}

// judge decides what the answer's head means.
func (ex *exchange) judge(ctx context.Context) (*core.Refusal, place.Result) {
	rs, di := ex.rs, &ex.rq.re.Dialect
	refused := rs.Header.Get(di.NotRun) != "" && rs.StatusCode != http.StatusBadRequest
	switch {
	case rs.StatusCode == http.StatusMisdirectedRequest:
		ex.drainReply(ctx)
		return ex.fail(core.NotRun, core.ReasonWrongPool, "send", errReplaced), place.Replaced
	case refused:
		ex.drainReply(ctx)
		return ex.fail(core.NotRun, core.ReasonQueueFull, "send", errors.New(rs.Status)), place.Full
	case rs.StatusCode >= http.StatusMultipleChoices:
		return ex.failedReply(ctx)
	case rs.Header.Get("Content-Encoding") != "" || rs.Header.Get(di.Stamp) == "":
		return ex.fail(core.Unknown, core.ReasonCrossed, "read", errNoStamp), place.Failed
	case ex.rq.route.Kind == route.Stream:
		return ex.passStream(ctx)
	}
	return ex.passWhole(ctx)
}

var (
	errReplaced  = errors.New("another endpoint has the address")
	errWithdrawn = errors.New("the endpoint was closed to new requests after it was chosen")
	errClosed    = errors.New("the caller's connection was closed before the request was sent")
	errNoStamp   = errors.New("the answer bears no stamp, or is encoded: it is not the endpoint's")
)

// failedReply keeps an endpoint's failure, to be passed on if nothing better comes.
func (ex *exchange) failedReply(ctx context.Context) (*core.Refusal, place.Result) {
	body, whole, err := ex.readWhole()
	if err != nil {
		return ex.broken(ctx, "read", err)
	}
	if !whole && !ex.rq.begun && !promises[ex.rs.StatusCode] {
		return ex.passLong(ctx, body, place.Failed)
	}
	if whole {
		ex.keep()
	}
	if whole && !ex.rq.begun {
		ex.rq.reply = &reply{status: ex.rs.StatusCode, header: ex.rs.Header, body: body}
	}
	rf := ex.fail(core.Failed, core.ReasonEndpointError, "read", errors.New(ex.rs.Status))
	rf.Status = ex.rs.StatusCode
	if ex.rs.StatusCode < http.StatusInternalServerError {
		return rf, place.Served
	}
	return rf, place.Failed
}

// passWhole passes an answer on that is read whole first, so that one that breaks
// off can still be asked for again.
func (ex *exchange) passWhole(ctx context.Context) (*core.Refusal, place.Result) {
	body, whole, err := ex.readWhole()
	if err != nil {
		return ex.broken(ctx, "read", err)
	}
	if !whole {
		return ex.passLong(ctx, body, place.Served)
	}
	ex.keep()
	ex.rq.passHead(ex.rs.StatusCode, ex.rs.Header, int64(len(body)))
	if _, err = ex.rq.wr.Write(body); err != nil {
		return ex.fail(core.Unknown, core.ReasonCallerGone, "write", err), place.Served
	}
	return nil, place.Served
}

// passLong passes an answer on as it comes that is too long to be kept. One that
// breaks off is cut at the caller too: it has the beginning already.
func (ex *exchange) passLong(ctx context.Context, start []byte, re place.Result) (*core.Refusal, place.Result) {
	// The caller gets the beginning: no other endpoint can take over from here.
	ex.rq.next = ex.silence.end()
	ex.rq.passHead(ex.rs.StatusCode, ex.rs.Header, ex.rs.ContentLength)
	if _, err := ex.rq.wr.Write(start); err != nil {
		return ex.fail(core.Unknown, core.ReasonCallerGone, "write", err), place.Neutral
	}
	buffer := buffers.Get().(*[readSize]byte)
	defer buffers.Put(buffer)
	for {
		count, err := ex.rs.Body.Read(buffer[:])
		if count > 0 {
			ex.heard()
			if _, werr := ex.rq.wr.Write(buffer[:count]); werr != nil {
				return ex.fail(core.Unknown, core.ReasonCallerGone, "write", werr), place.Neutral
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF):
			ex.keep()
			return nil, re
		}
		return ex.broken(ctx, "read", err)
	}
}

// readWhole reads an answer up to mostKept, or as far as the memory for that goes; whole tells
// whether that was all.
func (ex *exchange) readWhole() (body []byte, whole bool, err error) {
	body, err = ex.rq.readHeld(io.LimitReader(ex.rs.Body, mostKept+1), -1)
	if errors.Is(err, errMemory) {
		return body, false, nil
	}
	return body, len(body) <= mostKept, err
}

// drainReply reads the rest of an answer that is not passed on, so that its
// connection can be used again.
func (ex *exchange) drainReply(ctx context.Context) {
	if _, whole, err := ex.readWhole(); whole && err == nil && ctx.Err() == nil {
		ex.keep()
	}
}

// keep gives the connection back for another request, unless it is being interrupted: the
// next request on it would be, too.
func (ex *exchange) keep() {
	if ex.silence.end() != nil || !ex.ended() {
		return
	}
	ex.co.SetDeadline(time.Time{})
	ex.rq.re.Conns.Put(ex.co, ex.rs)
	ex.co = nil
}

// keepUnused gives a connection back on which nothing was sent.
func (ex *exchange) keepUnused() {
	ex.rq.re.Conns.PutUnused(ex.co)
	ex.co = nil
}

// broken judges an exchange that broke off. Whatever was sent may have run.
func (ex *exchange) broken(ctx context.Context, step string, err error) (*core.Refusal, place.Result) {
	switch {
	case ex.rq.hr.Context().Err() != nil:
		return ex.fail(core.Unknown, core.ReasonCallerGone, step, err), place.Neutral
	case ctx.Err() != nil || !time.Now().Before(ex.rq.end):
		return ex.fail(core.Unknown, core.ReasonDeadline, step, err), ex.blame(place.Neutral)
	case !ex.co.Sent():
		return ex.fail(core.NotRun, core.ReasonEndpointDown, step, err), place.Failed
	case ex.silence.end() != nil:
		return ex.fail(core.Unknown, core.ReasonStalled, step, err), place.Silent
	case errors.Is(err, conns.ErrStray):
		return ex.fail(core.Unknown, core.ReasonCrossed, step, err), place.Failed
	}
	return ex.fail(core.Unknown, core.ReasonCutShort, step, err), place.Failed
}

// blame is the result unless the caller has left, which is not the endpoint's doing.
func (ex *exchange) blame(re place.Result) place.Result {
	if ex.rq.hr.Context().Err() != nil {
		return place.Neutral
	}
	return re
}

func (ex *exchange) fail(ou core.Outcome, re core.Reason, step string, err error) *core.Refusal {
	return &core.Refusal{
		Outcome: ou, Reason: re, Step: step, Peer: string(ex.tk.Endpoint.ID), Detail: err.Error(), RetryAfter: failedAfter,
	}
}

// failedAfter is when a caller may return whose request an endpoint refused.
const failedAfter = 250 * time.Millisecond
