package relay

import (
	"context"
	"errors"
	"net/http"
	"syscall"
	"time"

	"almondrill/core"
	"almondrill/core/crash"
	"almondrill/core/place"
)

// computeFingerprint identifies the request across attempts, by customer, method, host, URI and
// body.
func (rq *request) computeFingerprint() core.Fingerprint {
	customer := core.CustomerID("")
	if rq.customer != nil {
		customer = rq.customer.ID
	}
	return crash.Fingerprint(customer, rq.hr.Method, rq.hr.Host, rq.hr.URL.RequestURI(), rq.body)
}

// maxSharedParts bounds the parts of a prompt that are suspected of crashes.
const maxSharedParts = 16

// fingerprintsOf identifies the parts of a prompt that other requests may share: all but the last one.
func fingerprintsOf(parts []place.Part) []core.Fingerprint {
	if len(parts) < 2 {
		return nil
	}
	shared := parts[:min(len(parts)-1, maxSharedParts)]
	fps := make([]core.Fingerprint, 0, len(shared))
	for _, pa := range shared {
		fps = append(fps, crash.PartFingerprint(pa.Hash))
	}
	return fps
}

// checkQuarantine refuses a request that appears to crash the endpoints that run it. It is called
// before each send, since callers retry such a request through any router and each execution costs
// an endpoint with all of its other requests. The refusal has a Retry-After, since it is only
// inferred that the request is the cause.
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

// reportOutcome reports to the crash detection how the attempt ended. A success clears the request
// of suspicion; a failure response does not, as endpoints also fail requests that they have barely
// started, and neither does a plain response of which nothing says that it is whole.
func (ex *exchange) reportOutcome(began time.Time, rf *core.Refusal) {
	cd := ex.rq.re.Crashes
	if cd == nil {
		return
	}
	en := core.EndpointRef{ID: ex.tk.Endpoint.ID, Addr: ex.tk.Endpoint.Addr, Hash: ex.tk.Hash}
	switch {
	case ex.handedOver:
	case rf == nil:
		known := ex.rq.framing != byClose || isEventStream(ex.rs)
		if known && ex.rq.status < http.StatusMultipleChoices {
			cd.Succeeded(ex.rq.fingerprint)
		}
	case ex.connRefused:
		cd.ConnRefused(en)
	case rf.Outcome == core.Unknown && possibleCrash[rf.Reason]:
		cd.Interrupted(en, began, ex.rq.fingerprint)
	}
}

// possibleCrash are the reasons for which an attempt ends when its endpoint crashes: the connection
// is closed, or the endpoint stops responding.
var possibleCrash = map[core.Reason]bool{
	core.ReasonCutShort: true, core.ReasonStalled: true, core.ReasonDeadline: true,
}

// isConnRefused reports whether the endpoint's VM is reachable but nothing listens on the port.
func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
