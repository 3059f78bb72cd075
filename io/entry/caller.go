package entry

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"almondrill/io/conns"
	"almondrill/io/relay"
)

const (
	// Timeouts that apply until the first configuration arrives; common HTTP servers use the same.
	defaultIdleTimeout   = time.Minute
	defaultHeaderTimeout = 10 * time.Second
	// idleSentinel and headerSentinel stand in the server's settings, which cannot be changed while
	// it runs, for the timeouts of the configuration. They are far longer than any real timeout, and
	// a day apart so that they can be told from each other.
	idleSentinel   = 24 * time.Hour
	headerSentinel = 48 * time.Hour
	// sentinelTolerance is how far below a sentinel the remaining time may be and still be
	// recognized: the server sets a deadline a moment after it has computed it.
	sentinelTolerance = time.Hour
	// callerAckTimeout is how long bytes sent to a caller may stay unacknowledged. Without it a
	// caller that has lost power would hold an endpoint's slot.
	callerAckTimeout = 4 * time.Second
)

// callerTimeouts are the timeouts of callers' connections, in ns. The configuration sets them.
type callerTimeouts struct {
	idle   atomic.Int64
	header atomic.Int64
}

// set applies the configuration's timeouts; 0 stands for the default.
func (ct *callerTimeouts) set(idle, header time.Duration) {
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	if header <= 0 {
		header = defaultHeaderTimeout
	}
	ct.idle.Store(int64(idle))
	ct.header.Store(int64(header))
}

// callerListener accepts callers' connections.
type callerListener struct {
	net.Listener
	timeouts *callerTimeouts
}

func (cl *callerListener) Accept() (net.Conn, error) {
	co, err := cl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := co.(*net.TCPConn)
	if !ok {
		return co, nil
	}
	if rc, err := tcp.SyscallConn(); err == nil {
		_ = conns.SetUserTimeout(rc, callerAckTimeout) // if this fails, a dead connection is just found later
	}
	return &callerConn{TCPConn: tcp, timeouts: cl.timeouts}, nil
}

// callerConn is a caller's connection.
//
// A request that arrives just as its idle connection is closed must not be forwarded: the
// response could not be delivered, and the caller would not know whether the request ran. The idle
// timeout is therefore a read deadline, which has no effect on bytes that have already arrived. If
// the server closes the connection because it shuts down, the relay detects that by calling closed
// before it forwards anything.
type callerConn struct {
	*net.TCPConn
	timeouts *callerTimeouts
}

// SetReadDeadline replaces a sentinel by the timeout that the configuration sets.
func (cc *callerConn) SetReadDeadline(at time.Time) error {
	switch left := time.Until(at); {
	case left > headerSentinel-sentinelTolerance:
		at = time.Now().Add(time.Duration(cc.timeouts.header.Load()))
	case left > idleSentinel-sentinelTolerance:
		at = time.Now().Add(time.Duration(cc.timeouts.idle.Load()))
	}
	return cc.TCPConn.SetReadDeadline(at)
}

// closed reports whether the connection was closed, by this side or by the caller.
//
// The server notices that a caller has closed the connection only when it reads again, in a
// goroutine beside the one that handles the request. An overloaded router would forward hundreds
// of requests whose callers gave up before they were read. So closed asks the socket itself.
func (cc *callerConn) closed() bool {
	rc, err := cc.SyscallConn()
	if err != nil {
		return true // closed by this side
	}
	left := false
	err = rc.Control(func(fd uintptr) {
		var one [1]byte
		count, _, rerr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = count == 0 && rerr == nil || errors.Is(rerr, syscall.ECONNRESET)
	})
	return left || err != nil // Control fails if this side has closed the connection
}

// callerContext lets the relay find out whether the connection was closed.
func callerContext(ctx context.Context, co net.Conn) context.Context {
	if cc, ok := co.(*callerConn); ok {
		return relay.WithConnClosed(ctx, cc.closed)
	}
	return ctx
}
