package strict

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// tcpClose is TCP_CLOSE of Linux's tcp_states.h.
const tcpClose = 7

// stateOf returns the state of a connection. It fails after the deadline of writes.
func stateOf(rc syscall.RawConn) (connState, error) {
	var info *unix.TCPInfo
	err := rc.Write(func(fd uintptr) bool {
		info, _ = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) // fails where there is no such state
		return true
	})
	switch {
	case err != nil:
		return unacknowledged, err
	case info == nil:
		return acknowledged, nil
	case info.State == tcpClose:
		return reset, nil
	case info.Unacked == 0 && info.Notsent_bytes == 0:
		return acknowledged, nil
	}
	return unacknowledged, nil
}
