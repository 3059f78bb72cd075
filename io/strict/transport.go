package strict

import (
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
)

// Transport is an http.RoundTripper that rejects responses by CheckHead, and closes their connections. Set Base before
// use.
type Transport struct {
	Base *http.Transport
}

var _ http.RoundTripper = (*Transport)(nil)

// RoundTrip implements http.RoundTripper.
func (tr *Transport) RoundTrip(rq *http.Request) (*http.Response, error) {
	var used httptrace.GotConnInfo
	ctx := httptrace.WithClientTrace(rq.Context(), &httptrace.ClientTrace{
		GotConn:        func(info httptrace.GotConnInfo) { used = info },
		Got1xxResponse: checkInterim,
	})
	rs, err := tr.Base.RoundTrip(rq.WithContext(ctx))
	if err != nil {
		return nil, err
	}
	if err = CheckHead(rs); err != nil {
		_ = used.Conn.Close() // a connection whose response has no body is in the pool already
		_ = rs.Body.Close()
		return nil, fmt.Errorf("read the response: %w", err)
	}
	return rs, nil
}

// checkInterim checks the head of an interim response.
func checkInterim(status int, hd textproto.MIMEHeader) error {
	return CheckHead(&http.Response{ProtoMajor: 1, StatusCode: status, Header: http.Header(hd)})
}
