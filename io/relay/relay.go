// Package relay is the HTTP reverse proxy of a router that calls endpoints directly.
//
// # Concepts
//
// A request's route and customer are looked up in the current route.Table. Its endpoint is chosen
// by place.Placer, and the request is sent there on a connection of conns.Pool. Streams and large
// responses are forwarded as they arrive; other responses are buffered first. A Dialect defines
// the names and encodings of the headers that callers and endpoints use.
//
// # Invariants
//
//   - A request that is not idempotent is sent to another endpoint only if the previous one
//     provably did not run it.
//   - 408, 421, 429 and 503 are returned only if no endpoint has run the request.
//   - A success is forwarded only if it carries the endpoint's stamp. If a response ends early, the
//     caller's connection is closed, so that the caller does not take it for complete.
//   - When the caller disconnects, the endpoint's connection is closed at once.
//   - A stream continues at another engine only after the first one has answered that it stopped, or
//     has closed the stream. One that may not be repeated then only continues from a copy of its memory.
//   - A stream continues only at the build at which it began.
//   - A request that is admitted by its pool's queue releases its place exactly once.
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
	"almondrill/core/builds"
	"almondrill/core/demand"
	"almondrill/core/ledger"
	"almondrill/core/outlen"
	"almondrill/core/place"
	"almondrill/core/retry"
	"almondrill/core/route"
	"almondrill/io/accept"
	"almondrill/io/conns"
	"almondrill/io/stats"
)

// Dialect defines the names and encodings of the headers that callers and endpoints use.
type Dialect struct {
	// RequestID identifies an attempt of the caller. Endpoints echo it.
	RequestID string
	// Deadline holds how long the sender will wait, in milliseconds.
	Deadline string
	// Key holds the caller's API key, for the router. Customer holds the customer's id, for the
	// endpoint.
	Key      string
	Customer string
	// Expect names the only endpoint that may run the request.
	Expect string
	// NotRun marks responses of endpoints that did not run the request.
	NotRun string
	// Stamp proves that a response comes from an endpoint.
	Stamp string
	// Rank holds the request's priority, from 0 to MaxRank.
	Rank    string
	MaxRank int
	// Resume holds the id of the last event that the caller has received.
	Resume string
	// Resumes, in a request with Resume, holds the id of the caller's attempt that brought the stream's
	// first event.
	Resumes string
	// Fetch names the endpoint to fetch the request's cached context from.
	Fetch string
	// RouterOnly are headers that only a router may set. They are removed from callers' requests.
	RouterOnly []string
	// Prompt extracts the parts of a request's prompt.
	Prompt func(hd http.Header) []place.Part
	// OutputLimit extracts the largest number of tokens that the response may have, and OutputHint
	// the number that the caller expects; 0 if the header does not state it. Either may be nil.
	OutputLimit func(hd http.Header) core.Tokens
	OutputHint  func(hd http.Header) core.Tokens
	// Load extracts the endpoint's load from its response; false if the response does not report it.
	Load func(hd http.Header) (Load, bool)
	// Notice extracts the endpoint's notice from the header of a response with that status.
	Notice func(status int, hd http.Header) Notice
	// Copies defines how running streams are copied between engines; nil if engines cannot do so.
	Copies *CopyDialect
}

// CopyDialect defines the requests that copy a running stream's memory from one engine to another,
// and those that continue the stream from the copy.
type CopyDialect struct {
	// Path is the path of the request for a copy. HandlePath is the path, without the handle, at which
	// an unused copy is freed.
	Path, HandlePath string
	// From is the header that names the copy, by the source's address and the handle, in the request
	// that continues the stream.
	From string
	// Format encodes the body of the request for a copy, Parse decodes that of the response.
	Format func(cr CopyRequest) []byte
	Parse  func(body []byte) (Copy, error)
}

// CopyRequest asks an engine to copy the memory of a running stream.
type CopyRequest struct {
	// RequestID identifies the stream, To is the address of the engine to copy to.
	RequestID, To string
	// Last is set to stop the stream before the copy.
	Last bool
}

// Handle names a copy of a stream's memory at the engine that has made it.
type Handle string

