// Package relay is the callers' side of a router that calls endpoints itself.
//
// # Concepts
//
// A request finds its route and customer in the route.Table in force, its
// endpoint by place.Placer, and is sent there on a connection of conns.Pool. The
// answer's bytes are passed on as they come. What callers and endpoints call the
// headers is told by a Dialect.
//
// # Invariants
//
//   - A request that may not be repeated is sent to a further endpoint only if the
//     one before provably did not run it.
//   - 408, 421, 429 and 503 are answered only if no endpoint has run the request.
//   - A success is passed on only with its stamp; an answer that broke off is cut
//     at the caller's connection too, so that it does not look whole.
//   - Once the caller has left, the endpoint's connection is closed at once.
//
// # Usage
//
//	re := &relay.Relay{Dialect: di, Placer: pl, Budget: bu, Conns: po, Stats: st, Log: lo}
//	re.SetTable(ta)
//	server.Handler = re
package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/place"
	"almondrill/core/retry"
	"almondrill/core/route"
	"almondrill/io/conns"
	"almondrill/io/stats"
)

// Dialect is what callers and endpoints call the headers, and how they write them.
type Dialect struct {
	// RequestID names an attempt of the caller; endpoints echo it.
	RequestID string
	// Deadline holds the milliseconds that the sender will wait.
	Deadline string
	// Key names the caller's customer to the router, Customer the customer to the
	// endpoint.
	Key      string
	Customer string
	// Expect names the endpoint that alone may run the request.
	Expect string
	// NotRun marks answers of endpoints that did not run the request.
	NotRun string
	// Stamp proves that an answer is an endpoint's.
	Stamp string
	// Rank tells an endpoint the request's urgency, from 0 to MostRank.
	Rank    string
	MaxRank int
	// Resume names the last event that the caller has.
	Resume string
	// Fetch names the endpoint from which another takes kept tokens over.
	Fetch string
	// RouterOnly are headers that only a router sets; what callers send is dropped.
	RouterOnly []string
	// Prompt reads the parts of a request's prompt.
	Prompt func(hd http.Header) []place.Part
	// Calls reads how many calls an endpoint has, from its answer; false if it does
	// not tell.
	Calls func(hd http.Header) (int, bool)
	// Notice reads what an endpoint announces beside an answer of that status.
	Notice func(status int, hd http.Header) Notice
}

// Notice is what an endpoint announces beside an answer. The zero value announces nothing.
type Notice struct {
	// Draining is set by an endpoint that is about to leave.
	Draining bool
	// Backoff is for how long the endpoint wants no requests from this router.
	Backoff time.Duration
}

// Relay serves callers. Set the exported fields before use.
type Relay struct {
	Dialect Dialect
	Self    core.VMID
	Placer  *place.Placer
	// Counts knows how many calls endpoints have; nil if nobody does.
	Counts core.InFlightCounts
	// Grants divides the limits of cold endpoints among routers; nil if this is the only one.
	Grants core.RateLimiter
	// Crashes is told how attempts end that did not end well; nil if nobody asks.
	Crashes core.CrashDetector
	Budget  *retry.Window
	Conns   *conns.Pool
	// Memory bounds what is held of bodies and answers.
	Memory  Memory
	Stats   *stats.Set
	Latency *stats.Latency
	Rand    core.Rand
	Log     *zap.Logger
	// ViewAge is how long ago what is believed of routes and endpoints was confirmed.
	ViewAge func() time.Duration
	// ShuttingDown tells that the process is about to stop.
	ShuttingDown func() bool

	table atomic.Pointer[route.Table]
}

const (
	// staleAfter is the age of beliefs beyond which an unknown route or key is no
	// proof that it does not exist. A confirmation comes every second and a half.
	staleAfter = 2500 * time.Millisecond
	// defaultMaxHead and defaultMaxBody bound heads and bodies where the
	// configuration does not.
	defaultMaxHead = 64 << 10
	defaultMaxBody = 4 << 20
	// noConfigRetryAfter is when callers may return to a router that is starting.
	noConfigRetryAfter = 500 * time.Millisecond
)

// SetTable puts a configuration in force.
func (re *Relay) SetTable(ta *route.Table) { re.table.Store(ta) }

