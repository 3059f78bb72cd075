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

// runningAfter is how long a request runs before it is told. Plain services answer within
// a tenth of it, so that nearly all of these lines, about one for each stream, are of
// requests that a lost router takes with it.
const runningAfter = time.Second

// sending is where a request was sent last.
type sending struct {
	endpoint place.Endpoint
	at       time.Time
	// number counts the sends.
	number int
}

// watch tells of the request once it has been running for runningAfter, unless the
// returned function is called before.
func (rq *request) watch() (stop func()) {
	timer := time.AfterFunc(runningAfter-time.Since(rq.began), rq.tellRunning)
	return func() { timer.Stop() }
}

// tellRunning runs beside the request's own goroutine: it reads only what does not change
// once the request has been read.
func (rq *request) tellRunning() {
	fields := []zap.Field{zap.String("Request", rq.id), zap.String("Route", rq.route.Name), zap.Uint64("Version", uint64(rq.table.Version))}
	if rq.customer != nil {
		fields = append(fields, zap.String("Customer", string(rq.customer.ID)))
	}
	if se := rq.sent.Load(); se != nil {
		fields = append(fields, zap.String("Endpoint", string(se.endpoint.ID)), zap.String("Addr", se.endpoint.Addr),
			zap.Int("Sends", se.number), zap.Duration("SentAfter", se.at.Sub(rq.began)))
	}
	rq.re.Log.Info("Is running.", append(fields, zap.Duration("Took", time.Since(rq.began)), zap.Duration("Age", rq.re.Age()))...)
}
