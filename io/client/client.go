// Package client sends requests to almondrill as a caller does, for the demo, the load generator
// and tests.
//
// # Concepts
//
// A Client sends chats and service calls and returns the outcome that the caller sees: Whole only
// after a stream's end mark or a body of full length. For a stream it measures the times between
// tokens.
//
// # Usage
//
//	cl := &client.Client{Key: "secret"}
//	rs := cl.Chat(ctx, "127.0.0.1:8080", &client.Chat{Model: "m", Messages: msgs})
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/tmaxmax/go-sse"

	"almondrill/core"
	"almondrill/io/front"
)

// Client sends requests with one bearer key. Set the exported fields before use.
type Client struct {
	Key string
	// HTTP is the client to use; nil means http.DefaultClient.
	HTTP *http.Client
}

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Chat is a chat request.
type Chat struct {
	Model     string
	ID        core.ChatID
	Hint      string
	IdemKey   string
	Stream    bool
	MaxTokens int
	Messages  []Message
}

// Result is the result of a request, as the caller sees it.
type Result struct {
	Outcome core.Outcome
	Reason  core.Reason
	Status  int
	// Answer is the text of a chat's response, or the response body of a service.
	Answer string
	// Hint has to be sent with the chat's next turn.
	Hint string
	// Cached is the number of prompt tokens that the engine had cached.
	Cached int
	// First is the time from the start of the request to the first token of a stream, or until a plain
	// body was read; Total is the time to the end. Gaps are the times between tokens.
	First time.Duration
	Total time.Duration
	Gaps  []time.Duration
	// Err is set if there was no usable response.
	Err error
}

// Chat sends a chat to a router, or directly to an engine.
func (cl *Client) Chat(ctx context.Context, addr string, ch *Chat) *Result {
	body, _ := json.Marshal(struct {
		Model     string    `json:"model"`
		Stream    bool      `json:"stream,omitempty"`
		MaxTokens int       `json:"max_tokens,omitempty"`
		Messages  []Message `json:"messages"`
	}{ch.Model, ch.Stream, ch.MaxTokens, ch.Messages})
	header := http.Header{"Content-Type": {"application/json"}}
	setIf(header, front.HeaderChat, string(ch.ID))
	setIf(header, front.HeaderHint, ch.Hint)
	setIf(header, front.HeaderKey, ch.IdemKey)
	return cl.do(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", header, body)
}

// Service sends a call to a service.
func (cl *Client) Service(ctx context.Context, addr, method, service, path, idemKey, body string) *Result {
	header := http.Header{}
	setIf(header, front.HeaderKey, idemKey)
	return cl.do(ctx, method, "http://"+addr+"/v1/services/"+service+"/"+path, header, []byte(body))
}

func setIf(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

func (cl *Client) do(ctx context.Context, method, url string, header http.Header, body []byte) *Result {
	start := time.Now()
	rs := &Result{Outcome: core.Unknown}
	defer func() { rs.Total = time.Since(start) }()
	rq, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		rs.Err = err
		return rs
	}
	// The HTTP library must not resend the request by itself.
	rq.GetBody = nil
	rq.Header = header
	rq.Header.Set("Authorization", "Bearer "+cl.Key)
	client := cl.HTTP
	if client == nil {
		client = http.DefaultClient
	}
	got, err := client.Do(rq)
	if err != nil {
		rs.Err = err
		return rs
	}
	defer got.Body.Close()
	rs.Status = got.StatusCode
	rs.Hint = got.Header.Get(front.HeaderHint)
	if strings.HasPrefix(got.Header.Get("Content-Type"), "text/event-stream") {
		rs.readStream(got.Body, start)
		return rs
	}
	rs.readBody(got.Body, start)
	return rs
}

type refusal struct {
	Outcome string
	Reason  core.Reason
}

// parseRefusal sets outcome and reason if data is the body of a refusal, and reports whether it is.
func (rs *Result) parseRefusal(data []byte) bool {
	var re refusal
	if json.Unmarshal(data, &re) != nil || re.Outcome == "" {
		return false
	}
	rs.Reason = re.Reason
	for _, ou := range []core.Outcome{core.NotRun, core.Failed, core.Unknown} {
		if ou.String() == re.Outcome {
			rs.Outcome = ou
		}
	}
	return true
}

type chatResponse struct {
	Choices []struct {
		Delta   Message `json:"delta"`
		Message Message `json:"message"`
	} `json:"choices"`
	Usage struct {
		Details struct {
			Cached int `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

func (rs *Result) readBody(body io.Reader, start time.Time) {
	data, err := io.ReadAll(body)
	rs.First = time.Since(start)
	if err != nil {
		rs.Err = err
		return
	}
	if rs.parseRefusal(data) {
		return
	}
	rs.Outcome = core.Whole
	rs.Answer = string(data)
	var co chatResponse
	if json.Unmarshal(data, &co) == nil && len(co.Choices) > 0 {
		rs.Answer = co.Choices[0].Message.Content
		rs.Cached = co.Usage.Details.Cached
	}
}

var errTruncated = errors.New("the stream ended without its end mark")

func (rs *Result) readStream(body io.Reader, start time.Time) {
	var all strings.Builder
	last := start
	rs.Err = errTruncated
	for ev, err := range sse.Read(body, nil) {
		switch {
		case err != nil:
			rs.Err = err
		case ev.Type == "error":
			rs.parseRefusal([]byte(ev.Data))
			rs.Err = nil
		case ev.Data == "[DONE]":
			rs.Outcome, rs.Err = core.Whole, nil
		default:
			now := time.Now()
			rs.addToken(ev.Data, &all, now.Sub(start), now.Sub(last))
			last = now
		}
	}
	rs.Answer = all.String()
}

func (rs *Result) addToken(data string, all *strings.Builder, since, gap time.Duration) {
	var co chatResponse
	if json.Unmarshal([]byte(data), &co) != nil {
		return
	}
	rs.Cached = max(rs.Cached, co.Usage.Details.Cached)
	if len(co.Choices) == 0 {
		return
	}
	if all.Len() == 0 {
		rs.First = since
	} else {
		rs.Gaps = append(rs.Gaps, gap)
	}
	all.WriteString(co.Choices[0].Delta.Content)
}
