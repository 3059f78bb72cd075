package front

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"almondrill/core"
	"almondrill/core/decl"
	"almondrill/core/router"
)

const (
	// bytesPerToken is used to estimate the number of prompt tokens from the size of the body.
	bytesPerToken = 4
	// defaultOutput is the estimate of output tokens for chats that set no limit.
	defaultOutput core.Tokens = 256
	// serviceOutput is the estimated work of a service call, in token equivalents.
	serviceOutput core.Tokens = 16
)

// chatBody holds the fields of a chat request that routing needs.
type chatBody struct {
	Model               string      `json:"model"`
	Stream              bool        `json:"stream"`
	MaxTokens           core.Tokens `json:"max_tokens"`
	MaxCompletionTokens core.Tokens `json:"max_completion_tokens"`
	Messages            messages    `json:"messages"`
}

// messages is what routing needs of a chat's messages. It is as small for very many of them as for one.
type messages struct {
	count int
	// prefix is the hash of the messages up to the first one of the user.
	prefix uint64
}

// UnmarshalJSON implements json.Unmarshaler. It decodes one message after the other.
func (me *messages) UnmarshalJSON(data []byte) error {
	de := json.NewDecoder(bytes.NewReader(data))
	if to, err := de.Token(); err != nil || to != json.Delim('[') {
		if to == nil && err == nil {
			return nil // null
		}
		return errNoList
	}
	hash, user := xxhash.New(), false
	var one struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	}
	for ; de.More(); me.count++ {
		one.Role, one.Content = "", one.Content[:0] // not allocated anew for each message
		if err := de.Decode(&one); err != nil {
			return err
		}
		if user {
			continue
		}
		_, _ = hash.WriteString(one.Role)
		_, _ = hash.Write(one.Content)
		user = one.Role == "user"
	}
	me.prefix = hash.Sum64()
	return nil
}

var errNoList = errors.New("messages is not a list")

func (fr *Front) parseChat(rq *http.Request, cfg *decl.Config, cu *decl.Customer, body []byte) (*router.Request, error) {
	var in chatBody
	if err := json.Unmarshal(body, &in); err != nil {
		return nil, badRequest(http.StatusBadRequest, "the body is not a chat request: "+err.Error())
	}
	if in.Messages.count == 0 {
		return nil, badRequest(http.StatusBadRequest, "the body has no messages")
	}
	gr := cfg.PoolForModel(cu, in.Model)
	if gr == nil {
		re := badRequest(http.StatusNotFound, "no model "+strconv.Quote(in.Model)+" for customer "+string(cu.Name))
		re.Reason = core.ReasonUnknownModel
		return nil, re
	}
	chat := core.ChatID(rq.Header.Get(HeaderChat))
	if chat == "" {
		chat = derivedChat(&in.Messages)
	}
	return &router.Request{
		Group: gr,
		Hint:  decodeHint(rq.Header.Get(HeaderHint)),
		Call: core.Call{
			Chat: chat, MayRepeat: true, Priority: core.PriorityNormal, Stream: in.Stream,
			Prompt: core.Tokens(len(body) / bytesPerToken), Output: maxOutput(&in),
			Method: http.MethodPost, Path: chatPath, Body: body,
		},
	}, nil
}

func maxOutput(in *chatBody) core.Tokens {
	limit := max(in.MaxTokens, in.MaxCompletionTokens)
	if limit > 0 {
		return limit
	}
	return defaultOutput
}

// derivedChat derives a chat id from the messages up to the first one of the user. They are the
// same in every turn, so a chat returns to its cached context even if the client sends no chat id.
func derivedChat(me *messages) core.ChatID {
	return core.ChatID("derived-" + strconv.FormatUint(me.prefix, 16))
}

func (fr *Front) parseService(rq *http.Request, cfg *decl.Config, cu *decl.Customer, body []byte) (*router.Request, error) {
	gr := cfg.Group(core.PoolID(rq.PathValue("Service")))
	if gr == nil || !gr.Service || cu.Shares[gr.ID] <= 0 {
		re := badRequest(http.StatusNotFound, "no service "+rq.PathValue("Service")+" for customer "+string(cu.Name))
		re.Reason = core.ReasonUnknownModel
		return nil, re
	}
	path := "/" + rq.PathValue("Path")
	if rq.URL.RawQuery != "" {
		path += "?" + rq.URL.RawQuery
	}
	return &router.Request{Group: gr, Call: core.Call{
		MayRepeat: gr.MayRepeat(rq.Method), Priority: core.PriorityUrgent, Output: serviceOutput,
		Method: rq.Method, Path: path, Body: body,
	}}, nil
}

// encodeHint and decodeHint keep the hint opaque to callers. It is the name of a VM; a wrong one
// names no VM of the pool and is ignored.
func encodeHint(vm core.VMID) string { return base64.RawURLEncoding.EncodeToString([]byte(vm)) }

func decodeHint(text string) core.VMID {
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return ""
	}
	return core.VMID(raw)
}
