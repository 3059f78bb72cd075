package conns_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"almondrill/io/conns"
)

// startServer listens on a local port, runs the script for each connection, and returns the address.
func startServer(t *testing.T, script func(co net.Conn, rd *bufio.Reader)) string {
	t.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = li.Close() })
	go func() {
		for {
			co, err := li.Accept()
			if err != nil {
				return
			}
			go func() {
				defer co.Close()
				script(co, bufio.NewReader(co))
			}()
		}
	}()
	return li.Addr().String()
}

// readRequest reads a request with its body and returns its id.
func readRequest(rd *bufio.Reader) (string, bool) {
	rq, err := http.ReadRequest(rd)
	if err != nil {
		return "", false
	}
	_, _ = io.Copy(io.Discard, rq.Body)
	return rq.Header.Get("Id"), true
}

func reply(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + itoa(len(body)) + "\r\n\r\n" + body
}

func itoa(number int) string {
	if number >= 10 {
		return itoa(number/10) + itoa(number%10)
	}
	return string(rune('0' + number))
}

func send(co *conns.Conn, id string, body []byte) (string, *http.Response, error) {
	head := conns.FormatHead("POST", "/x", "h", http.Header{"Id": {id}}, len(body))
	co.SetDeadline(time.Now().Add(5 * time.Second))
	rs, err := co.Do(head, body, "POST", func(hd http.Header) bool { return hd.Get("Id") == id })
	if err != nil {
		return "", nil, err
	}
	data, err := io.ReadAll(rs.Body)
	return string(data), rs, err
}

func get(t *testing.T, po *conns.Pool, addr string) *conns.Conn {
	t.Helper()
	co, err := po.Get(context.Background(), addr)
	if err != nil {
		t.Fatal(err)
	}
	return co
}

// An endpoint responds twice to one request. The duplicate arrives while the next request's
// response is awaited; it must not be returned as that response.
func TestDuplicateResponseIsSkipped(t *testing.T) {
	addr := startServer(t, func(co net.Conn, rd *bufio.Reader) {
		first, _ := readRequest(rd)
		_, _ = io.WriteString(co, reply(first, "one"))
		second, _ := readRequest(rd)
		_, _ = io.WriteString(co, reply(first, "late")+reply(second, "two"))
		_, _ = rd.ReadByte()
	})
	po := &conns.Pool{}
	co := get(t, po, addr)
	if body, rs, err := send(co, "a", nil); err != nil || body != "one" {
		t.Fatal(body, err)
	} else {
		po.Put(co, rs)
	}
	if body, _, err := send(get(t, po, addr), "b", nil); err != nil || body != "two" {
		t.Errorf("got %q, %v; want the response to request b", body, err)
	}
}

// A duplicate response arrives while the connection is idle: the connection is not reused.
func TestConnectionWithStrayBytesIsNotReused(t *testing.T) {
	addr := startServer(t, func(co net.Conn, rd *bufio.Reader) {
		id, _ := readRequest(rd)
		_, _ = io.WriteString(co, reply(id, "one"))
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(co, reply(id, "again"))
		_, _ = rd.ReadByte()
	})
	po := &conns.Pool{}
	co := get(t, po, addr)
	_, rs, err := send(co, "a", nil)
	if err != nil {
		t.Fatal(err)
	}
	po.Put(co, rs)
	time.Sleep(60 * time.Millisecond)
	if next := get(t, po, addr); next.Reused {
		t.Error("reused a connection that received bytes while idle")
	}
}

// An endpoint closes an idle connection without announcing it. A request sent on it would be lost,
// and one that is not idempotent could not be sent again.
func TestClosedIdleConnectionIsDetectedBeforeSending(t *testing.T) {
	var requests atomic.Int64
	addr := startServer(t, func(co net.Conn, rd *bufio.Reader) {
		id, ok := readRequest(rd)
		if ok {
			requests.Add(1)
			_, _ = io.WriteString(co, reply(id, "one"))
		}
	})
	po := &conns.Pool{}
	for range 3 {
		co := get(t, po, addr)
		_, rs, err := send(co, "a", nil)
		if err != nil {
			t.Fatal(err)
		}
		po.Put(co, rs)
		time.Sleep(30 * time.Millisecond)
	}
	if requests.Load() != 3 {
		t.Errorf("%d requests arrived, want 3", requests.Load())
	}
}

