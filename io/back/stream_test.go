package back_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"almondrill/core"
	"almondrill/io/back"
)

// parts records what an endpoint's response was forwarded as.
type parts struct {
	status   int // of the first part
	text     string
	position int64
	end      bool
}

func (pa *parts) Send(part *core.Part) error {
	if part.Status != 0 {
		pa.status = part.Status
	}
	pa.text += string(part.Data)
	pa.position, pa.end = part.Position, part.End
	return nil
}

// Engines end lines by LF, CR LF or CR, with and without framing. A stream is whole with its end mark
// only: one that ends without it, or inside an event, must be refused, without the part of the event.
func TestStreamIsWholeOnlyWithItsEndMark(t *testing.T) {
	whole := "data: a\n\ndata: b\n\n"
	for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
		for _, framed := range []bool{false, true} {
			for rest, wantWhole := range map[string]bool{
				"data: [DONE]\n\n": true, "": false, "data: [DO": false, "data: [DONE]\n": false, "data": false,
			} {
				text := strings.ReplaceAll(whole+rest, "\n", lineEnd)
				server := httptest.NewServer(http.HandlerFunc(func(wr http.ResponseWriter, _ *http.Request) {
					wr.Header().Set("Content-Type", "text/event-stream")
					if !framed {
						wr.Header().Set("Transfer-Encoding", "identity")
					}
					_, _ = wr.Write([]byte(text))
				}))
				pa := &parts{}
				ep := &back.Endpoint{ID: "engine", URL: server.URL, Engine: true}
				_, err := ep.Do(context.Background(), &core.Call{Method: http.MethodPost, Path: "/", Stream: true}, pa)
				server.Close()
				events, want := int64(2), strings.ReplaceAll(whole, "\n", lineEnd)
				if wantWhole {
					events, want = 3, text
				}
				if (err == nil) != wantWhole || pa.end != wantWhole || pa.text != want || pa.position != events {
					t.Errorf("%q, framed %t: got %q, %d events, end %t, error %v", text, framed, pa.text, pa.position, pa.end, err)
				}
			}
		}
	}
}
