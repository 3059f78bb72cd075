package relay

import (
	"mime"
	"net/http"
)

// framing is how the end of a response's body is marked. It is the value of a log field.
type framing string

const (
	// byLength: the header states the length, or that there is no body. byChunks: a last chunk ends it.
	byLength framing = "Length"
	byChunks framing = "Chunks"
	// byClose: the body ends with the connection.
	byClose framing = "Close"
)

func framingOf(rs *http.Response) framing {
	switch {
	case len(rs.TransferEncoding) > 0:
		return byChunks
	case rs.Body == http.NoBody || rs.ContentLength >= 0:
		return byLength
	}
	return byClose
}

// isEventStream reports whether a response is an event stream, or does not say what it is.
func isEventStream(rs *http.Response) bool {
	media, _, _ := mime.ParseMediaType(rs.Header.Get("Content-Type"))
	return media == "" || media == "text/event-stream"
}