// Copy is the result of a CopyRequest.
type Copy struct {
	Handle Handle
	// Events is how many events the stream had.
	Events uint64
}

// Load is what an endpoint reports of its load in the header of a response.
type Load struct {
	// Running and Waiting are its calls in flight. Slots is how many it runs at once; 0 if unknown.
	Running, Waiting, Slots int
	// TimePercent is how long work takes there, in percent of the usual; 0 if unknown.
	TimePercent int
}

// Notice is what an endpoint announces about itself in the header of a response. The zero value
// announces nothing.
type Notice struct {
	// Draining is set if the endpoint is about to shut down.
	Draining bool
	// Backoff is how long the endpoint wants no requests from this router.
	Backoff time.Duration
}

// Relay serves callers' requests. Set the exported fields before use.
type Relay struct {
	Dialect Dialect
	Self    core.VMID
	Placer  *place.Placer
	// Counts exchanges endpoints' calls in flight with the other routers; nil if there are none.
	Counts core.InFlightCounts
	// Grants divides the rate limits of cold endpoints among routers; nil if this is the only one.
	Grants core.RateLimiter
	// Origins shares at which builds streams began, and Builds holds those that have served each pool;
	// nil if endpoints run one version of their software.
	Origins core.StreamOrigins
	Builds  *builds.History
	// Crashes learns how attempts end and quarantines requests that crash endpoints; nil if there
	// is no crash detection.
	Crashes core.CrashDetector
	Budget  *retry.Window
	Conns   *conns.Pool
	// Memory is the process's account of bytes; buffers of request and response bodies are ledger.Buffers.
	Memory *ledger.Ledger
	// Output estimates the lengths of streams.
	Output  outlen.Estimator
	Stats   *stats.Set
	Latency *stats.Latencies
	Rand    core.Rand
	Log     *zap.Logger
	// ViewAge returns how long ago this router's view of routes and endpoints was confirmed.
	ViewAge func() time.Duration
	// VerifyView brings the view up to what the store had acknowledged when it was called. It fails if the store does
	// not answer; nil if the view is always current.
	VerifyView func(ctx context.Context) error
	// ShuttingDown reports whether the process is about to stop.
	ShuttingDown func() bool
	// Routers returns the number of live routers, including this one; nil if this is the only one.
	Routers func() int
	// LevelOwner returns the address of the router that owns a pool's level, for operators; may be
	// nil.
	LevelOwner func(pool demand.PoolHash) string
	// EngineSpeeds returns the engines that are not at their usual speed, for operators; may be nil.
	EngineSpeeds func(now time.Time) []EngineSpeed
	// NewPlanner creates the planner of migrations, once a configuration has a pool whose engines copy
	// running streams; nil if streams do not migrate.
	NewPlanner func() Planner

	table      atomic.Pointer[route.Table]
	queues     queues
	migrations migrations
}

const (
	// staleAfter is the age of the router's view from which an unknown route or key is no proof that
	// it does not exist. The view is confirmed every 1.5 s.
	staleAfter = 2500 * time.Millisecond
	// defaultMaxHead and defaultMaxBody, in bytes, apply if the configuration sets no limits.
	defaultMaxHead = 64 << 10
	defaultMaxBody = 4 << 20
	// noConfigRetryAfter is the retry delay for callers if the configuration is missing or
	// outdated.
	noConfigRetryAfter = 500 * time.Millisecond
)

// maxBudgetMs bounds how long callers say that they will wait, to a day, so that a sum with a time does
// not overflow.
const maxBudgetMs = 86_400_000

// SetTable replaces the configuration.
func (re *Relay) SetTable(ta *route.Table) {
	re.preparePlanner(ta)
	re.table.Store(ta)
}

// Table returns the current configuration, nil if there is none yet.
func (re *Relay) Table() *route.Table { return re.table.Load() }

// ServeHTTP serves one request of a caller. It panics with http.ErrAbortHandler to cut a response
// that cannot be completed.
func (re *Relay) ServeHTTP(wr http.ResponseWriter, hr *http.Request) {
	re.Stats.Add(stats.Requests, 1)
	re.Stats.Add(stats.InProgress, 1)
	defer re.Stats.Add(stats.InProgress, -1)
	rq := &request{
		re: re, wr: wr, hr: hr, began: time.Now(),
		id: hr.Header.Get(re.Dialect.RequestID), control: http.NewResponseController(wr),
	}
	// Otherwise the deadline of an earlier response on this connection would cut this one.
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
	if rf := rq.resume(ctx); rf != nil {
		rq.finishFailed(rf)
		return
	}
	rq.serve(ctx)
}

