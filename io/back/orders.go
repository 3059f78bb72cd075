package back

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/samber/oops"

	"almondrill/core"
)

var _ core.Orderable = (*Endpoint)(nil)

const (
	ordersPath = "/orders"
	// maxErrorText bounds how many bytes of an engine's error text are kept.
	maxErrorText = 512
	// maxReport bounds an engine's reports of its state, in bytes: one that fails may send without end.
	maxReport = 4 << 20
)

// State returns what the engine has loaded. An engine without the path does not support orders.
func (ep *Endpoint) State(ctx context.Context) (*core.EngineState, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, ep.URL+ordersPath, nil)
	if err != nil {
		return nil, oops.In("state").With("peer", ep.ID).Wrap(err)
	}
	rs, err := client.Do(rq)
	if err != nil {
		return nil, oops.In("state").With("peer", ep.ID).Wrap(err)
	}
	defer rs.Body.Close()
	switch rs.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusMethodNotAllowed, http.StatusNotImplemented:
		return nil, core.ErrOrdersUnsupported
	default:
		return nil, oops.In("state").With("peer", ep.ID).Errorf("status %d", rs.StatusCode)
	}
	var st core.EngineState
	if err = json.NewDecoder(io.LimitReader(rs.Body, maxReport)).Decode(&st); err != nil {
		return nil, oops.In("state").With("peer", ep.ID).Wrap(err)
	}
	return &st, nil
}

// Order sends an order to the engine and waits until it is carried out. The body contains the
// fencing number, for engines that check it.
func (ep *Endpoint) Order(ctx context.Context, or *core.Order) error {
	body, err := json.Marshal(struct {
		Fence         core.Fence
		Kind          core.OrderKind
		Name, Version string
	}{or.Fence, or.Kind, or.Name, or.Version})
	if err != nil {
		return ep.refusal(core.NotRun, core.ReasonBadRequest, err)
	}
	rq, err := http.NewRequestWithContext(ctx, http.MethodPost, ep.URL+ordersPath, bytes.NewReader(body))
	if err != nil {
		return ep.refusal(core.NotRun, core.ReasonBadRequest, err)
	}
	rq.Header.Set("Content-Type", "application/json")
	rs, err := freshClient.Do(rq)
	if err != nil {
		return ep.sendFailed(ctx, err)
	}
	defer rs.Body.Close()
	if rs.StatusCode == http.StatusOK {
		return nil
	}
	return ep.orderError(ctx, rs)
}

// orderError returns the refusal for an order that the engine did not carry out.
func (ep *Endpoint) orderError(ctx context.Context, rs *http.Response) error {
	text, err := io.ReadAll(io.LimitReader(rs.Body, maxErrorText))
	if err != nil {
		return ep.interrupted(ctx, core.ReasonCutShort, err)
	}
	re := &core.Refusal{
		Outcome: core.Failed, Reason: core.ReasonEndpointError, Step: "order", Peer: string(ep.ID),
		Detail: fmt.Sprintf("status %d: %s", rs.StatusCode, bytes.TrimSpace(text)), Status: rs.StatusCode,
	}
	switch rs.StatusCode {
	case http.StatusConflict:
		re.Outcome, re.Reason = core.NotRun, core.ReasonOldFence
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		re.Reason = core.ReasonWeightsBusy
	}
	if after, err := strconv.Atoi(rs.Header.Get("Retry-After")); err == nil {
		re.RetryAfter = time.Duration(after) * time.Second
	}
	return re
}
