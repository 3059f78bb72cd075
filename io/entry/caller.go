package entry

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"almondrill/core/route"
	"almondrill/io/accept"
	"almondrill/io/conns"
	"almondrill/io/relay"
)

// callerAckTimeout is how long bytes sent to a caller may stay unacknowledged, or unread. Without it a
// caller that has lost power would hold an endpoint's slot.
const callerAckTimeout = 4 * time.Second

// callerListener accepts callers' connections.
type callerListener struct{ net.Listener }

func (cl callerListener) Accept() (net.Conn, error) {
	co, err := cl.Listener.Accept()
	if err != nil {
		return nil, err
	}
	if tcp, ok := co.(*net.TCPConn); ok {
		if rc, err := tcp.SyscallConn(); err == nil {
			_ = conns.SetUserTimeout(rc, callerAckTimeout) // if this fails, a dead connection is just found later
		}
	}
	return co, nil
}

// callerContext lets the relay find out whether the connection was closed, and how long a request's head was.
func callerContext(ctx context.Context, co net.Conn) context.Context {
	if own, ok := co.(*accept.Conn); ok {
		ctx = relay.WithConnClosed(ctx, own.Closed)
	}
	return accept.ConnContext(ctx, co)
}

// headLimit is the limit of callers' heads while they arrive. It is that of the configuration that allows most: a
// request may be on its way since an earlier one was in force.
type headLimit struct{ most atomic.Int64 }

func (hl *headLimit) adopt(ta *route.Table) { hl.most.Store(max(hl.most.Load(), relay.MaxHead(ta))) }

// get returns the limit. Before the first configuration it is not known which one is in force.
func (hl *headLimit) get() accept.HeadLimit {
	if most := hl.most.Load(); most > 0 {
		return accept.HeadLimit{Bytes: most, Refusal: accept.TooLarge}
	}
	return accept.HeadLimit{Bytes: relay.MaxHead(nil), Refusal: accept.NoLimit}
}
