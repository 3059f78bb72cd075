package accept

import (
	"context"
	"net"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/stats"

	"almondrill/core/ledger"
	counters "almondrill/io/stats"
)

// callBytes is what a call in progress costs: its goroutine and buffers, and what its stream's window lets arrive after
// its message.
const callBytes = 16<<10 + 64<<10

// messages is what is known of the messages that arrive on a connection of a gRPC server.
type messages struct {
	// calls are those in progress, incomplete those of them whose message has not arrived whole.
	calls, incomplete int
	// held is what is reserved for calls, and for bytes that have arrived and may belong to messages that are not whole.
	held int64
}

// readMessages reads from the connection of a gRPC server, and reserves what has arrived until the messages are whole.
func (co *Conn) readMessages(buffer []byte) (int, error) {
	count, err := co.TCPConn.Read(buffer)
	if count == 0 {
		return count, err
	}
	co.mu.Lock()
	co.served = true
	if co.messages.incomplete <= 0 && co.phase != closed {
		co.letGo() // what arrived before were control frames
	}
	co.mu.Unlock()
	if !co.hold(int64(count)) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: co.RemoteAddr(), Err: errRefused}
	}
	return count, err
}

// hold reserves bytes for the connection. If there are none left, it closes the connection that holds most, and returns
// false if that is this one.
func (co *Conn) hold(count int64) bool {
	for {
		co.mu.Lock()
		if co.phase == closed {
			co.mu.Unlock()
			return false
		}
		reserved := co.li.Bytes.Reserve(ledger.Buffers, count)
		if reserved {
			co.messages.held += count
		}
		co.mu.Unlock()
		if reserved {
			return true
		}
		if victim := co.li.evictLargest(); victim == nil || victim == co {
			return false
		}
	}
}

// letGo releases what the connection holds but for its calls, as none of its messages is incomplete. Call it with the
// lock held.
func (co *Conn) letGo() {
	kept := callBytes * int64(co.messages.calls)
	if co.messages.held > kept {
		co.li.Bytes.Release(ledger.Buffers, co.messages.held-kept)
		co.messages.held = kept
	}
}

// evictLargest closes the connection that holds most for messages and calls. It returns nil if none holds any.
func (li *Listener) evictLargest() *Conn {
	li.mu.Lock()
	defer li.mu.Unlock()
	var victim *Conn
	most := int64(0)
	for co := range li.open {
		co.mu.Lock()
		held := co.messages.held
		co.mu.Unlock()
		if held > most {
			victim, most = co, held
		}
	}
	if victim == nil {
		return nil
	}
	victim.mu.Lock()
	victim.endMessages()
	victim.mu.Unlock()
	delete(li.open, victim)
	li.release()
	li.noteEvicted(victim)
	_ = victim.TCPConn.Close() // its server then calls Close
	li.Stats.Add(counters.ConnsEvicted, 1)
	li.Log.Warn("Closed a connection for lack of room.", zap.String("Listener", li.Name), zap.String("Worth", "MostMessageBytes"),
		zap.Int64("Held", most), zap.Int("Open", len(li.open)), zap.Stringer("Peer", victim.RemoteAddr()))
	return victim
}

// endMessages releases all that the connection holds for messages. Call it with the lock held.
func (co *Conn) endMessages() {
	co.phase = closed
	co.li.Bytes.Release(ledger.Buffers, co.messages.held)
	co.messages.held = 0
}

// call is one call of a gRPC server.
type call struct {
	co *Conn
	// whole is set once its first message has arrived whole.
	whole bool
}

type callKey struct{}

// TagConn implements stats.Handler.
func (li *Listener) TagConn(ctx context.Context, in *stats.ConnTagInfo) context.Context {
	li.mu.Lock()
	defer li.mu.Unlock()
	return context.WithValue(ctx, connKey{}, li.byPeer[in.RemoteAddr.String()])
}

// HandleConn implements stats.Handler.
func (li *Listener) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (li *Listener) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	if co := FromContext(ctx); co != nil {
		return context.WithValue(ctx, callKey{}, &call{co: co})
	}
	return ctx
}

// HandleRPC implements stats.Handler: it notes when calls begin and end, and when their messages are whole.
func (li *Listener) HandleRPC(ctx context.Context, st stats.RPCStats) {
	ca, ok := ctx.Value(callKey{}).(*call)
	if !ok {
		return
	}
	switch st.(type) {
	case *stats.Begin:
		ca.begin()
	case *stats.InPayload:
		ca.arrived()
	case *stats.End:
		ca.end()
	}
}

func (ca *call) begin() {
	ca.co.mu.Lock()
	ca.co.messages.calls++
	ca.co.messages.incomplete++
	ca.co.mu.Unlock()
	ca.co.hold(callBytes) // if it fails, the connection is closed
}

// arrived notes that a message of the call is whole.
func (ca *call) arrived() {
	ca.co.mu.Lock()
	defer ca.co.mu.Unlock()
	if !ca.whole {
		ca.whole = true
		ca.co.messages.incomplete--
	}
	ca.co.settle()
}

func (ca *call) end() {
	ca.co.mu.Lock()
	defer ca.co.mu.Unlock()
	ca.co.messages.calls--
	if !ca.whole {
		ca.co.messages.incomplete--
	}
	ca.co.settle()
}

// settle releases pending bytes once they can belong to no incomplete message. Call it with the lock held.
func (co *Conn) settle() {
	co.since = time.Now()
	if co.messages.incomplete <= 0 && co.phase != closed {
		co.letGo()
	}
}

// messageWorth returns the worth of a connection to a gRPC server. Call it with the lock held.
func (co *Conn) messageWorth(now time.Time) (worth, time.Time) {
	late := now.Sub(co.since) >= lateHead
	switch {
	case co.phase == closed || co.messages.calls > 0:
		return keep, now
	case late && !co.served:
		return lateNewHead, co.since
	case late:
		return idleLong, co.since
	}
	return waiting, co.since
}