// Table is the configuration in force, nil if there is none yet.
func (re *Relay) Table() *route.Table { return re.table.Load() }

// ServeHTTP serves one request of a caller.
func (re *Relay) ServeHTTP(wr http.ResponseWriter, hr *http.Request) {
	re.Stats.Add(stats.Requests, 1)
	re.Stats.Add(stats.InProgress, 1)
	defer re.Stats.Add(stats.InProgress, -1)
	rq := &request{
		re: re, wr: wr, hr: hr, began: time.Now(),
		id: hr.Header.Get(re.Dialect.RequestID), control: http.NewResponseController(wr),
	}
	// A bound that an earlier answer on this connection had would cut this one.
	_ = rq.control.SetWriteDeadline(time.Time{})
	if re.ShuttingDown() {
		wr.Header().Set("Connection", "close")
	}
	defer rq.releaseMemory()
	if rf := rq.prepare(); rf != nil {
		rq.refuse(rf)
		return
	}
	ctx, cancel := context.WithDeadline(hr.Context(), rq.deadline)
	defer cancel()
	defer rq.watchLongRunning()()
	rq.serve(ctx)
}

type connClosedKey struct{}

// WithConnClosed lets requests of a connection ask whether it has ended, on either side.
func WithConnClosed(ctx context.Context, closed func() bool) context.Context {
	return context.WithValue(ctx, connClosedKey{}, closed)
}

// connClosed tells whether the caller's connection has ended.
func (rq *request) connClosed() bool {
	closed, ok := rq.hr.Context().Value(connClosedKey{}).(func() bool)
	return ok && closed()
}

// prepare finds out what is asked and reads the body.
func (rq *request) prepare() *core.Refusal {
	if rf := rq.resolve(); rf != nil {
		return rf
	}
	if rf := rq.setDeadline(); rf != nil {
		return rf
	}
	if rf := rq.readBody(); rf != nil {
		return rf
	}
	if rq.re.Crashes != nil {
		rq.fingerprint = rq.computeFingerprint()
	}
	rq.pool = rq.route.Pool(rq.re.Rand.Float64())
	if rq.route.Sticky {
		rq.promptParts = rq.re.Dialect.Prompt(rq.hr.Header)
	}
	return nil
}

// resolve looks the route and the customer up. Where the beliefs are old, something
// unknown may have come since: the caller is told to return, not that it is wrong.
func (rq *request) resolve() *core.Refusal {
	rq.table = rq.re.table.Load()
	if rq.table == nil {
		rf := rq.notRun(core.ReasonNoConfig, "find", "no configuration is known yet")
		rf.RetryAfter = noConfigRetryAfter
		return rf
	}
	if limit := rq.maxHead(); headSize(rq.hr) > limit {
		return rq.tooLarge(http.StatusRequestHeaderFieldsTooLarge, "head", limit)
	}
	rq.route = rq.table.Find(rq.hr.Host, rq.hr.URL.Path)
	if rq.route == nil {
		return rq.unknownTarget(core.ReasonUnknownModel, http.StatusNotFound, "no route for "+rq.hr.Host+rq.hr.URL.Path)
	}
	if rq.route.Public || !rq.table.KeyRequired {
		return nil
	}
	rq.customer = rq.table.CustomerByKey(rq.hr.Header.Get(rq.re.Dialect.Key))
	if rq.customer == nil {
		return rq.unknownTarget(core.ReasonBadKey, http.StatusUnauthorized, "no customer has this key")
	}
	return nil
}

func (rq *request) unknownTarget(re core.Reason, status int, detail string) *core.Refusal {
	rf := rq.notRun(re, "find", detail)
	if age := rq.re.ViewAge(); age > staleAfter {
		rf.Reason = core.ReasonNoConfig
		rf.Detail += ", but the configuration was last confirmed " + age.Round(time.Millisecond).String() + " ago"
		rf.RetryAfter = noConfigRetryAfter
		return rf
	}
	rf.Status = status
	return rf
}