type connClosedKey struct{}

// WithConnClosed stores a function in the connection's context that reports whether either side has
// closed the connection.
func WithConnClosed(ctx context.Context, closed func() bool) context.Context {
	return context.WithValue(ctx, connClosedKey{}, closed)
}

// connClosed reports whether the caller's connection has ended.
func (rq *request) connClosed() bool {
	closed, ok := rq.hr.Context().Value(connClosedKey{}).(func() bool)
	return ok && closed()
}

// prepare resolves the route, customer, deadline and pool, and reads the body.
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
		rq.sharedParts = fingerprintsOf(rq.promptParts)
	}
	return nil
}

// resolve looks up the route and the customer.
func (rq *request) resolve() *core.Refusal {
	rq.table = rq.re.table.Load()
	if rq.table == nil {
		rf := rq.notRun(core.ReasonNoConfig, "find", "no configuration is known yet")
		rf.RetryAfter = noConfigRetryAfter
		return rf
	}
	if limit := MaxHead(rq.table); rq.headSize() > limit {
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

// unknownTarget refuses a request with an unknown route or key. If the router's view is outdated,
// the route or key may exist by now, so the caller is asked to retry instead.
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

// setDeadline sets the deadline to the earlier of the caller's and the route's.
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
	rq.budget = time.Duration(min(ms, maxBudgetMs)) * time.Millisecond
	if deadline := rq.began.Add(rq.budget); deadline.Before(rq.deadline) {
		rq.deadline = deadline
	}
	return nil
}

// readBody reads the complete body before the request's deadline, so that it can be sent again.
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
		rq.body, rq.bodyRead = body, true
		return nil
	}
	var large *http.MaxBytesError
	switch {
	case errors.Is(err, accept.ErrNoMemory):
		if co := accept.FromContext(hr.Context()); co != nil {
			co.MakeRoom()
		}
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

// tooLarge refuses a request whose head or body exceeds the limit, in bytes.
func (rq *request) tooLarge(status int, what string, limit int64) *core.Refusal {
	rf := rq.notRun(core.ReasonTooLarge, "read", "the "+what+" is larger than "+strconv.FormatInt(limit, 10)+" bytes")
	rf.Status = status
	return rf
}

// MaxHead returns the size limit of request heads, in bytes; the default if there is no configuration.
func MaxHead(ta *route.Table) int64 {
	if ta != nil && ta.Limits.MaxHeader > 0 {
		return int64(ta.Limits.MaxHeader)
	}
	return defaultMaxHead
}

// headSize returns the size of the request's head in bytes, as it arrived. If that is not known for certain, it is at
// most the usual size of the fields.
func (rq *request) headSize() int64 {
	if co := accept.FromContext(rq.hr.Context()); co != nil {
		size, exact := co.HeadSize()
		if exact {
			return size
		}
		return min(size, usualHeadSize(rq.hr))
	}
	return usualHeadSize(rq.hr)
}

// usualHeadSize returns the size of a request's head, in bytes, as usually formatted: the request line, and each
// header field with its colon, space and line end.
func usualHeadSize(hr *http.Request) int64 {
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

// hopByHop are headers that apply to a single connection (RFC 9110, 7.6.1), and others that the
// router handles itself.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// forwardedHeader returns the header to send to endpoints, without the fields that differ between
// attempts.
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
		hd.Set(di.Rank, strconv.Itoa(min(rq.rank(), di.MaxRank)))
	}
	return hd
}

// rank returns the request's rank: the customer's, if it has one, or else the route's.
func (rq *request) rank() int {
	rank := rq.route.Rank
	if rq.customer != nil && rq.customer.HasRank {
		rank = rq.customer.Rank
	}
	return max(0, rank)
}

// dropConnection removes the hop-by-hop headers, including those that Connection names.
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
