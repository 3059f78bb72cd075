package relay

import (
	"time"

	"go.uber.org/zap"

	"almondrill/core/place"
)

// Failure: a router loses power. Its requests end at their callers' deadlines, and as a
// line is written when a request ends, nothing tells where they were. One that has been
// running for a while is told once, so that its router, its endpoint and its time are
// known whatever happens then.

// longRunningAfter is how long a request runs before it is told. Plain services answer within
// a tenth of it, so that nearly all of these lines, about one for each stream, are of
// requests that a lost router takes with it.
const longRunningAfter = time.Second

// sendRecord is where a request was sent last.
type sendRecord struct {
	endpoint place.Endpoint
	at       time.Time
	// number counts the sends.
	number int
}

// watchLongRunning tells of the request once it has been running for runningAfter, unless the
// returned function is called before.
func (rq *request) watchLongRunning() (stop func()) {
	timer := time.AfterFunc(longRunningAfter-time.Since(rq.began), rq.logRunning)
	return func() { timer.Stop() }
}

// logRunning runs beside the request's own goroutine: it reads only what does not change
// once the request has been read.
func (rq *request) logRunning() {
	fields := []zap.Field{zap.String("Request", rq.id), zap.String("Route", rq.route.Name), zap.Uint64("Version", uint64(rq.table.Version))}
	if rq.customer != nil {
		fields = append(fields, zap.String("Customer", string(rq.customer.ID)))
	}
	if se := rq.lastSend.Load(); se != nil {
		fields = append(fields, zap.String("Endpoint", string(se.endpoint.ID)), zap.String("Addr", se.endpoint.Addr),
			zap.Int("Sends", se.number), zap.Duration("SentAfter", se.at.Sub(rq.began)))
	}
	rq.re.Log.Info("Is running.", append(fields, zap.Duration("Took", time.Since(rq.began)), zap.Duration("Age", rq.re.ViewAge()))...)
}
