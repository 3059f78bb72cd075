// Package conns pools connections to endpoints and sends single HTTP requests on them.
//
// # Concepts
//
// http.Client transparently resends some requests when a reused connection turns out to be
// closed. A caller that guarantees at-most-once execution has to know what was sent. A Conn
// writes one request at a time, exactly once, and reports whether any byte of it was sent.
// Heads and bodies are formatted and parsed by net/http.
//
// # Invariants
//
//   - A request is written once. Sent reports whether the endpoint may have received it.
//   - A connection is reused only if the response was read to its end, the request was written
//     completely, and nothing else has arrived on the connection since.
//   - A response that ends with its connection is whole only if the endpoint has received the whole request and has closed
//     the connection in order.
//   - A connection holds a read buffer from Do until Put; no buffer belongs to two connections.
//   - An endpoint that takes no connections counts as gone unless another connection to it, which was open when
//     the one in question ended, stays open. One that takes connections counts as gone if it has closed all others
//     at the same moment.
//
// # Usage
//
//	po := &conns.Pool{}
//	co, err := po.Get(ctx, addr)
//	rs, err := co.Do(head, body, method, ownID)
//	po.Put(co, rs) // or co.Close()
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

	"almondrill/core/ledger"
	"almondrill/io/strict"
)

const (
	// dialTimeout bounds connection establishment. The network delay is 2 ms and endpoints accept
	// within 1 ms; a lost packet is retransmitted after 200 ms to 1 s.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged before the kernel closes the
	// connection. Without it, connections to a machine that lost power hang.
	userTimeout = 2 * time.Second
	// keepAliveInterval is the interval of TCP keep-alive probes on idle connections.
	keepAliveInterval = 2 * time.Second
	// defaultIdleTimeout applies to endpoints that send no Keep-Alive timeout.
	defaultIdleTimeout = 3 * time.Second
	// idleMargin is how long before the endpoint's idle timeout a connection is closed, so that no
	// request is sent while the endpoint is closing it.
	idleMargin = 500 * time.Millisecond
	// readBufferSize, in bytes, fits most response heads and several events. Longer bodies are read
	// past the buffer.
	readBufferSize = 2 << 10
	// maxStray is how many responses Do reads while it looks for the one to its request.
	maxStray = 4
	// maxSyncWrite is the largest body, in bytes, that is written synchronously, before the
	// response is read: it fits into the kernel's socket buffers.
	maxSyncWrite = 16 << 10
	// maxHeadSize bounds the head of a response, in bytes, and maxStraySize the body of one that belongs to another
	// request: a faulty endpoint may send either without end.
	maxHeadSize  = 64 << 10
	maxStraySize = 128 << 10
)

var (
	// ErrStray is returned if the endpoint's responses belong to other requests.
	ErrStray = errors.New("the answer is for another request")
	// ErrNoDescriptors is returned if the process has no descriptor left for a connection.
	ErrNoDescriptors = errors.New("no descriptor is left for a connection")
	// ErrHeadTooLong is returned if the head of a response does not end within maxHeadSize.
	ErrHeadTooLong = errors.New("the head of the answer is too long")
)

// Pool keeps idle connections by address. The zero value is ready to use.
type Pool struct {
	// Descriptors is the process's account; connections are ledger.Endpoints. nil if they are not limited.
	Descriptors *ledger.Ledger

	mu   sync.Mutex // guards all below
	idle map[string][]*Conn
	// open holds all connections, idle or in use.
	open    map[string]map[*Conn]bool
	watches map[string]*watch
	// unframed is when a response from each address last ended with its connection.
	unframed map[string]time.Time
}

// Conn is a connection to an endpoint.
type Conn struct {
	Addr   string
	Reused bool
	// EchoesIDs is set by the caller once a response on the connection has named its request.
	EchoesIDs bool

	po  *Pool
	raw net.Conn
	// opened is when the connection was made.
	opened time.Time
	// rd holds the read buffer; nil while the connection is idle. Responses read from it, and it reads from in.
	rd          *bufio.Reader
	in          headReader
	idleTimeout time.Duration
	expires     time.Time
	sent        bool
	written     chan error // receives the result of a background write, nil if there is none
	writeErr    error      // the result of the last background write
	closeOnce   sync.Once
}

// Get returns an idle connection to the address, or dials a new one.
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

// Connect dials a new connection to the address, even if there are idle ones, and adds it to the
// pool for the next Get.
func (po *Pool) Connect(ctx context.Context, addr string) error {
	co, err := po.dial(ctx, addr)
	if err != nil {
		return err
	}
	po.PutUnused(co)
	return nil
}

// popIdle returns the most recently used idle connection, so that the others can expire.
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

// OpenCount returns the number of open connections to the address, idle or in use.
func (po *Pool) OpenCount(addr string) int {
	po.mu.Lock()
	defer po.mu.Unlock()
	return len(po.open[addr])
}

