// Package strict rejects HTTP responses that the standard library takes for whole although they are not.
//
// # Concepts
//
// A response without a length and chunks ends with its connection. It is whole only if the connection was closed in
// order, and after the request was received. A system reports a reset once, to whichever call comes first: if that is a
// write, the next read sees an ordinary end. ConfirmEnd therefore looks at the state of the connection.
//
// # Invariants
//
//   - A response that is rejected says nothing about its request, which may have run.
//
// # Usage
//
//	rs, err := http.ReadResponse(rd, rq)
//	strict.GuardBody(rs, confirmEnd)
package strict

import (
	"errors"
	"io"
	"net/http"
)

// GuardBody makes the body of a response return an error in place of io.EOF if it ends with its connection and
// confirmEnd returns an error.
func GuardBody(rs *http.Response, confirmEnd func() error) {
	if EndsWithConnection(rs) {
		rs.Body = &guardedBody{ReadCloser: rs.Body, check: confirmEnd}
	}
}

// EndsWithConnection reports whether nothing but the end of its connection ends a response.
func EndsWithConnection(rs *http.Response) bool {
	return rs.ContentLength < 0 && len(rs.TransferEncoding) == 0 && rs.Body != http.NoBody
}

// guardedBody is a body whose end is checked.
type guardedBody struct {
	io.ReadCloser
	check func() error
	end   error // the result of the check, nil before
}

// Read implements io.Reader.
func (gb *guardedBody) Read(buffer []byte) (int, error) {
	if gb.end != nil {
		return 0, gb.end
	}
	count, err := gb.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		if gb.end = gb.check(); gb.end == nil {
			gb.end = io.EOF
		}
		err = gb.end
	}
	return count, err
}
