package front

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"

	"almondrill/core"
	"almondrill/io/abort"
)

// writer is a core.Sink that writes the parts of a response to the caller.
type writer struct {
	fr       *Front
	wr       http.ResponseWriter
	control  *http.ResponseController
	stream   bool
	headSent bool
}

// ServedBy sets the hint header, which the caller sends back with the chat's next turn.
func (wt *writer) ServedBy(vm core.VMID) { wt.wr.Header().Set(HeaderHint, encodeHint(vm)) }

// Send writes a part. It fails for a caller that reads nothing for WriteTimeout, so that a slow
// caller does not hold a slot of the engine.
func (wt *writer) Send(pa *core.Part) error {
	if !wt.headSent {
		wt.headSent = true
		if pa.ContentType != "" {
			wt.wr.Header().Set("Content-Type", pa.ContentType)
		}
		if pa.Unmarked {
			wt.wr.Header().Set("Transfer-Encoding", "identity") // package http closes the connection at the end, and does not send the field
		}
		if pa.Status != 0 {
			wt.wr.WriteHeader(pa.Status)
		}
	}
	if len(pa.Data) == 0 {
		return nil
	}
	_ = wt.control.SetWriteDeadline(time.Now().Add(wt.fr.WriteTimeout))
	if _, err := wt.wr.Write(pa.Data); err != nil {
		return fmt.Errorf("write to caller: %w", err)
	}
	if !wt.stream {
		return nil
	}
	if err := wt.control.Flush(); err != nil {
		return fmt.Errorf("flush to caller: %w", err)
	}
	return nil
}

// abort ends a response that was begun and cannot be completed.
func (wt *writer) abort(rq *http.Request, re *core.Refusal) {
	if !wt.stream {
		abort.Response(wt.wr, rq)
	}
	text, _ := json.Marshal(newErrorBody(re))
	_ = wt.control.SetWriteDeadline(time.Now().Add(wt.fr.WriteTimeout))
	_, _ = fmt.Fprintf(wt.wr, "event: error\ndata: %s\n\n", text)
	_ = wt.control.Flush()
}

// errorBody is the response body of a refusal. Error is what OpenAI-style clients expect; the other
// fields are specific to almondrill.
type errorBody struct {
	Error   errorDetail `json:"error"`
	Outcome string      `json:"Outcome"`
	Reason  string      `json:"Reason"`
	Step    string      `json:"Step"`
	Peer    string      `json:"Peer"`
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
}

func newErrorBody(re *core.Refusal) errorBody {
	return errorBody{
		Error:   errorDetail{Message: re.Detail, Type: "almondrill_error", Code: string(re.Reason)},
		Outcome: re.Outcome.String(), Reason: string(re.Reason), Step: re.Step, Peer: re.Peer,
	}
}

// statuses maps reasons to HTTP statuses. Any other reason gets status 503 if the outcome is NotRun,
// and 502 otherwise.
var statuses = map[core.Reason]int{
	core.ReasonBadRequest:    http.StatusBadRequest,
	core.ReasonBadKey:        http.StatusUnauthorized,
	core.ReasonTooLarge:      http.StatusRequestEntityTooLarge,
	core.ReasonSlowCaller:    http.StatusRequestTimeout,
	core.ReasonUnknownModel:  http.StatusNotFound,
	core.ReasonShareExceeded: http.StatusTooManyRequests,
	core.ReasonDeadline:      http.StatusGatewayTimeout,
	core.ReasonStalled:       http.StatusGatewayTimeout,
	core.ReasonClaimLost:     http.StatusConflict,
	core.ReasonAnswerGone:    http.StatusConflict,
	core.ReasonKeyReused:     http.StatusUnprocessableEntity,
}

func httpStatus(re *core.Refusal) int {
	if status, known := statuses[re.Reason]; known {
		if re.Reason == core.ReasonBadRequest && re.Status != 0 {
			return re.Status
		}
		return status
	}
	if re.Outcome == core.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

// writeError responds with a refusal and counts it.
func (fr *Front) writeError(wr http.ResponseWriter, err error) {
	re := core.AsRefusal(err, "front", string(fr.Board.Self.ID))
	fr.countRefusal(re)
	if re.RetryAfter > 0 {
		seconds := int(math.Ceil(re.RetryAfter.Seconds()))
		wr.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	wr.Header().Set("Content-Type", "application/json")
	wr.WriteHeader(httpStatus(re))
	_ = json.NewEncoder(wr).Encode(newErrorBody(re))
}

func (fr *Front) countRefusal(re *core.Refusal) {
	fr.Stats.CountRefusal(re.Reason)
	fr.Stats.CountOutcome(re.Outcome)
	fr.Log.Debug("Refused a request.", zap.String("Reason", string(re.Reason)),
		zap.String("Step", re.Step), zap.String("Peer", re.Peer), zap.String("Detail", re.Detail))
}

func badRequest(status int, detail string) *core.Refusal {
	return &core.Refusal{
		Outcome: core.NotRun, Reason: core.ReasonBadRequest, Step: "read", Peer: "caller", Detail: detail, Status: status,
	}
}