func (po *Pool) dial(ctx context.Context, addr string) (*Conn, error) {
	di := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAliveInterval, Control: control}
	if !po.reserve() {
		return nil, fmt.Errorf("connect to %s: %w", addr, ErrNoDescriptors)
	}
	raw, err := di.DialContext(ctx, "tcp", addr)
	if err != nil {
		po.Descriptors.Release(ledger.Endpoints, 1)
		return nil, fmt.Errorf("connect to %s: %w", addr, err)
	}
	now := time.Now()
	co := &Conn{
		Addr: addr, po: po, raw: raw, opened: now, idleTimeout: defaultIdleTimeout,
		expires: now.Add(defaultIdleTimeout - idleMargin),
	}
	po.addOpen(co)
	return co, nil
}

func (po *Pool) addOpen(co *Conn) {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.open == nil {
		po.open = map[string]map[*Conn]bool{}
	}
	if po.open[co.Addr] == nil {
		po.open[co.Addr] = map[*Conn]bool{}
	}
	po.open[co.Addr][co] = true
}

func (po *Pool) removeOpen(co *Conn) {
	po.mu.Lock()
	defer po.mu.Unlock()
	delete(po.open[co.Addr], co)
	if len(po.open[co.Addr]) == 0 {
		delete(po.open, co.Addr)
	}
}

// tcpUserTimeout is TCP_USER_TIMEOUT of Linux's tcp.h, which package syscall lacks.
const tcpUserTimeout = 18

func control(_, _ string, rc syscall.RawConn) error { return SetUserTimeout(rc, userTimeout) }

// SetUserTimeout sets how long sent bytes may stay unacknowledged before the kernel closes the
// connection.
func SetUserTimeout(rc syscall.RawConn, d time.Duration) error {
	var failed error
	err := rc.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(d/time.Millisecond))
	})
	return errors.Join(err, failed)
}

// Put returns a connection to the pool after its response was read to the end. The connection is
// closed instead if the response demands it, if there are unread bytes, or if the request has not
// been written completely. The response's body must not be read again.
func (po *Pool) Put(co *Conn, rs *http.Response) {
	if rs.Close || co.rd.Buffered() > 0 || !co.Written() {
		co.Close()
		return
	}
	co.releaseReader()
	if timeout := keepAliveTimeout(rs); timeout > 0 {
		co.idleTimeout = timeout
	}
	co.expires = time.Now().Add(co.idleTimeout - idleMargin)
	po.PutUnused(co)
}

// PutUnused returns a connection to the pool on which nothing was sent since Get.
func (po *Pool) PutUnused(co *Conn) {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.idle == nil {
		po.idle = map[string][]*Conn{}
	}
	po.idle[co.Addr] = append(po.idle[co.Addr], co)
}

// CloseIdle closes all idle connections to an address.
func (po *Pool) CloseIdle(addr string) {
	po.mu.Lock()
	list := po.idle[addr]
	delete(po.idle, addr)
	po.mu.Unlock()
	for _, co := range list {
		co.Close()
	}
}

// CloseExpired closes connections that have exceeded their idle timeout, and replaces those of watches that the
// endpoint has closed. Call it periodically.
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
	po.renewWatches()
}

// keepAliveTimeout returns the timeout in the response's Keep-Alive header, 0 if there is none.
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

// readers are the read buffers of connections that are not in use.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferSize) }}

// acquireReader gives the connection an empty read buffer.
func (co *Conn) acquireReader() {
	co.rd = readers.Get().(*bufio.Reader)
	co.in = headReader{raw: co.raw}
	co.rd.Reset(&co.in)
}

// headReader reads from a connection. While inHead is set, it reads no more than left bytes, and keeps them in head.
type headReader struct {
	raw    net.Conn
	inHead bool
	left   int
	head   []byte
}

// Read implements io.Reader.
func (hr *headReader) Read(buffer []byte) (int, error) {
	if !hr.inHead {
		return hr.raw.Read(buffer)
	}
	if hr.left == 0 {
		return 0, ErrHeadTooLong
	}
	count, err := hr.raw.Read(buffer[:min(len(buffer), hr.left)])
	hr.left -= count
	hr.head = append(hr.head, buffer[:count]...)
	return count, err
}

// readHead reads the head of a response.
func (co *Conn) readHead(rq *http.Request) (*http.Response, error) {
	buffered, _ := co.rd.Peek(co.rd.Buffered()) // does not fail
	co.in.inHead, co.in.left, co.in.head = true, maxHeadSize, bytes.Clone(buffered)
	defer func() { co.in.inHead, co.in.head = false, nil }()
	rs, err := http.ReadResponse(co.rd, rq)
	if err != nil && co.in.left == 0 {
		return nil, fmt.Errorf("%w: %w", ErrHeadTooLong, err) // the parser may see a line that was cut there
	}
	if err != nil {
		return nil, err
	}
	return rs, errors.Join(strict.CheckHead(rs), strict.CheckFraming(rs, co.in.head))
}

