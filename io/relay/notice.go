package relay

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"almondrill/io/logs"
	"almondrill/io/stats"
)

// handleNotice applies the notice in the response. A notice with status 421 is ignored: another
// endpoint has taken over the address, and its notice does not concern the one that was called.
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

// markDraining stops new requests to the endpoint. The notice can arrive long before the endpoint's
// registration is updated, for instance while the store is unavailable.
func (ex *exchange) markDraining() {
	if !ex.tk.RecordShutdown(time.Now()) {
		return
	}
	ex.rq.re.Log.Info("An endpoint announced its shutdown.", zap.String("Endpoint", string(ex.tk.Endpoint.ID)),
		zap.String("Addr", ex.tk.Endpoint.Addr), zap.String("Request", logs.Short(ex.rq.id)), zap.Int("Status", ex.rs.StatusCode),
		zap.Duration("Age", ex.rq.re.ViewAge()))
	if counts := ex.rq.re.Counts; counts != nil {
		counts.ReportDraining(ex.tk.Hash)
	}
}

// markBackoff stops new requests to the endpoint for the time that it asked for.
func (ex *exchange) markBackoff() {
	backoff := ex.rq.notice.Backoff
	if !ex.tk.RecordBackoff(time.Now(), backoff) {
		return
	}
	ex.rq.re.Log.Info("An endpoint asked for a pause in requests.", zap.String("Endpoint", string(ex.tk.Endpoint.ID)),
		zap.String("Addr", ex.tk.Endpoint.Addr), zap.String("Request", logs.Short(ex.rq.id)), zap.Duration("For", backoff),
		zap.Duration("Age", ex.rq.re.ViewAge()))
}
