package relay

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"almondrill/core"
	"almondrill/core/crash"
)

// computeFingerprint works out the request's fingerprint.
func (rq *request) computeFingerprint() core.Fingerprint {
	customer := core.CustomerID("")
	if rq.customer != nil {
		customer = rq.customer.ID
	}
	return crash.Fingerprint(customer, rq.hr.Method, rq.hr.Host, rq.hr.URL.RequestURI(), rq.body)
}

// checkQuarantine refuses a request that crashes the endpoints that run it, before each send: it
// comes again as another attempt, through any router, and each costs an endpoint with all
// that runs there. It is told when to return, as whether it is the cause is inferred.
func (rq *request) checkQuarantine(ctx context.Context) *core.Refusal {
	if rq.re.Crashes == nil {
		return nil
	}
	allowed, after := rq.re.Crashes.Allowed(ctx, rq.fingerprint)
	if allowed {
		return nil
	}
	rf := rq.notRun(core.ReasonQuarantined, "place", "endpoints crashed when they ran this request")
	rf.RetryAfter = after
	return rf
}

// reportOutcome tells how the attempt ended. A success clears the request; a failure that the
// endpoint answers does not, as endpoints fail requests that they have hardly begun.
func (ex *exchange) reportOutcome(began time.Time, rf *core.Refusal) {
	bl := ex.rq.re.Crashes
	if bl == nil {
		return
	}
	en := core.EndpointRef{ID: ex.tk.Endpoint.ID, Addr: ex.tk.Endpoint.Addr, Hash: ex.tk.Hash}
	switch {
	case rf == nil:
		if ex.rq.status < http.StatusMultipleChoices {
			bl.Succeeded(ex.rq.fingerprint)
		}
	case ex.connRefused:
		bl.ConnRefused(en)
	case rf.Outcome == core.Unknown && possibleCrash[rf.Reason]:
		bl.Interrupted(en, began, ex.rq.fingerprint)
	}
}

// possibleCrash are the reasons for which an attempt ends when its endpoint crashes: the
// connection ends, or nothing comes any more.
var possibleCrash = map[core.Reason]bool{
	core.ReasonCutShort: true, core.ReasonStalled: true, core.ReasonDeadline: true,
}

// isConnRefused tells whether the endpoint's VM is there but nothing listens.
func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
