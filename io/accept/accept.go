// Package accept bounds what the connections that a process accepts may make it hold.
//
// # Concepts
//
// A Listener accepts connections for an HTTP server. It counts them, and the bytes of their heads as they arrive,
// in the process's ledgers. If there is no room for another connection, it closes the one that is worth least:
// one whose head is late, one that has been idle for long, one that reads nothing. A connection whose request was
// forwarded is not among them, unless it has read nothing of the response for a second.
//
// # Invariants
//
//   - A connection holds its reservations until Close, or until it is evicted.
//   - A request whose head was refused, or whose connection was closed for lack of room before its body had arrived,
//     has not run.
//
// # Usage
//
//	li := &accept.Listener{Listener: raw, Bytes: bytes, Descriptors: fds, MaxHead: limit, Timeouts: &accept.Timeouts{}}
//	server.ReadHeaderTimeout, server.IdleTimeout = accept.HeaderSentinel, accept.IdleSentinel
//	server.ConnContext = accept.ConnContext
//	server.Serve(li)
package accept

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/ledger"
	"almondrill/io/stats"
)

const (
	// ReceiveBuffer is the size of a connection's receive buffer, in bytes: unread bytes count as memory.
	ReceiveBuffer = 16 << 10
	// SendBuffer is the size of a connection's send buffer, in bytes.
	SendBuffer = 32 << 10
	// ConnBytes is what a connection costs: its goroutines and buffers, and its unread bytes.
	ConnBytes = 16<<10 + ReceiveBuffer
)

// Listener accepts connections within the process's ledgers. Set the exported fields before Accept.
type Listener struct {
	net.Listener
	// Name is that of the setting with the address, for logs.
	Name string
	// Bytes and Descriptors are the process's accounts. Descriptors is nil if Most bounds the connections.
	Bytes, Descriptors *ledger.Ledger
	// Class is that of the connections in Descriptors.
	Class ledger.Class
	// Most bounds the connections, which then are a part of the process's own descriptors.
	Most int
	// MaxHead returns the limit of heads, and Timeouts holds the timeouts. A gRPC server has its own.
	MaxHead  func() HeadLimit
	Timeouts *Timeouts
	// Messages is set if the server is one of gRPC, of which the Listener then is a stats.Handler. In place of heads, the
	// messages that are not whole are counted.
	Messages bool
	Stats    *stats.Set
	Log      *zap.Logger

	mu sync.Mutex // guards all below
	// open are the connections that hold reservations, evicted counts those that do not and are being closed.
	open    map[*Conn]bool
	evicted map[*Conn]bool
	// byPeer finds connections with messages by their peers' addresses.
	byPeer map[string]*Conn
}

// HeadLimit is the size limit of heads, in bytes, and the refusal of those beyond it.
type HeadLimit struct {
	Bytes   int64
	Refusal *Refusal
}

// Refusal is the response to a request whose head is refused. The request has not run.
type Refusal struct {
	Status int
	Body   string
	// RetryAfter is when the caller may try again, 0 if it need not.
	RetryAfter time.Duration
}

// refusalBody is the body of a refusal, in the form that handlers use.
func refusalBody(re core.Reason, detail string) string {
	text, _ := json.Marshal(struct{ Outcome, Reason, Step, Detail string }{core.NotRun.String(), string(re), "read", detail}) // strings always marshal
	return string(text)
}

var (
	// TooLarge refuses a head beyond the limit.
	TooLarge = &Refusal{Status: http.StatusRequestHeaderFieldsTooLarge, Body: refusalBody(core.ReasonTooLarge, "the head is too large")}
	// NoLimit refuses a head that may be within the limit, which is not known yet.
	NoLimit = &Refusal{
		Status: http.StatusServiceUnavailable, Body: refusalBody(core.ReasonNoConfig, "no configuration is known yet"), RetryAfter: time.Second,
	}
	noMemory = &Refusal{
		Status: http.StatusServiceUnavailable, RetryAfter: time.Second,
		Body: refusalBody(core.ReasonMemory, "heads of other requests take the memory that there is for them"),
	}
)

func (re *Refusal) retryAfter() string {
	if re.RetryAfter == 0 {
		return ""
	}
	return "Retry-After: " + strconv.FormatFloat(re.RetryAfter.Seconds(), 'f', 3, 64) + "\r\n"
}

// Timeouts are the timeouts of connections, in ns. They may change while the server runs.
type Timeouts struct {
	idle   atomic.Int64
	header atomic.Int64
}

const (
	// defaultIdleTimeout and defaultHeaderTimeout apply where none is set; common HTTP servers use the same.
	defaultIdleTimeout   = time.Minute
	defaultHeaderTimeout = 10 * time.Second
)

