package conns_test

import (
	"context"
	"errors"
	"net"
	"testing"

	"almondrill/core/ledger"
	"almondrill/io/conns"
	"almondrill/io/fakes/local"
)

// Guards against connections to endpoints that use up the process's descriptors: one beyond their share takes the place of
// an idle one, or is not made, and the error says that nothing was sent.
func TestConnectionsStayWithinTheirDescriptors(t *testing.T) {
	var addrs []string
	for range 3 {
		li := local.Listen(t)
		addrs = append(addrs, li.Addr().String())
		go func() {
			for {
				co, err := li.Accept()
				if err != nil {
					return
				}
				t.Cleanup(func() { _ = co.Close() })
			}
		}()
	}
	fds := &ledger.Ledger{Shares: ledger.Descriptors}
	fds.SetLimit(6) // 2 for endpoints
	po := &conns.Pool{Descriptors: fds}
	get := func(addr string) (*conns.Conn, error) { return po.Get(context.Background(), addr) }
	one, err := get(addrs[0])
	if err != nil {
		t.Fatal(err)
	}
	two, err := get(addrs[1])
	if err != nil {
		t.Fatal(err)
	}
	if _, err = get(addrs[2]); !errors.Is(err, conns.ErrNoDescriptors) {
		t.Errorf("a third connection: %v, want ErrNoDescriptors", err)
	}
	po.PutUnused(one)
	three, err := get(addrs[2])
	if err != nil {
		t.Errorf("an idle connection is not replaced: %v", err)
	}
	if po.OpenCount(addrs[0]) != 0 || fds.Total() != 2 {
		t.Errorf("%d connections to the first address, %d descriptors; want 0 and 2", po.OpenCount(addrs[0]), fds.Total())
	}
	two.Close()
	three.Close()
	if fds.Total() != 0 {
		t.Errorf("%d descriptors are held after all connections were closed", fds.Total())
	}
	if err = po.Connect(context.Background(), net.JoinHostPort(local.IP(t), "1")); err == nil || fds.Total() != 0 {
		t.Errorf("a connection that failed: %v, %d descriptors held", err, fds.Total())
	}
}