// setDeadline works out until when the caller waits.
func (rq *request) setDeadline() *core.Refusal {
	rq.deadline = rq.began.Add(rq.route.Timeout)
	text := rq.hr.Header.Get(rq.re.Dialect.Deadline)
	if text == "" {
		return nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 0 {
		rf := rq.notRun(core.ReasonBadRequest, "read", rq.re.Dialect.Deadline+" is no number of milliseconds: "+text)
		rf.Status = http.StatusBadRequest
		return rf
	}
	if deadline := rq.began.Add(time.Duration(ms) * time.Millisecond); deadline.Before(rq.deadline) {
		rq.deadline = deadline
	}
	return nil
}

// readBody reads the body whole, so that it can be sent again. Its time is
// bounded by the request's own.
func (rq *request) readBody() *core.Refusal {
	hr := rq.hr
	if hr.Body == nil || hr.Body == http.NoBody {
		return nil
	}
	limit := int64(rq.table.Limits.MaxBody)
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if hr.ContentLength > limit {
		return rq.tooLarge(http.StatusRequestEntityTooLarge, "body", limit)
	}
	_ = rq.control.SetReadDeadline(rq.deadline) // supported by every server connection
	body, err := rq.readBounded(http.MaxBytesReader(rq.wr, hr.Body, limit), hr.ContentLength)
	if err == nil {
		_ = rq.control.SetReadDeadline(time.Time{})
		rq.body = body
		return nil
	}
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, errNoMemory):
		rf := rq.notRun(core.ReasonMemory, "read", "bodies and answers of other requests take the memory that there is for them")
		rf.RetryAfter = memoryRetryAfter
		return rf
	case errors.As(err, &large):
		return rq.tooLarge(http.StatusRequestEntityTooLarge, "body", limit)
	case errors.Is(err, os.ErrDeadlineExceeded):
		rf := rq.notRun(core.ReasonSlowCaller, "read", "the body did not come in time")
		rf.Status = http.StatusRequestTimeout
		return rf
	case hr.Context().Err() != nil || errors.Is(err, io.ErrUnexpectedEOF):
		return rq.notRun(core.ReasonCallerGone, "read", err.Error())
	}
	rf := rq.notRun(core.ReasonBadRequest, "read", err.Error())
	rf.Status = http.StatusBadRequest
	return rf
}

// tooLarge refuses a request whose head or body is beyond its limit, in bytes.
func (rq *request) tooLarge(status int, what string, limit int64) *core.Refusal {
	rf := rq.notRun(core.ReasonTooLarge, "read", "the "+what+" is larger than "+strconv.FormatInt(limit, 10)+" bytes")
	rf.Status = status
	return rf
}

// maxHead is the longest head that the configuration allows, in bytes.
func (rq *request) maxHead() int64 {
	if limit := int64(rq.table.Limits.MaxHeader); limit > 0 {
		return limit
	}
	return defaultMaxHead
}

// headSize is the length of a request's head as it came, in bytes: its first line,
// and each header's with a colon, a space and the end of the line.
func headSize(hr *http.Request) int64 {
	const separators = len(": ") + len("\r\n")
	size := len(hr.Method) + len(hr.RequestURI) + len(hr.Proto) + separators
	size += len("Host") + len(hr.Host) + separators
	for name, values := range hr.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	return int64(size)
}

func (rq *request) notRun(re core.Reason, step, detail string) *core.Refusal {
	return &core.Refusal{Outcome: core.NotRun, Reason: re, Step: step, Peer: string(rq.re.Self), Detail: detail}
}

// hopByHop are the headers that concern only one connection (RFC 9110, 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// forwardedHeader is the header that an endpoint gets, but for the deadline and the
// endpoint's id, which differ by attempt.
func (rq *request) forwardedHeader() http.Header {
	di := &rq.re.Dialect
	hd := rq.hr.Header.Clone()
	dropConnection(hd)
	for _, name := range di.RouterOnly {
		hd.Del(name)
	}
	if rq.customer != nil {
		hd.Set(di.Customer, string(rq.customer.ID))
	}
	if rq.route.Sticky {
		rank := rq.route.Rank
		if rq.customer != nil && rq.customer.HasRank {
			rank = rq.customer.Rank
		}
		hd.Set(di.Rank, strconv.Itoa(min(max(0, rank), di.MaxRank)))
	}
	return hd
}

// dropConnection removes what concerns only the connection it came on.
func dropConnection(hd http.Header) {
	for _, field := range hd["Connection"] {
		for _, name := range strings.Split(field, ",") {
			hd.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		hd.Del(name)
	}
}