// Set applies timeouts; 0 stands for the default.
func (ti *Timeouts) Set(idle, header time.Duration) {
	ti.idle.Store(int64(idle))
	ti.header.Store(int64(header))
}

// Idle returns how long a connection may wait for the next request.
func (ti *Timeouts) Idle() time.Duration { return orDefault(&ti.idle, defaultIdleTimeout) }

// Header returns how long a head may take.
func (ti *Timeouts) Header() time.Duration { return orDefault(&ti.header, defaultHeaderTimeout) }

func orDefault(value *atomic.Int64, other time.Duration) time.Duration {
	if set := time.Duration(value.Load()); set > 0 {
		return set
	}
	return other
}

// Listen listens on a TCP address with bounded socket buffers, which accepted connections inherit.
func Listen(addr string) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, rc syscall.RawConn) error {
		return rc.Control(func(fd uintptr) {
			// A system that refuses the sizes keeps its own.
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, ReceiveBuffer)
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, SendBuffer)
		})
	}}
	return lc.Listen(context.Background(), "tcp", addr)
}

// Accept implements net.Listener.
func (li *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := li.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := raw.(*net.TCPConn)
		if !ok {
			return raw, nil
		}
		if co := li.admit(tcp); co != nil {
			return co, nil
		}
		_ = tcp.Close() // the caller may try another process: nothing was read
	}
}

// maxClosing bounds the evicted connections that are not closed yet: until then they have their descriptors.
const maxClosing = 8

// admit returns the connection if there is room for it, nil if not.
func (li *Listener) admit(tcp *net.TCPConn) *Conn {
	co := &Conn{TCPConn: tcp, li: li, since: time.Now()}
	co.head.exact = true
	li.mu.Lock()
	defer li.mu.Unlock()
	if !li.reserve() {
		if len(li.evicted) >= maxClosing || !li.evict(time.Now(), anyWorth) || !li.reserve() {
			li.Stats.Add(stats.ConnsRefused, 1)
			li.Log.Warn("Closed a new connection for lack of room.", zap.String("Listener", li.Name), zap.Int("Open", len(li.open)),
				zap.Int64("Bytes", li.Bytes.Held(ledger.Conns)), zap.Int("Closing", len(li.evicted)))
			return nil
		}
	}
	if li.open == nil {
		li.open, li.byPeer = map[*Conn]bool{}, map[string]*Conn{}
	}
	li.open[co] = true
	if li.Messages {
		li.byPeer[co.RemoteAddr().String()] = co
	}
	return co
}

// reserve reserves what a connection holds.
func (li *Listener) reserve() bool {
	if li.Most > 0 && len(li.open) >= li.Most || !li.Bytes.Reserve(ledger.Conns, ConnBytes) {
		return false
	}
	if !li.Descriptors.Reserve(li.Class, 1) {
		li.Bytes.Release(ledger.Conns, ConnBytes)
		return false
	}
	return true
}

func (li *Listener) release() {
	li.Bytes.Release(ledger.Conns, ConnBytes)
	li.Descriptors.Release(li.Class, 1)
}

// remove gives back what a connection holds.
func (li *Listener) remove(co *Conn) {
	li.mu.Lock()
	defer li.mu.Unlock()
	delete(li.evicted, co)
	if peer := co.RemoteAddr().String(); li.byPeer[peer] == co {
		delete(li.byPeer, peer)
	}
	if li.open[co] {
		delete(li.open, co)
		li.release()
	}
}

// Open returns the number of open connections.
func (li *Listener) Open() int {
	li.mu.Lock()
	defer li.mu.Unlock()
	return len(li.open)
}

func (li *Listener) noteRefused(co *Conn, re *Refusal) {
	li.Stats.Add(stats.HeadsRefused, 1)
	size, _ := co.HeadSize()
	li.Log.Warn("Refused a head.", zap.String("Listener", li.Name), zap.Int("Status", re.Status), zap.Int64("Size", size),
		zap.Int64("Held", li.Bytes.Held(ledger.Heads)))
}

type connKey struct{}

// ConnContext stores the connection in the context of its requests. It is a server's ConnContext.
func ConnContext(ctx context.Context, co net.Conn) context.Context {
	if own, ok := co.(*Conn); ok {
		return context.WithValue(ctx, connKey{}, own)
	}
	return ctx
}

// FromContext returns the connection on which a request has arrived, nil if its listener is of another kind.
func FromContext(ctx context.Context) *Conn {
	co, _ := ctx.Value(connKey{}).(*Conn)
	return co
}
