package relay_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"almondrill/core/place"
	"almondrill/core/route"
)

// An engine is so busy that a stream pauses for longer than the stall timeout, and no other engine can
// continue it. The router must keep waiting: the engine continues, and if the stream were cut, the
// caller would lose the rest of it.
func TestStalledStreamContinuesWithoutAlternative(t *testing.T) {
	const pause = 1600 * time.Millisecond
	slow := func(se *received, co net.Conn) bool {
		writeEvents(se, co, 1, 2)
		time.Sleep(pause)
		for id := 3; id <= 5; id++ {
			writeChunk(co, fmt.Sprintf("id: %d\ndata: token %d\n\n", id, id))
		}
		endChunks(co)
		return true
	}
	for name, other := range map[string]func(fl *fleet){
		"there is no other": func(*fleet) {},
		"the other drains": func(fl *fleet) {
			fl.re.Placer.Register(time.Now(), place.Endpoint{ID: "e9", Addr: "127.0.0.1:9", Pool: "pool", Zone: "a", Slots: 8, Draining: true})
		},
		"the other may be gone": func(fl *fleet) {
			fl.re.Placer.Register(time.Now(), place.Endpoint{ID: "e9", Addr: "127.0.0.1:9", Pool: "pool", Zone: "a", Slots: 8})
			fl.re.Placer.MarkMissing("e9")
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fl := newFleet(t, slow).configure(resumable)
			other(fl)
			rs, body, err := fl.send("POST", "/r/x", "hello")
			fl.expect(rs, err, http.StatusOK, 1)
			if body != eventText(1, 5) {
				t.Errorf("got %q, want all events", body)
			}
		})
	}
}

// The only endpoint responds to an idempotent request late, but before the deadline. If the router did
// not wait, the caller would get an error instead.
func TestSlowResponseIsAwaitedWithoutAlternative(t *testing.T) {
	fl := newFleet(t, func(se *received, co net.Conn) bool {
		time.Sleep(900 * time.Millisecond)
		return respond(http.StatusOK, "late")(se, co)
	}).configure(route.Route{Kind: route.Idempotent, MaxAttempts: 2, Timeout: 1500 * time.Millisecond})
	rs, body, err := fl.send("GET", "/r/x", "")
	fl.expect(rs, err, http.StatusOK, 1)
	if body != "late" {
		t.Errorf("got %q, want the late response", body)
	}
}

// Another endpoint becomes available while a stream is stalled: the stream must be resumed there,
// although there was none when the stall timeout expired.
func TestStalledStreamResumesWhenCapacityFrees(t *testing.T) {
	fl := newFleet(t, silentAfterTwo, silentAfterTwo).configure(resumable)
	second := place.Endpoint{ID: "e1", Addr: fl.addrs[1], Pool: "pool", Zone: "a", Slots: 8}
	fl.re.Placer.Remove("e1")
	time.AfterFunc(1300*time.Millisecond, func() { fl.re.Placer.Register(time.Now(), second) })
	rs, body, err := fl.send("POST", "/r/x", "hello")
	fl.expect(rs, err, http.StatusOK, 2)
	if body != eventText(1, 5) {
		t.Errorf("got %q, want all events", body)
	}
}
