package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/io/stats"
)

// writeGrace is how long after the request's deadline its response may still be written.
const writeGrace = time.Second

// writeHead writes the head of an endpoint's response to the caller. The length is -1 if unknown: then the
// response has chunks, also where the endpoint's ends with its connection. Otherwise it would look whole if
// this process ended.
func (rq *request) writeHead(status int, from http.Header, length int64) {
	rq.headSent = true
	rq.status = status
	rq.firstWrite = time.Now()
	hd := rq.wr.Header()
	connection := hd.Get("Connection")
	for name, values := range from {
		hd[name] = values
	}
	dropConnection(hd)
	if connection != "" {
		hd.Set("Connection", connection)
	}
	if length >= 0 {
		hd.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if hd.Get("Content-Type") == "" {
		hd["Content-Type"] = nil // disables content sniffing
	}
	// Otherwise a caller that does not read occupies the endpoint's slot.
	_ = rq.control.SetWriteDeadline(rq.deadline.Add(writeGrace))
	rq.wr.WriteHeader(status)
}

// notRunStatuses are the statuses by which callers know that their request did not run. An endpoint
// that returns one of them without Dialect.NotRun may have run the request.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// forwardFailure writes the endpoint's own failure response, or a refusal in place of one whose
// status would claim that the request did not run.
func (rq *request) forwardFailure(rf *core.Refusal) {
	if notRunStatuses[rq.failure.status] {
		rq.refuse(rf)
		return
	}
	rq.re.Stats.CountRefusal(rf.Reason)
	rq.re.Stats.CountOutcome(rf.Outcome)
	rq.re.Latency.Record(stats.FailedMs, time.Since(rq.began))
	rq.re.Log.Info("Forwarded an endpoint's failure response.", rq.refusalFields(rf)...)
	rq.writeHead(rq.failure.status, rq.failure.header, int64(len(rq.failure.body)))
	_, _ = rq.wr.Write(rq.failure.body) // fails only if the caller has disconnected
}

// refuse writes the router's own error response.
func (rq *request) refuse(rf *core.Refusal) {
	status := statusOf(rf)
	rq.endBody()
	rq.re.Stats.CountRefusal(rf.Reason)
	rq.re.Stats.CountOutcome(rf.Outcome)
	if rf.Outcome == core.NotRun {
		rq.re.Latency.Record(stats.RefusedMs, time.Since(rq.began))
	} else {
		rq.re.Latency.Record(stats.FailedMs, time.Since(rq.began))
	}
	if line := rq.re.Log.Check(zap.WarnLevel, "Refused."); line != nil {
		line.Write(rq.refusalFields(rf)...)
	}
	hd := rq.wr.Header()
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		if after := rq.retryAfter(rf); after != "" {
			hd.Set("Retry-After", after)
		}
	}
	hd.Set("Content-Type", "application/json")
	body, _ := json.Marshal(struct {
		Outcome, Reason, Step, Peer, Detail string
	}{rf.Outcome.String(), string(rf.Reason), rf.Step, rf.Peer, rf.Detail}) // strings always marshal
	hd.Set("Content-Length", strconv.Itoa(len(body)))
	rq.wr.WriteHeader(status)
	_, _ = rq.wr.Write(body) // fails only if the caller has disconnected
}

// refusedBodyTimeout bounds the time to read on a body that is not used: the server reads the rest of a short one
// before it writes the response.
const refusedBodyTimeout = 500 * time.Millisecond

// endBody bounds the time for the rest of a body, if the request is refused before all of it has arrived.
func (rq *request) endBody() {
	if !rq.bodyRead && rq.hr.Body != nil && rq.hr.Body != http.NoBody {
		_ = rq.control.SetReadDeadline(time.Now().Add(refusedBodyTimeout))
	}
}

// retryAfter returns the Retry-After value in seconds, with jitter, so that callers that were
// refused at the same time do not retry at the same time. A reserved time has no jitter; where none
// could be reserved before the caller's deadline, or a retry cannot succeed, it returns "".
func (rq *request) retryAfter(rf *core.Refusal) string {
	if rq.exactRetry {
		if rf.RetryAfter == 0 {
			return ""
		}
		return strconv.FormatFloat(rf.RetryAfter.Seconds(), 'f', 3, 64)
	}
	if rf.Reason == core.ReasonVersionGone || rf.Reason == core.ReasonVersionUnknown && rq.resumes() == "" {
		return "" // the stream cannot be continued later either
	}
	const maxSpread = 1.4
	minSpread := 0.6
	if rf.Reason == core.ReasonQuarantined || rf.Reason == core.ReasonBackoff {
		minSpread = 1 // an earlier retry would be refused again
	}
	after := max(defaultRetryAfter, rf.RetryAfter).Seconds()
	spread := minSpread + (maxSpread-minSpread)*rq.re.Rand.Float64()
	return strconv.FormatFloat(after*spread, 'f', 3, 64)
}

// statusOf returns the HTTP status of a refusal. If the request may have run, it is not one of
// notRunStatuses.
func statusOf(rf *core.Refusal) int {
	switch {
	case rf.Outcome == core.NotRun && rf.Status != 0:
		return rf.Status
	case rf.Outcome == core.NotRun:
		return http.StatusServiceUnavailable
	case rf.Reason == core.ReasonDeadline || rf.Reason == core.ReasonStalled:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}
