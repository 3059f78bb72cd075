package strict

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync"
)

const (
	// maxInterim bounds the interim responses to a request: where they are looked at, the library does not.
	maxInterim = 16
	// maxRecorded bounds how much of a response's head is kept, in bytes.
	maxRecorded = 64 << 10
)

// Transport is an http.RoundTripper that rejects responses by CheckHead, CheckFraming and GuardBody, and closes their
// connections. Set Base before use; its DialContext is to be one of RecordHeads.
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
	})))
	if err != nil {
		return nil, err
	}
	if err = ex.checkHead(rs); err != nil {
		ex.closeConn()
		_ = rs.Body.Close()
		return nil, fmt.Errorf("read the response: %w", err)
	}
	GuardBody(rs, func() error { return nil })
	if gb, ok := rs.Body.(*guardedBody); ok {
		gb.rejected = ex.closeConn
	}
	return rs, nil
}

// exchange is a request on a connection, and its response.
type exchange struct {
	conn    net.Conn // nil if there was none
	interim int
}

func (ex *exchange) begin(info httptrace.GotConnInfo) {
	ex.conn = info.Conn
	if re, ok := ex.conn.(*recorder); ok {
		re.begin()
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
	if re, ok := ex.conn.(*recorder); ok {
		return CheckFraming(rs, re.end())
	}
	return nil
}

// DialFunc connects to an address.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// RecordHeads returns a DialFunc for the Base of a Transport.
func RecordHeads(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		co, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &recorder{Conn: co}, nil
	}
}

// recorder is a connection that keeps what is read until the head of a response is complete.
type recorder struct {
	net.Conn

	mu        sync.Mutex // guards all below
	recording bool
	head      []byte
}

func (re *recorder) begin() {
	re.mu.Lock()
	defer re.mu.Unlock()
	re.recording, re.head = true, nil
}

// end returns what was read since begin.
func (re *recorder) end() []byte {
	re.mu.Lock()
	defer re.mu.Unlock()
	head := re.head
	re.recording, re.head = false, nil
	return head
}

// Read implements io.Reader.
func (re *recorder) Read(buffer []byte) (int, error) {
	count, err := re.Conn.Read(buffer)
	re.mu.Lock()
	defer re.mu.Unlock()
	if re.recording {
		re.head = append(re.head, buffer[:min(count, maxRecorded-len(re.head))]...)
	}
	return count, err
}
