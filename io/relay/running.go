package relay

import (
	"time"

	"go.uber.org/zap"

	"almondrill/core/place"
	"almondrill/io/logs"
)

// Failure: a router loses power. Its requests end at their callers' deadlines, and since the log line
// of a request is written when it ends, the log would not show where they were running. Therefore a
// long-running request is also logged once while it runs, with its router, endpoint and time.

// longRunningAfter is how long a request runs before it is logged. Plain services respond within a
// tenth of this, so that nearly all of these lines, about one per stream, are of requests that would
// be lost with the router.
const longRunningAfter = time.Second

// sendRecord is where and when a request was sent last.
type sendRecord struct {
	endpoint place.Endpoint
	at       time.Time
	// number is the value of request.sends.
	number int
}

// watchLongRunning logs the request once it has been running for longRunningAfter, unless stop is
// called before.
func (rq *request) watchLongRunning() (stop func()) {
	timer := time.AfterFunc(longRunningAfter-time.Since(rq.began), rq.logRunning)
	return func() { timer.Stop() }
}

// logRunning runs concurrently with the request's own goroutine: it reads only atomics and fields
// that do not change after prepare.
func (rq *request) logRunning() {
	fields := []zap.Field{zap.String("Request", logs.Short(rq.id)), zap.String("Route", rq.route.Name), zap.Uint64("Version", uint64(rq.table.Version))}
	if rq.customer != nil {
		fields = append(fields, zap.String("Customer", string(rq.customer.ID)))
	}
	if se := rq.lastSend.Load(); se != nil {
		fields = append(fields, zap.String("Endpoint", string(se.endpoint.ID)), zap.String("Addr", se.endpoint.Addr),
			zap.Int("Sends", se.number), zap.Duration("SentAfter", se.at.Sub(rq.began)))
	}
	rq.re.Log.Info("A request is still running.", append(fields, zap.Duration("Took", time.Since(rq.began)), zap.Duration("Age", rq.re.ViewAge()))...)
}
