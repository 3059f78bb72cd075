package conns_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"almondrill/io/conns"
)

// startServer answers each connection with a script.
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

// readRequest reads one request and returns its id.
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

// An endpoint answers one request twice. The second answer lies on the connection
// when the next request's is expected; that caller must not get another's answer.
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
		t.Errorf("got %q, %v; want the own answer", body, err)
	}
}

// The second answer arrives while the connection is idle: the connection is not used
// again.
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
		t.Error("a connection on which something came while it was idle was used again")
	}
}

// An endpoint closes an idle connection without a word. A request sent on it would be
// lost, and one that must not repeat could not be sent again.
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

// An endpoint resets the connection after it has read the request. The library's
// client would send it again by itself on a reused connection.
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
		t.Fatal("an answer came from nowhere")
	}
	if !co.Sent() {
		t.Error("the request may have arrived, but counts as not sent")
	}
	if requests.Load() != 2 {
		t.Errorf("%d requests arrived, want 2", requests.Load())
	}
}

// An endpoint refuses a long request before it has read it, and reads on later. The
// answer has to come through, and the connection must not be used for another.
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
		t.Error("a connection with an unfinished request was used again")
	}
}

// Answers that belong to nobody must end, else the connection is held for ever.
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

// The endpoint tells how long it keeps idle connections; they are closed sooner.
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
		t.Fatal("closed too early")
	}
	po.CloseExpired(time.Now().Add(900 * time.Millisecond))
	if po.OpenCount(addr) != 0 {
		t.Error("still open when the endpoint may close it")
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

// A machine loses power while a request to it is under way. Nothing is ever acknowledged
// or reset; without a bound of the system's own the connection would hang for minutes.
// Loopback acknowledges for a silent process, so only the bound itself is looked at.
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
		t.Errorf("bound of %d ms, want 1500: %v", got, err)
	}
}
