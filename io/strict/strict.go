// Package strict rejects HTTP responses that the standard library takes for whole and valid although they are not.
//
// # Concepts
//
// net/http accepts statuses, versions and names of fields that are not HTTP/1.1. A sender that is at fault may mean
// anything by such a response, and the fields that frame its body may be among those that are not recognized. CheckHead
// checks what was parsed, by the grammar of golang.org/x/net/http/httpguts.
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
//	client := &http.Client{Transport: &strict.Transport{Base: &http.Transport{
//		DialContext: strict.WatchConns(new(net.Dialer).DialContext),
//	}}}
//
// or, where the response is read from a connection,
//
//	rs, err := http.ReadResponse(rd, rq)
//	err = errors.Join(strict.CheckHead(rs), strict.CheckFraming(rs, read))
//	strict.GuardBody(rs, confirmEnd)
package strict

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strings"

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
	return checkFields(rs.Header)
}

// checkFields checks the fields of a head or of a trailer.
func checkFields(hd http.Header) error {
	for name, values := range hd {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: a field is named %q", ErrMalformed, name)
		}
		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return fmt.Errorf("%w: the value of %s is %q", ErrMalformed, name, value)
			}
		}
	}
	return nil
}

// CheckFraming returns ErrMalformed if an HTTP/1.0 response has a Transfer-Encoding, which net/http removes: the sizes of
// chunks would be part of the body. read is what was read from the connection, from the first interim head on.
func CheckFraming(rs *http.Response, read []byte) error {
	if rs.ProtoAtLeast(1, 1) {
		return nil
	}
	rd := textproto.NewReader(bufio.NewReader(bytes.NewReader(read)))
	for {
		line, err := rd.ReadLine()
		if err != nil {
			return nil // the head is longer than what was kept
		}
		hd, err := rd.ReadMIMEHeader()
		if err != nil {
			return nil
		}
		if _, status, _ := strings.Cut(line, " "); strings.HasPrefix(strings.TrimLeft(status, " "), "1") {
			continue // an interim head
		}
		if encoding := hd.Get("Transfer-Encoding"); encoding != "" {
			return fmt.Errorf("%w: Transfer-Encoding %q in %s", ErrMalformed, encoding, rs.Proto)
		}
		return nil
	}
}

// GuardBody makes the body of a response return an error in place of io.EOF if its trailer is not valid, or if it ends
// with its connection and confirmEnd returns an error.
func GuardBody(rs *http.Response, confirmEnd func() error) {
	switch {
	case len(rs.TransferEncoding) > 0:
		rs.Body = &guardedBody{ReadCloser: rs.Body, check: func() error { return checkFields(rs.Trailer) }}
	case EndsWithConnection(rs):
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
	check    func() error
	rejected func() // called if the check fails, nil for nothing
	end      error  // the result of the check, nil before
}

// Read implements io.Reader.
func (gb *guardedBody) Read(buffer []byte) (int, error) {
	if gb.end != nil {
		return 0, gb.end
	}
	count, err := gb.ReadCloser.Read(buffer)
	if errors.Is(err, io.EOF) {
		gb.end = gb.check()
		switch {
		case gb.end == nil:
			gb.end = io.EOF
		case gb.rejected != nil:
			gb.rejected()
		}
		err = gb.end
	}
	return count, err
}
