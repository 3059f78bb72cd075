package entry

import "net"

// Accepted makes a connection one of a caller's, and returns what tells that it has ended.
func Accepted(co net.Conn) (net.Conn, func() bool) {
	cc := &callerConn{TCPConn: co.(*net.TCPConn), times: &callerTimes{}}
	return cc, cc.ended
}
