package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"
)

// request is one attempt of a requester, on a channel of its own.
type request struct {
	id, method, path, key, body string
	deadline                    time.Duration
	header                      map[string]string
}

// answer is what the requester got.
type answer struct {
	status int
	header http.Header
	events []event
	body   string
	// whole is set if the answer ended as the protocol says.
	whole bool
	// sentAt is when the request was sent, zero if no channel could be opened.
	sentAt time.Time
	err    error
}

// event is an event of a stream.
type event struct {
	id   int
	data string
}

// requesterHost is the Host of all routes.
const requesterHost = "ficu95.example"

// send sends the request to a router and reads the answer. onEvent, if set, is called for each event.
func (rq *request) send(front string, onEvent func(event)) answer {
	var an answer
	co, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		an.err = err
		return an
	}
	defer co.Close()
	_ = co.SetDeadline(time.Now().Add(rq.deadline))
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n", rq.method, rq.path, requesterHost, len(rq.body))
	fields := make([]string, 0, len(rq.header))
	for name := range rq.header {
		fields = append(fields, name)
	}
	sort.Strings(fields)
	for _, name := range fields {
		fmt.Fprintf(&head, "%s: %s\r\n", name, rq.header[name])
	}
	fmt.Fprintf(&head, "%s: %s\r\n%s: %d\r\n%s: %s\r\n\r\n", names.RequestID, rq.id, names.Deadline, rq.deadline.Milliseconds(), names.Credential, rq.key)
	an.sentAt = time.Now()
	if _, err = io.WriteString(co, head.String()+rq.body); err != nil {
		an.err = err
		return an
	}
	rs, err := http.ReadResponse(bufio.NewReader(co), &http.Request{Method: rq.method})
	if err != nil {
		an.err = err
		return an
	}
	an.status, an.header = rs.StatusCode, rs.Header
	if !strings.HasPrefix(rs.Header.Get("Content-Type"), "text/event-stream") {
		data, err := io.ReadAll(rs.Body)
		an.body, an.whole, an.err = string(data), err == nil, err
		return an
	}
	an.readEvents(rs.Body, onEvent)
	return an
}

// readEvents reads the events of a stream to its end.
func (an *answer) readEvents(body io.Reader, onEvent func(event)) {
	rd := bufio.NewReader(body)
	var ev event
	for {
		line, err := rd.ReadString('\n')
		if err != nil {
			an.whole = err == io.EOF && line == "" && ev == event{}
			an.err = err
			return
		}
		line = strings.TrimRight(line, "\r\n")
		name, value, _ := strings.Cut(line, ":")
		switch {
		case line == "" && ev != event{}:
			an.events = append(an.events, ev)
			if onEvent != nil {
				onEvent(ev)
			}
			ev = event{}
		case name == "id":
			ev.id, _ = strconv.Atoi(strings.TrimSpace(value))
		case name == "data":
			ev.data = strings.TrimSpace(value)
		}
	}
}

// retryAfter returns the time that a refusal names, or the default.
func (an *answer) retryAfter(other time.Duration) time.Duration {
	seconds, err := strconv.ParseFloat(an.header.Get("Retry-After"), 64)
	if err != nil {
		return other
	}
	return time.Duration(seconds * float64(time.Second))
}
