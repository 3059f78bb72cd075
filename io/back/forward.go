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
	"almondrill/io/events"
)

// forwarder forwards the body of one response to a sink.
type forwarder struct {
	ep    *Endpoint
	ca    *core.Call
	rs    *http.Response
	sink  core.Sink
	stall *stallTimer
	part  core.Part
	usage core.Usage
	// buffered is the incomplete last event of a stream, or the part of a plain response read so far.
	buffered []byte
	scanner  events.Scanner
	sawDone  bool
}

// maxBuffered bounds the size of an event, and of a plain response that is parsed for its usage.
const maxBuffered = 1 << 20

var (
	streamDone = []byte("data: [DONE]")
	usageField = []byte(`"usage":{`)
	dataField  = []byte("data:")
)

func (fw *forwarder) forward(ctx context.Context) error {
	media, _, _ := mime.ParseMediaType(fw.part.ContentType)
	if media == "text/event-stream" {
		return fw.forwardStream(ctx)
	}
	return fw.forwardPlain(ctx)
}

// forwardPlain forwards a body that is not an event stream.
func (fw *forwarder) forwardPlain(ctx context.Context) error {
	fw.part.Unmarked = fw.rs.ContentLength < 0 && len(fw.rs.TransferEncoding) == 0 && fw.rs.ProtoMajor == 1
	left := fw.rs.ContentLength
	err := fw.readBody(ctx, func(data []byte) error {
		if fw.ep.Engine && len(fw.buffered)+len(data) <= maxBuffered {
			fw.buffered = append(fw.buffered, data...)
		}
		// If the length is known, the last part carries the end mark itself.
		left -= int64(len(data))
		fw.part.End = left == 0
		return fw.send(data, 0)
	})
	if err != nil {
		return err
	}
	fw.parseUsage(fw.buffered)
	return fw.finish()
}

// forwardStream forwards an event stream, sending all events that have arrived completely as one
// part. An event ends with an empty line. Every token passes through here, so only the event that
// carries the usage is parsed, and only incomplete events are copied.
func (fw *forwarder) forwardStream(ctx context.Context) error {
	err := fw.readBody(ctx, func(data []byte) error {
		scanned := len(fw.buffered)
		if scanned > 0 {
			fw.buffered = append(fw.buffered, data...)
			data = fw.buffered
		}
		cut, count := fw.scanner.Scan(data[scanned:])
		if cut > 0 {
			cut += scanned
			if err := fw.sendEvents(data[:cut], count); err != nil {
				return err
			}
		}
		if len(data)-cut > maxBuffered {
			return fw.ep.refusal(core.Failed, core.ReasonEndpointError, errors.New("an event is larger than a megabyte"))
		}
		fw.buffered = append(fw.buffered[:0], data[cut:]...)
		return nil
	})
	if err != nil {
		return err
	}
	if !fw.sawDone {
		return fw.ep.refusal(core.Failed, core.ReasonCutShort, errors.New("the stream ended without its end mark"))
	}
	return fw.finish()
}

// sendEvents sends complete events to the sink.
func (fw *forwarder) sendEvents(data []byte, count int) error {
	tail := bytes.TrimRight(data, "\r\n")
	fw.sawDone = bytes.HasSuffix(tail, streamDone)
	fw.part.End = fw.sawDone
	if at := bytes.Index(data, usageField); at >= 0 {
		fw.parseUsage(eventDataAt(data, at))
	}
	return fw.send(data, int64(count))
}

// eventDataAt returns the JSON data of the event that contains index at.
func eventDataAt(data []byte, at int) []byte {
	from := bytes.LastIndex(data[:at], dataField)
	if from < 0 {
		return nil
	}
	event := data[from+len(dataField):]
	if end := bytes.IndexAny(event, "\r\n"); end >= 0 {
		event = event[:end]
	}
	return bytes.TrimSpace(event)
}

func (fw *forwarder) parseUsage(data []byte) {
	if !fw.ep.Engine || len(data) == 0 {
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
	fw.usage = core.Usage{
		Prompt: core.Tokens(in.Usage.Prompt),
		Cached: core.Tokens(in.Usage.Details.Cached),
		Output: core.Tokens(in.Usage.Output),
	}
}

// readBody calls handle with each piece of the body, until the body ends or handle fails.
func (fw *forwarder) readBody(ctx context.Context, handle func(data []byte) error) error {
	buffer := buffers.Get().(*[readSize]byte)
	defer buffers.Put(buffer)
	for {
		count, err := fw.rs.Body.Read(buffer[:])
		if count > 0 {
			fw.stall.reset()
			if terr := handle(buffer[:count]); terr != nil {
				return fw.sendError(terr)
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fw.readError(ctx, err)
		}
	}
}

// sendError returns a refusal unchanged. Any other error means that the caller disconnected.
func (fw *forwarder) sendError(err error) error {
	var re *core.Refusal
	if errors.As(err, &re) {
		return re
	}
	return fw.ep.refusal(core.Unknown, core.ReasonCallerGone, err)
}

// readError returns the refusal for a body that ended early. If the call was not cancelled, the
// request was executed and failed.
func (fw *forwarder) readError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return fw.ep.interrupted(ctx, core.ReasonCutShort, err)
	}
	return fw.ep.refusal(core.Failed, core.ReasonCutShort, err)
}

func (fw *forwarder) send(data []byte, events int64) error {
	fw.part.Position += events
	fw.part.Data = data
	err := fw.sink.Send(&fw.part)
	fw.part.Status = 0
	fw.part.ContentType = ""
	fw.part.Unmarked = false
	return err
}

// finish sends the end mark, unless the last part carried it. If the body was empty, status and
// content type go with it.
func (fw *forwarder) finish() error {
	if fw.part.End {
		return nil
	}
	fw.part.End = true
	if err := fw.send(nil, 0); err != nil {
		return fw.sendError(err)
	}
	return nil
}
