// Package back calls the endpoints on an agent's VM over HTTP: engines with the OpenAI-style
// protocol, services with plain HTTP.
//
// # Concepts
//
// A response is forwarded as it arrives, without delay and without being parsed. A stream is split
// only between events, so that positions count whole events. Events that have arrived together are
// forwarded as one part.
//
// # Invariants
//
//   - Do reports NotRun only if the request could not be built or no connection could be made.
//   - A body without a length or chunks is never treated as complete: its end cannot be told from
//     a broken connection. If that was reset, or ended before the request was written, it is broken off.
//   - The HTTP library sends no non-idempotent request twice, see newRequest.
//
// # Usage
//
//	ep := &back.Endpoint{ID: "engine-1", URL: "http://127.0.0.1:8000", Engine: true}
//	usage, err := ep.Do(ctx, call, sink)
package back

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/samber/oops"

	"almondrill/core"
	"almondrill/core/ring"
	"almondrill/io/strict"
)

const (
	// DefaultStallTimeout is how long an endpoint may send nothing before the call fails.
	DefaultStallTimeout = 30 * time.Second
	dialTimeout         = time.Second
	readSize            = 16 << 10
	maxIdleConns        = 256
)

// Headers that an agent sends to endpoints. An endpoint may echo headerAttempt.
const (
	headerAttempt  = "X-Request-Id"
	headerCacheKey = "X-Cache-Key"
	headerPriority = "X-Priority"
	headerIdemKey  = "Idempotency-Key"
)

// Endpoint is a client of one endpoint. Set the exported fields before use.
type Endpoint struct {
	ID  core.EndpointID
	URL string
	// Engine is true for an engine, false for a service.
	Engine bool
	// StallTimeout bounds the time until the first data of a response and between later data;
	// 0 means DefaultStallTimeout.
	StallTimeout time.Duration
	// EchoesAttempt reports whether responses must carry the attempt id; nil means they need not.
	EchoesAttempt func() bool
	// Crossed, if set, is called for each response that belongs to another attempt.
	Crossed func()
}

var (
	_ core.Endpoint       = (*Endpoint)(nil)
	_ core.LivenessProber = (*Endpoint)(nil)
)

// client keeps idle connections. freshClient opens a new connection for each call, for requests
// that must not be executed twice: if the endpoint closes an idle connection just as a request is
// sent on it, nobody can tell whether the request was executed. A new connection is either refused,
// and the request was not executed, or the endpoint receives the request.
var (
	client      = newClient(false)
	freshClient = newClient(true)
)