// An endpoint resets a reused connection after it has read the request. http.Client would resend
// the request by itself.
func TestRequestIsWrittenOnce(t *testing.T) {
	var requests atomic.Int64
	addr := startServer(t, func(co net.Conn, rd *bufio.Reader) {
		for {
			id, ok := readRequest(rd)
			if !ok {
				return
			}
			if requests.Add(1) == 2 {
				return
			}
			_, _ = io.WriteString(co, reply(id, "one"))
		}
	})
	po := &conns.Pool{}
	co := get(t, po, addr)
	_, rs, err := send(co, "a", nil)
	if err != nil {
		t.Fatal(err)
	}
	po.Put(co, rs)
	co = get(t, po, addr)
	if !co.Reused {
		t.Fatal("the connection was not reused")
	}
	if _, _, err = send(co, "b", nil); err == nil {
		t.Fatal("got a response from a closed connection")
	}
	if !co.Sent() {
		t.Error("Sent reports false for a request that may have arrived")
	}
	if requests.Load() != 2 {
		t.Errorf("%d requests arrived, want 2", requests.Load())
	}
}

// An endpoint refuses a long request before it has read the body, and reads the rest later. The
// response must be returned, and the connection must not be reused.
func TestResponseBeforeBodyIsRead(t *testing.T) {
	addr := startServer(t, func(co net.Conn, rd *bufio.Reader) {
		rq, err := http.ReadRequest(rd)
		if err != nil {
			return
		}
		_, _ = io.WriteString(co, reply(rq.Header.Get("Id"), "no"))
		time.Sleep(100 * time.Millisecond)
		_, _ = io.Copy(io.Discard, rq.Body)
	})
	po := &conns.Pool{}
	co := get(t, po, addr)
	body, rs, err := send(co, "a", make([]byte, 8<<20))
	if err != nil || body != "no" {
		t.Fatalf("got %q, %v", body, err)
	}
	po.Put(co, rs)
	if next := get(t, po, addr); next.Reused {
		t.Error("reused a connection with an unfinished request")
	}
}

// An endpoint keeps sending responses that belong to other requests. Do must give up after a
// bounded number of them, or the request would never end.
func TestStrayResponsesAreLimited(t *testing.T) {
	addr := startServer(t, func(co net.Conn, rd *bufio.Reader) {
		_, _ = readRequest(rd)
		_, _ = io.WriteString(co, strings.Repeat(reply("other", "x"), 9))
		_, _ = rd.ReadByte()
	})
	po := &conns.Pool{}
	if _, _, err := send(get(t, po, addr), "a", nil); !errors.Is(err, conns.ErrStray) {
		t.Errorf("%v, want ErrStray", err)
	}
}

// The endpoint announces its idle timeout: connections are closed before it is reached.
func TestKeepAliveTimeoutIsRespected(t *testing.T) {
	addr := startServer(t, func(co net.Conn, rd *bufio.Reader) {
		id, _ := readRequest(rd)
		_, _ = io.WriteString(co, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nId: "+id+"\r\nContent-Length: 0\r\n\r\n")
		_, _ = rd.ReadByte()
	})
	po := &conns.Pool{}
	co := get(t, po, addr)
	_, rs, err := send(co, "a", nil)
	if err != nil {
		t.Fatal(err)
	}
	po.Put(co, rs)
	po.CloseExpired(time.Now().Add(300 * time.Millisecond))
	if po.OpenCount(addr) != 1 {
		t.Fatal("connection closed too early")
	}
	po.CloseExpired(time.Now().Add(900 * time.Millisecond))
	if po.OpenCount(addr) != 0 {
		t.Error("connection still open when the endpoint may close it")
	}
}

func TestConnectErrorNamesAddress(t *testing.T) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := li.Addr().String()
	_ = li.Close()
	if _, err = (&conns.Pool{}).Get(context.Background(), addr); err == nil || !strings.Contains(err.Error(), addr) {
		t.Errorf("%v, want an error that names %s", err, addr)
	}
}

