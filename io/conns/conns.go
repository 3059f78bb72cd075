// Package conns keeps connections to endpoints and sends single requests on them.
//
// # Concepts
//
// The standard client sends a request again by itself when a kept connection
// turns out to be closed. Whoever promises at most once has to know what was
// sent. Here a Conn sends one request at a time, once, and says whether any byte
// of it left. Heads and bodies are formatted and parsed by net/http.
//
// # Invariants
//
//   - A request is written once. Sent tells whether an endpoint may have it.
//   - A connection is used again only if the answer was read to its end, the
//     request was written whole, and nothing else has arrived on it since.
//
// # Usage
//
//	po := &conns.Pool{}
//	co, err := po.Get(ctx, addr)
//	rs, err := co.Do(head, body, method, ownID)
//	po.Put(co) // or co.Close()
package conns

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// dialTimeout bounds the making of a connection: the way is 2 ms and endpoints
	// take 1 ms; a lost packet is sent again after 200 ms to 1 s.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is how long the system waits for bytes to be acknowledged. Without
	// it, connections to a machine that lost power hang.
	userTimeout = 2 * time.Second
	// keepAliveInterval is when an idle connection is probed.
	keepAliveInterval = 2 * time.Second
	// defaultIdleTimeout is how long a connection is kept whose endpoint does not tell.
	defaultIdleTimeout = 3 * time.Second
	// idleMargin is how much sooner than the endpoint says a connection is closed,
	// so that no request crosses the endpoint's close.
	idleMargin = 500 * time.Millisecond
	// readBufferSize holds an answer's head and several events.
	readBufferSize = 4 << 10
	// maxStray is how many answers to earlier requests are passed over.
	maxStray = 4
	// maxSyncWrite is the size up to which a request is written without expecting
	// an answer meanwhile: it fits into the system's buffers.
	maxSyncWrite = 16 << 10
)

// ErrStray: what came was no answer to the request.
var ErrStray = errors.New("the answer is for another request")

// Pool keeps idle connections by address. The zero value is ready.
type Pool struct {
	mu   sync.Mutex // guards idle and open
	idle map[string][]*Conn
	open map[string]int
}

// Conn is a connection to an endpoint.
type Conn struct {
	Addr   string
	Reused bool

	po          *Pool
	raw         net.Conn
	rd          *bufio.Reader
	idleTimeout time.Duration
	expires     time.Time
	sent        bool
	written     chan error // set while the body is written in the background
	closeOnce   sync.Once
}

// Get takes an idle connection to the address or makes one.
func (po *Pool) Get(ctx context.Context, addr string) (*Conn, error) {
	now := time.Now()
	for {
		co := po.popIdle(addr)
		if co == nil {
			return po.dial(ctx, addr)
		}
		if now.Before(co.expires) && co.usable() {
			co.Reused = true
			co.sent = false
			return co, nil
		}
		co.Close()
	}
}

// Connect makes a connection to the address, whether or not there are idle ones, and keeps it
// for the next Get. Its error tells why it could not.
func (po *Pool) Connect(ctx context.Context, addr string) error {
	co, err := po.dial(ctx, addr)
	if err != nil {
		return err
	}
	po.PutUnused(co)
	return nil
}

// popIdle takes the connection that was used last: the others may then end.
func (po *Pool) popIdle(addr string) *Conn {
	po.mu.Lock()
	defer po.mu.Unlock()
	list := po.idle[addr]
	if len(list) == 0 {
		return nil
	}
	co := list[len(list)-1]
	po.idle[addr] = list[:len(list)-1]
	return co
}

// OpenCount is how many connections to the address there are.
func (po *Pool) OpenCount(addr string) int {
	po.mu.Lock()
	defer po.mu.Unlock()
	return po.open[addr]
}

func (po *Pool) dial(ctx context.Context, addr string) (*Conn, error) {
	di := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval, Control: control}
	raw, err := di.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", addr, err)
	}
	po.addOpen(addr, 1)
	return &Conn{
		Addr: addr, po: po, raw: raw, rd: bufio.NewReaderSize(raw, readBufferSize),
		idleTimeout: defaultIdleTimeout, expires: time.Now().Add(defaultIdleTimeout - idleMargin),
	}, nil
}

func (po *Pool) addOpen(addr string, by int) {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.open == nil {
		po.open = map[string]int{}
	}
	po.open[addr] += by
	if po.open[addr] == 0 {
		delete(po.open, addr)
	}
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux' tcp.h, which package syscall lacks.
const tcpUserTimeout = 18

func control(_, _ string, rc syscall.RawConn) error { return SetUserTimeout(rc, userTimeout) }

// SetUserTimeout bounds how long a connection waits for sent bytes to be
// acknowledged.
func SetUserTimeout(rc syscall.RawConn, d time.Duration) error {
	var failed error
	err := rc.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d/time.Millisecond))
	})
	return errors.Join(err, failed)
}

// Put gives a connection back after its answer was read to the end. One that the
// answer marked to be closed, or that holds further bytes, is closed.
func (po *Pool) Put(co *Conn, rs *http.Response) {
	if rs.Close || co.rd.Buffered() > 0 || !co.writeFinished() {
		co.Close()
		return
	}
	if timeout := keepAliveTimeout(rs); timeout > 0 {
		co.idleTimeout = timeout
	}
	co.expires = time.Now().Add(co.idleTimeout - idleMargin)
	po.PutUnused(co)
}

