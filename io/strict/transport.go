package strict

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
	"syscall"
	"time"
)

const (
	// maxInterim bounds the interim responses to a request: where they are looked at, the library does not.
	maxInterim = 16
	// maxRecorded bounds how much of a response's head is kept, in bytes.
	maxRecorded = 64 << 10
	// writtenTimeout bounds the wait for the result of a write whose connection has ended.
	writtenTimeout = time.Second
)

var errNotWritten = fmt.Errorf("the response ended while its request was written: %w", io.ErrUnexpectedEOF)

// Transport is an http.RoundTripper that rejects responses by CheckHead, CheckFraming and GuardBody, and closes their
// connections. Set Base before use; its DialContext is to be one of WatchConns.
type Transport struct {
	Base *http.Transport
}

var _ http.RoundTripper = (*Transport)(nil)

// RoundTrip implements http.RoundTripper.
func (tr *Transport) RoundTrip(rq *http.Request) (*http.Response, error) {
	ex := &exchange{}
	rs, err := tr.Base.RoundTrip(rq.WithContext(httptrace.WithClientTrace(rq.Context(), &httptrace.ClientTrace{
		GotConn:        ex.begin,
		Got1xxResponse: ex.checkInterim,
		WroteRequest:   ex.recordWrite,
	})))
	if err != nil {
		return nil, err
	}
	if err = ex.checkHead(rs); err != nil {
		ex.closeConn()
		_ = rs.Body.Close()
		return nil, fmt.Errorf("read the response: %w", err)
	}
	GuardBody(rs, ex.awaitWritten)
	if gb, ok := rs.Body.(*guardedBody); ok {
		gb.rejected = ex.closeConn
	}
	return rs, nil
}

// exchange is a request on a connection, and its response.
type exchange struct {
	conn    net.Conn // nil if there was none
	interim int

	mu      sync.Mutex // guards all below
	written chan error // receives the result of the write
}

func (ex *exchange) begin(info httptrace.GotConnInfo) {
	ex.conn = info.Conn
	ex.mu.Lock()
	ex.written = make(chan error, 1)
	ex.mu.Unlock()
	if wa, ok := ex.conn.(*watchedConn); ok {
		wa.begin()
	}
}

func (ex *exchange) recordWrite(info httptrace.WroteRequestInfo) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	select {
	case ex.written <- info.Err:
	default: // that of an earlier connection
	}
}

// awaitWritten returns nil if the request was written completely. The connection has ended, and so the write does.
func (ex *exchange) awaitWritten() error {
	ex.mu.Lock()
	written := ex.written
	ex.mu.Unlock()
	select {
	case err := <-written:
		if err != nil {
			return fmt.Errorf("%w: %w", errNotWritten, err)
		}
		return nil
	case <-time.After(writtenTimeout):
		return errNotWritten
	}
}

// closeConn closes the connection, which is in the pool already if the response has been read.
func (ex *exchange) closeConn() {
	if ex.conn != nil {
		_ = ex.conn.Close()
	}
}

func (ex *exchange) checkInterim(status int, hd textproto.MIMEHeader) error {
	if ex.interim++; ex.interim > maxInterim {
		return fmt.Errorf("%w: more than %d interim responses", ErrMalformed, maxInterim)
	}
	return CheckHead(&http.Response{ProtoMajor: 1, StatusCode: status, Header: http.Header(hd)})
}

func (ex *exchange) checkHead(rs *http.Response) error {
	if err := CheckHead(rs); err != nil {
		return err
	}
	if wa, ok := ex.conn.(*watchedConn); ok {
		return CheckFraming(rs, wa.end())
	}
	return nil
}

// DialFunc connects to an address.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// WatchConns returns a DialFunc for the Base of a Transport.
func WatchConns(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		co, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &watchedConn{Conn: co}, nil
	}
}

// watchedConn is a connection that keeps what is read until the head of a response is complete, and that does not return
// io.EOF after a reset.
type watchedConn struct {
	net.Conn

	mu        sync.Mutex // guards all below
	recording bool
	head      []byte
}

func (wa *watchedConn) begin() {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	wa.recording, wa.head = true, nil
}

// end returns what was read since begin.
func (wa *watchedConn) end() []byte {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	head := wa.head
	wa.recording, wa.head = false, nil
	return head
}

// Read implements io.Reader.
func (wa *watchedConn) Read(buffer []byte) (int, error) {
	count, err := wa.Conn.Read(buffer)
	if sc, ok := wa.Conn.(syscall.Conn); ok && errors.Is(err, io.EOF) {
		// The library closes the connection once it has seen the end.
		if unconfirmed := ConfirmEnd(sc); unconfirmed != nil {
			err = unconfirmed
		}
	}
	wa.mu.Lock()
	defer wa.mu.Unlock()
	if wa.recording {
		wa.head = append(wa.head, buffer[:min(count, maxRecorded-len(wa.head))]...)
	}
	return count, err
}
