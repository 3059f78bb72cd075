package accept

import (
	"errors"
	"io"

	"almondrill/core/ledger"
)

const (
	// initialBuffer is the initial buffer size, in bytes, for a longer Content-Length or an unknown one:
	// memory is reserved only as data arrives.
	initialBuffer = 4 << 10
	// maxExactBuffer is the Content-Length, in bytes, up to which the buffer has the right size from the
	// start. Usual requests are shorter, and a buffer that grows leaves as much garbage as it holds.
	maxExactBuffer = 16 << 10
)

// ErrNoMemory is returned for a body for which there is no memory.
var ErrNoMemory = errors.New("memory for request and response bodies is exhausted")

// ReadBody reads to the end, into memory that it reserves in the ledger. It returns how much it has reserved, also
// if it fails. length is the Content-Length, -1 if unknown. With ErrNoMemory, it returns the part that it has read.
func ReadBody(rd io.Reader, length int64, le *ledger.Ledger) (body []byte, held int64, err error) {
	for {
		if len(body) == cap(body) {
			size := grownSize(body, length)
			more := size - int64(cap(body))
			if !le.Reserve(ledger.Buffers, more) {
				return body, held, ErrNoMemory
			}
			held += more
			body = append(make([]byte, 0, size), body...)
		}
		count, err := rd.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		switch {
		case err == nil:
		case errors.Is(err, io.EOF) && int64(len(body)) < length:
			return nil, held, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return body, held, nil
		default:
			return nil, held, err
		}
	}
}

// grownSize returns twice the size of the buffer, up to one byte more than the Content-Length: a read into that byte
// finds the end.
func grownSize(body []byte, length int64) int64 {
	size := max(initialBuffer, 2*int64(cap(body)))
	if length <= maxExactBuffer {
		size = max(size, length+1)
	}
	if length >= int64(len(body)) {
		size = min(size, length+1)
	}
	return size
}