// PutUnused gives a connection back on which nothing was sent since Get.
func (po *Pool) PutUnused(co *Conn) {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.idle == nil {
		po.idle = map[string][]*Conn{}
	}
	po.idle[co.Addr] = append(po.idle[co.Addr], co)
}

// CloseIdle closes the idle connections to an address.
func (po *Pool) CloseIdle(addr string) {
	po.mu.Lock()
	list := po.idle[addr]
	delete(po.idle, addr)
	po.mu.Unlock()
	for _, co := range list {
		co.Close()
	}
}

// CloseExpired closes idle connections whose time is over. It is to be called now and
// then.
func (po *Pool) CloseExpired(now time.Time) {
	po.mu.Lock()
	var expired []*Conn
	for addr, list := range po.idle {
		kept := list[:0]
		for _, co := range list {
			if now.Before(co.expires) {
				kept = append(kept, co)
			} else {
				expired = append(expired, co)
			}
		}
		if len(kept) == 0 {
			delete(po.idle, addr)
		} else {
			po.idle[addr] = kept
		}
	}
	po.mu.Unlock()
	for _, co := range expired {
		co.Close()
	}
}

// keepAliveTimeout is the idle time that an answer's Keep-Alive header tells, 0 if none.
func keepAliveTimeout(rs *http.Response) time.Duration {
	for _, field := range strings.Split(rs.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if strings.EqualFold(name, "timeout") {
			if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
				return time.Duration(seconds) * time.Second
			}
		}
	}
	return 0
}

// usable tells whether an idle connection is still open and nothing came on it.
// An endpoint that closed it, or sent a second answer, shows here; a request sent
// on it would be lost or get the wrong answer.
func (co *Conn) usable() bool {
	sc, ok := co.raw.(syscall.Conn)
	if !ok || co.rd.Buffered() > 0 {
		return false
	}
	rc, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = rc.Read(func(fd uintptr) bool {
		var one [1]byte
		_, rerr := syscall.Read(int(fd), one[:])
		empty = errors.Is(rerr, syscall.EAGAIN)
		return true
	})
	return err == nil && empty
}

// Close closes the connection; the endpoint then drops what runs on it.
func (co *Conn) Close() {
	co.closeOnce.Do(func() {
		_ = co.raw.Close() // nothing is lost by a failed close
		co.po.addOpen(co.Addr, -1)
	})
}

// Interrupt makes reads and writes in progress fail. It may be called from any
// goroutine.
func (co *Conn) Interrupt() {
	_ = co.raw.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// SetDeadline bounds reads and writes; the zero time lifts the bound.
func (co *Conn) SetDeadline(at time.Time) {
	_ = co.raw.SetDeadline(at) // fails only on a closed connection
}

// Sent tells whether any byte of the last request may have left.
func (co *Conn) Sent() bool { return co.sent }

// Do writes a request, head and body, and reads the head of its answer. own tells
// an answer to this request from a late one to an earlier request, which is
// passed over.
func (co *Conn) Do(head, body []byte, method string, isOwn func(http.Header) bool) (*http.Response, error) {
	if err := co.write(head, body); err != nil {
		return nil, err
	}
	rq := &http.Request{Method: method}
	for range maxStray {
		rs, err := http.ReadResponse(co.rd, rq)
		if err != nil {
			return nil, fmt.Errorf("read answer of %s: %w", co.Addr, err)
		}
		if rs.StatusCode >= http.StatusOK && isOwn(rs.Header) {
			return rs, nil
		}
		if rs.StatusCode < http.StatusOK {
			continue
		}
		if rs.ContentLength < 0 && len(rs.TransferEncoding) == 0 {
			break // it has no end that could be found
		}
		if _, err = io.Copy(io.Discard, rs.Body); err != nil {
			return nil, fmt.Errorf("read stray answer of %s: %w", co.Addr, err)
		}
	}
	return nil, fmt.Errorf("read answer of %s: %w", co.Addr, ErrStray)
}

// write sends the request. A long body goes out in the background, since an
// endpoint may answer before it has read all of it.
func (co *Conn) write(head, body []byte) error {
	co.sent = true
	co.written = nil
	if len(body) <= maxSyncWrite {
		count, err := co.raw.Write(append(head, body...))
		co.sent = count > 0 || err == nil
		if err != nil {
			return fmt.Errorf("write to %s: %w", co.Addr, err)
		}
		return nil
	}
	done := make(chan error, 1)
	co.written = done
	go func() {
		bufs := net.Buffers{head, body}
		_, err := bufs.WriteTo(co.raw)
		done <- err
	}()
	return nil
}

// writeFinished tells whether the last request went out whole.
func (co *Conn) writeFinished() bool {
	if co.written == nil {
		return true
	}
	select {
	case err := <-co.written:
		return err == nil
	default:
		return false
	}
}

// FormatHead formats a request's head.
func FormatHead(method, uri, host string, hd http.Header, length int) []byte {
	var out bytes.Buffer
	out.Grow(usualHeadSize)
	out.WriteString(method + " " + uri + " HTTP/1.1\r\nHost: " + host + "\r\n")
	if length > 0 || method != http.MethodGet && method != http.MethodHead {
		out.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	_ = hd.Write(&out) // a buffer takes everything
	out.WriteString("\r\n")
	return out.Bytes()
}

// usualHeadSize is room for the usual head of a request.
const usualHeadSize = 768
