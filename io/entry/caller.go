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
	// defaultIdleTimeout and defaultHead are how long callers' connections may be idle, and
	// how long a head may take, while no configuration says otherwise: what common
	// HTTP servers allow.
	defaultIdleTimeout   = time.Minute
	defaultHeaderTimeout = 10 * time.Second
	// idleSentinel and headMark stand for the configuration's times in the server's
	// settings, which cannot be changed while it runs. They are far longer than any
	// real time, and a day apart, so that each can be told from the other.
	idleSentinel   = 24 * time.Hour
	headerSentinel = 48 * time.Hour
	// sentinelSpan is how far a deadline may be from its mark and still be told: the
	// server sets it a moment after it has worked it out.
	sentinelSpan = time.Hour
	// callerAckTimeout is how long bytes to a caller may stay unacknowledged. A caller
	// without power would otherwise hold an endpoint's place.
	callerAckTimeout = 4 * time.Second
)

// callerTimeouts are the times that callers have, in ns. They change with the
// configuration.
type callerTimeouts struct {
	idle   atomic.Int64
	header atomic.Int64
}

// set takes the configuration's times; 0 stands for the default.
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

// Accept waits for a connection.
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
		_ = conns.SetUserTimeout(rc, callerAckTimeout) // without it the connection only ends later
	}
	return &callerConn{TCPConn: tcp, timeouts: cl.timeouts}, nil
}

// callerConn is a caller's connection.
//
// A request that arrives just as its idle connection is closed must not be passed
// on: the caller could not be answered, and would not know whether it ran. The idle
// time is therefore a read deadline, which loses against bytes that have arrived;
// and where the server closes the connection, at its end, the relay finds that with
// ended before it sends anything.
type callerConn struct {
	*net.TCPConn
	timeouts *callerTimeouts
}

// SetReadDeadline puts the configuration's times in the place of their marks.
func (cc *callerConn) SetReadDeadline(at time.Time) error {
	switch left := time.Until(at); {
	case left > headerSentinel-sentinelSpan:
		at = time.Now().Add(time.Duration(cc.timeouts.header.Load()))
	case left > idleSentinel-sentinelSpan:
		at = time.Now().Add(time.Duration(cc.timeouts.idle.Load()))
	}
	return cc.TCPConn.SetReadDeadline(at)
}

// closed tells whether the connection was closed, on this side or by the caller.
//
// The server notices a caller's close only once it reads again, which it does beside the
// request; a router with more to do than it can would pass requests on by the hundred
// whose callers gave up while they waited to be read. So the socket is asked.
func (cc *callerConn) closed() bool {
	rc, err := cc.SyscallConn()
	if err != nil {
		return true // it is closed on this side
	}
	left := false
	err = rc.Control(func(fd uintptr) {
		var one [1]byte
		count, _, rerr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = count == 0 && rerr == nil || errors.Is(rerr, syscall.ECONNRESET)
	})
	return left || err != nil // Control fails on a connection that is closed on this side
}

// callerContext lets the relay see whether the connection has ended.
func callerContext(ctx context.Context, co net.Conn) context.Context {
	if cc, ok := co.(*callerConn); ok {
		return relay.WithConnClosed(ctx, cc.closed)
	}
	return ctx
}
