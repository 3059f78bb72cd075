package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastRequest atomic.Int64

// requestID returns a new id.
func requestID() string { return fmt.Sprintf("%016x", 0x1c41000000000000+lastRequest.Add(1)) }

// requestHeader returns the header lines that each request has.
func requestHeader(id string, deadline time.Duration) string {
	return fmt.Sprintf("%s: %s\r\n%s: %d\r\n%s: %s\r\n", names.RequestID, id, names.Deadline, deadline.Milliseconds(), names.Credential, apiKey)
}

// answerHeader returns the header lines of a worker's answer.
func answerHeader(worker, request string) string {
	return fmt.Sprintf("%s: %s\r\n%s: %s.%s\r\n", names.RequestID, request, names.Stamp, worker, request)
}

const apiKey = "n2ctnfzs989anu6wsjnb"

// answer is what a requester got. Err is set if there was no complete answer.
type answer struct {
	id     string
	status int
	stamp  string
	body   []byte
	after  string
	took   time.Duration
	err    error
}

func (an answer) String() string {
	if an.err != nil {
		return fmt.Sprintf("no complete answer (status %d, %d bytes): %v", an.status, len(an.body), an.err)
	}
	return fmt.Sprintf("status %d, %d bytes, stamp %q, Retry-After %q", an.status, len(an.body), an.stamp, an.after)
}

// send sends a request on a new channel and reads its answer.
func send(addr, method, path string, body []byte, deadline time.Duration) answer {
	co, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer co.Close()
	return sendOn(co, requestID(), method, path, body, deadline)
}

// sendOn sends a request on an open channel and reads its answer.
func sendOn(co net.Conn, id, method, path string, body []byte, deadline time.Duration) answer {
	an := answer{id: id}
	began := time.Now()
	_ = co.SetDeadline(began.Add(deadline))
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: case.example\r\n%s", method, path, requestHeader(id, deadline))
	if method != http.MethodGet {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(body))
	}
	out.WriteString("\r\n")
	out.Write(body)
	if _, an.err = co.Write(out.Bytes()); an.err != nil {
		return an
	}
	rs, err := http.ReadResponse(bufio.NewReader(co), &http.Request{Method: method})
	if err != nil {
		an.err, an.took = err, time.Since(began)
		return an
	}
	defer rs.Body.Close()
	an.status, an.stamp, an.after = rs.StatusCode, rs.Header.Get(names.Stamp), rs.Header.Get("Retry-After")
	an.body, an.err = io.ReadAll(rs.Body)
	an.took = time.Since(began)
	return an
}
