package strict

import (
	"fmt"
	"io"
	"syscall"
	"time"
)

// ackInterval is how often the acknowledgement of a request's last bytes is looked for.
const ackInterval = 2 * time.Millisecond

// ErrReset is returned if a connection was reset. It is an io.ErrUnexpectedEOF.
var ErrReset = fmt.Errorf("the connection was reset: %w", io.ErrUnexpectedEOF)

// connState is what the system knows of a connection that the other side has closed.
type connState uint8

const (
	// unacknowledged: something that was written is still on its way.
	unacknowledged connState = iota
	// acknowledged: the other side has received all, or the system does not provide that.
	acknowledged
	// reset: the connection was reset, or has timed out.
	reset
)

// ConfirmEnd returns nil if the other side has closed the connection in order and has received all that was written to
// it so far. It waits for acknowledgements until the deadline of writes, until the connection is closed, or until the
// system gives it up. Call it after a read has returned io.EOF.
func ConfirmEnd(co syscall.Conn) error {
	rc, err := co.SyscallConn()
	if err != nil {
		return err
	}
	for {
		state, err := stateOf(rc)
		switch {
		case err != nil:
			return err
		case state == acknowledged:
			return nil
		case state == reset:
			return ErrReset
		}
		time.Sleep(ackInterval)
	}
}
