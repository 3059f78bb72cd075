package entry_test

import (
	"io"
	"net"
	"testing"
	"time"

	"almondrill/io/entry"
)

// connPair is both ends of a caller's connection: the caller's, and the router's with what
// tells that it has ended.
func connPair(t *testing.T) (*net.TCPConn, net.Conn, func() bool) {
	t.Helper()
	li, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer li.Close()
	caller, err := net.Dial("tcp", li.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	co, err := li.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = caller.Close()
		_ = co.Close()
	})
	own, closed := entry.WrapCallerConn(co)
	return caller.(*net.TCPConn), own, closed
}

// A router has more to do than it can. Callers give up and close their connections while
// their requests wait for a processor; the server has not read the close yet. Sent on
// all the same, by the hundred, these keep endpoints busy for nobody.
func TestClosedCallerIsDetectedBeforeTheServerReads(t *testing.T) {
	caller, own, ended := connPair(t)
	if ended() {
		t.Error("ended though both sides are open")
	}
	_, _ = caller.Write([]byte("next"))
	time.Sleep(20 * time.Millisecond)
	if ended() {
		t.Error("ended though the caller has sent more")
	}
	got := make([]byte, 4)
	if _, err := io.ReadFull(own, got); err != nil || string(got) != "next" {
		t.Errorf("looking took away bytes: %q %v", got, err)
	}
	_ = caller.Close()
	time.Sleep(20 * time.Millisecond)
	if !ended() {
		t.Error("not ended though the caller has closed")
	}
}

func TestResetByTheCallerIsDetected(t *testing.T) {
	caller, _, ended := connPair(t)
	_ = caller.SetLinger(0)
	_ = caller.Close()
	time.Sleep(20 * time.Millisecond)
	if !ended() {
		t.Error("not ended though the caller has reset the connection")
	}
}

func TestLocalCloseIsDetected(t *testing.T) {
	_, own, ended := connPair(t)
	_ = own.Close()
	if !ended() {
		t.Error("not ended though this side has closed")
	}
}
