// Package strict rejects HTTP responses that the standard library takes for whole and valid although they are not.
//
// # Concepts
//
// net/http accepts statuses and versions that are not HTTP/1.1. A sender that is at fault may mean anything by such a
// response; CheckHead rejects it.
//
// A response without a length and chunks ends with its connection. It is whole only if the connection was closed in
// order, and after the request was received. A system reports a reset once, to whichever call comes first: if that is a
// write, the next read sees an ordinary end. ConfirmEnd therefore looks at the state of the connection.
//
// # Invariants
//
//   - A response that is rejected says nothing about its request, which may have run.
//   - Transport closes the connection of a response that it rejects.
//
// # Usage
//
//	client := &http.Client{Transport: &strict.Transport{Base: &http.Transport{}}}
//
// or, where the response is read from a connection,
//
//	rs, err := http.ReadResponse(rd, rq)
//	err = strict.CheckHead(rs)
//	strict.GuardBody(rs, confirmEnd)
package strict

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed is returned for a response that is not valid HTTP/1.
var ErrMalformed = errors.New("the response is not valid HTTP")

// lastStatus is the highest valid status.
const lastStatus = 599

// CheckHead returns ErrMalformed if the head of a response, final or interim, is not valid. Nor is a switch of protocols,
// as no request asks for one.
func CheckHead(rs *http.Response) error {
	switch {
	case rs.ProtoMajor != 1:
		return fmt.Errorf("%w: version %q", ErrMalformed, rs.Proto)
	case rs.StatusCode < http.StatusContinue || rs.StatusCode > lastStatus || rs.StatusCode == http.StatusSwitchingProtocols:
		return fmt.Errorf("%w: status %q", ErrMalformed, rs.Status)
	case !httpguts.ValidHeaderFieldValue(rs.Status):
		return fmt.Errorf("%w: reason %q", ErrMalformed, rs.Status)
	}
	return nil
}

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
