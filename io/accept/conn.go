package accept

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"almondrill/core/ledger"
)

const (
	// IdleSentinel and HeaderSentinel stand in a server's settings, which cannot be changed while it runs,
	// for the timeouts in force. They are far longer than any real timeout, and a day apart so that they
	// can be told from each other.
	IdleSentinel   = 24 * time.Hour
	HeaderSentinel = 48 * time.Hour
	// sentinelTolerance is how far below a sentinel the remaining time may be and still be recognized: the
	// server sets a deadline a moment after it has computed it.
	sentinelTolerance = time.Hour
)

// phase is what a connection is doing.
type phase int

const (
	// readingHead is the phase of a new connection, and of one on which a request has begun to arrive.
	readingHead phase = iota
	idle
	// readingBody is the phase in which a handler reads a request's body.
	readingBody
	serving
	closed
)

// Conn is an accepted connection.
//
// It learns from the read deadlines that the server and its handlers set in which phase it is: before the server
// reads a head, it sets HeaderSentinel, and before it waits for the next request IdleSentinel; a handler sets a
// deadline while it reads a body, and removes it.
//
// A request that arrives just as its idle connection is closed must not be forwarded: the
// response could not be delivered, and the caller would not know whether the request ran. The idle
// timeout is therefore a read deadline, which has no effect on bytes that have already arrived. If
// the server closes the connection because it shuts down, or the listener for lack of room, a handler detects that by
// calling Closed before it forwards anything.
type Conn struct {
	*net.TCPConn
	li *Listener

	mu    sync.Mutex // guards all below
	phase phase
	since time.Time
	// served is set once a whole head has arrived.
	served bool
	head   headCounter
	// headDue is set from when the server begins to read a head until it waits for the next one.
	headDue bool
	// heldHead is what is reserved for the head of the current request.
	heldHead int64
	// blockedSince is when a write began that has not ended, zero if there is none.
	blockedSince time.Time
	messages     messages
}

// SetReadDeadline replaces a sentinel by the timeout in force.
func (co *Conn) SetReadDeadline(at time.Time) error {
	if co.li.Messages {
		return co.TCPConn.SetReadDeadline(at)
	}
	now := time.Now()
	left := at.Sub(now)
	switch {
	case at.IsZero():
		co.endReading()
	case left > HeaderSentinel-sentinelTolerance:
		co.awaitHead()
		at = now.Add(co.li.Timeouts.Header())
	case left > IdleSentinel-sentinelTolerance:
		co.awaitRequest()
		at = now.Add(co.li.Timeouts.Idle())
	case left > 0:
		co.readBody()
	}
	return co.TCPConn.SetReadDeadline(at)
}

// awaitHead notes that the server reads a head. The first bytes may have arrived before.
func (co *Conn) awaitHead() {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.headDue = true
	co.enter(readingHead)
}

// awaitRequest notes that the server waits for the next request. The head of the previous one is released.
func (co *Conn) awaitRequest() {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.headDue = false
	co.releaseHead()
	co.head.begin()
	co.enter(idle)
}

// readBody notes that a handler reads a body.
func (co *Conn) readBody() {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.enter(readingBody)
}

// endReading notes that no deadline applies to reads: a request is being served, if its head was read.
func (co *Conn) endReading() {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.headDue {
		co.served = true // a head that has arrived with an earlier request is not counted
		co.enter(serving)
	}
}

// enter changes the phase. Call it with the lock held.
func (co *Conn) enter(ph phase) {
	if co.phase != closed && co.phase != ph {
		co.phase, co.since = ph, time.Now()
	}
}

func (co *Conn) releaseHead() {
	co.li.Bytes.Release(ledger.Heads, co.heldHead)
	co.heldHead = 0
}

