package accept_test

import (
	"io"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"almondrill/io/accept"
	"almondrill/io/stats"
)

// connPair returns both ends of a caller's connection, the caller's first, and a function that
// reports whether the router's end is closed.
func connPair(t *testing.T) (*net.TCPConn, net.Conn, func() bool) {
	t.Helper()
	raw, err := accept.Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	li := newListener(raw)
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
	return caller.(*net.TCPConn), co, co.(*accept.Conn).Closed
}

// newListener returns a listener without limits but that of heads.
func newListener(raw net.Listener) *accept.Listener {
	return &accept.Listener{
		Listener: raw, Name: "Test", Timeouts: &accept.Timeouts{}, Stats: stats.New(), Log: zap.NewNop(),
		MaxHead: func() accept.HeadLimit { return accept.HeadLimit{Bytes: maxHead, Refusal: accept.TooLarge} },
	}
}

const maxHead = 16 << 10

// Guards against an overloaded router that forwards requests of callers who have closed their
// connections while the requests waited for a processor: the server has not read the close yet, and
// endpoints would execute hundreds of requests whose responses no caller receives.
func TestClosedCallerIsDetectedBeforeTheServerReads(t *testing.T) {
	caller, own, ended := connPair(t)
	if ended() {
		t.Error("closed though both sides are open")
	}
	_, _ = caller.Write([]byte("next"))
	time.Sleep(20 * time.Millisecond)
	if ended() {
		t.Error("closed though the caller has sent more data")
	}
	got := make([]byte, 4)
	if _, err := io.ReadFull(own, got); err != nil || string(got) != "next" {
		t.Errorf("the check consumed bytes: %q %v", got, err)
	}
	_ = caller.Close()
	time.Sleep(20 * time.Millisecond)
	if !ended() {
		t.Error("not closed though the caller has closed the connection")
	}
}

func TestResetByTheCallerIsDetected(t *testing.T) {
	caller, _, ended := connPair(t)
	_ = caller.SetLinger(0)
	_ = caller.Close()
	time.Sleep(20 * time.Millisecond)
	if !ended() {
		t.Error("not closed though the caller has reset the connection")
	}
}

func TestLocalCloseIsDetected(t *testing.T) {
	_, own, ended := connPair(t)
	_ = own.Close()
	if !ended() {
		t.Error("not closed though this side has closed the connection")
	}
}
