package relay

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
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

// fingerprintsOf identifies the parts of a prompt that other requests may share: all but the last one, by
// their content, as requests for several models may share it. Each of them may crash endpoints; how many
// there are is bounded by the size of the header.
func fingerprintsOf(parts []place.Part) []core.Fingerprint {
	if len(parts) < 2 {
		return nil
	}
	shared := parts[:len(parts)-1]
	fps := make([]core.Fingerprint, 0, len(shared))
	for _, pa := range shared {
		fps = append(fps, crash.PartFingerprint(cmp.Or(pa.Content, pa.Hash)))
	}
	return fps
}

// maxLoggedParts bounds the parts in a request's log line.
const maxLoggedParts = 16

// loggedParts are the first and the last parts of a long prompt, or all.
func loggedParts(parts []core.Fingerprint) []core.Fingerprint {
	if len(parts) <= maxLoggedParts {
		return parts
	}
	return slices.Concat(parts[:maxLoggedParts/2], parts[len(parts)-maxLoggedParts/2:])
}

// identities are what of the request may crash endpoints: the request as a whole, and the parts of its prompt
// that others share.
func (rq *request) identities() []core.Fingerprint {
	return append([]core.Fingerprint{rq.fingerprint}, rq.sharedParts...)
}

// checkBlocked refuses a request that appears to crash the endpoints that run it, as soon as that is known:
// before it waits for anything but the evidence of its own last attempt.
func (rq *request) checkBlocked(ctx context.Context) *core.Refusal {
	if rq.re.Crashes == nil || rq.allowed {
		return nil
	}
	if rq.interruptedAt != nil {
		rq.re.Crashes.Settle(ctx, *rq.interruptedAt)
		rq.interruptedAt = nil
	}
	if blocked, after := rq.re.Crashes.Blocked(rq.identities()...); blocked {
		return rq.quarantined(after)
	}
	return nil
}

// checkQuarantine is checkBlocked for the attempt whose endpoint has been chosen, and claims a trial if it is
// one: not earlier, as a trial that finds no endpoint shows nothing. It is called before each send, since
// callers retry such a request through any router and each execution costs an endpoint with all of its other
// requests. The refusal has a Retry-After, since it is only inferred that the request is the cause.
func (rq *request) checkQuarantine(ctx context.Context) *core.Refusal {
	if rq.re.Crashes == nil || rq.allowed {
		return nil
	}
	var after time.Duration
	if rq.allowed, after = rq.re.Crashes.Allowed(ctx, rq.identities()...); rq.allowed {
		return nil
	}
	if rq.continuation == nil {
		rq.ticket.Done(time.Now(), place.Neutral)
	}
	return rq.quarantined(after)
}

func (rq *request) quarantined(after time.Duration) *core.Refusal {
	rf := rq.notRun(core.ReasonQuarantined, "place", "endpoints crashed when they ran this request, or others that share a part of its prompt")
	rf.RetryAfter = after
	return rf
}

// provenEvents is how many events of an answer show that the parts of its prompt crash no endpoint: one may
// still be on its way when the endpoint crashes.
const provenEvents = 2

// forwardedEvents records that events of the answer were forwarded.
func (ex *exchange) forwardedEvents(count int) {
	before := ex.events
	ex.events += count
	if cd := ex.rq.re.Crashes; cd != nil && before < provenEvents && ex.events >= provenEvents && len(ex.rq.sharedParts) > 0 {
		cd.Succeeded(ex.rq.sharedParts...)
	}
}

// endpointRef identifies the exchange's endpoint to the crash detection.
func (ex *exchange) endpointRef() core.EndpointRef {
	return core.EndpointRef{ID: ex.tk.Endpoint.ID, Addr: ex.tk.Endpoint.Addr, Hash: ex.tk.Hash}
}

// reportSending reports to the crash detection that the request is about to be sent.
func (ex *exchange) reportSending() {
	if cd := ex.rq.re.Crashes; cd != nil {
		cd.Sending(ex.endpointRef(), ex.rq.fingerprint)
	}
}

// reportOutcome reports to the crash detection how the attempt ended. A success clears the request and its
// parts of suspicion; a failure response does not, as endpoints also fail requests that they have barely
// started. A response that ended with its connection was a success only if the endpoint went on.
func (ex *exchange) reportOutcome(began time.Time, rf *core.Refusal) {
	cd := ex.rq.re.Crashes
	if cd == nil {
		return
	}
	en := ex.endpointRef()
	switch {
	case ex.handedOver:
	case rf == nil:
		if ex.rq.status < http.StatusMultipleChoices {
			cd.Succeeded(ex.rq.identities()...)
		}
	case ex.connRefused:
		cd.ConnRefused(en)
	case rf.Outcome == core.Unknown && possibleCrash[rf.Reason]:
		var unproven []core.Fingerprint
		if ex.events < provenEvents {
			unproven = ex.rq.sharedParts
		}
		cd.Interrupted(en, began, ex.rq.fingerprint, unproven...)
		ex.rq.interruptedAt = &en
	}
}

// possibleCrash are the reasons for which an attempt ends when its endpoint crashes: the connection
// is closed, or the endpoint stops responding.
var possibleCrash = map[core.Reason]bool{
	core.ReasonCutShort: true, core.ReasonStalled: true, core.ReasonDeadline: true,
}

// isConnRefused reports whether the endpoint's VM is reachable but nothing listens on the port.
func isConnRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
