package entry

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"almondrill/io/conns"
	"almondrill/io/relay"
)

const (
	// defaultIdle is how long callers' connections may be idle while no
	// configuration says otherwise.
	defaultIdle = time.Minute
	// idleMark stands for the configuration's idle time in the server's settings,
	// which cannot be changed while it runs.
	idleMark = 24 * time.Hour
	// callerTimeout is how long bytes to a caller may stay unacknowledged. A caller
	// without power would otherwise hold an endpoint's place.
	callerTimeout = 4 * time.Second
)

// callerListener accepts callers' connections.
type callerListener struct {
	net.Listener
	// idle is how long they may be idle, in ns; it changes with the configuration.
	idle *atomic.Int64
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
		_ = conns.SetUserTimeout(rc, callerTimeout) // without it the connection only ends later
	}
	return &callerConn{TCPConn: tcp, idle: cl.idle}, nil
}

// callerConn is a caller's connection.
//
// A request that arrives just as its idle connection is closed must not be passed
// on: the caller could not be answered, and would not know whether it ran. The idle
// time is therefore a read deadline, which loses against bytes that have arrived;
// and where the server closes the connection, at its end, Close leaves a mark that
// the relay looks at before it sends anything.
type callerConn struct {
	*net.TCPConn
	idle   *atomic.Int64
	closed atomic.Bool
}

// SetReadDeadline puts the configuration's idle time in the place of idleMark.
func (cc *callerConn) SetReadDeadline(at time.Time) error {
	if time.Until(at) > idleMark/2 {
		at = time.Now().Add(time.Duration(cc.idle.Load()))
	}
	return cc.TCPConn.SetReadDeadline(at)
}

// Close closes the connection.
func (cc *callerConn) Close() error {
	cc.closed.Store(true)
	return cc.TCPConn.Close()
}

// callerContext lets the relay see whether the connection was closed.
func callerContext(ctx context.Context, co net.Conn) context.Context {
	if cc, ok := co.(*callerConn); ok {
		return relay.WithClosed(ctx, cc.closed.Load)
	}
	return ctx
}
