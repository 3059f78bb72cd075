package strict_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"almondrill/io/fakes/local"
	"almondrill/io/strict"
)

// connect returns both ends of a connection.
func connect(t *testing.T) (client, server *net.TCPConn) {
	t.Helper()
	li := local.Listen(t)
	co, err := net.Dial("tcp", li.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := li.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = co.Close(), accepted.Close() })
	return co.(*net.TCPConn), accepted.(*net.TCPConn)
}

// Guards against a reset that looks like an ordinary end to a reader because a writer has received its error.
func TestResetThatAWriteHasSeenIsNoEnd(t *testing.T) {
	client, server := connect(t)
	_, _ = io.WriteString(server, "part")
	_ = server.SetLinger(0)
	_ = server.Close()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); {
		if _, err := io.WriteString(client, "u"); err != nil {
			break
		}
	}
	if data, err := io.ReadAll(client); err != nil || string(data) != "part" {
		t.Fatalf("read %q, error %v; want the end that hides the reset", data, err)
	}
	if err := strict.ConfirmEnd(client); !errors.Is(err, strict.ErrReset) || !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got %v, want %v", err, strict.ErrReset)
	}
}

// Guards against an end that is confirmed while the other side may still reset the connection, and against one that is
// not confirmed although it has received everything.
func TestEndIsConfirmedOnceAllIsReceived(t *testing.T) {
	for _, received := range []bool{true, false} {
		client, server := connect(t)
		_ = server.CloseWrite()
		_, _ = io.ReadAll(client)
		size := 0
		_ = client.SetWriteDeadline(time.Now().Add(200 * time.Millisecond))
		for count, err := 0, error(nil); err == nil; size += count {
			count, err = io.WriteString(client, strings.Repeat("u", 1<<20))
		}
		_ = client.SetWriteDeadline(time.Now().Add(5 * time.Second))
		go func() {
			time.Sleep(20 * time.Millisecond)
			if received {
				_, _ = io.CopyN(io.Discard, server, int64(size))
			}
			_ = server.Close()
		}()
		if err := strict.ConfirmEnd(client); (err == nil) != received {
			t.Errorf("received %t: %v", received, err)
		}
	}
}

// Guards against a wait for acknowledgements that outlasts the request.
func TestConfirmationEndsAtTheDeadline(t *testing.T) {
	client, server := connect(t)
	_ = server.CloseWrite()
	_ = client.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
	for err := error(nil); err == nil; {
		_, err = io.WriteString(client, strings.Repeat("u", 1<<20))
	}
	began := time.Now()
	if err := strict.ConfirmEnd(client); err == nil || time.Since(began) > time.Second {
		t.Errorf("got %v after %v", err, time.Since(began))
	}
}

// Guards against a body whose end is confirmed by one read and not by the next.
func TestEndOfBodyIsCheckedOnce(t *testing.T) {
	for _, confirmed := range []error{nil, strict.ErrReset} {
		rs, err := http.ReadResponse(bufio.NewReader(strings.NewReader("HTTP/1.1 200 OK\r\n\r\npart")), nil)
		if err != nil {
			t.Fatal(err)
		}
		calls := 0
		strict.GuardBody(rs, func() error {
			calls++
			return confirmed
		})
		for range 2 {
			if _, err = io.ReadAll(rs.Body); !errors.Is(err, confirmed) {
				t.Errorf("got %v, want %v", err, confirmed)
			}
		}
		if calls != 1 {
			t.Errorf("checked %d times", calls)
		}
	}
}
