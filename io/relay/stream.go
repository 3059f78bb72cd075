package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/ledger"
	"almondrill/core/place"
	"almondrill/io/accept"
	"almondrill/io/conns"
	"almondrill/io/events"
	"almondrill/io/logs"
	"almondrill/io/stats"
)

const (
	// minRead and readSize bound the size of a stream's read buffer, in bytes: it begins with a size
	// that fits several events, since streams wait for the next one nearly all the time, and grows with
	// an endpoint that sends more at once.
	minRead  = 512
	readSize = 8 << 10
	// maxEventSize bounds an event, in bytes, which is buffered until it is complete.
	maxEventSize = 1 << 20
)

var (
	readBuffers = sync.Pool{New: func() any { return new([readSize]byte) }}
	// statusLine is how a response begins.
	statusLine = []byte("HTTP/1.")

	errEventTooLarge  = errors.New("an event is larger than a megabyte")
	errCutInsideEvent = fmt.Errorf("the stream ended inside an event: %w", io.ErrUnexpectedEOF)
	errOtherResponse  = fmt.Errorf("another response follows on the connection: %w", conns.ErrStray)
	errEndpointGone   = fmt.Errorf("the endpoint was gone when its connection ended: %w", io.ErrUnexpectedEOF)
	errNoEvents       = fmt.Errorf("the connection ended before the first event: %w", io.ErrUnexpectedEOF)
)

// forwardStream forwards complete events only. If the endpoint fails within an event, the stream can
// then be resumed at another endpoint after the last complete one.
func (ex *exchange) forwardStream(ctx context.Context) (*core.Refusal, place.Result) {
	pending := make([]byte, 0, minRead)
	var scanner events.Scanner
	ex.rq.stream.attach(ex)
	defer ex.rq.stream.detach()
	// Not set at each read: an event may arrive in parts.
	waitingSince := time.Now()
	for {
		if len(pending) == cap(pending) {
			grown, ok := ex.rq.growPending(pending)
			if !ok {
				return ex.oversized(accept.ErrNoMemory)
			}
			pending = grown
		}
		count, err := ex.rs.Body.Read(pending[len(pending):cap(pending)])
		filled := len(pending)+count == cap(pending)
		if count > 0 {
			arrived := ex.received()
			end, ended := scanner.Scan(pending[len(pending) : len(pending)+count])
			if end > 0 {
				end += len(pending)
			}
			pending = pending[:len(pending)+count]
			if end > 0 {
				// Before the events are written: a caller that reads slowly must not make the endpoint look slow.
				ex.tk.RecordEvents(waitingSince, arrived, ended)
				own := ex.ownLength(pending[:end])
				if own > 0 {
					if werr := ex.rq.forwardEvents(ex, pending[:own]); werr != nil {
						return ex.forwardFailed(werr)
					}
				}
				if own < end {
					return ex.classifyError(ctx, "read", errOtherResponse)
				}
				pending = pending[:copy(pending, pending[end:])]
				waitingSince = time.Now()
			}
			if filled && cap(pending) < readSize {
				pending = slices.Grow(pending, 2*cap(pending)-len(pending))
			}
		}
		switch {
		case err == nil && len(pending) > maxEventSize:
			return ex.oversized(errEventTooLarge)
		case err == nil:
			continue
		case errors.Is(err, io.EOF):
			return ex.finishStream(ctx, &scanner, pending)
		}
		return ex.streamFailed(ctx, err)
	}
}

// growPending doubles the read buffer of a stream. One that holds an incomplete event beyond readSize is at the
// expense of Relay.Memory.
func (rq *request) growPending(pending []byte) ([]byte, bool) {
	more := int64(cap(pending))
	if cap(pending) >= readSize {
		if !rq.re.Memory.Reserve(ledger.Buffers, more) {
			return nil, false
		}
		rq.heldBytes += more
	}
	return append(make([]byte, 0, 2*cap(pending)), pending...), true
}

// oversized returns the refusal for a stream with an event for which there is no room.
func (ex *exchange) oversized(err error) (*core.Refusal, place.Result) {
	ex.rq.re.Stats.Add(stats.OversizedAnswers, 1)
	return ex.refusal(core.Failed, core.ReasonEndpointError, "read", err), place.Failed
}

// ownLength returns the length of whole blocks up to the start of another response, if the end of the
// connection is what ends this one.
func (ex *exchange) ownLength(blocks []byte) int {
	if ex.rq.framing != byClose {
		return len(blocks)
	}
	for rest := blocks; len(rest) > 0; {
		if bytes.HasPrefix(rest, statusLine) {
			return len(blocks) - len(rest)
		}
		_, rest = events.Cut(rest)
	}
	return len(blocks)
}

