package gossip_test

import (
	"testing"
	"time"

	"almondrill/core/place"
)

// Guards against a slow endpoint that only the routers with calls there know of: a router that gets
// the figure from a peer must assume it too.
func TestPeersForwardSpeeds(t *testing.T) {
	one, other := start(t, 0), start(t, 1)
	other.Add(one.Addr)
	eventually(t, "both are alive to each other", func() bool { return one.Live() == 1 && other.Live() == 1 })
	eventually(t, "the peer knows that the endpoint is slow", func() bool {
		if tk, rf := one.Placer.Pick(time.Now(), &place.Request{Pool: "pool"}); rf == nil {
			tk.RecordSpeed(time.Now(), 400)
			tk.Done(time.Now(), place.Served)
		}
		tk, rf := other.Placer.Pick(time.Now(), &place.Request{Pool: "pool"})
		if rf != nil {
			return false
		}
		tk.Done(time.Now(), place.Served)
		return tk.Slowness == 4
	})
}