func newClient(fresh bool) *http.Client {
	return &http.Client{
		Transport: &strict.Transport{Base: &http.Transport{
			DialContext:         strict.WatchConns((&net.Dialer{Timeout: dialTimeout}).DialContext),
			MaxIdleConnsPerHost: maxIdleConns,
			DisableKeepAlives:   fresh,
			DisableCompression:  true,
			ReadBufferSize:      readSize,
		}},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Alive implements core.LivenessProber. Only a refused connection shows that the process is gone.
func (ep *Endpoint) Alive(ctx context.Context) bool {
	at, err := url.Parse(ep.URL)
	if err != nil {
		return true
	}
	co, err := (&net.Dialer{}).DialContext(ctx, "tcp", at.Host)
	if err == nil {
		_ = co.Close() // nothing was sent, so nothing is lost
	}
	return !errors.Is(err, syscall.ECONNREFUSED)
}

// CacheKey returns the name under which engines cache a chat's context.
func CacheKey(key uint64) string { return strconv.FormatUint(key, 16) }

// Do sends a call to the endpoint and forwards the response to the sink. An error is a
// *core.Refusal.
func (ep *Endpoint) Do(ctx context.Context, ca *core.Call, si core.Sink) (core.Usage, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := newStallTimer(ep.stallTimeout(), cancel)
	defer stall.stop()
	rq, err := ep.newRequest(ctx, ca)
	if err != nil {
		return core.Usage{}, ep.refusal(core.NotRun, core.ReasonBadRequest, err)
	}
	rs, err := ep.client(ca).Do(rq)
	if err != nil {
		return core.Usage{}, ep.sendFailed(ctx, err)
	}
	defer rs.Body.Close()
	if re := ep.checkHeader(ca, rs); re != nil {
		return core.Usage{}, re
	}
	fw := &forwarder{ep: ep, ca: ca, rs: rs, sink: si, stall: stall}
	fw.part.Attempt = ca.Attempt
	fw.part.Status = rs.StatusCode
	fw.part.ContentType = rs.Header.Get("Content-Type")
	err = fw.forward(ctx)
	return fw.usage, err
}

func (ep *Endpoint) client(ca *core.Call) *http.Client {
	if ca.MayRepeat {
		return client
	}
	return freshClient
}

func (ep *Endpoint) stallTimeout() time.Duration {
	if ep.StallTimeout > 0 {
		return ep.StallTimeout
	}
	return DefaultStallTimeout
}

// oneShotReader hides all methods but Read from the HTTP library. When an idle connection breaks,
// the library resends a request that looks idempotent, for which an Idempotency-Key header is
// enough, if the request has no body or one that can be rewound. The endpoint would then execute a
// non-idempotent request twice. A body that cannot be rewound prevents this.
type oneShotReader struct{ io.Reader }

func (ep *Endpoint) newRequest(ctx context.Context, ca *core.Call) (*http.Request, error) {
	var body io.Reader = bytes.NewReader(ca.Body)
	if !ca.MayRepeat {
		body = oneShotReader{body}
	}
	rq, err := http.NewRequestWithContext(ctx, ca.Method, ep.URL+ca.Path, body)
	if err != nil {
		return nil, oops.In("request").With("peer", ep.ID).Wrap(err)
	}
	if !ca.MayRepeat && len(ca.Body) > 0 {
		rq.ContentLength = int64(len(ca.Body))
	}
	if ca.ContentType != "" {
		rq.Header.Set("Content-Type", ca.ContentType)
	}
	rq.Header.Set(headerAttempt, strconv.FormatUint(uint64(ca.Attempt), 10))
	rq.Header.Set(headerPriority, strconv.Itoa(int(ca.Priority)))
	if ca.Key != "" {
		rq.Header.Set(headerIdemKey, string(ca.Customer)+"/"+string(ca.Key))
	}
	if ep.Engine && ca.Chat != "" {
		rq.Header.Set(headerCacheKey, CacheKey(ring.Key(ca.Customer, ca.Pool, ca.Chat)))
	}
	return rq, nil
}

// checkHeader checks that the response belongs to this attempt and has a status below 500.
func (ep *Endpoint) checkHeader(ca *core.Call, rs *http.Response) error {
	echoed := rs.Header.Get(headerAttempt)
	mustEcho := ep.EchoesAttempt != nil && ep.EchoesAttempt()
	if echoed != strconv.FormatUint(uint64(ca.Attempt), 10) && (echoed != "" || mustEcho) {
		if ep.Crossed != nil {
			ep.Crossed()
		}
		return ep.refusal(core.Unknown, core.ReasonCrossed, fmt.Errorf("the answer is for attempt %q", echoed))
	}
	if rs.StatusCode >= http.StatusInternalServerError {
		text, _ := io.ReadAll(io.LimitReader(rs.Body, 512))
		re := ep.refusal(core.Failed, core.ReasonEndpointError, fmt.Errorf("%s: %s", rs.Status, bytes.TrimSpace(text)))
		re.Status = rs.StatusCode
		return re
	}
	return nil
}

// sendFailed returns the refusal for a request that got no response.
func (ep *Endpoint) sendFailed(ctx context.Context, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		// Callers see the detail, so it must not contain an internal address.
		re := ep.refusal(core.NotRun, core.ReasonEndpointDown, errNoConnection)
		re.RetryAfter = time.Second
		return re
	}
	return ep.interrupted(ctx, core.ReasonEndpointDown, err)
}

// interrupted returns the refusal for a request that may have been executed. What ended ctx, if
// anything, decides the reason.
func (ep *Endpoint) interrupted(ctx context.Context, reason core.Reason, err error) error {
	switch {
	case errors.Is(context.Cause(ctx), errStalled):
		reason = core.ReasonStalled
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reason = core.ReasonDeadline
	case ctx.Err() != nil:
		reason = core.ReasonCallerGone
	}
	return ep.refusal(core.Unknown, reason, err)
}

func (ep *Endpoint) refusal(ou core.Outcome, reason core.Reason, err error) *core.Refusal {
	return &core.Refusal{Outcome: ou, Reason: reason, Step: "endpoint", Peer: string(ep.ID), Detail: err.Error()}
}

var errNoConnection = errors.New("the endpoint takes no connection")

var errStalled = errors.New("the endpoint sent nothing for too long")

// stallTimer cancels a call whose endpoint sends nothing for too long: the connection may stay up
// indefinitely while the engine behind it hangs.
type stallTimer struct {
	timer   *time.Timer
	timeout time.Duration
}

func newStallTimer(timeout time.Duration, cancel context.CancelCauseFunc) *stallTimer {
	return &stallTimer{timer: time.AfterFunc(timeout, func() { cancel(errStalled) }), timeout: timeout}
}

func (st *stallTimer) reset() { st.timer.Reset(st.timeout) }
func (st *stallTimer) stop()  { st.timer.Stop() }

var buffers = sync.Pool{New: func() any { return new([readSize]byte) }}
