package back

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"

	"almondrill/core"
)

// answer passes one response's body on.
type answer struct {
	ep    *Endpoint
	ca    *core.Call
	rs    *http.Response
	sink  core.Sink
	watch *watch
	part  core.Part
	usage core.Usage
	// kept is what was read of an event, or of a whole JSON answer, so far.
	kept []byte
	done bool
}

// mostKept bounds an event, and a whole answer that is looked at for its usage.
const mostKept = 1 << 20

var (
	eventEnd   = []byte("\n\n")
	eventEndCR = []byte("\r\n\r\n")
	streamDone = []byte("data: [DONE]")
	usageField = []byte(`"usage":{`)
	dataField  = []byte("data:")
)

var errNoLength = errors.New("the answer has neither length nor chunks, so its end cannot be told")

func (an *answer) pass(ctx context.Context) error {
	media, _, _ := mime.ParseMediaType(an.part.ContentType)
	if media == "text/event-stream" {
		return an.passStream(ctx)
	}
	return an.passWhole(ctx)
}

// passWhole passes a plain body on.
func (an *answer) passWhole(ctx context.Context) error {
	if an.rs.ContentLength < 0 && len(an.rs.TransferEncoding) == 0 && an.rs.ProtoMajor == 1 {
		return an.ep.refuse(core.Unknown, core.ReasonCutShort, errNoLength)
	}
	left := an.rs.ContentLength
	err := an.read(ctx, func(data []byte) error {
		if an.ep.Engine && len(an.kept)+len(data) <= mostKept {
			an.kept = append(an.kept, data...)
		}
		// With the length known, the last piece carries the end mark itself.
		left -= int64(len(data))
		an.part.End = left == 0
		return an.send(data, 0)
	})
	if err != nil {
		return err
	}
	an.noteUsage(an.kept)
	return an.end()
}

// passStream passes events on, as many at a time as have arrived whole. An event
// ends with an empty line; nothing else of the format matters here, and it is
// the place where every token passes, so no event is parsed or copied but the
// one that carries the usage.
func (an *answer) passStream(ctx context.Context) error {
	err := an.read(ctx, func(data []byte) error {
		if len(an.kept) > 0 {
			an.kept = append(an.kept, data...)
			data = an.kept
		}
		cut := lastEvent(data)
		if cut > 0 {
			if err := an.events(data[:cut]); err != nil {
				return err
			}
		}
		if len(data)-cut > mostKept {
			return an.ep.refuse(core.Failed, core.ReasonEndpointError, errors.New("an event is larger than a megabyte"))
		}
		an.kept = append(an.kept[:0], data[cut:]...)
		return nil
	})
	if err != nil {
		return err
	}
	if !an.done {
		return an.ep.refuse(core.Failed, core.ReasonCutShort, errors.New("the stream ended without its end mark"))
	}
	return an.end()
}

// lastEvent is the index behind the last whole event in data.
func lastEvent(data []byte) int {
	cut := 0
	if at := bytes.LastIndex(data, eventEnd); at >= 0 {
		cut = at + len(eventEnd)
	}
	if at := bytes.LastIndex(data, eventEndCR); at >= 0 {
		cut = max(cut, at+len(eventEndCR))
	}
	return cut
}

// events passes whole events on.
func (an *answer) events(data []byte) error {
	count := bytes.Count(data, eventEnd) + bytes.Count(data, eventEndCR)
	tail := bytes.TrimRight(data, "\r\n")
	an.done = bytes.HasSuffix(tail, streamDone)
	an.part.End = an.done
	if at := bytes.Index(data, usageField); at >= 0 {
		an.noteUsage(eventAround(data, at))
	}
	return an.send(data, int64(count))
}

// eventAround is the JSON of the event that holds index at.
func eventAround(data []byte, at int) []byte {
	from := bytes.LastIndex(data[:at], dataField)
	if from < 0 {
		return nil
	}
	event := data[from+len(dataField):]
	if end := bytes.IndexByte(event, '\n'); end >= 0 {
		event = event[:end]
	}
	return bytes.TrimSpace(event)
}

func (an *answer) noteUsage(data []byte) {
	if !an.ep.Engine || len(data) == 0 {
		return
	}
	var in struct {
		Usage struct {
			Prompt  int64 `json:"prompt_tokens"`
			Output  int64 `json:"completion_tokens"`
			Details struct {
				Cached int64 `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if json.Unmarshal(data, &in) != nil {
		return
	}
	an.usage = core.Usage{
		Prompt: core.Tokens(in.Usage.Prompt),
		Cached: core.Tokens(in.Usage.Details.Cached),
		Output: core.Tokens(in.Usage.Output),
	}
}

// read hands the body's data to take until its end. An error of take ends it.
func (an *answer) read(ctx context.Context, take func(data []byte) error) error {
	buffer := buffers.Get().(*[readSize]byte)
	defer buffers.Put(buffer)
	for {
		count, err := an.rs.Body.Read(buffer[:])
		if count > 0 {
			an.watch.heard()
			if terr := take(buffer[:count]); terr != nil {
				return an.stopped(terr)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return an.brokeOff(ctx, err)
		}
	}
}

// stopped keeps a refusal as it is; any other error is the caller's leaving.
func (an *answer) stopped(err error) error {
	var re *core.Refusal
	if errors.As(err, &re) {
		return re
	}
	return an.ep.refuse(core.Unknown, core.ReasonCallerGone, err)
}

// brokeOff tells of a body that ended before its end. It ran, and failed.
func (an *answer) brokeOff(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return an.ep.broken(ctx, core.ReasonCutShort, err)
	}
	return an.ep.refuse(core.Failed, core.ReasonCutShort, err)
}

func (an *answer) send(data []byte, events int64) error {
	an.part.Position += events
	an.part.Data = data
	err := an.sink.Send(&an.part)
	an.part.Status = 0
	an.part.ContentType = ""
	return err
}

// end sends the end mark, with the head if the body was empty, unless the last
// piece carried it.
func (an *answer) end() error {
	if an.part.End {
		return nil
	}
	an.part.End = true
	if err := an.send(nil, 0); err != nil {
		return an.stopped(err)
	}
	return nil
}
