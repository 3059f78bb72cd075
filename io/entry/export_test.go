package entry

import (
	"net"
	"time"

	"almondrill/core"
	"almondrill/core/place"
)

// Accepted makes a connection one of a caller's, and returns what tells that it has ended.
func Accepted(co net.Conn) (net.Conn, func() bool) {
	cc := &callerConn{TCPConn: co.(*net.TCPConn), times: &callerTimes{}}
	return cc, cc.ended
}

// Changed takes an item that is new to the mirror.
func (pr *Process) Changed(it core.Item) { pr.view.changed(it) }

// Endpoints is how many are known, of whichever pools.
func (pr *Process) Endpoints() int { return pr.placer.Serving(func(core.PoolID) bool { return true }) }

// Pick chooses an endpoint of the pool.
func (pr *Process) Pick(pool core.PoolID) (*place.Ticket, *core.Refusal) {
	return pr.placer.Pick(time.Now(), &place.Request{Pool: pool})
}

// Broke tells that an attempt broke off.
func (pr *Process) Broke(en core.EndpointRef, began time.Time, fp core.Fingerprint) {
	pr.guard.Interrupted(en, began, fp)
}
