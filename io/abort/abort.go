// Package abort cuts responses that were begun and cannot be completed.
//
// # Concepts
//
// A client detects a cut response by its missing length or last chunk. A response with neither ends with
// its connection: there, only a reset distinguishes a cut one from a whole one.
//
// # Usage
//
//	abort.Response(wr, rq) // in a handler, after the response's head was written
package abort

import "net/http"

// Response ends a response so that the client does not take it for a whole one, by closing the connection
// or, where the end of the connection would end the response, resetting it. It does not return: it panics
// with http.ErrAbortHandler.
func Response(wr http.ResponseWriter, rq *http.Request) {
	hd := wr.Header()
	if hd.Get("Content-Length") == "" && (hd.Get("Transfer-Encoding") == "identity" || !rq.ProtoAtLeast(1, 1)) {
		reset(wr)
	}
	panic(http.ErrAbortHandler)
}

// reset closes the connection with a reset.
func reset(wr http.ResponseWriter) {
	co, _, err := http.NewResponseController(wr).Hijack()
	if err != nil {
		return
	}
	if tcp, ok := co.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = co.Close()
}
