package relay

import (
	"errors"
	"io"
	"sync/atomic"
	"time"
)

// Load pattern: many callers send long bodies slowly, or read long responses slowly. Each of these is
// buffered for seconds, and without a limit the process would be killed for its memory use.

// Memory limits the total size of a router's buffers of request and response bodies. The zero value
// sets no limit.
type Memory struct {
	// Limit is the maximum number of bytes; 0 means no limit.
	Limit int64

	held atomic.Int64
}

// Held returns the number of bytes in use.
func (me *Memory) Held() int64 { return me.held.Load() }

// reserve adds to the bytes in use, and returns false if that would exceed the limit.
func (me *Memory) reserve(size int64) bool {
	if held := me.held.Add(size); me.Limit > 0 && held > me.Limit {
		me.held.Add(-size)
		return false
	}
	return true
}

const (
	// initialBuffer is the initial buffer size, in bytes, for a longer Content-Length or an unknown one:
	// memory is reserved only as data arrives.
	initialBuffer = 4 << 10
	// maxExactBuffer is the Content-Length, in bytes, up to which the buffer has the right size from the
	// start. Usual requests are shorter, and a buffer that grows leaves as much garbage as it holds.
	maxExactBuffer = 16 << 10
	// memoryRetryAfter is the retry delay for a caller if there was no memory for its body. Slow
	// senders are cut off after some seconds, which frees memory.
	memoryRetryAfter = time.Second
)

var errNoMemory = errors.New("memory for request and response bodies is exhausted")

// readBounded reads to the end into memory that stays reserved until the request is over. length is
// the Content-Length, -1 if unknown. With errNoMemory, it returns the part that it has read.
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

// growBuffer doubles the buffer, up to one byte more than the Content-Length: a read into that byte
// finds the end.
func (rq *request) growBuffer(body []byte, length int64) ([]byte, bool) {
	size := max(initialBuffer, 2*int64(cap(body)))
	if length <= maxExactBuffer {
		size = max(size, length+1)
	}
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

// releaseBody releases the request's body if no other attempt may send it. The endpoint has accepted
// the request: whatever happens to its response, the request may have run.
//
// Load pattern: hundreds of streams last for seconds after their bodies of some 10 KB were sent, and
// the bodies would take more memory than the streams themselves.
func (ex *exchange) releaseBody() {
	rq := ex.rq
	if len(rq.body) == 0 || rq.route.MayRepeat() && rq.attempts() < rq.route.MaxAttempts || !ex.co.Written() || rq.stream.keepsBody() {
		return
	}
	held := int64(cap(rq.body))
	rq.re.Memory.held.Add(-held)
	rq.heldBytes -= held
	rq.body = nil
}

// releaseMemory releases the memory that the request has reserved.
func (rq *request) releaseMemory() {
	rq.re.Memory.held.Add(-rq.heldBytes)
	rq.heldBytes = 0
}
