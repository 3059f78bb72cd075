package relay

import (
	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/outlen"
	"almondrill/core/route"
)

// output is the expected length of a stream and what was seen of it.
type output struct {
	// request is what the caller stated. expected is 0 if nothing was estimated.
	request  outlen.Request
	expected core.Tokens
	// events were forwarded to the caller, seen is their number of tokens.
	events int
	seen   core.Tokens
}

// expectedOutput returns the expected length of the response in tokens. It is 0 if the pool's engines
// declare no memory that it would have to fit, or if the caller states neither a hint nor a maximum,
// so that the memory that the request needs is unknown.
func (rq *request) expectedOutput(po *route.Pool) core.Tokens {
	if !po.Engine || po.CacheTokens <= 0 {
		return 0
	}
	if ou := &rq.output; ou.expected == 0 {
		ou.request.Pool = rq.pool
		if di := &rq.re.Dialect; di.OutputLimit != nil {
			ou.request.Max = di.OutputLimit(rq.hr.Header)
		}
		if di := &rq.re.Dialect; di.OutputHint != nil {
			ou.request.Hint = di.OutputHint(rq.hr.Header)
		}
		if ou.request.Max == 0 && ou.request.Hint == 0 {
			return 0
		}
		ou.expected = rq.re.Output.Expect(rq.route.Name, ou.request)
	}
	return rq.output.expected
}

// countEvents counts the events of a stream. One that becomes longer than expected takes more of
// its engine's memory.
func (rq *request) countEvents(count int) {
	rq.events += count
	ou := &rq.output
	if ou.expected == 0 {
		return
	}
	ou.events += count
	if ou.seen = rq.re.Output.TokensOf(rq.pool, ou.events); ou.seen > ou.expected {
		rq.ticket.RecordOutput(rq.lastWrite, ou.seen)
	}
}

// recordOutput learns from a stream that was forwarded completely.
func (rq *request) recordOutput() {
	if ou := &rq.output; ou.events > 0 {
		ou.seen = rq.re.Output.Record(rq.route.Name, ou.request, ou.expected, ou.events)
	}
}

// fields returns the log fields.
func (ou *output) fields() []zap.Field {
	if ou.expected == 0 {
		return nil
	}
	return []zap.Field{zap.Int64("OutputExpected", int64(ou.expected)), zap.Int64("OutputSeen", int64(ou.seen))}
}