// streamFailed returns the refusal for a stream whose read failed. It may continue from a copy.
func (ex *exchange) streamFailed(ctx context.Context, err error) (*core.Refusal, place.Result) {
	co := ex.rq.stream.takeOver(ctx, err)
	if co == nil {
		return ex.classifyError(ctx, "read", err)
	}
	ex.rq.taken, ex.handedOver = co, co.sourceKeeps || co.atSource
	rf := ex.refusal(core.Unknown, core.ReasonCutShort, "read", err)
	if ex.handedOver {
		return rf, place.Neutral
	}
	return rf, place.Failed
}

// forwardFailed returns the refusal for events that could not be forwarded.
func (ex *exchange) forwardFailed(err error) (*core.Refusal, place.Result) {
	if errors.Is(err, errEventGap) {
		return ex.refusal(core.Unknown, core.ReasonEndpointError, "read", err), place.Failed
	}
	return ex.refusal(core.Unknown, core.ReasonCallerGone, "write", err), place.Neutral
}

// finishStream ends a stream whose endpoint has sent its end. rest is what followed the last whole block.
func (ex *exchange) finishStream(ctx context.Context, sc *events.Scanner, rest []byte) (*core.Refusal, place.Result) {
	ex.rq.unfinished = len(rest)
	switch {
	case sc.Open():
		return ex.streamFailed(ctx, errCutInsideEvent)
	case ex.rq.framing == byClose && ex.rq.events == 0:
		return ex.streamFailed(ctx, errNoEvents)
	case ex.brokenOff(ctx):
		return ex.streamFailed(ctx, errEndpointGone)
	}
	if len(rest) > 0 || !ex.rq.headSent {
		if err := ex.rq.forwardEvents(ex, rest); err != nil {
			return ex.forwardFailed(err)
		}
	}
	ex.rq.stream.detach() // a migration must not interrupt the connection's next request
	ex.returnConn()
	ex.rq.continuation.accept()
	return nil, place.Served
}

// brokenOff reports whether a response that ends with its connection may have been broken off by the end of the
// endpoint's process: then its system has closed the connections of all responses, also of those that had more to
// send. An announced shutdown does not say that the process waits for them.
func (ex *exchange) brokenOff(ctx context.Context) bool {
	if ex.rq.framing != byClose {
		return false
	}
	su := ex.rq.re.Conns.Survey(ctx, ex.co)
	if !su.Refused && (su.Gone || su.MayBeGone) {
		ex.rq.re.Log.Info("An endpoint has closed an answer's connection and all others.", zap.String("Request", logs.Short(ex.rq.id)),
			zap.String("Endpoint", string(ex.tk.Endpoint.ID)), zap.String("Addr", ex.tk.Endpoint.Addr), zap.Bool("Certain", su.Gone),
			zap.Int("Others", su.Others))
	}
	if su.Refused {
		ex.rq.re.Log.Info("An endpoint that takes no more connections has ended an answer.", zap.String("Request", logs.Short(ex.rq.id)),
			zap.String("Endpoint", string(ex.tk.Endpoint.ID)), zap.String("Addr", ex.tk.Endpoint.Addr), zap.Bool("Whole", !su.Gone),
			zap.Int("Others", su.Others), zap.Int("Open", su.Open), zap.Bool("EndpointLeaves", ex.rq.notice.Draining), zap.Duration("Age", ex.rq.re.ViewAge()))
	}
	return su.Gone || su.MayBeGone && ex.rq.route.MayRepeat()
}

// forwardEvents writes complete events to the caller and flushes them.
func (rq *request) forwardEvents(ex *exchange, data []byte) error {
	data, err := rq.stream.sequence(data, rq.continuation != nil)
	if len(data) == 0 && rq.headSent {
		return err
	}
	if !rq.headSent {
		rq.beginStream(ex.tk.Build)
		rq.writeHead(ex.rs.StatusCode, ex.rs.Header, -1)
	}
	if id := events.LastID(data); id != "" {
		rq.lastEvent = id
	}
	now := time.Now()
	if !rq.lastWrite.IsZero() {
		rq.longestGap = max(rq.longestGap, now.Sub(rq.lastWrite))
	}
	rq.lastWrite = now
	count := events.Count(data)
	ex.forwardedEvents(count)
	rq.countEvents(count)
	if _, werr := rq.wr.Write(data); werr != nil {
		return werr
	}
	if werr := rq.control.Flush(); werr != nil {
		return werr
	}
	if err != nil {
		return err
	}
	rq.continuation.accept()
	rq.stream.record(now)
	return nil
}