// A machine loses power while a request to it is in progress. Nothing is acknowledged or reset, so
// that without TCP_USER_TIMEOUT the connection would hang for minutes. On loopback the kernel
// acknowledges on behalf of an unresponsive process, so the test checks only the socket option.
func TestUnacknowledgedBytesAreBounded(t *testing.T) {
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer li.Close()
	co, err := net.Dial("tcp", li.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer co.Close()
	rc, err := co.(*net.TCPConn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	if err = conns.SetUserTimeout(rc, 1500*time.Millisecond); err != nil {
		t.Fatal(err)
	}
	const tcpUserTimeout = 18
	got := 0
	_ = rc.Control(func(fd uintptr) { got, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout) })
	if err != nil || got != 1500 {
		t.Errorf("TCP_USER_TIMEOUT is %d ms, want 1500: %v", got, err)
	}
}

// Guards against idle connections that each keep a read buffer, and against a buffer that is reused
// while the response of another connection is still read from it.
func TestIdleConnectionHoldsNoReadBuffer(t *testing.T) {
	finish := make(chan struct{})
	addr := startServer(t, func(co net.Conn, rd *bufio.Reader) {
		for {
			id, ok := readRequest(rd)
			if !ok {
				return
			}
			whole := reply(id, strings.Repeat(id, 6000))
			_, _ = io.WriteString(co, whole[:3000])
			if id == "a" {
				<-finish
			}
			_, _ = io.WriteString(co, whole[3000:])
		}
	})
	po := &conns.Pool{}
	bodies := make(chan string, 1)
	go func() {
		body, _, _ := send(get(t, po, addr), "a", nil)
		bodies <- body
	}()
	for range 20 {
		co := get(t, po, addr)
		body, rs, err := send(co, "b", nil)
		if err != nil || body != strings.Repeat("b", 6000) {
			t.Fatalf("%d bytes, %v", len(body), err)
		}
		po.Put(co, rs)
		if co.HoldsReadBuffer() {
			t.Fatal("an idle connection holds a read buffer")
		}
	}
	close(finish)
	if body := <-bodies; body != strings.Repeat("a", 6000) {
		t.Errorf("got %d bytes that are not the response to request a", len(body))
	}
}

// endless are responses that never end, each as what comes first and what is repeated after it.
var endless = map[string][2]string{
	"bytes that are no response": {"", "x"},
	"empty lines":                {"", "\r\n"},
	"a status line":              {"HTTP/1.1 200 ", "x"},
	"a header":                   {"HTTP/1.1 200 OK\r\nId: 1\r\nX-A: ", "x"},
	"headers":                    {"HTTP/1.1 200 OK\r\nId: 1\r\n", "X-A: b\r\n"},
	"a continued header":         {"HTTP/1.1 200 OK\r\nId: 1\r\nX-A: b\r\n", " c\r\n"},
	"interim responses":          {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"an interim response":        {"HTTP/1.1 103 Early Hints\r\n", "Link: a\r\n"},
	"other responses":            {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 1\r\n\r\nx"},
	"another response":           {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
	"a chunk's size":             {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"a chunk's extension":        {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x"},
	"a trailer":                  {"HTTP/1.1 200 OK\r\nId: 1\r\nTrailer: X-A\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-A: ", "x"},
	"trailers":                   {"HTTP/1.1 200 OK\r\nId: 1\r\nTrailer: X-A\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "X-A: b\r\n"},
}

// Guards against a router that runs out of memory, or reads for as long as the request may take, because an endpoint
// sends without end where a head, a chunk's size or a trailer is due.
func TestEndlessResponsesAreCutOff(t *testing.T) {
	const (
		offered = 256 << 20
		// maxTaken is more than the limits and the buffers of both sockets.
		maxTaken = 32 << 20
		limit    = 5 * time.Second
	)
	for name, ca := range endless {
		t.Run(name, func(t *testing.T) {
			taken := make(chan int, 1)
			addr := startServer(t, func(co net.Conn, rd *bufio.Reader) {
				_, _ = readRequest(rd)
				count, _ := io.WriteString(co, ca[0])
				block := []byte(strings.Repeat(ca[1], 1+(64<<10)/len(ca[1])))
				for count < offered {
					written, err := co.Write(block)
					if count += written; err != nil {
						break
					}
				}
				taken <- count
			})
			po := &conns.Pool{}
			co := get(t, po, addr)
			co.SetDeadline(time.Now().Add(limit))
			began := time.Now()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			body, _, err := send(co, "1", nil)
			runtime.ReadMemStats(&after)
			co.Close()
			if err == nil {
				t.Errorf("got a response of %d bytes", len(body))
			}
			if took := time.Since(began); took >= limit {
				t.Errorf("took %s", took)
			}
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxTaken {
				t.Errorf("allocated %d bytes", allocated)
			}
			if count := <-taken; count > maxTaken {
				t.Errorf("the endpoint could send %d bytes", count)
			}
		})
	}
}
