package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"almondrill/core"
	"almondrill/core/place"
)

const (
	readSize = 8 << 10
	// mostEvent bounds an event, which is held until it is whole.
	mostEvent = 1 << 20
)

var (
	buffers  = sync.Pool{New: func() any { return new([readSize]byte) }}
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")

	errEventTooLarge = errors.New("an event is larger than a megabyte")
)

// passStream passes events on, as many at a time as have arrived whole: an
// endpoint may break off within one, and the stream then goes on elsewhere
// behind the last whole one.
func (ex *exchange) passStream(ctx context.Context) (*core.Refusal, place.Result) {
	buffer := buffers.Get().(*[readSize]byte)
	defer buffers.Put(buffer)
	var held []byte
	for {
		count, err := ex.rs.Body.Read(buffer[:])
		if count > 0 {
			ex.heard()
			held = append(held, buffer[:count]...)
			cut := bytes.LastIndex(held, eventEnd) + len(eventEnd)
			if cut >= len(eventEnd) {
				if werr := ex.rq.passEvents(ex, held[:cut]); werr != nil {
					return ex.fail(core.Unknown, core.ReasonCallerGone, "write", werr), place.Neutral
				}
				held = append(held[:0], held[cut:]...)
			}
		}
		switch {
		case err == nil && len(held) > mostEvent:
			return ex.fail(core.Failed, core.ReasonEndpointError, "read", errEventTooLarge), place.Failed
		case err == nil:
			continue
		case errors.Is(err, io.EOF):
			return ex.endStream(held)
		}
		return ex.broken(ctx, "read", err)
	}
}

// endStream ends a stream that the endpoint ended properly.
func (ex *exchange) endStream(rest []byte) (*core.Refusal, place.Result) {
	if len(rest) > 0 || !ex.rq.begun {
		if err := ex.rq.passEvents(ex, rest); err != nil {
			return ex.fail(core.Unknown, core.ReasonCallerGone, "write", err), place.Neutral
		}
	}
	ex.keep()
	return nil, place.Served
}

// passEvents writes whole events to the caller at once.
func (rq *request) passEvents(ex *exchange, events []byte) error {
	if !rq.begun {
		rq.passHead(ex.rs.StatusCode, ex.rs.Header, -1)
	}
	if id := lastID(events); id != "" {
		rq.lastEvent = id
	}
	now := time.Now()
	if !rq.wrote.IsZero() {
		rq.gap = max(rq.gap, now.Sub(rq.wrote))
	}
	rq.wrote = now
	if _, err := rq.wr.Write(events); err != nil {
		return err
	}
	return rq.control.Flush()
}

// lastID is the id of the last event that bears one, "" if none does.
func lastID(events []byte) string {
	at := bytes.LastIndex(events, idField)
	for at > 0 && events[at-1] != '\n' {
		at = bytes.LastIndex(events[:at], idField)
	}
	if at < 0 {
		return ""
	}
	line := events[at+len(idField):]
	if end := bytes.IndexByte(line, '\n'); end >= 0 {
		line = line[:end]
	}
	return string(bytes.TrimSpace(line))
}
