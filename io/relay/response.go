package relay

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"almondrill/core"
	"almondrill/io/stats"
)

// writeGrace is how long after a request's end its caller may still take bytes.
const writeGrace = time.Second

// writeHead writes the head of an endpoint's answer. Its length is -1 if unknown.
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
		hd["Content-Type"] = nil // keeps the server from guessing one
	}
	// Without a bound, a caller that reads nothing holds the endpoint's place.
	_ = rq.control.SetWriteDeadline(rq.deadline.Add(writeGrace))
	rq.wr.WriteHeader(status)
}

// notRunStatuses are the statuses that tell a caller that its request did not run. An
// endpoint that answers with one of them, but does not say so, has not promised.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusMisdirectedRequest: true,
	http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// forwardFailure passes an endpoint's failure on as it is.
func (rq *request) forwardFailure(rf *core.Refusal) {
	if notRunStatuses[rq.failure.status] {
		rq.refuse(rf)
		return
	}
	rq.re.Stats.Refuse(rf.Reason)
	rq.re.Stats.Answer(rf.Outcome)
	rq.re.Latency.Note(stats.FailedMs, time.Since(rq.began))
	rq.re.Log.Info("Passed an endpoint's failure on.", rq.refusalFields(rf)...)
	rq.writeHead(rq.failure.status, rq.failure.header, int64(len(rq.failure.body)))
	_, _ = rq.wr.Write(rq.failure.body) // a caller that left loses nothing by it
}

// refuse answers in the endpoint's place.
func (rq *request) refuse(rf *core.Refusal) {
	status := statusOf(rf)
	rq.re.Stats.Refuse(rf.Reason)
	rq.re.Stats.Answer(rf.Outcome)
	if rf.Outcome == core.NotRun {
		rq.re.Latency.Note(stats.RefusedMs, time.Since(rq.began))
	} else {
		rq.re.Latency.Note(stats.FailedMs, time.Since(rq.began))
	}
	rq.re.Log.Warn("Refused.", rq.refusalFields(rf)...)
	hd := rq.wr.Header()
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		hd.Set("Retry-After", rq.retryAfter(rf))
	}
	hd.Set("Content-Type", "application/json")
	body, _ := json.Marshal(struct {
		Outcome, Reason, Step, Peer, Detail string
	}{rf.Outcome.String(), string(rf.Reason), rf.Step, rf.Peer, rf.Detail}) // strings always marshal
	hd.Set("Content-Length", strconv.Itoa(len(body)))
	rq.wr.WriteHeader(status)
	_, _ = rq.wr.Write(body) // a caller that left loses nothing by it
}

// retryAfter is when the caller may return, in seconds, spread so that those that
// were refused together do not return together.
func (rq *request) retryAfter(rf *core.Refusal) string {
	const maxSpread = 1.4
	minSpread := 0.6
	if rf.Reason == core.ReasonQuarantined || rf.Reason == core.ReasonBackoff {
		minSpread = 1 // sooner it would be refused again
	}
	after := max(defaultRetryAfter, rf.RetryAfter).Seconds()
	spread := minSpread + (maxSpread-minSpread)*rq.re.Rand.Float64()
	return strconv.FormatFloat(after*spread, 'f', 3, 64)
}

// statusOf is the status of a refusal. Where the request may have run, none that
// promises the contrary is given.
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
