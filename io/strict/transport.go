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

	mu     sync.Mutex // guards result
	result *writeResult
}

// writeResult is how the write of a request has ended, once done is closed.
type writeResult struct {
	done chan struct{}
	once sync.Once
	err  error
}

func (ex *exchange) begin(info httptrace.GotConnInfo) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.conn, ex.result = info.Conn, &writeResult{done: make(chan struct{})}
	if wa, ok := ex.conn.(*watchedConn); ok {
		wa.begin(ex.result.done)
	}
}

func (ex *exchange) recordWrite(info httptrace.WroteRequestInfo) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	wr := ex.result
	wr.once.Do(func() {
		wr.err = info.Err
		close(wr.done)
	})
}

// awaitWritten returns nil if the request was written completely. The connection has ended, and so the write does.
func (ex *exchange) awaitWritten() error {
	ex.mu.Lock()
	wr := ex.result
	ex.mu.Unlock()
	select {
	case <-wr.done:
		if wr.err != nil {
			return fmt.Errorf("%w: %w", errNotWritten, wr.err)
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
		return &watchedConn{Conn: co, closed: make(chan struct{})}, nil
	}
}

// watchedConn is a connection that keeps what is read until the head of a response is complete, and that does not return
// io.EOF after a reset, nor before its request is written.
type watchedConn struct {
	net.Conn
	closed    chan struct{}
	closeOnce sync.Once

	mu        sync.Mutex // guards all below
	recording bool
	head      []byte
	written   <-chan struct{} // closed once the last request is written, nil before the first
}

func (wa *watchedConn) begin(written <-chan struct{}) {
	wa.mu.Lock()
	defer wa.mu.Unlock()
	wa.recording, wa.head, wa.written = true, nil, written
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
	if errors.Is(err, io.EOF) {
		// The library closes the connection once it has seen the end.
		if unconfirmed := wa.confirmEnd(); unconfirmed != nil {
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

// confirmEnd is ConfirmEnd after the last request is written.
func (wa *watchedConn) confirmEnd() error {
	wa.mu.Lock()
	written := wa.written
	wa.mu.Unlock()
	if written != nil {
		select {
		case <-written:
		case <-wa.closed:
		}
	}
	if sc, ok := wa.Conn.(syscall.Conn); ok {
		return ConfirmEnd(sc)
	}
	return nil
}

// Close implements io.Closer.
func (wa *watchedConn) Close() error {
	wa.closeOnce.Do(func() { close(wa.closed) })
	return wa.Conn.Close()
}
