package relay

import (
	"net/http"

	"almondrill/io/stats"
)

// takeNotice takes what the endpoint announces beside its answer. Another endpoint that has got
// the address answers 421; what it announces does not concern the one that was asked.
func (ex *exchange) takeNotice() {
	if ex.rs.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	rq := ex.rq
	rq.notice = rq.re.Dialect.Notice(ex.rs.StatusCode, ex.rs.Header)
	if rq.notice.Leaving {
		rq.re.Stats.Add(stats.LeavingNotices, 1)
	}
	if rq.notice.Backoff > 0 {
		rq.re.Stats.Add(stats.BackoffNotices, 1)
	}
}
