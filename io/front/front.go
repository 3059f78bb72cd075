// Package front serves callers over HTTP, for a router that uses agents.
//
// # Concepts
//
// A caller uses the OpenAI-style protocol for chats, or any HTTP request to a service under
// /v1/services/. Its bearer key identifies the customer. The request is turned into a core.Call and
// routed, and the parts of the response are written as they arrive. docs/API.md specifies headers,
// statuses and error bodies.
//
// # Invariants
//
//   - A response without an error is complete. A stream that is interrupted ends with an error
//     event. For a plain body that is interrupted, the connection is aborted, so that no client
//     takes the body for complete.
//   - Every refusal is counted by its reason.
//
// # Usage
//
//	fr := &front.Front{Board: bo, Router: ro, Stats: st}
//	server.HandlePrefix("/", fr.Handler())
package front

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/core/board"
	"almondrill/core/decl"
	"almondrill/core/ledger"
	"almondrill/core/router"
	"almondrill/io/accept"
	"almondrill/io/stats"
)

// Front serves callers. Set the exported fields before use.
type Front struct {
	Board  *board.Board
	Router *router.Router
	Stats  *stats.Set
	Log    *zap.Logger

	// Memory is the process's account of bytes; bodies are ledger.Buffers.
	Memory          *ledger.Ledger
	MaxBody         core.Bytes
	BodyTimeout     time.Duration
	WriteTimeout    time.Duration
	DefaultDeadline time.Duration
	// MaxDeadline bounds the deadlines that callers name, if it is not 0.
	MaxDeadline time.Duration
}

// Headers of callers' requests and of responses to them.
const (
	HeaderChat     = "X-Chat-Id"
	HeaderHint     = "X-Chat-Hint"
	HeaderTimeout  = "X-Request-Timeout"
	HeaderPriority = "X-Priority"
	HeaderKey      = "Idempotency-Key"

	servicesPath = "/v1/services/"
	chatPath     = "/v1/chat/completions"
	maxNameLen   = 255
)

// Handler serves the callers' paths.
func (fr *Front) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+chatPath, fr.serve(fr.parseChat))
	mux.HandleFunc("GET /v1/models", fr.models)
	mux.HandleFunc(servicesPath+"{Service}/{Path...}", fr.serve(fr.parseService))
	mux.HandleFunc("/", func(wr http.ResponseWriter, rq *http.Request) {
		fr.writeError(wr, badRequest(http.StatusNotFound, "no such path: "+rq.Method+" "+rq.URL.Path))
	})
	return http.HandlerFunc(func(wr http.ResponseWriter, rq *http.Request) {
		if rq.Body != http.NoBody {
			// Also applies to the rest of the body of a request that is refused before it was read.
			_ = http.NewResponseController(wr).SetReadDeadline(time.Now().Add(fr.BodyTimeout))
		}
		mux.ServeHTTP(wr, rq)
	})
}

// requestParser turns an HTTP request into one that can be routed.
type requestParser func(rq *http.Request, cfg *decl.Config, cu *decl.Customer, body []byte) (*router.Request, error)

// serve returns a handler that authenticates the caller, reads the body, and routes the request
// that parse returns.
func (fr *Front) serve(parse requestParser) http.HandlerFunc {
	return func(wr http.ResponseWriter, rq *http.Request) {
		fr.Stats.Add(stats.Requests, 1)
		fr.Stats.Add(stats.InProgress, 1)
		defer fr.Stats.Add(stats.InProgress, -1)
		cfg, cu, err := fr.authenticate(rq)
		if err != nil {
			fr.writeError(wr, err)
			return
		}
		body, held, err := fr.readBody(wr, rq)
		defer func() { fr.Memory.Release(ledger.Buffers, held) }()
		if err != nil {
			fr.writeError(wr, err)
			return
		}
		routed, err := parse(rq, cfg, cu, body)
		if err == nil {
			err = fr.fillCommon(rq, cu, routed)
		}
		if err != nil {
			fr.writeError(wr, err)
			return
		}
		fr.route(wr, rq, routed)
	}
}

func (fr *Front) route(wr http.ResponseWriter, rq *http.Request, routed *router.Request) {
	ctx, cancel := context.WithDeadline(rq.Context(), routed.Call.Deadline)
	defer cancel()
	wt := &writer{fr: fr, wr: wr, control: http.NewResponseController(wr), stream: routed.Call.Stream}
	_, err := fr.Router.Route(ctx, routed, wt)
	if err == nil {
		fr.Stats.CountOutcome(core.Whole)
		return
	}
	re := core.AsRefusal(err, "route", "router")
	if !wt.headSent {
		fr.writeError(wr, re)
		return
	}
	fr.countRefusal(re)
	wt.abort(rq, re)
}

// authenticate returns the current configuration, and the customer whose bearer key the request has.
func (fr *Front) authenticate(rq *http.Request) (*decl.Config, *decl.Customer, error) {
	cfg := fr.Board.Snapshot().Config
	if cfg == nil {
		return nil, nil, &core.Refusal{
			Outcome: core.NotRun, Reason: core.ReasonNoConfig, Step: "authenticate", Peer: string(fr.Board.Self.ID),
			Detail: "this router has no accepted configuration yet", RetryAfter: time.Second,
		}
	}
	key, ok := strings.CutPrefix(rq.Header.Get("Authorization"), "Bearer ")
	cu := cfg.CustomerByKeyHash(sha256.Sum256([]byte(key)))
	if !ok || cu == nil {
		return nil, nil, &core.Refusal{
			Outcome: core.NotRun, Reason: core.ReasonBadKey, Step: "authenticate", Peer: string(fr.Board.Self.ID),
			Detail: "no customer has this bearer key", Status: http.StatusUnauthorized,
		}
	}
	return cfg, cu, nil
}