// Read reads from the connection and counts the bytes of a head. A head that is too large, or for which there is no
// memory, is refused, and the connection ends.
func (co *Conn) Read(buffer []byte) (int, error) {
	if co.li.Messages {
		return co.readMessages(buffer)
	}
	count, err := co.TCPConn.Read(buffer)
	if count == 0 {
		return count, err
	}
	if re := co.countHead(buffer[:count]); re != nil {
		co.refuse(re, buffer)
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: co.RemoteAddr(), Err: errRefused} // the server writes nothing more
	}
	return count, err
}

var errRefused = errors.New("the head was refused")

// countHead counts the bytes of a head that have arrived, and returns a refusal if there is no room for them.
func (co *Conn) countHead(data []byte) *Refusal {
	co.mu.Lock()
	defer co.mu.Unlock()
	if co.phase == idle {
		co.enter(readingHead)
	}
	if co.phase != readingHead {
		co.head.skip(len(data))
		return nil
	}
	cost := co.head.count(data)
	co.served = co.served || co.head.ended
	if limit := co.li.MaxHead(); co.head.size > limit.Bytes+headSlack {
		return limit.Refusal
	}
	if !co.li.Bytes.Reserve(ledger.Heads, cost) {
		co.MakeRoom()
		return noMemory
	}
	co.heldHead += cost
	return nil
}

// HeadSize returns the size of the last head as it arrived, in bytes. exact is false if a part of it may have arrived
// together with an earlier request, and is then not counted.
func (co *Conn) HeadSize() (size int64, exact bool) {
	co.mu.Lock()
	defer co.mu.Unlock()
	return co.head.size, co.head.exact
}

// Write writes to the connection.
func (co *Conn) Write(data []byte) (int, error) {
	co.setBlocked(time.Now())
	count, err := co.TCPConn.Write(data)
	co.setBlocked(time.Time{})
	return count, err
}

func (co *Conn) setBlocked(since time.Time) {
	co.mu.Lock()
	defer co.mu.Unlock()
	co.blockedSince = since
}

// Close closes the connection and releases what it holds.
func (co *Conn) Close() error {
	co.mu.Lock()
	if co.phase != closed {
		co.phase = closed
		co.releaseHead()
		co.endMessages()
	}
	co.mu.Unlock()
	co.li.remove(co)
	return co.TCPConn.Close()
}

const (
	// refusalTimeout bounds the time to write a refusal, and drainTimeout that to read on: a connection that is
	// closed with unread bytes is reset, and the refusal is lost.
	refusalTimeout = 200 * time.Millisecond
	drainTimeout   = 300 * time.Millisecond
	maxDrain       = 2 << 20
)

// refuse answers a request whose head is refused. The responses to earlier requests were written before the server
// began to read this head.
func (co *Conn) refuse(re *Refusal, buffer []byte) {
	co.mu.Lock()
	co.releaseHead()
	co.mu.Unlock()
	co.li.noteRefused(co, re)
	_ = co.TCPConn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, err := fmt.Fprintf(co.TCPConn, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		re.Status, http.StatusText(re.Status), len(re.Body), re.retryAfter(), re.Body)
	if err != nil || co.CloseWrite() != nil {
		return
	}
	_ = co.TCPConn.SetReadDeadline(time.Now().Add(drainTimeout))
	for drained := 0; drained < maxDrain; {
		count, err := co.TCPConn.Read(buffer)
		if err != nil {
			return
		}
		drained += count
	}
}

// abandonBody makes reads of the body fail as if its deadline had passed.
func (co *Conn) abandonBody() { _ = co.TCPConn.SetReadDeadline(time.Unix(1, 0)) }

// Closed reports whether the connection was closed, by this side or by the caller.
//
// The server notices that a caller has closed the connection only when it reads again, in a
// goroutine beside the one that handles the request. An overloaded router would forward hundreds
// of requests whose callers gave up before they were read. So Closed asks the socket itself.
func (co *Conn) Closed() bool {
	rc, err := co.SyscallConn()
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
