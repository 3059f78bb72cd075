package relay

import (
	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/route"
	"almondrill/io/stats"
)

// resumedAfter returns the id of the event after which the caller continues a stream of one of its
// earlier attempts; "" if the request is a new one.
func (rq *request) resumedAfter() string {
	if rq.route == nil || rq.route.Kind != route.Stream {
		return ""
	}
	return rq.hr.Header.Get(rq.re.Dialect.Resume)
}

// resumes returns the id of the caller's attempt that brought the stream's first event, "" if the caller
// does not state it.
func (rq *request) resumes() string {
	if rq.re.Dialect.Resumes == "" {
		return ""
	}
	return rq.hr.Header.Get(rq.re.Dialect.Resumes)
}

// streamBuild returns the build at which the request's stream began, 0 before its first event.
func (rq *request) streamBuild() core.Build { return core.Build(rq.build.Load()) }

// noteResumption records a request that continues a stream.
func (rq *request) noteResumption() {
	after := rq.resumedAfter()
	if after == "" {
		return
	}
	rq.re.Stats.Add(stats.StreamsResumed, 1)
	rq.re.Log.Info("A caller resumes a stream.", zap.String("Request", rq.id), zap.String("Resumes", rq.resumes()),
		zap.String("After", after), zap.String("Route", rq.route.Name), zap.String("Pool", string(rq.pool)), zap.Duration("Age", rq.re.ViewAge()))
}
