package relay

import (
	"io"
	"time"

	"almondrill/core/ledger"
	"almondrill/io/accept"
)

// Load pattern: many callers send long bodies slowly, or read long responses slowly. Each of these is
// buffered for seconds, and without a limit the process would be killed for its memory use.

// memoryRetryAfter is the retry delay for a caller if there was no memory for its body. Slow
// senders are cut off after some seconds, which frees memory.
const memoryRetryAfter = time.Second

// readBounded reads to the end into memory that stays reserved until the request is over. length is
// the Content-Length, -1 if unknown. With accept.ErrNoMemory, it returns the part that it has read.
func (rq *request) readBounded(rd io.Reader, length int64) ([]byte, error) {
	body, held, err := accept.ReadBody(rd, length, rq.re.Memory)
	rq.heldBytes += held
	return body, err
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
	rq.re.Memory.Release(ledger.Buffers, held)
	rq.heldBytes -= held
	rq.body = nil
}

// releaseMemory releases the memory that the request has reserved.
func (rq *request) releaseMemory() {
	rq.re.Memory.Release(ledger.Buffers, rq.heldBytes)
	rq.heldBytes = 0
}
