package gossip_test

import (
	"context"
	"net"
	"testing"
	"time"
)

// waitSettled waits until the routers consider the peers that they know complete.
func waitSettled(t *testing.T, all []*router) {
	t.Helper()
	eventually(t, "all routers are granted requests", func() bool {
		for ix, ro := range all {
			if granted, _ := ro.Grant(context.Background(), 1<<40+uint64(ix), 1000); !granted {
				return false
			}
		}
		return true
	})
}

// Guards against routers that together send a cold endpoint more than its limit: whichever of them
// asks, one owner grants, and says when to ask again.
func TestRoutersShareALimit(t *testing.T) {
	const limit = 7
	all := meet(t, 4)
	waitSettled(t, all)
	for endpoint := range uint64(8) {
		granted := 0
		for ask := range 4 * limit {
			ok, after := all[ask%4].Grant(context.Background(), endpoint, limit)
			if ok {
				granted++
			} else if after <= 0 || after > 2*time.Second {
				t.Errorf("denied, retry after %s", after)
			}
		}
		if granted != limit {
			t.Errorf("endpoint %d: %d requests granted within a second, want %d", endpoint, granted, limit)
		}
	}
}

// Guards against a router that has just started and grants, or is granted, what others grant too,
// as it knows few of its peers.
func TestStartingRouterGetsNoGrant(t *testing.T) {
	alone := start(t, 0)
	if granted, after := alone.Grant(context.Background(), 1, 100); granted || after <= 0 {
		t.Errorf("granted %v, retry after %s", granted, after)
	}
	alone.Add(alone.Addr)
	eventually(t, "the only router is granted requests", func() bool {
		granted, _ := alone.Grant(context.Background(), 1, 100)
		return granted
	})
}

// Guards against routers that start while the store accepts no announcements and each assume that
// there is no other: three of them sent a cold endpoint three times its limit.
func TestUnannouncedRouterGetsNoGrant(t *testing.T) {
	alone := start(t, 0)
	time.Sleep(2500 * time.Millisecond)
	if granted, _ := alone.Grant(context.Background(), 1, 100); granted {
		t.Error("granted, though its address is not in the store")
	}
}

// Guards against a router that has been cut off since its start and treats itself as the only one.
func TestIsolatedRouterGetsNoGrant(t *testing.T) {
	alone := start(t, 0)
	silent, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = silent.Close() })
	alone.Add(silent.LocalAddr().String())
	time.Sleep(2500 * time.Millisecond)
	if granted, _ := alone.Grant(context.Background(), 1, 100); granted {
		t.Error("granted, though a peer is known from which no message has arrived")
	}
}