// releaseReader returns the read buffer for use by other connections. Only Put calls it, after the
// end of the response: the buffer of a connection that is closed earlier may still be in use by the
// response's body, and is left to the garbage collector.
func (co *Conn) releaseReader() {
	co.rd.Reset(nil)
	readers.Put(co.rd)
	co.rd = nil
}

// usable reports whether an idle connection is still open and has no unread bytes. If the
// endpoint has closed it or sent a second response, a request sent on it would be lost or get the
// wrong response.
func (co *Conn) usable() bool {
	sc, ok := co.raw.(syscall.Conn)
	if !ok {
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

// Close closes the connection. The endpoint then cancels the request in progress on it.
func (co *Conn) Close() {
	co.closeOnce.Do(func() {
		_ = co.raw.Close() // an error leaves nothing to clean up
		co.po.removeOpen(co)
		co.po.Descriptors.Release(ledger.Endpoints, 1)
	})
}

// Interrupt makes reads and writes in progress fail. It may be called from any goroutine.
func (co *Conn) Interrupt() {
	_ = co.raw.SetDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// SetDeadline sets the deadline of reads and writes; the zero time removes it.
func (co *Conn) SetDeadline(at time.Time) {
	_ = co.raw.SetDeadline(at) // fails only on a closed connection
}

// Sent reports whether any byte of the last request may have been sent.
func (co *Conn) Sent() bool { return co.sent }

// Do writes a request, head and body, and reads the head of its response. isOwn reports whether a
// response header belongs to this request; late responses to earlier requests are skipped.
func (co *Conn) Do(head, body []byte, method string, isOwn func(http.Header) bool) (*http.Response, error) {
	if err := co.write(head, body); err != nil {
		return nil, err
	}
	co.acquireReader()
	rq := &http.Request{Method: method}
	for range maxStray {
		rs, err := co.readHead(rq)
		if err != nil {
			return nil, fmt.Errorf("read answer of %s: %w", co.Addr, err)
		}
		strict.GuardBody(rs, co.confirmEnd)
		if rs.StatusCode >= http.StatusOK && isOwn(rs.Header) {
			return rs, nil
		}
		if rs.StatusCode < http.StatusOK {
			continue
		}
		if strict.EndsWithConnection(rs) {
			break
		}
		size, err := io.Copy(io.Discard, io.LimitReader(rs.Body, maxStraySize+1))
		if err != nil {
			return nil, fmt.Errorf("read stray answer of %s: %w", co.Addr, err)
		}
		if size > maxStraySize {
			break
		}
	}
	return nil, fmt.Errorf("read answer of %s: %w", co.Addr, ErrStray)
}

// write sends the request. A long body is written in the background, since an endpoint may respond
// before it has read all of it.
func (co *Conn) write(head, body []byte) error {
	co.sent = true
	co.written, co.writeErr = nil, nil
	if len(body) <= maxSyncWrite {
		bufs := net.Buffers{head, body}
		count, err := bufs.WriteTo(co.raw)
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

// Written reports whether the last request was written completely. Until then, its body is in use.
func (co *Conn) Written() bool {
	if co.written == nil {
		return co.writeErr == nil
	}
	select {
	case co.writeErr = <-co.written:
		co.written = nil
		return co.writeErr == nil
	default:
		return false
	}
}

// confirmEnd returns nil if the end of the connection, which a read has seen, is the end of a whole response: the request
// was received, and the connection was not reset. It waits for the rest of the request to be written.
func (co *Conn) confirmEnd() error {
	if co.written != nil {
		co.writeErr, co.written = <-co.written, nil
	}
	if co.writeErr != nil {
		return fmt.Errorf("write to %s: %w: %w", co.Addr, co.writeErr, io.ErrUnexpectedEOF)
	}
	sc, ok := co.raw.(syscall.Conn)
	if !ok {
		return nil
	}
	return strict.ConfirmEnd(sc)
}

// FormatHead returns an HTTP/1.1 request line and header, with a Content-Length where the method
// or a body calls for one.
func FormatHead(method, uri, host string, hd http.Header, length int) []byte {
	var out bytes.Buffer
	out.Grow(usualHeadSize)
	out.WriteString(method + " " + uri + " HTTP/1.1\r\nHost: " + host + "\r\n")
	if length > 0 || method != http.MethodGet && method != http.MethodHead {
		out.WriteString("Content-Length: " + strconv.Itoa(length) + "\r\n")
	}
	_ = hd.Write(&out) // writes to a bytes.Buffer don't fail
	out.WriteString("\r\n")
	return out.Bytes()
}

// usualHeadSize, in bytes, fits most request heads without growing the buffer.
const usualHeadSize = 768
