package relay

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"almondrill/io/stats"
)

// handleNotice takes what the endpoint announces beside its answer. Another endpoint that has got
// the address answers 421; what it announces does not concern the one that was asked.
func (ex *exchange) handleNotice() {
	if ex.rs.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	rq := ex.rq
	rq.notice = rq.re.Dialect.Notice(ex.rs.StatusCode, ex.rs.Header)
	if rq.notice.Draining {
		rq.re.Stats.Add(stats.LeavingNotices, 1)
		ex.markDraining()
	}
	if rq.notice.Backoff > 0 {
		rq.re.Stats.Add(stats.BackoffNotices, 1)
		ex.markBackoff()
	}
}

// markDraining closes the endpoint to new requests. It may announce that it leaves long before its
// registration tells so, as where the store is away.
func (ex *exchange) markDraining() {
	if !ex.tk.RecordShutdown(time.Now()) {
		return
	}
	ex.rq.re.Log.Info("An endpoint announces that it leaves.", zap.String("Endpoint", string(ex.tk.Endpoint.ID)),
		zap.String("Addr", ex.tk.Endpoint.Addr), zap.String("Request", ex.rq.id), zap.Int("Status", ex.rs.StatusCode),
		zap.Duration("Age", ex.rq.re.ViewAge()))
	if counts := ex.rq.re.Counts; counts != nil {
		counts.ReportDraining(ex.tk.Hash)
	}
}

// markBackoff leaves the endpoint alone for the time that it asked for.
func (ex *exchange) markBackoff() {
	backoff := ex.rq.notice.Backoff
	if !ex.tk.RecordBackoff(time.Now(), backoff) {
		return
	}
	ex.rq.re.Log.Info("An endpoint wants no requests for a time.", zap.String("Endpoint", string(ex.tk.Endpoint.ID)),
		zap.String("Addr", ex.tk.Endpoint.Addr), zap.String("Request", ex.rq.id), zap.Duration("For", backoff),
		zap.Duration("Age", ex.rq.re.ViewAge()))
}