// readBody reads the request's body, within MaxBody and the BodyTimeout that Handler has set. Otherwise a caller that sends
// a byte now and then could hold a connection and its memory indefinitely. It returns how many bytes it has reserved: the body,
// and as many for the message to the agent.
func (fr *Front) readBody(wr http.ResponseWriter, rq *http.Request) ([]byte, int64, error) {
	body, held, err := accept.ReadBody(http.MaxBytesReader(wr, rq.Body, int64(fr.MaxBody)), rq.ContentLength, fr.Memory)
	if err == nil {
		_ = http.NewResponseController(wr).SetReadDeadline(time.Time{})
		if !fr.Memory.Reserve(ledger.Buffers, int64(len(body))) {
			return nil, held, fr.noMemory()
		}
		return body, held + int64(len(body)), nil
	}
	if errors.Is(err, accept.ErrNoMemory) {
		if co := accept.FromContext(rq.Context()); co != nil {
			co.MakeRoom()
		}
		return nil, held, fr.noMemory()
	}
	re := badRequest(http.StatusBadRequest, "reading the body: "+err.Error())
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		re.Reason, re.Status = core.ReasonTooLarge, http.StatusRequestEntityTooLarge
		re.Detail = "the body is larger than " + strconv.FormatInt(large.Limit, 10) + " bytes"
	case errors.Is(err, os.ErrDeadlineExceeded):
		re.Reason, re.Status = core.ReasonSlowCaller, http.StatusRequestTimeout
		re.Detail = "the body did not come within " + fr.BodyTimeout.String()
	}
	return nil, held, re
}

func (fr *Front) noMemory() *core.Refusal {
	return &core.Refusal{
		Outcome: core.NotRun, Reason: core.ReasonMemory, Step: "read", Peer: string(fr.Board.Self.ID),
		Detail: "bodies of other requests take the memory that there is for them", RetryAfter: time.Second,
	}
}

// fillCommon sets the fields that are common to chats and service calls.
func (fr *Front) fillCommon(rq *http.Request, cu *decl.Customer, routed *router.Request) error {
	ca := &routed.Call
	ca.Customer = cu.Name
	ca.Pool = routed.Group.ID
	ca.ContentType = rq.Header.Get("Content-Type")
	ca.Key = core.IdemKey(rq.Header.Get(HeaderKey))
	if len(ca.Key) > maxNameLen || len(ca.Chat) > maxNameLen {
		return badRequest(http.StatusBadRequest, HeaderKey+" and "+HeaderChat+" hold at most 255 bytes")
	}
	if ca.Key != "" {
		ca.MayRepeat = false
	}
	if err := setPriority(ca, rq.Header.Get(HeaderPriority), cu); err != nil {
		return err
	}
	timeout := fr.DefaultDeadline
	if text := rq.Header.Get(HeaderTimeout); text != "" {
		requested, err := time.ParseDuration(text)
		if err != nil || requested <= 0 {
			return badRequest(http.StatusBadRequest, HeaderTimeout+" is not a duration such as 30s: "+text)
		}
		timeout = fr.shorten(requested, cu)
	}
	ca.Deadline = time.Now().Add(timeout)
	return nil
}

// shorten returns the time that a caller names, or MaxDeadline if it is longer.
func (fr *Front) shorten(requested time.Duration, cu *decl.Customer) time.Duration {
	if fr.MaxDeadline == 0 || requested <= fr.MaxDeadline {
		return requested
	}
	fr.Stats.Add(stats.DeadlinesShortened, 1)
	fr.Log.Info("Shortened a caller's deadline.", zap.String("Customer", string(cu.Name)), zap.Duration("Named", requested),
		zap.Duration("Max", fr.MaxDeadline))
	return fr.MaxDeadline
}

var priorities = map[string]core.Priority{
	"batch": core.PriorityBatch, "normal": core.PriorityNormal,
	"high": core.PriorityHigh, "urgent": core.PriorityUrgent,
}

// setPriority sets the priority that the caller requested, limited to the customer's highest.
func setPriority(ca *core.Call, name string, cu *decl.Customer) error {
	if name != "" {
		requested, known := priorities[name]
		if !known {
			return badRequest(http.StatusBadRequest, HeaderPriority+" is not batch, normal, high or urgent: "+name)
		}
		ca.Priority = requested
	}
	if cu.MaxPriority > 0 {
		ca.Priority = min(ca.Priority, cu.MaxPriority)
	}
	return nil
}

func (fr *Front) models(wr http.ResponseWriter, rq *http.Request) {
	fr.Stats.Add(stats.Requests, 1)
	cfg, cu, err := fr.authenticate(rq)
	if err != nil {
		fr.writeError(wr, err)
		return
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, po := range cfg.Document.Pools {
		if cu.Shares[po.Name] > 0 {
			list.Data = append(list.Data, model{po.Model, "model", "almondrill"})
		}
	}
	fr.Stats.CountOutcome(core.Whole)
	wr.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(wr).Encode(list)
}
