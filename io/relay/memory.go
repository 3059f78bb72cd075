package relay

import (
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// Load pattern: many callers send long bodies slowly, or read long answers slowly. Each is held for
// seconds, and the process would be ended for its memory.

// Memory bounds what a router holds of bodies and answers, for callers and endpoints that are slow.
// The zero value bounds nothing.
type Memory struct {
	// Limit is how many bytes are held at most; 0 if nothing bounds them.
	Limit int64

	held atomic.Int64
}

// Held is how many bytes are held.
func (me *Memory) Held() int64 { return me.held.Load() }

// reserve holds so many bytes more, unless that is beyond the bound.
func (me *Memory) reserve(size int64) bool {
	if held := me.held.Add(size); me.Limit > 0 && held > me.Limit {
		me.held.Add(-size)
		return false
	}
	return true
}

const (
	// initialBuffer is how much is held at first of a body or an answer; what was not sent yet takes
	// no memory, however long it is said to be.
	initialBuffer = 4 << 10
	// memoryRetryAfter is when a caller may return for whose body there was no memory: slow ones are
	// cut off after seconds.
	memoryRetryAfter = time.Second
)

var errNoMemory = errors.New("no memory is left for bodies and answers")

// readBounded reads to the end, and holds what it read until the request is over. length is how long it
// is said to be, -1 if it does not say. Where it returns errMemory, it has read a part.
func (rq *request) readBounded(rd io.Reader, length int64) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grown, ok := rq.growBuffer(body, length)
			if !ok {
				return body, errNoMemory
			}
			body = grown
		}
		count, err := rd.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && int64(len(body)) < length:
			return nil, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return body, nil
		default:
			return nil, err
		}
	}
}

// growBuffer makes room for twice as much, or for the byte behind the end that shows that it is one.
func (rq *request) growBuffer(body []byte, length int64) ([]byte, bool) {
	size := max(initialBuffer, 2*int64(cap(body)))
	if length >= int64(len(body)) {
		size = min(size, length+1)
	}
	more := size - int64(cap(body))
	if !rq.re.Memory.reserve(more) {
		return nil, false
	}
	rq.heldBytes += more
	return append(make([]byte, 0, size), body...), true
}

// releaseMemory frees what the request held.
func (rq *request) releaseMemory() {
	rq.re.Memory.held.Add(-rq.heldBytes)
	rq.heldBytes = 0
}
